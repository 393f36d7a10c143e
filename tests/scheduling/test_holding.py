"""Large tasks start although small, less urgent tasks keep coming."""

import datetime
import unittest

from cardamomcroft.scheduling import holding
from tests.scheduling import harness


class StarvationTest(harness.SchedulingTestCase):
    """Small tasks end one by one; others wait for the capacity of each."""

    duration = harness.seconds(4)

    async def test_large_gang_begins(self):
        """The gang starts within two run times of the small tasks."""
        self.add_workers(6)
        self.start_node("a")
        await self.wait_until(self.holder)
        flood = harness.make_queue(priority=2)
        for _ in range(12):  # staggered, so that ends are staggered too
            self.submit(harness.make_step(width=4), queue=flood)
            await self.pass_time(0.3)
        for _ in range(6):
            self.submit(harness.make_step(width=48), queue=flood)
        await self.pass_time(4)
        large = self.submit(
            harness.make_step(width=2, accelerators=6, is_gang=True),
            queue=harness.make_queue(priority=1),
        )
        took = await self.wait_until(
            lambda: any(t.startswith(large) for t, _ in self.fleet.running()),
            30,
        )
        self.assertLess(took, 8)


class ChooseTest(unittest.TestCase):
    """The workers on which tasks fit soonest are chosen."""

    def test_soonest_places(self):
        """A worker may fit several of the tasks."""
        times = {
            name: [datetime.timedelta(seconds=s) for s in seconds]
            for name, seconds in (("a", (1, 9)), ("b", (2, 3)), ("c", (4,)))
        }
        self.assertEqual(holding.choose(times, 3), ["a", "b"])
        self.assertEqual(holding.choose(times, 9), [])
