"""Define the immutable state that the log folds into."""

import dataclasses
import datetime
import enum

import immutables

from cardamomcroft.log import records
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents

REPEATED_RECORD = "repeated record"  # the first copy decided the result
EARLIEST = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


class Phase(enum.Enum):
    """List the states of a job; values match the job chart."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDING = "ending"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    FAILED = "failed"

    @property
    def is_final(self) -> bool:
        """Return whether the phase has no transitions out of it."""
        return self in FINAL_PHASES


FINAL_PHASES = frozenset({Phase.COMPLETED, Phase.CANCELLED, Phase.FAILED})


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsEntry:
    """Store a settings document with the offset that set it."""

    revision: int
    content: str
    document: documents.Document


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """Record a change of settings, accepted or not."""

    offset: int
    at: datetime.datetime
    actor: str
    before: str | None
    after: str | None
    accepted: bool
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FormerAttempt:
    """Describe a settled attempt whose results may still arrive."""

    attempt: int
    placements: tuple[records.Placement, ...]
    finished: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Describe a job as of the applied offset of the log.

    No transition depends on ``former``, ``results_of`` and
    ``failed_workers``, which instances of earlier versions lack.
    """

    job_id: str
    account: str
    caller: str
    key: str
    region: str
    spec: documents.JobSpec
    submitted_offset: int
    submitted_at: datetime.datetime
    phase: Phase = Phase.QUEUED
    attempt: int = 0
    starts: int = 0
    token: int = 0
    failures: int = 0
    placements: tuple[records.Placement, ...] = ()
    finished: frozenset[int] = frozenset()
    ended: frozenset[int] = frozenset()
    failed_on: frozenset[str] = frozenset()
    cancel_requested: bool = False
    checkpoint_s: float = 0.0
    detail: str = ""
    started_at: datetime.datetime | None = None
    former: FormerAttempt | None = None
    results_of: int = 0
    failed_workers: frozenset[str] = frozenset()

    def task(self, member: int) -> messages.TaskId:
        """Return the id of a member in the current attempt."""
        return messages.TaskId(self.job_id, self.attempt, member)

    def former_task(self, member: int) -> messages.TaskId:
        """Return the id of a member in the former attempt."""
        return messages.TaskId(self.job_id, self.former.attempt, member)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Identify the scheduler of a region and its epoch."""

    epoch: int
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUse:
    """Describe the request of a caller's key and its outcome."""

    entity_id: str
    at: datetime.datetime
    outcome: verdict.Verdict = verdict.Verdict.MAY_HAVE_RUN
    answer: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerKey:
    """Identify an idempotency key within its account and caller."""

    account: str
    caller: str
    key: str


def _empty() -> immutables.Map:
    return immutables.Map()


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Combine the effects of all records up to the applied offset."""

    applied: int = -1
    at: datetime.datetime = EARLIEST
    settings: immutables.Map[str, SettingsEntry] = dataclasses.field(
        default_factory=_empty
    )
    audit: immutables.Map[str, tuple[AuditEntry, ...]] = dataclasses.field(
        default_factory=_empty
    )
    jobs: immutables.Map[str, Job] = dataclasses.field(default_factory=_empty)
    final_jobs: immutables.Map[int, str] = dataclasses.field(
        default_factory=_empty
    )
    claims: immutables.Map[str, Claim] = dataclasses.field(
        default_factory=_empty
    )
    job_keys: immutables.Map[CallerKey, str] = dataclasses.field(
        default_factory=_empty
    )
    request_keys: immutables.Map[CallerKey, KeyUse] = dataclasses.field(
        default_factory=_empty
    )
    requests: immutables.Map[str, CallerKey] = dataclasses.field(
        default_factory=_empty
    )
    key_order: immutables.Map[int, CallerKey] = dataclasses.field(
        default_factory=_empty
    )
    oldest_key: int = 0
    seen: immutables.Map[str, int] = dataclasses.field(default_factory=_empty)
    seen_at: immutables.Map[int, str] = dataclasses.field(
        default_factory=_empty
    )
    tasks_by_worker: immutables.Map[
        str, immutables.Map[messages.TaskId, int]
    ] = dataclasses.field(default_factory=_empty)
    # Jobs that failed on a worker since a task finished there.
    failed_jobs: immutables.Map[str, frozenset[str]] = dataclasses.field(
        default_factory=_empty
    )
    snapshot_as_of: int = -1
    chunks: tuple[str, int] = ("", 0)

    def evolve(self, **changes) -> "State":
        """Return a copy with the changes."""
        return dataclasses.replace(self, **changes)


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Report whether a record was accepted, and why not."""

    offset: int
    accepted: bool
    reason: str = ""
    entity_id: str = ""
    revision: int = 0
