"""Faults that operators of similar systems have reported.

Others of their list have their tests elsewhere: see the table in
docs/design/09-platform.md.
"""

import dataclasses

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness


class SilentWorkerTest(harness.SchedulingTestCase):
    """A worker is silent for less than a lease while its tasks go on."""

    duration = harness.seconds(8)

    async def asyncSetUp(self):
        """Start a task on each of two workers."""
        await super().asyncSetUp()
        self.add_workers(3)
        self.start_node("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        self.job_id = self.submit(harness.make_step(width=2, accelerators=8))
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        self.silent = self.fleet.running()[0][1]

    async def check_kept(self) -> None:
        """Check that each task completes in the only run that it has."""
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)
        ends = [interval.end for interval in self.fleet.intervals]
        self.assertEqual(ends, [fleet.End.DONE] * 2)
        self.assertGreater(self.fleet.injected["unreachable"], 0)

    async def test_its_work_is_neither_repeated_nor_given_up(self):
        """Silence alone, again and again, is no death."""
        worker = self.fleet.workers_by_id[self.silent]
        for _ in range(2):
            worker.is_cut = True
            await self.pass_time(2.5)
            worker.is_cut = False
            await self.pass_time(0.7)
        await self.check_kept()

    async def test_nor_if_the_scheduler_changes_meanwhile(self):
        """The successor asks it, and waits for its lease to expire."""
        worker = self.fleet.workers_by_id[self.silent]
        worker.is_cut = True
        self.kill(self.holder())
        await self.wait_until(self.holder)
        await self.pass_time(1)
        worker.is_cut = False
        await self.check_kept()


class DepartedWorkerTest(harness.SchedulingTestCase):
    """A worker has left, or is leaving, when the scheduler changes."""

    duration = harness.seconds(1)

    async def asyncSetUp(self):
        """Let both workers run tasks, so that both have records."""
        await super().asyncSetUp()
        self.add_workers(2)
        for name in ("a", "b"):
            self.start_node(name)
        await self.wait_until(self.holder)
        first = self.submit(harness.make_step(width=2, accelerators=8))
        await self.wait_until(lambda: self.state(first) == "completed")

    async def replace_holder(self) -> None:
        """Kill the holder and start its instance again."""
        holder = self.holder()
        self.kill(holder)
        self.start_node(holder, seed=1)
        await self.wait_until(self.holder)

    async def check_only_w2_is_used(self) -> None:
        """Check that a job that needs both workers runs on one."""
        known = len(self.fleet.intervals)
        job_id = self.submit(harness.make_step(width=4, accelerators=8))
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        used = {i.worker_id for i in self.fleet.intervals[known:]}
        self.assertEqual(used, {"w2"})

    async def test_worker_that_left_is_not_used_after_a_takeover(self):
        """Its record of earlier runs is no entry in the directory."""
        self.store.put(store.Stream.SERVERS, "w1", None)
        await self.pass_time(0.5)
        await self.replace_holder()
        await self.check_only_w2_is_used()

    async def test_worker_that_drains_is_not_used_after_a_takeover(self):
        """A new scheduler reads the newest entry before it starts work."""
        self.listings["w1"] = dataclasses.replace(
            self.listings["w1"],
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(60),
        )
        self.store.put(store.Stream.SERVERS, "w1", b"draining")
        await self.replace_holder()
        await self.check_only_w2_is_used()
