"""Starts beside listed ends are recorded with what their senders know."""

import datetime
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet as fleets
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
from cardamomcroft.standin import fleet
from cardamomcroft.standin import listed_ends


class ClaimsTest(unittest.TestCase):
    """A stream of claims, renewals and other records."""

    def setUp(self):
        """Create an empty stream."""
        self.records: list[store.Record] = []
        self.claims = listed_ends.Claims(self.records)

    def append(self, key: str, value: bytes | None) -> None:
        """Append a record."""
        self.records.append(store.Record(len(self.records), key, value))

    def claim(self, holder: str, epoch: int, term: int) -> None:
        """Append a claim or its renewal."""
        value = codec.encode_claim(codec.Claim(holder, epoch, term))
        self.append(ledger.CLAIM_KEY, value)

    def test_raised_token_belongs_to_the_same_claim(self):
        """Whether the claim was renewed meanwhile or not."""
        self.claim("a 1", 0, 1)
        self.append("w/w1", b"")
        self.claim("a 1", 0, 1)
        self.append("w/w1", b"")
        names = {self.claims.name_of(token) for token in (1, 2, 3, 4)}
        self.assertEqual(names, {"a 1 0"})

    def test_claim_of_a_process_that_claims_again_is_another_one(self):
        """It has lost what it knew."""
        self.claim("a 1", 0, 1)
        self.claim("b 1", 1, 2)
        self.claim("a 1", 2, 3)
        names = [self.claims.name_of(token) for token in (1, 2, 3)]
        self.assertEqual(names, ["a 1 0", "b 1 1", "a 1 2"])

    def test_token_without_a_claim_has_no_name(self):
        """Orders of tests name no token."""
        self.append("w/w1", b"")
        self.assertEqual(self.claims.name_of(0), "")
        self.assertEqual(self.claims.name_of(1), "")


class DistantWorkerTest(unittest.IsolatedAsyncioTestCase):
    """A worker that lists an end is reachable over a slow link."""

    async def asyncSetUp(self):
        """Let a worker list an end as done for three seconds."""
        self.clock = clocks.FakeClock()
        self.fleet = fleet.FakeFleet(self.clock, datetime.timedelta(seconds=1))
        self.fleet.add("w1")
        worker = self.fleet.workers_by_id["w1"]
        worker.runs_by_task["j.0.0.0"] = fleet.FakeRun(
            1, self.clock.monotonic(), None, 0
        )
        worker.end("j.0.0.0", fleets.End.DONE)
        self.fleet.add("w2")
        await self.clock.advance(datetime.timedelta(seconds=3))

    def start(self) -> listed_ends.StartBesideEnds:
        """Start the task on the other worker."""
        order = fleets.StartOrder("j.0.0.0", 2, "", 1000, 1)
        worker = self.fleet.workers_by_id["w2"]
        listed = self.fleet.listed_ends
        listed.record_contact(1)
        listed.record_start(order, worker, self.clock.monotonic())
        return listed.starts[-1]

    async def test_end_counts_over_a_fast_link(self):
        self.fleet.listed_ends.record_contact(1)
        await self.clock.advance(datetime.timedelta(seconds=3))
        self.assertEqual(self.start().completions(), 1)

    async def test_end_counts_over_a_slow_link_once_it_was_answered(self):
        self.fleet.listed_ends.distant_workers = {"w1"}
        self.assertEqual(self.start().completions(), 0)
        worker = self.fleet.workers_by_id["w1"]
        self.fleet.listed_ends.record_answer(worker, 1)
        await self.clock.advance(datetime.timedelta(seconds=1))
        self.assertEqual(self.start().completions(), 1)
