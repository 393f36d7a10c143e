"""The soak's evacuations happen, and their check finds late starts."""

import datetime
import random
import unittest
from unittest import mock

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import evacuations
from soak import faults


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


def request(at: float, is_begun: bool, name: str = "east"):
    """Return a request of the operator."""
    return evacuations.Request(name, is_begun, seconds(at))


class CheckTest(unittest.TestCase):
    """Start orders for the data centre east, whose bound is 5 s."""

    def found(self, at: float, *requests) -> list[str]:
        """Return what the check finds of a start at a time."""
        start = standin_fleet.ReceivedStart(
            "t.0.0.0", 1, "w1", "east", seconds(at)
        )
        return evacuations.started_in_evacuated([start], requests)

    def test_start_after_the_bound_is_found(self):
        """This is the violation that the check is for."""
        (line,) = self.found(15.1, request(10, True))
        self.assertIn("t.0.0.0 run 1 on w1", line)
        self.assertTrue(
            self.found(15.1, request(10, True), request(16, False))
        )

    def test_start_within_the_bound_or_after_the_end_is_none(self):
        """The check must not blame what the contract allows."""
        period = request(10, True), request(20, False)
        for at in (9, 10.5, 15, 20, 21):
            self.assertEqual(self.found(at, *period), [])

    def test_revoked_evacuation_forbids_nothing(self):
        """Its time does not run on until the next request."""
        self.assertEqual(
            self.found(
                16, request(10, True), request(11, False), request(15, True)
            ),
            [],
        )

    def test_repeated_request_does_not_begin_the_time_anew(self):
        """Or a start would be allowed in the middle of an evacuation."""
        requests = request(10, True), request(14, True), request(30, False)
        self.assertTrue(self.found(16, *requests))

    def test_each_data_centre_has_its_own_time(self):
        """Two may be evacuated at once, and end one after the other."""
        west = request(10, True, "west"), request(30, False, "west")
        self.assertEqual(self.found(16, *west), [])
        east = request(8, True), request(12, False)
        self.assertEqual(self.found(16, *west, *east), [])
        self.assertTrue(self.found(16, *west, request(9, True)))


class FaultTest(unittest.IsolatedAsyncioTestCase):
    """Faults of workers in three data centres."""

    async def asyncSetUp(self):
        """Register the workers; shorten the evacuations."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), seconds(1)
        )
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        for number in range(3):
            await self.platform.listen_for_worker(
                f"w{number}", f"r{number}", f"dc{number}"
            )
        self.faults = faults.Faults(
            self.platform, [], mock.Mock(), random.Random(1)
        )
        for name, value in (
            ("BOUND", seconds(0.1)),
            ("LASTS_AFTER_BOUND_S", (0.05, 0.1)),
            ("SECOND_AFTER_S", (0.0, 0.05)),
            ("REVOKED_AFTER_S", (0.0, 0.05)),
            ("DISRUPTED_AFTER_S", (0.0, 0.05)),
        ):
            self.enterContext(mock.patch.object(evacuations, name, value))

    def records(self) -> list[tuple[str, bytes | None]]:
        """Return the operator's records."""
        records = self.platform.store.records_by_stream[store.Stream.OPERATOR]
        return [(record.key, record.value) for record in records]

    def check_ended(self, count: int) -> None:
        """Check that so many data centres were evacuated, and none is."""
        requests = self.faults.evacuations.requests
        begun = [r.data_centre for r in requests if r.is_begun]
        ended = [r.data_centre for r in requests if not r.is_begun]
        self.assertEqual(len(set(begun)), count)
        self.assertCountEqual(begun, ended)
        self.assertCountEqual(
            self.records(),
            [(f"evacuate/{name}", b"{}") for name in begun]
            + [(f"evacuate/{name}", None) for name in ended],
        )

    async def test_one_data_centre(self):
        """It lasts beyond the bound, or the check would see nothing."""
        await self.faults.inject("evacuation")
        self.check_ended(1)
        begun, ended = self.faults.evacuations.requests
        self.assertGreater(ended.at - begun.at, evacuations.BOUND)

    async def test_two_data_centres(self):
        """Both are evacuated at once."""
        await self.faults.inject("evacuation_of_two")
        self.check_ended(2)
        kinds = [r.is_begun for r in self.faults.evacuations.requests]
        self.assertEqual(kinds, [True, True, False, False])

    async def test_revoked_in_an_outage(self):
        """The store is down when the evacuation ends, and up afterwards."""
        was_down = []
        end = self.platform.end_evacuation

        def end_evacuation(name: str) -> None:
            was_down.append(self.platform.store.faults.is_down)
            end(name)

        self.platform.end_evacuation = end_evacuation
        await self.faults.inject("evacuation_revoked_in_outage")
        self.check_ended(1)
        self.assertEqual(was_down, [True])
        self.assertFalse(self.platform.store.faults.is_down)

    async def test_beside_a_takeover(self):
        """The holder is disrupted while the data centre is evacuated."""
        seen = []

        async def disrupt() -> None:
            seen.append(len(self.faults.evacuations.requests))

        self.faults._disrupt_unkept_holder = disrupt
        await self.faults.inject("evacuation_at_takeover")
        self.check_ended(1)
        self.assertEqual(seen, [1])

    async def test_replaced_worker_stays_in_its_data_centre(self):
        """Or starts on it would go unchecked."""
        with (
            mock.patch("soak.worker_faults.ENTRY_LIFE_S", 0.01),
            mock.patch("soak.worker_faults.MAX_FAULT_S", 0.3),
        ):
            await self.faults.inject("worker_dies")
            await self.faults.finish()
        workers = self.platform.fleet.workers_by_id.values()
        self.assertEqual(
            sorted(w.listing.data_centre for w in workers),
            ["dc0", "dc1", "dc2"],
        )
