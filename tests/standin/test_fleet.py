"""The stand-in's workers end gangs as the workers' protocol requires."""

import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from tests.scheduling import harness

JOB = "0" * 16


class GangTest(unittest.IsolatedAsyncioTestCase):
    """A gang of three members on two workers."""

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

    async def test_members_complete_together(self):
        """The task's run time counts from when all members run."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.advance()
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_one_completion_counts_for_all_members(self):
        """A worker that crashes afterwards does not revoke it."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.workers_by_id["w1"].advance()
        self.fake.restart("w2")
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_no_member_completes_without_the_others(self):
        """When one worker crashes, the other members end as broken."""
        await self.clock.advance(harness.seconds(1))
        self.fake.restart("w2")
        await self.clock.advance(harness.seconds(2))
        self.fake.advance()
        self.assertEqual(
            self.ends(),
            [fleet.End.LAPSED] + [fleet.End.GANG_BROKEN] * 2,
        )

    async def test_expired_leases_end_each_member_once(self):
        """Both workers' leases expire; no member ends as done."""
        for name in ("w1", "w2"):
            self.fake.workers_by_id[name].lease_deadline_ms = 0
        self.fake.advance()
        self.assertEqual(len(self.ends()), 3)
        self.assertNotIn(fleet.End.DONE, self.ends())
