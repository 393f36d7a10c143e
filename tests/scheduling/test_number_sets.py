"""Compact sets of numbers behave as plain sets do."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from cardamomcroft.scheduling import index_set
from cardamomcroft.scheduling import ranges

NUMBERS = strategies.frozensets(strategies.integers(0, 200))
PAIRS = strategies.lists(
    strategies.tuples(strategies.integers(0, 40), strategies.integers(0, 5))
)
settings = hypothesis.settings(derandomize=True, max_examples=300)


class IndexSetTest(unittest.TestCase):
    """A set of the indexes of tasks."""

    @settings
    @hypothesis.given(NUMBERS, NUMBERS, strategies.integers(0, 200))
    def test_behaves_as_a_set(self, left, right, number):
        """Also in comparisons with plain sets."""
        found = index_set.IndexSet(left)
        self.assertEqual(found, left)
        self.assertEqual(list(found), sorted(left))
        self.assertEqual(len(found), len(left))
        self.assertEqual(number in found, number in left)
        self.assertEqual(found - index_set.IndexSet(right), left - right)
        self.assertEqual(found - right, left - right)
        copied = found.copy()
        copied.add(number)
        copied.discard(min(left, default=0))
        self.assertEqual(found, left)
        self.assertEqual(copied, (left | {number}) - {min(left, default=0)})

    @settings
    @hypothesis.given(NUMBERS)
    def test_is_read_from_its_form_in_records(self, numbers):
        """The form is that of version 0.3.0."""
        found = index_set.IndexSet(numbers)
        self.assertEqual(index_set.IndexSet.from_hex(found.to_hex()), numbers)
        bits = sum(1 << number for number in numbers)
        self.assertEqual(found.to_hex(), f"{bits:x}")

    def test_full_set_has_all_indexes(self):
        """Those below the width."""
        self.assertEqual(index_set.IndexSet.full(3), {0, 1, 2})
        self.assertEqual(index_set.IndexSet.full(0), set())


class RangesTest(unittest.TestCase):
    """A set of mostly consecutive numbers."""

    @settings
    @hypothesis.given(PAIRS, PAIRS)
    def test_behaves_as_a_set(self, left, right):
        """Ranges that overlap or touch become one."""
        found, numbers = self.make(left)
        self.assertEqual(list(found), sorted(numbers))
        self.assertEqual(len(found), len(numbers))
        for number in range(50):
            self.assertEqual(number in found, number in numbers)
            missing = next(n for n in range(number, 60) if n not in numbers)
            self.assertEqual(found.next_missing(number), missing)
        pairs = found.pairs()
        for (_, last), (first, _) in itertools.pairwise(pairs):
            self.assertGreater(first, last + 1)
        other, others = self.make(right)
        both = ranges.common([found, other])
        self.assertEqual(list(both), sorted(numbers & others))

    def make(self, pairs) -> tuple[ranges.Ranges, set[int]]:
        """Return ranges of a first number and a length, and their numbers."""
        found = ranges.Ranges()
        numbers: set[int] = set()
        for first, length in pairs:
            found.add_range(first, first + length)
            numbers |= set(range(first, first + length + 1))
        return found, numbers

    def test_no_sets_have_nothing_in_common(self):
        """A job without steps has no occurrence that is done."""
        self.assertEqual(list(ranges.common([])), [])
