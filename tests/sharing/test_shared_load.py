"""What accounts get of a flooded service, with and without fair shares."""

import unittest
from unittest import mock

from cardamomcroft.sharing import fair_shares
from tests.scheduling import harness
from tests.sharing import account_load

FLOOD_STEP = harness.make_step(accelerators=8)
OBJECTIVE_S = 7.0  # 2 s of work, slack factor 3, target latency 1 s


def without_shares(shares, ranked, now):
    """Return the jobs in the order that ignores shares."""
    return [job for _, job in ranked]


def mean(values: list[float]) -> float:
    """Return the arithmetic mean."""
    return sum(values) / len(values)


class FloodTestCase(account_load.LoadTestCase):
    """Account a submits twice what eight workers can do."""

    worker_count = 8

    async def flood(self, duration_s: float, guests: dict) -> None:
        """Play a flood of eight jobs a second beside other accounts.

        ``guests`` has each account's step and its seconds between two jobs.
        """
        for tick in range(int(duration_s * 4)):
            self.submit_as("a", FLOOD_STEP)
            self.submit_as("a", FLOOD_STEP)
            for account, (step, period_s) in guests.items():
                if tick % int(period_s * 4) == 0:
                    self.submit_as(account, step)
            await self.pass_time(0.25)

    async def compare(self, duration_s: float, guests: dict) -> tuple:
        """Return waits and served jobs with the part, then without it."""
        await self.flood(duration_s, guests)
        with_part = self.waits_s(), self.served()
        await self.asyncTearDown()
        await self.asyncSetUp()
        ignored = mock.patch.object(
            fair_shares.FairShares, "order", without_shares
        )
        with ignored:
            await self.flood(duration_s, guests)
        return with_part, (self.waits_s(), self.served())


class FloodTest(FloodTestCase):
    """One account floods, others come now and then."""

    async def test_flooding_account_is_shown(self):
        """Operators must see who is above its share, and by how much."""
        await self.flood(3, {"b": (FLOOD_STEP, 1), "c": (FLOOD_STEP, 1)})
        ratios = self.scheduler.largest_share_ratios()
        self.assertEqual(next(iter(ratios)), "a")
        self.assertGreater(ratios["a"], 1)
        self.assertLess(ratios["b"], 1)

    async def test_occasional_jobs_do_not_wait_behind_a_flood(self):
        """They waited for half of their objective though nearly idle."""
        guests = {"b": (FLOOD_STEP, 3), "c": (FLOOD_STEP, 4)}
        (waits, served), (old_waits, old_served) = await self.compare(
            16, guests
        )
        for account in guests:
            self.assertLess(mean(waits[account]), 1.5)
            self.assertGreater(mean(old_waits[account]), 2.5)
            self.assertGreater(served[account], old_served[account])
        # The workers do as much, so the flood gets what others leave.
        total, old_total = sum(served.values()), sum(old_served.values())
        self.assertGreaterEqual(total, old_total * 0.95)

    async def test_wide_gang_of_a_small_account_is_served(self):
        """A gang that needs half of the workers at once must get them."""
        gang = harness.make_step(width=4, accelerators=8, is_gang=True)
        (waits, _), (old_waits, _) = await self.compare(16, {"b": (gang, 5)})
        self.assertLess(max(waits["b"]), OBJECTIVE_S)
        self.assertGreater(max(old_waits["b"]), OBJECTIVE_S)

    async def test_flooding_account_does_not_starve(self):
        """Others that use all of the workers for long must not bar it.

        Each account submits a third of what the workers can do.
        """
        await self.flood(8, {})
        began_at = self.clock.monotonic()
        for _ in range(28):
            for account in "abcd":
                self.submit_as(account, FLOOD_STEP)
            await self.pass_time(0.75)
        times = sorted(
            (at - began_at).total_seconds()
            for job_id, at in self.started_at().items()
            if self.account_by_job[job_id] == "a" and at >= began_at
        )
        # A quarter of four jobs a second for 21 s is its fair share.
        self.assertGreater(len(times), 21 / 2)
        gaps = [b - a for a, b in zip([0, *times], [*times, 21], strict=True)]
        self.assertLess(max(gaps), OBJECTIVE_S)


if __name__ == "__main__":
    unittest.main()
