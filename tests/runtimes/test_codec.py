"""Records of kinds: round trip, size, and damage."""

import json
import random
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.runtimes import codec
from cardamomcroft.runtimes import kinds
from cardamomcroft.scheduling import codec as records
from tests.runtimes import test_kinds

CHECKED = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None
)
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-3, 200)
    | strategies.floats()
    | strategies.sampled_from(["leaf", "queue", "a"]),
    lambda inner: strategies.lists(inner, max_size=5),
    max_leaves=20,
)


class CodecTest(unittest.TestCase):
    """A successor estimates as its predecessor did."""

    def setUp(self):
        """Learn from finished and stopped runs of three accounts."""
        self.known = kinds.Kinds()
        source = random.Random(1)
        for number in range(90):
            about = test_kinds.subject("abc"[number % 3], 5.0)
            time_s = 9 * source.lognormvariate(0, 0.5)
            if number % 5:
                self.known = self.known.observe(about, time_s, 1.0)
            else:
                self.known = self.known.observe_stopped(about, time_s, 1.0)

    def test_round_trip_keeps_the_estimates(self):
        """Rounded weights must not shift a quantile."""
        copy = kinds.Kinds()
        for key, kind in self.known.by_key.items():
            decoded_key, decoded = codec.decode(codec.encode(key, kind))
            self.assertEqual(decoded_key, key)
            copy = copy.replace(key, decoded)
        for share in (0.5, 0.9, 0.99):
            found = [
                known.estimate(test_kinds.subject("a")).quantile_s(share)
                for known in (self.known, copy)
            ]
            self.assertAlmostEqual(found[0] / found[1], 1, delta=0.02)

    def test_largest_record_fits(self):
        """Forty accounts with widely varying run times."""
        source = random.Random(2)
        known = kinds.Kinds()
        for number in range(4_000):
            about = test_kinds.subject(f"account {number % 50}")
            time_s = 10 * source.lognormvariate(0, 3)
            known = known.observe(about, time_s, 1.0)
        for key, kind in known.by_key.items():
            size = records.record_bytes(
                codec.record_key(key), codec.encode(key, kind)
            )
            self.assertLess(size, records.MAX_RECORD_BYTES / 4)

    def test_long_names_make_short_keys(self):
        """The store takes keys of 255 bytes at most."""
        key = (kinds.LEAF, "ä" * 300, "q", "s", "i" * 300)
        self.assertLess(len(codec.record_key(key).encode()), 64)

    def test_fields_of_later_versions_are_ignored(self):
        """A newer instance may add fields at the end."""
        key, kind = next(iter(self.known.by_key.items()))
        data = json.loads(codec.encode(key, kind))
        data[3] = [[*row, "more"] for row in data[3]]
        self.assertEqual(codec.decode(records.dump([*data, "more"]))[0], key)

    def test_damaged_records_are_refused(self):
        """A wrong weight would distort every estimate."""
        row = ["a", [4, 1.0], []]
        for data in (
            [2, ["queue", "q"], "a", [row]],
            [1, ["queue"], "a", [row]],
            [1, ["cell", "q"], "a", [row]],
            [1, ["queue", "q"], "a", [["a", [4], []]]],
            [1, ["queue", "q"], "a", [["a", [4, -1.0], []]]],
            [1, ["queue", "q"], "a", [["a", [4, 1e300], []]]],
            [1, ["queue", "q"], "a", [["a", [4, 1.0, 3, 1.0], []]]],
            [1, ["queue", "q"], "a", [["a", [4000, 1.0], []]]],
            [1, ["queue", "q"], "a", [row] * 41],
            {},
        ):
            with self.assertRaises(ValueError):
                codec.decode(records.dump(data))
        for raw in (b"", b"\xff", b"[1", b"[" * 100_000):
            with self.assertRaises(ValueError):
                codec.decode(raw)

    @CHECKED
    @hypothesis.given(JSON, JSON)
    def test_any_record_is_decoded_or_refused(self, names, rows):
        """No record of the stream may raise another error."""
        for data in (
            names,
            [1, names, "a", rows],
            [1, ["queue", "q"], "a", rows],
        ):
            try:
                codec.decode(records.dump(data))
            except ValueError:
                pass


if __name__ == "__main__":
    unittest.main()
