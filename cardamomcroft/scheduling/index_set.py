"""Sets of task indexes that cost a bit a task."""

import collections.abc
import typing


class IndexSet(collections.abc.MutableSet[int]):
    """A set of small non-negative numbers, kept as the bits of one number.

    A step may have hundreds of thousands of tasks. Iteration is ascending.
    """

    __slots__ = ("_bits",)

    def __init__(self, indexes: collections.abc.Iterable[int] = ()) -> None:
        """Create a set of the given indexes."""
        self._bits = 0
        self.update(indexes)

    @classmethod
    def _of_bits(cls, bits: int) -> typing.Self:
        created = cls()
        created._bits = bits
        return created

    @classmethod
    def full(cls, width: int) -> typing.Self:
        """Return the indexes below ``width``."""
        return cls._of_bits((1 << width) - 1)

    @classmethod
    def from_hex(cls, text: str) -> typing.Self:
        """Return the set of the bits that are set in a number.

        Raise ValueError if the text is no hexadecimal number.
        """
        bits = int(text, 16)
        if bits < 0:
            raise ValueError(f"negative: {text}")
        return cls._of_bits(bits)

    def to_hex(self) -> str:
        """Return the number whose bits are the indexes."""
        return f"{self._bits:x}"

    def copy(self) -> typing.Self:
        """Return a set that changes independently."""
        return self._of_bits(self._bits)

    def add(self, value: int) -> None:
        """Add an index."""
        self._bits |= 1 << value

    def discard(self, value: int) -> None:
        """Remove an index if it is there."""
        if value in self:
            self._bits ^= 1 << value

    def clear(self) -> None:
        """Remove all indexes."""
        self._bits = 0

    def update(self, indexes: collections.abc.Iterable[int]) -> None:
        """Add indexes."""
        for index in indexes:
            self.add(index)

    def __contains__(self, value: object) -> bool:
        """Return whether an index is there."""
        is_index = isinstance(value, int) and value >= 0
        return is_index and bool(self._bits >> value & 1)

    def __iter__(self) -> collections.abc.Iterator[int]:
        """Return the indexes as they are now, in ascending order."""
        flags = f"{self._bits:b}"[::-1]
        index = flags.find("1")
        while index >= 0:
            yield index
            index = flags.find("1", index + 1)

    def __len__(self) -> int:
        """Return the number of indexes."""
        return self._bits.bit_count()

    def __sub__(self, other: collections.abc.Set) -> typing.Self:
        """Return the indexes that ``other`` lacks."""
        if isinstance(other, IndexSet):
            return self._of_bits(self._bits & ~other._bits)
        return super().__sub__(other)

    def __repr__(self) -> str:
        """Return the indexes as they would be given."""
        return f"IndexSet({list(self)})"
