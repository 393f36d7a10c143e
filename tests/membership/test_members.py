"""Test what is kept of the digests of peers."""

import dataclasses
import unittest

from cardamomcroft.membership import digests
from cardamomcroft.membership import members
from cardamomcroft.ports import clock as clocks
from tests import harness

DIGEST = digests.Digest(
    "entry-2", "entry-2@0", harness.REGION, "dahab", 7, 3, False, False
)


class FactsTest(unittest.TestCase):
    """Receive the facts of a peer in several digests."""

    def setUp(self) -> None:
        """Receive two parts."""
        self.membership = members.Membership(
            "entry-1",
            harness.REGION,
            clocks.FakeClock(),
            harness.seconds(3),
            harness.seconds(20),
        )
        for facts in (("a", "b"), ("b", "c")):
            self.receive(facts=facts)

    def receive(self, **changes) -> None:
        """Receive a digest."""
        self.membership.record_digest(dataclasses.replace(DIGEST, **changes))

    def test_facts_of_earlier_digests_are_kept_in_order(self):
        self.assertEqual(("a", "b", "c"), self.membership.facts())

    def test_facts_end_when_their_sender_reads_the_log(self):
        self.receive(log_reachable=True)
        self.assertEqual((), self.membership.facts())

    def test_facts_end_with_the_incarnation_that_sent_them(self):
        self.receive(incarnation="entry-2@1", facts=("d",))
        self.assertEqual(("d",), self.membership.facts())
