"""Tasks leave workers that hang or drain."""

import dataclasses
import datetime
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from tests.scheduling import harness


class HangTest(harness.SchedulingTestCase):
    """One worker's tasks make no progress."""

    duration = harness.seconds(6)

    async def test_stalled_task_moves(self):
        """The task restarts elsewhere long before a caller gives up."""
        self.add_workers(2)
        self.fleet.workers_by_id["w1"].hangs = True
        self.start_node("a")
        await self.wait_until(self.holder)
        job_id = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: self.state(job_id) == "completed", 16)
        self.check_run_once(job_id)
        stopped = [
            i for i in self.fleet.intervals if i.end is fleet.End.STOPPED
        ]
        self.assertTrue(stopped)
        self.assertEqual({i.worker_id for i in stopped}, {"w1"})


class SlowWorkerTest(harness.SchedulingTestCase):
    """One worker takes eight times as long as the others."""

    duration = harness.seconds(2.5)

    async def asyncSetUp(self):
        """Let the scheduler learn the usual run times."""
        await super().asyncSetUp()
        self.add_workers(4)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.urgent = harness.make_queue(priority=0)
        for _ in range(2):
            step = harness.make_step(width=4, accelerators=8)
            job_id = self.submit(step, queue=self.urgent)
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )

    async def test_urgent_task_leaves_a_slow_worker_soon(self):
        """Its job ends well before three times the run time of a task."""
        self.fleet.workers_by_id["w2"].slowness = 8.0
        step = harness.make_step(width=3, accelerators=8)
        job_id = self.submit(step, queue=self.urgent)
        took = await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        moved = [
            i.worker_id
            for i in self.fleet.intervals
            if i.end is fleet.End.STOPPED
        ]
        self.assertEqual(moved, ["w2"])
        self.assertLess(took, 2 * 2.5 + 0.5)

    async def test_urgent_task_leaves_a_hanging_worker_soon(self):
        """A task without progress moves after the stall time-out."""
        self.fleet.workers_by_id["w2"].hangs = True
        step = harness.make_step(width=3, accelerators=8)
        job_id = self.submit(step, queue=self.urgent)
        took = await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertLess(took, 2 * 2.5 + 1)


class LongTest(harness.SchedulingTestCase):
    """One task takes far longer than its queue's others."""

    duration = harness.seconds(2)

    async def test_long_task_is_moved_once(self):
        """A task slow on every worker stays on the second."""
        self.add_workers(4)
        self.start_node("a")
        await self.wait_until(self.holder)
        for _ in range(2):
            job_id = self.submit(harness.make_step(width=4))
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )
        long_job = self.submit(harness.make_step())
        self.fleet.durations_by_job[long_job] = harness.seconds(40)
        await self.wait_until(lambda: self.state(long_job) == "completed", 60)
        ends = [i.end for i in self.fleet.intervals if long_job in i.task]
        self.assertEqual(ends, [fleet.End.STOPPED, fleet.End.DONE])


class DrainTest(harness.SchedulingTestCase):
    """A worker announces that it drains."""

    duration = harness.seconds(6)

    async def test_task_that_outlasts_its_worker_moves(self):
        """A task that cannot end in time restarts elsewhere at once."""
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)
        job_id = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        leaving = self.fleet.running()[0][1]
        self.listings[leaving] = dataclasses.replace(
            self.listings[leaving],
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(2),
        )
        self.store.put(store.Stream.SERVERS, leaving, b"1")
        await self.wait_until(
            lambda: {w for _, w in self.fleet.running()} == {"w2"}, 1.5
        )
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)


class DurationsTest(unittest.TestCase):
    """Declared run times may be far off."""

    def observe(self, declared_s: float, actual_s: list[float]) -> float:
        """Return the prediction after the runs given."""
        step = dataclasses.replace(
            harness.make_step(), estimate=harness.seconds(declared_s)
        )
        job = models.Job(
            "0" * 16,
            harness.make_queue(),
            "account",
            "",
            (step,),
            None,
            datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
        )
        durations = estimates.Durations()
        for number in actual_s:
            durations.observe(job, step, harness.seconds(number))
        return durations.expected(job, step) / datetime.timedelta(seconds=1)

    def test_learns_when_declared_times_are_off(self):
        """The learned mean replaces a declared time that is far off."""
        self.assertAlmostEqual(self.observe(1, [8, 9, 8, 9]), 8.3, delta=1)

    def test_keeps_declared_times_that_are_right(self):
        """An accurate declared time overrides the mean."""
        self.assertEqual(self.observe(8.4, [2, 8.4, 8.4, 8.4]), 8.4)
