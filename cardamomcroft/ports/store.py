"""Define the interface to the platform's store."""

import abc
import collections.abc
import dataclasses
import datetime
import enum


class Stream(enum.Enum):
    """List the ordered streams of keyed records."""

    JOBS = "jobs"
    SERVERS = "servers"
    OPERATOR = "operator"
    INSTANCES = "instances"
    RUNTIMES = "runtimes"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Set a key's newest value; None deletes the key."""

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """An entry at its offset in a stream."""

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """The records read and the offset to read on from."""

    records: tuple[Record, ...]
    end_offset: int
    has_more: bool = False  # the store had more than fits a page


class AppendStatus(enum.Enum):
    """Classify what is known about the effect of an append."""

    APPENDED = "appended"
    CONFLICT = "conflict"  # the stream doesn't end at the expected offset
    FENCED = "fenced"  # a writer with a higher epoch exists
    OUT_OF_SEQUENCE = "out_of_sequence"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """Report an append's status; numbers not returned are -1."""

    status: AppendStatus
    offset: int = -1
    end_offset: int = -1
    expected_sequence: int = -1
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """Identify a fenced writer and the sequence number of its append."""

    name: str
    epoch: int
    sequence: int


class ReadStatus(enum.Enum):
    """Classify why a read returned no page."""

    UNAVAILABLE = "unavailable"
    EXPIRED = "expired"  # the requested records were deleted


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailure:
    """Report a read that returned no page."""

    status: ReadStatus
    detail: str = ""
    is_silent: bool = False  # no answer came in time


# Shows soon after an outage that the store is back. A slow store, which takes
# 0.25 s, must still get through now and then: see ``probe_timeout``.
PROBE_TIMEOUT = datetime.timedelta(milliseconds=400)
PATIENT_PROBE = 10  # each tenth probe has the full time-out


def probe_timeout(
    failures: int, full: datetime.timedelta
) -> datetime.timedelta:
    """Return the time-out of a read after failures in a row."""
    if not failures or failures % PATIENT_PROBE == 0:
        return full
    return min(PROBE_TIMEOUT, full)


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
        """Append all entries or none, if the end and the writer allow it.

        The time-out is for the answer; a large append gets additional time
        for its transfer.
        """

    @abc.abstractmethod
    async def read(
        self,
        stream: Stream,
        offset: int,
        wait: datetime.timedelta,
        timeout: datetime.timedelta,
    ) -> Page | ReadFailure:
        """Return records from the offset on; wait if there are none yet.

        The time-out limits how long no data may arrive, not the transfer.
        """

    @abc.abstractmethod
    async def newest(
        self, stream: Stream, after: str, timeout: datetime.timedelta
    ) -> Page | ReadFailure:
        """Return the newest records of the keys after a key, in their order.

        The end offset is that of the stream: reading on from it replays all
        changes made since. The time-out is as in ``read``.
        """
