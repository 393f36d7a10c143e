"""Define the records of the log and their encoding."""

import dataclasses
import datetime
import enum
import json

import cattrs.errors
import cattrs.strategies
import expression

from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing

VALIDITY_OFFSETS = 4096  # offsets for which a record id is remembered


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """Replace or remove (None) the document at a path."""

    path: str
    expected_revision: int
    content: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Apply all edits or none."""

    actor: str
    edits: tuple[Edit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """Accept a job once for each caller key."""

    job_id: str
    account: str
    caller: str
    key: str
    region: str
    spec: documents.JobSpec


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled:
    """Ask the owner to end a job."""

    job_id: str
    actor: str


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerClaimed:
    """Claim a region's jobs; the offset becomes the fencing token."""

    region: str
    expected_epoch: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Place a gang member; ``grant`` names the guaranteed cell used.

    ``incarnation`` is the worker's, empty if unknown.
    """

    worker_id: str
    cell: messages.Cell
    grant: str = ""
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GangStarted:
    """Record that all members of an attempt were started.

    With ``results_of`` none was: the record gives the results of that settled
    attempt, which all instances fold as this attempt's.
    """

    job_id: str
    attempt: int
    token: int
    placements: tuple[Placement, ...]
    results_of: int = 0


class EndKind(enum.Enum):
    """How a gang member ended; LOST implies nothing about the job."""

    FINISHED = "finished"
    FAILED = "failed"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskEnd:
    """Record how one gang member ended."""

    task: messages.TaskId
    kind: EndKind
    detail: str = ""
    checkpoint_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TasksEnded:
    """Record the gang members that ended on a worker."""

    worker_id: str
    ends: tuple[TaskEnd, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSettled:
    """Record that no task of an attempt is running any more."""

    job_id: str
    attempt: int
    token: int
    reason: str
    blamed: bool = False
    checkpoint_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestIntended:
    """Record, before dispatch, that a keyed request will be attempted."""

    request_id: str
    account: str
    caller: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """Record the verdict and the answer of a keyed request."""

    request_id: str
    verdict: verdict.Verdict
    answer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordVoided:
    """Reject a record that may still arrive."""

    record_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """One chunk of a snapshot of the state as of an offset."""

    snapshot_id: str
    as_of: int
    index: int
    count: int
    data: str


Body = (
    SettingsChanged
    | JobSubmitted
    | JobCancelled
    | SchedulerClaimed
    | GangStarted
    | TasksEnded
    | AttemptSettled
    | RequestIntended
    | RequestEnded
    | RecordVoided
    | SnapshotChunk
)


# Events at workers; they hold whether or not the log accepts their records.
FACT_BODIES = (GangStarted, TasksEnded, AttemptSettled)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Wrap a body with its identity, author and validity."""

    record_id: str
    author: str
    at: datetime.datetime
    valid_until: int
    body: Body


def _make_converter():
    converter = parsing.make_converter(strict=False)
    cattrs.strategies.configure_tagged_union(Body, converter, tag_name="kind")
    return converter


CONVERTER = _make_converter()


def encode(record: Record) -> str:
    """Encode a record as one line of JSON."""
    return json.dumps(CONVERTER.unstructure(record), separators=(",", ":"))


def decode(payload: str) -> expression.Result[Record, str]:
    """Decode a record; return an error, never raise, if it is invalid."""
    try:
        return expression.Ok(CONVERTER.structure(json.loads(payload), Record))
    except (
        cattrs.errors.BaseValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        return expression.Error(f"unreadable record: {error}")
