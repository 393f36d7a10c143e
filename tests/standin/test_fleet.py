"""The stand-in's workers end gangs as the protocol says."""

import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from tests.scheduling import harness

JOB = "0" * 16


class GangTest(unittest.IsolatedAsyncioTestCase):
    """Three members on two workers."""

    async def asyncSetUp(self):
        """Start the members."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, harness.seconds(2))
        self.fake.steps_by_job[JOB] = (
            harness.make_step(width=3, is_gang=True),
        )
        for worker_id in ("w1", "w2"):
            self.fake.add(worker_id)
        for index, worker_id in enumerate(("w1", "w1", "w2")):
            order = fleet.StartOrder(
                f"{JOB}.0.0.{index}", 1, "", 60_000, 1, "", ""
            )
            address = self.fake.workers_by_id[worker_id].listing.address
            starting = harness.asyncio.ensure_future(
                self.fake.start(address, order, harness.seconds(1))
            )
            await self.clock.advance(standin_fleet.ROUND_TRIP * 2)
            self.assertIs((await starting).status, fleet.OrderStatus.DONE)
        self.fake.advance()

    def ends(self) -> list[fleet.End]:
        """Return how the members ended."""
        return [interval.end for interval in self.fake.intervals]

    async def test_members_end_well_together(self):
        """After their time, counted from when all were there."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.advance()
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_one_good_end_is_that_of_all(self):
        """A worker that crashes a moment later takes none back."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.workers_by_id["w1"].advance()
        self.fake.restart("w2")
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_no_member_ends_well_without_the_others(self):
        """One worker crashes: the others' members are broken off."""
        await self.clock.advance(harness.seconds(1))
        self.fake.restart("w2")
        await self.clock.advance(harness.seconds(2))
        self.fake.advance()
        self.assertEqual(
            self.ends(),
            [fleet.End.LAPSED] + [fleet.End.GANG_BROKEN] * 2,
        )

    async def test_lapse_of_one_worker_breaks_the_gang(self):
        """Both of its members lapse or break, and none is counted twice."""
        for name in ("w1", "w2"):
            self.fake.workers_by_id[name].lease_deadline_ms = 0
        self.fake.advance()
        self.assertEqual(len(self.ends()), 3)
        self.assertNotIn(fleet.End.DONE, self.ends())
