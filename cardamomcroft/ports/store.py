"""Describe the platform's store as the product uses it."""

import abc
import collections.abc
import dataclasses
import datetime
import enum


class Stream(enum.Enum):
    """Name an ordered stream of keyed records."""

    JOBS = "jobs"
    SERVERS = "servers"
    OPERATOR = "operator"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Set a key's newest value; None drops the key."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Hold an entry at its offset."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Hold the records read and the end of the stream at that moment."""

    records: tuple[Record, ...]
    end_offset: int


class AppendStatus(enum.Enum):
    """Tell what is known about the effect of an append."""

    APPENDED = "appended"
    CONFLICT = "conflict"  # the stream ends elsewhere
    FENCED = "fenced"  # a writer with a higher epoch exists
    OUT_OF_SEQUENCE = "out_of_sequence"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Report an append: its status and the offsets that were returned."""

    status: AppendStatus
    offset: int = -1
    end_offset: int = -1
    expected_sequence: int = -1
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """Identify a fenced writer and its place in the order of its appends."""

    name: str
    epoch: int
    sequence: int


class ReadStatus(enum.Enum):
    """Tell why a read returned no page."""

    UNAVAILABLE = "unavailable"
    EXPIRED = "expired"  # the records asked for were deleted


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailure:
    """Report a read that returned no page."""

    status: ReadStatus
    detail: str = ""


class Store(abc.ABC):
    """Append to and read from the platform's keyed streams."""

    @abc.abstractmethod
    async def append(
        self,
        stream: Stream,
        entries: collections.abc.Sequence[Entry],
        timeout: datetime.timedelta,
        expected_end: int | None = None,
        writer: Writer | None = None,
    ) -> Appended:
        """Append all entries or none, under the conditions given."""

    @abc.abstractmethod
    async def read(
        self,
        stream: Stream,
        offset: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> Page | ReadFailure:
        """Return the records from the offset on, waiting for the first."""

    @abc.abstractmethod
    async def newest(
        self, stream: Stream, timeout: datetime.timedelta
    ) -> Page | ReadFailure:
        """Return the newest record of each key.

        The end offset is that of the first page, so that reading on from it
        replays whatever changed while the pages were read.
        """
