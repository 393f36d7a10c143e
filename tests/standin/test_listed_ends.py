"""Fencing tokens are traced to the claims that they belong to."""

import unittest

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
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
