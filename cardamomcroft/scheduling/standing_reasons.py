"""Determine why nothing of a job runs, without I/O or clocks."""

import collections
import collections.abc
import dataclasses
import datetime
import enum

from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import runs

_MS = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta()


class Reason(enum.Enum):
    """Reasons why a job stands."""

    RECORD_AWAITED = "record_awaited"  # of the start, or of the claim
    ORDER_QUEUED = "order_queued"  # another start to the worker comes first
    END_AWAITED = "end_awaited"  # of an earlier run that was given up
    VIEW_AWAITED = "view_awaited"  # of the operator's records
    START_NOT_SENT = "start_not_sent"  # recorded, yet nothing sends it
    START_UNANSWERED = "start_unanswered"
    LEASE_AWAITED = "lease_awaited"  # of a worker that does not answer
    RUN_STOPPING = "run_stopping"
    INHERITED_UNHEARD = "inherited_unheard"
    ADVICE_AWAITED = "advice_awaited"
    RESTING = "resting"  # its tasks fail soon after each start
    BEING_FREED = "being_freed"  # runs are preempted for it
    NO_WORKER = "no_worker"  # none that is listed is suitable or large enough
    NO_ROOM = "no_room"
    UNUSABLE_WORKERS = "unusable_workers"  # room only on such
    EVACUATED = "evacuated"  # room only in evacuated data centres
    HELD_WORKERS = "held_workers"  # room only on those kept for other work
    RACK_AWAITED = "rack_awaited"  # room only in other racks, or over several
    ROOM_UNUSED = "room_unused"  # there is room, yet no round has used it
    NOT_EXAMINED = "not_examined"  # by the bound on searches for room
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """A reason with the inputs that decided it; None where none applies."""

    reason: Reason
    worker_id: str | None = None
    task: str | None = None
    run: int | None = None
    phase: str | None = None
    run_age_s: float | None = None  # since its assignment, or its start
    stop_reason: str | None = None
    silent_s: float | None = None
    lease_left_s: float | None = None
    confirmed_s: float | None = None  # age of the newest durable record
    # Of suitable workers, by what they could take.
    workers: int | None = None
    usable: int | None = None
    held: int | None = None  # for other steps, with room
    headroom: int | None = None  # for urgent jobs, with room
    avoided: int | None = None
    silent: int | None = None
    unheard: int | None = None  # no inventory yet
    draining: int | None = None
    evacuated: int | None = None
    # Tasks for which there is room.
    fitting: int | None = None
    fitting_held: int | None = None
    fitting_unusable: int | None = None
    wanted: int | None = None

    def fields(self) -> dict[str, object]:
        """Return what applies, as fields of a log line."""
        pairs = {
            field.name: getattr(self, field.name)
            for field in dataclasses.fields(self)
        }
        pairs["reason"] = self.reason.value
        return {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in pairs.items()
            if value is not None
        }


def cause_of_runs(
    step: runs.StepState,
    workers_by_id: collections.abc.Mapping[str, runs.Worker],
    now: datetime.timedelta,
    confirmed_at: datetime.timedelta,
) -> Cause | None:
    """Return why none of a step's runs is at work; None if it has no runs.

    Of several runs, the one that keeps the step for longest decides.
    """
    causes = [
        _cause_of_run(run, workers_by_id.get(run.worker_id), now, confirmed_at)
        for run in step.runs_by_index.values()
    ]
    return min(causes, key=_precedence, default=None)


def _precedence(cause: Cause) -> tuple[int, float]:
    return _PRECEDENCE.index(cause.reason), -(cause.lease_left_s or 0)


# Assigned runs come first: they have a place and need nothing to end.
_PRECEDENCE = (
    Reason.START_NOT_SENT,
    Reason.RECORD_AWAITED,
    Reason.ORDER_QUEUED,
    Reason.END_AWAITED,
    Reason.VIEW_AWAITED,
    Reason.LEASE_AWAITED,
    Reason.RUN_STOPPING,
    Reason.INHERITED_UNHEARD,
    Reason.START_UNANSWERED,
    Reason.UNKNOWN,
)
# Of runs that are assigned and whose start has not been sent.
UNSENT = frozenset(_PRECEDENCE[:5])
_REASONS_BY_PHASE = {
    runs.Phase.STARTING: Reason.START_UNANSWERED,
    runs.Phase.UNCERTAIN: Reason.START_UNANSWERED,
    runs.Phase.INHERITED: Reason.INHERITED_UNHEARD,
    runs.Phase.STOPPING: Reason.RUN_STOPPING,
}


def _cause_of_run(
    run: runs.Run,
    worker: runs.Worker | None,
    now: datetime.timedelta,
    confirmed_at: datetime.timedelta,
) -> Cause:
    is_assigned = run.phase is runs.Phase.ASSIGNED
    silent_since = worker.unreachable_since if worker else None
    reason = _REASONS_BY_PHASE.get(run.phase, Reason.UNKNOWN)
    left = None
    if worker is None or worker.runs_by_task.get(run.name) is not run:
        reason = Reason.UNKNOWN
    elif is_assigned:
        reason = _reason_of_assigned(run, worker, now, confirmed_at)
    elif silent_since is not None:
        reason = Reason.LEASE_AWAITED
        left = worker.lease_left(now)
    return Cause(
        reason,
        run.worker_id,
        run.name,
        run.number,
        run.phase.value,
        (now - run.began_at).total_seconds(),
        run.stop_reason or None,
        silent_s=_seconds_since(silent_since, now),
        lease_left_s=None if left is None else left.total_seconds(),
        confirmed_s=_seconds_since(confirmed_at if is_assigned else None, now),
    )


def _reason_of_assigned(
    run: runs.Run,
    worker: runs.Worker,
    now: datetime.timedelta,
    confirmed_at: datetime.timedelta,
) -> Reason:
    """Return what an assigned run waits for before its start is sent."""
    max_age = cluster_state.MAX_CONFIRMATION_AGE
    if confirmed_at <= run.began_at or now - confirmed_at >= max_age:
        return Reason.RECORD_AWAITED
    if run.awaits_end:
        return Reason.END_AWAITED
    if any(other.awaits_view for other in worker.runs_by_task.values()):
        return Reason.VIEW_AWAITED
    phases = {other.phase for other in worker.runs_by_task.values()}
    if runs.Phase.STARTING in phases:
        return Reason.ORDER_QUEUED
    return Reason.START_NOT_SENT


def _seconds_since(
    since: datetime.timedelta | None, now: datetime.timedelta
) -> float | None:
    """Return the seconds since a time that may be unknown."""
    return None if since is None else (now - since).total_seconds()


def phases_of(step: runs.StepState) -> dict[str, int]:
    """Count a step's tasks by what they wait for."""
    phases = collections.Counter(
        run.phase.value for run in step.runs_by_index.values()
    )
    if step.waiting:
        phases["waiting"] = len(step.waiting)
    return dict(phases)
