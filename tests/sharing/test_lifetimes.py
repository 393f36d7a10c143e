"""Reservations last as long as the stops that they wait for."""

import dataclasses
import unittest

from cardamomcroft.sharing import lifetimes
from cardamomcroft.sharing import wiring
from tests.scheduling import harness
from tests.sharing import load_harness


class LifetimeTest(unittest.TestCase):
    """How long a reservation lasts."""

    def test_lifetime_covers_the_longest_stop(self):
        """A stop of 0.9 s and the start that follows are covered."""
        bound = harness.seconds(0.9)
        lifetime = lifetimes.reservation_lifetime(bound)
        self.assertEqual(lifetime, harness.seconds(1.9))

    def test_lifetime_has_a_minimum(self):
        """With short stops the lifetime is that of today."""
        bound = harness.seconds(0.2)
        lifetime = lifetimes.reservation_lifetime(bound)
        self.assertEqual(lifetime, harness.seconds(1.5))

    def test_reactive_planning_keeps_its_lifetime(self):
        """Where scheduling does not plan ahead, 1.5 s apply."""
        for plans_ahead, expected in ((False, 1.5), (True, 1.9)):
            reserved = wiring.make_reservations(
                load_harness.parameters(plans_ahead)
            )
            self.assertEqual(reserved._lifetime, harness.seconds(expected))


class UnansweredStopTest(load_harness.LoadTestCase):
    """A worker out of reach for a moment gets its stop orders late.

    The gang that preempts then waits for longer than 1.5 s, and a shorter
    job takes what has been freed for it.
    """

    worker_count = 4
    rack_count = 1
    gang = harness.make_step(4, 8, is_gang=True)

    async def play(self, plans_ahead: bool) -> load_harness.Outcome:
        """Return what the gang got."""
        await self.begin(plans_ahead)
        self.fleet.stop_time = load_harness.STOP_BOUND
        self.submit_for(harness.make_step(width=32), 90, priority=2)
        await self.play_on(20)  # stopping this work costs too much
        for number in range(4, 8):
            self.add_worker(f"w{number}", "r0")
        self.submit_for(harness.make_step(width=32), 90, priority=2)
        await self.play_on(1)
        self.assertEqual(len(self.fleet.running()), 64)
        self.fleet.workers_by_id["w4"].is_cut = True
        self.submit_for(self.gang, 2, priority=0)
        await self.play_on(0.4)
        self.fleet.workers_by_id["w4"].is_cut = False
        short = dataclasses.replace(
            harness.make_step(width=3, accelerators=8),
            estimate=harness.seconds(0.5),
        )
        self.submit(short, queue=harness.make_queue(0))
        await self.play_on(4)
        return self.outcome()

    async def test_gang_keeps_what_is_freed_for_it(self):
        """With the short lifetime it begins after the other job at last."""
        today = await self.play(plans_ahead=False)
        ahead = await self.play(plans_ahead=True)
        self.assertLess(ahead.waits_s[0], 2.2)
        self.assertLess(ahead.waits_s[0], today.waits_s[0] - 0.5)
