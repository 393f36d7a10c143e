"""Urgent jobs arrive faster than the workers can complete them."""

import dataclasses

from cardamomcroft.ports import fleet
from tests.scheduling import harness

OBJECTIVE_S = 3.0  # 2 s run time, slack factor 1, target latency 1 s


class OverloadTest(harness.SchedulingTestCase):
    """Each job fills a worker for 2 s; four workers complete two a second."""

    async def asyncSetUp(self):
        """Start four workers and a queue with a second of slack."""
        await super().asyncSetUp()
        self.add_workers(4)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.urgent = dataclasses.replace(
            harness.make_queue(priority=0),
            slack_factor=1.0,
            target_latency=harness.seconds(1),
        )

    def ended_in_time(self, submitted_at: dict) -> int:
        """Count the jobs whose only task ended within the objective."""
        return sum(
            interval.end is fleet.End.DONE
            and (
                interval.ended_at - submitted_at[interval.task.split(".")[0]]
            ).total_seconds()
            <= OBJECTIVE_S
            for interval in self.fleet.intervals
        )

    async def test_most_of_what_workers_can_do_is_in_time(self):
        """Late jobs are ordered after those that can still be in time."""
        step = harness.make_step(accelerators=8)
        submitted_at = {}
        for _ in range(60):
            job_id = self.submit(step, queue=self.urgent)
            submitted_at[job_id] = self.clock.monotonic()
            await self.pass_time(0.35)
        await self.pass_time(4)
        # 21 s at two a second; some time is lost between consecutive runs.
        self.assertGreaterEqual(self.ended_in_time(submitted_at), 21 * 2 * 0.7)

    async def test_late_job_stops_nothing(self):
        """A job that would be late even with preemption stops no run.

        The job becomes late while the store refuses the scheduler's calls.
        """
        self.fleet.duration = harness.seconds(30)
        flood = harness.make_queue(priority=2)
        self.submit(
            harness.make_step(width=4, accelerators=8, is_checkpointing=True),
            queue=flood,
        )
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        self.store.faults.refused_clients.add("a")
        self.submit(harness.make_step(accelerators=8), queue=self.urgent)
        await self.pass_time(8)
        self.store.faults.refused_clients.clear()
        await self.pass_time(3)
        ends = {interval.end for interval in self.fleet.intervals}
        self.assertNotIn(fleet.End.STOPPED, ends)
