"""Decode records on first access."""

import collections.abc
import typing

Value = typing.TypeVar("Value")


class LazyMap(collections.abc.Mapping[str, Value]):
    """Map names to values that are decoded on first access.

    Every instance reads all records, but most instances need few of them.
    """

    def __init__(
        self, decode: collections.abc.Callable[[str, bytes], Value]
    ) -> None:
        """Decode with ``decode``, given a record's name and bytes."""
        self._decode = decode
        self._raw: dict[str, bytes] = {}
        self._values: dict[str, Value] = {}

    def put(self, name: str, raw: bytes) -> None:
        """Replace a record."""
        self._raw[name] = raw
        self._values.pop(name, None)

    def drop(self, name: str) -> None:
        """Remove a record, if there is one."""
        self._raw.pop(name, None)
        self._values.pop(name, None)

    def __getitem__(self, name: str) -> Value:
        """Return the value; raise KeyError if there is none."""
        if name not in self._values:
            self._values[name] = self._decode(name, self._raw[name])
        return self._values[name]

    def forget_value(self, name: str) -> None:
        """Keep a record, but not its decoded value."""
        self._values.pop(name, None)

    def raw(self, name: str) -> bytes:
        """Return a record as it was put; raise KeyError if there is none."""
        return self._raw[name]

    def size(self, name: str) -> int:
        """Return the bytes of a record; raise KeyError if there is none."""
        return len(self._raw[name])

    def __contains__(self, name: object) -> bool:
        """Return whether there is a record, without decoding it."""
        return name in self._raw

    def __iter__(self) -> collections.abc.Iterator[str]:
        """Return the names."""
        return iter(self._raw)

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._raw)
