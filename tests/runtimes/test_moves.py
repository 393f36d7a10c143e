"""Runs move from slow workers, and long runs stay, under a whole node."""

from cardamomcroft.ports import fleet
from tests.runtimes import test_stream
from tests.scheduling import harness


class MoveTest(test_stream.StreamTestCase):
    """The queue's runs take 2.5 s; four workers."""

    duration = harness.seconds(2.5)
    worker_count = 4

    async def asyncSetUp(self):
        """Let the scheduler learn the usual run times."""
        await super().asyncSetUp()
        self.urgent = harness.make_queue(priority=0)
        for _ in range(3):
            step = harness.make_step(width=4, accelerators=8)
            job_id = self.submit(step, queue=self.urgent)
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )

    def stopped_on(self) -> list[str]:
        """Return the workers of the runs that were stopped."""
        return [
            interval.worker_id
            for interval in self.fleet.intervals
            if interval.end is fleet.End.STOPPED
        ]

    async def test_long_gang_is_not_moved(self):
        """One of 11 s was moved three times and took 24.5 s."""
        step = harness.make_step(width=4, accelerators=8, is_gang=True)
        job_id = self.submit(step, queue=self.urgent)
        self.fleet.durations_by_job[job_id] = harness.seconds(11)
        took = await self.wait_until(
            lambda: self.state(job_id) == "completed", 40
        )
        self.assertEqual(self.stopped_on(), [])
        self.assertLess(took, 11 + 1)

    async def test_task_leaves_a_slow_worker(self):
        """One worker takes sixteen times as long as the others."""
        self.fleet.workers_by_id["w2"].slowness = 16.0
        step = harness.make_step(width=3, accelerators=8)
        job_id = self.submit(step, queue=self.urgent)
        took = await self.wait_until(
            lambda: self.state(job_id) == "completed", 40
        )
        self.check_run_once(job_id)
        self.assertEqual(self.stopped_on(), ["w2"])
        self.assertLess(took, 4 * 2.5)
