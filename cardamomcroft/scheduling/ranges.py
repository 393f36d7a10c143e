"""Sets of numbers that are mostly consecutive."""

import bisect
import collections.abc
import typing

Pairs = tuple[tuple[int, int], ...]  # first and last number of each range


class Ranges(collections.abc.Collection[int]):
    """A growing set of numbers, kept as sorted ranges that don't touch."""

    __slots__ = ("_count", "_firsts", "_lasts")

    def __init__(
        self, pairs: collections.abc.Iterable[typing.Sequence[int]] = ()
    ) -> None:
        """Create a set of the ranges with these first and last numbers."""
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self._count = 0
        for first, last in pairs:
            self.add_range(first, last)

    def add(self, number: int) -> None:
        """Add a number."""
        self.add_range(number, number)

    def add_range(self, first: int, last: int) -> None:
        """Add all numbers from ``first`` to ``last``, which is included."""
        begin = bisect.bisect_left(self._lasts, first - 1)
        end = bisect.bisect_right(self._firsts, last + 1)
        if begin < end:
            first = min(first, self._firsts[begin])
            last = max(last, self._lasts[end - 1])
        known = zip(
            self._firsts[begin:end], self._lasts[begin:end], strict=True
        )
        self._count += last - first + 1 - sum(b - a + 1 for a, b in known)
        self._firsts[begin:end] = [first]
        self._lasts[begin:end] = [last]

    def pairs(self) -> Pairs:
        """Return the first and last number of each range."""
        return tuple(zip(self._firsts, self._lasts, strict=True))

    def next_missing(self, number: int) -> int:
        """Return the lowest number from ``number`` on that is not there."""
        index = bisect.bisect_right(self._firsts, number) - 1
        if index >= 0 and number <= self._lasts[index]:
            return self._lasts[index] + 1
        return number

    def __contains__(self, number: object) -> bool:
        """Return whether a number is there."""
        return isinstance(number, int) and self.next_missing(number) != number

    def __iter__(self) -> collections.abc.Iterator[int]:
        """Return the numbers in ascending order."""
        for first, last in self.pairs():
            yield from range(first, last + 1)

    def __len__(self) -> int:
        """Return the number of numbers."""
        return self._count


def common(sets: collections.abc.Sequence[Ranges]) -> Ranges:
    """Return the numbers that are in all sets; none if there is no set."""
    if not sets:
        return Ranges()
    found = Ranges(sets[0].pairs())
    for other in sets[1:]:
        found = Ranges(_overlaps(found.pairs(), other.pairs()))
    return found


def _overlaps(
    left: Pairs, right: Pairs
) -> collections.abc.Iterator[tuple[int, int]]:
    """Yield the ranges that are in both, comparing each pair once."""
    i = j = 0
    while i < len(left) and j < len(right):
        first = max(left[i][0], right[j][0])
        last = min(left[i][1], right[j][1])
        if first <= last:
            yield first, last
        if left[i][1] < right[j][1]:
            i += 1
        else:
            j += 1
