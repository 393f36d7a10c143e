"""Urgent work finds idle workers although long work is waiting."""

import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from tests.scheduling import harness


def make_room(number: int, free: int, rack: str = "r1") -> placing.FreeWorker:
    """Return a worker's room."""
    demand = models.Demand(64_000, 131_072, free)
    return placing.FreeWorker(f"w{number}", demand, rack, frozenset(), "svc")


class KeptTest(unittest.TestCase):
    """What is kept follows the urgent jobs seen."""

    def kept(self, mean: float, rooms: list[placing.FreeWorker]) -> set[str]:
        """Return the workers kept for urgent jobs of a size."""
        total = sum(room.free.accelerators for room in rooms)
        return set(headroom.Headroom(mean).headroom_workers(rooms, total))

    def test_nothing_is_kept_without_urgent_jobs(self):
        """A queue that nobody uses costs nothing."""
        self.assertEqual(self.kept(0, [make_room(1, 8)]), set())

    def test_small_fleets_keep_nothing(self):
        """One of two workers is too much to leave idle."""
        rooms = [make_room(1, 8), make_room(2, 8)]
        self.assertEqual(self.kept(14, rooms), set())

    def test_share_is_bounded(self):
        """Large urgent jobs do not keep more than the share allows."""
        rooms = [make_room(n, 8, f"r{n % 4}") for n in range(24)]
        kept = self.kept(1000, rooms)
        self.assertLessEqual(
            len(kept) * 8, 24 * 8 * headroom.MAX_HEADROOM_SHARE + 8
        )
        self.assertTrue(kept)


class MixTest(harness.SchedulingTestCase):
    """Long work alone would fill every worker."""

    duration = harness.seconds(60)

    async def test_urgent_job_begins_at_once_and_stops_nothing(self):
        """After the first urgent jobs, room is left for the next."""
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
