"""The headroom follows the arrival rate of urgent jobs."""

import unittest

from cardamomcroft.scheduling import headroom
from cardamomcroft.sharing import arrivals
from tests.scheduling import harness
from tests.sharing import load_harness

LEAD = harness.seconds(1.2)


class ArrivalRateTest(unittest.TestCase):
    """The rate is the mean over a window."""

    def setUp(self):
        """Create a rate without arrivals."""
        self.rate = arrivals.ArrivalRate()

    def observe(self, *pairs: tuple[float, int]) -> None:
        """Observe arrivals: seconds and accelerators."""
        for at_s, accelerators in pairs:
            self.rate.observe(accelerators, harness.seconds(at_s))

    def test_rate_counts_the_window(self):
        """Jobs of the last five seconds count, earlier ones do not."""
        self.observe((90, 1000), (97, 20), (99.9, 30))
        self.assertEqual(self.rate.per_second(harness.seconds(100)), 10)

    def test_rate_falls_when_arrivals_do(self):
        """A burst that is over keeps no headroom."""
        self.observe((100, 50))
        self.assertEqual(self.rate.per_second(harness.seconds(104)), 10)
        self.assertEqual(self.rate.per_second(harness.seconds(106)), 0)

    def test_successor_counts_jobs_by_their_age(self):
        """Admitted in any order, each counts where it was accepted."""
        self.observe((100, 10), (90, 1000), (98, 40))
        self.assertEqual(self.rate.per_second(harness.seconds(100)), 10)

    def test_memory_is_bounded(self):
        """A burst of thousands of jobs does not grow the state."""
        self.observe(*((n / 100, 1) for n in range(10_000)))
        slots = arrivals.WINDOW / arrivals.SLOT
        self.assertLessEqual(len(self.rate._wanted_by_slot), slots)


class WantedTest(unittest.TestCase):
    """The size of the headroom."""

    def test_rate_and_spare_jobs_add_up(self):
        """Arrivals within the lead time, and one and a half jobs."""
        wanted = arrivals.headroom_wanted(100, 20, LEAD, 1400)
        self.assertEqual(wanted, 100 * 1.2 + 30)

    def test_share_is_bounded(self):
        """A flood of urgent jobs keeps at most a quarter idle."""
        wanted = arrivals.headroom_wanted(5000, 20, LEAD, 1400)
        self.assertEqual(wanted, 350)

    def test_today_is_unchanged_without_a_rate(self):
        """Where scheduling does not plan ahead, arrivals do not count."""
        room = headroom.Headroom(20)
        self.assertEqual(room.wanted(1400), 30)
        self.assertEqual(room.wanted(100), 12)


class BurstTest(load_harness.LoadTestCase):
    """Urgent jobs come in a burst while long work fills all workers."""

    async def play(self, plans_ahead: bool) -> load_harness.Outcome:
        """Play eight seconds of four urgent gangs a second."""
        await self.begin(plans_ahead)
        batch = harness.make_step(width=4)
        for number in range(200):  # ends are spread over time
            self.submit_for(batch, 4 + number % 7, priority=2)
        urgent = harness.make_step(4, 1, is_gang=True, is_rack_local=True)
        await self.play_on(6)
        for _ in range(32):
            self.submit_for(urgent, 1, priority=0)
            await self.play_on(0.25)
        await self.play_on(2)
        return self.outcome()

    async def test_burst_waits_less_and_stops_less(self):
        """Without the rate, more of a burst has to preempt."""
        today = await self.play(plans_ahead=False)
        ahead = await self.play(plans_ahead=True)
        self.assertLess(ahead.mean_wait_s, today.mean_wait_s * 0.8)
        self.assertLess(ahead.stopped_core_s, today.stopped_core_s * 0.8)
