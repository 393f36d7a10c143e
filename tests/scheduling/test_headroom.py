"""Urgent jobs find idle workers although long work is waiting."""

import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from tests.scheduling import harness


def make_free_worker(
    number: int, free: int, rack: str = "r1"
) -> placing.FreeWorker:
    """Return a worker with some free accelerators."""
    demand = models.Demand(64_000, 131_072, free)
    return placing.FreeWorker(f"w{number}", demand, rack, frozenset(), "svc")


class HeadroomWorkersTest(unittest.TestCase):
    """The headroom follows the demand of urgent jobs."""

    def headroom_workers(
        self, mean: float, workers: list[placing.FreeWorker]
    ) -> set[str]:
        """Return the headroom workers for urgent jobs of a mean size."""
        total = sum(worker.free.accelerators for worker in workers)
        return set(headroom.Headroom(mean).headroom_workers(workers, total))

    def test_no_headroom_without_urgent_jobs(self):
        """No worker stays idle for an urgent queue that nobody uses."""
        self.assertEqual(
            self.headroom_workers(0, [make_free_worker(1, 8)]), set()
        )

    def test_no_headroom_in_small_fleets(self):
        """One of two workers exceeds the share that may stay idle."""
        workers = [make_free_worker(1, 8), make_free_worker(2, 8)]
        self.assertEqual(self.headroom_workers(14, workers), set())

    def test_share_is_bounded(self):
        """Large urgent jobs do not raise the headroom above its share."""
        workers = [make_free_worker(n, 8, f"r{n % 4}") for n in range(24)]
        chosen = self.headroom_workers(1000, workers)
        self.assertLessEqual(
            len(chosen) * 8, 24 * 8 * headroom.MAX_HEADROOM_SHARE + 8
        )
        self.assertTrue(chosen)


class LeavingWorkersTest(unittest.TestCase):
    """A release replaces workers, which come back empty."""

    def setUp(self):
        """Create half empty workers that leave and empty replaced ones."""
        self.leaving = [make_free_worker(n, 4, "r1") for n in range(4)]
        self.replaced = [make_free_worker(n, 8, "r2") for n in range(4, 8)]
        self.leaving_ids = {worker.worker_id for worker in self.leaving}

    def choose(self, mean: float) -> set[str]:
        """Return the headroom workers for urgent jobs of a mean size."""
        return set(
            headroom.Headroom(mean).headroom_workers(
                self.leaving + self.replaced, 1000, self.leaving_ids
            )
        )

    def test_replaced_workers_are_left_to_long_work(self):
        """Else long work would start where it is soon cut off."""
        self.assertEqual(self.choose(6), {"w0", "w1"})

    def test_replaced_workers_complete_the_headroom(self):
        """Workers that leave may not suffice."""
        chosen = self.choose(20)
        self.assertLessEqual(self.leaving_ids, chosen)
        self.assertEqual(len(chosen), 6)


class MixTest(harness.SchedulingTestCase):
    """Long work would fill every worker."""

    duration = harness.seconds(60)

    async def test_urgent_job_begins_at_once_and_stops_nothing(self):
        """After the first urgent jobs, workers stay idle for the next."""
        self.add_workers(24)
        self.start_node("a")
        await self.wait_until(self.holder)
        urgent = harness.make_queue(priority=0)
        for _ in range(6):
            self.submit(harness.make_step(accelerators=8), queue=urgent)
        await self.wait_until(lambda: len(self.fleet.running()) == 6)
        flood = harness.make_queue(priority=2)
        self.submit(harness.make_step(width=300), queue=flood)
        await self.pass_time(1)
        job_id = self.submit(harness.make_step(accelerators=8), queue=urgent)
        await self.wait_until(
            lambda: any(t.startswith(job_id) for t, _ in self.fleet.running()),
            0.3,
        )
        ends = {interval.end for interval in self.fleet.intervals}
        self.assertNotIn(fleet.End.STOPPED, ends)
