"""Callers that invent job ids fill a bounded room, each its own."""

import unittest
from unittest import mock

from cardamomcroft.ports import store
from cardamomcroft.scheduling import cancellations
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness


class UnmatchedCancellationsTest(unittest.TestCase):
    """Cancellations of ids without a submission."""

    def setUp(self):
        """Start without a cancellation."""
        self.unmatched = cancellations.UnmatchedCancellations()

    def put(self, job_id: str, account: str) -> None:
        """Add a cancellation."""
        self.unmatched.put(job_id, codec.Cancellation(account, 1.0))

    @mock.patch.object(cancellations, "MAX_UNMATCHED_PER_ACCOUNT", 2)
    def test_account_that_invents_ids_leaves_room_to_others(self):
        """Only its own calls are refused, and repeats of none."""
        self.put("1", "a")
        self.put("2", "a")
        self.put("2", "a")
        self.assertFalse(self.unmatched.has_room("3", "a"))
        self.assertTrue(self.unmatched.has_room("2", "a"))
        self.assertTrue(self.unmatched.has_room("3", "b"))
        self.unmatched.drop("1")
        self.unmatched.drop("1")
        self.assertTrue(self.unmatched.has_room("3", "a"))

    @mock.patch.object(cancellations, "MAX_UNMATCHED", 2)
    def test_all_accounts_together_are_bounded(self):
        """A load of all records stays short."""
        self.put("1", "a")
        self.put("2", "b")
        self.assertFalse(self.unmatched.has_room("3", "c"))


class LedgerTest(unittest.TestCase):
    """A ledger that reads cancellations before or after a submission."""

    def setUp(self):
        """Start with an empty ledger."""
        self.ledger = ledgers.Ledger()

    def read(self, kind: ledgers.Kind, value: bytes | None) -> list:
        """Read a record of the job x."""
        offset = self.ledger.end_offset
        record = store.Record(offset, kind.key("x"), value)
        page = store.Page((record,), offset + 1)
        return self.ledger.apply(page, harness.seconds(0))

    def test_submission_after_its_cancelling_is_cancelled(self):
        """No query shows a job that nobody submitted."""
        for value in (b"1", codec.encode_cancellation(codec.Cancellation())):
            with self.subTest(value):
                self.setUp()
                update = (ledgers.Kind.CANCELLATION, "x")
                self.assertEqual(self.read(update[0], value), [update])
                self.assertEqual(self.read(update[0], value), [update])
                self.assertIsNone(self.ledger.state("x"))
                self.assertEqual(len(self.ledger.unmatched), 1)
                self.read(ledgers.Kind.SUBMISSION, b"{}")
                self.assertEqual(self.ledger.state("x"), "cancelled")
                self.assertEqual(len(self.ledger.unmatched), 0)
                self.assertEqual(self.read(update[0], value), [])

    def test_cancelling_of_a_known_job_takes_no_room(self):
        """Only ids without a submission count."""
        self.read(ledgers.Kind.SUBMISSION, b"{}")
        self.read(ledgers.Kind.CANCELLATION, b"1")
        self.assertEqual(len(self.ledger.unmatched), 0)
        self.read(ledgers.Kind.SUBMISSION, None)
        self.read(ledgers.Kind.CANCELLATION, None)
        self.assertEqual(self.ledger.cancelled_ids, set())
