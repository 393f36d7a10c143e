"""Encode the stored records of jobs, workers, instances and the claim."""

import dataclasses
import datetime
import json

from cardamomcroft.scheduling import index_set
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ranges

MAX_RECORD_BYTES = 262_144  # the store refuses larger ones
# Version 0.3.0 does not know ranges and would run all that they hold again.
# It takes a record with them for that of a job that ended in this year.
_STATE_FOR_OLD_READERS = "completed"
_ENDED_AT_FOR_OLD_READERS = 253_370_764_800.0  # 9999
# Names no task, so that versions up to 0.3 ignore the run.
_GIVEN_UP_PREFIX = "?"
_LATE_STARTS = "?late"  # no task either
_MS = datetime.timedelta(milliseconds=1)


def dump(data: object) -> bytes:
    """Return compact JSON."""
    return json.dumps(data, separators=(",", ":")).encode()


def _ms(duration: datetime.timedelta) -> int:
    return round(duration / _MS)


def _queue_to_dict(queue: models.Queue) -> dict:
    data = {
        "name": queue.name,
        "service": queue.service,
        "priority": queue.priority,
        "attempts": queue.max_attempts,
        "slack": queue.slack_factor,
        "target": _ms(queue.target_latency),
    }
    if queue.advice:
        terms = queue.advice
        data["advice"] = [
            _ms(terms.decision),
            _ms(terms.period),
            _ms(terms.valid),
        ]
    return data


def _queue_from_dict(data: dict) -> models.Queue:
    advice = data.get("advice")
    return models.Queue(
        data["name"],
        data["service"],
        data["priority"],
        data["attempts"],
        data["slack"],
        data["target"] * _MS,
        models.AdviceTerms(*(value * _MS for value in advice))
        if advice
        else None,
    )


_STEP_DEFAULTS = {
    field.name: field.default
    for field in dataclasses.fields(models.Step)
    if field.default is not dataclasses.MISSING
}


def _step_to_dict(step: models.Step) -> dict:
    data: dict = {
        "width": step.width,
        "demand": [
            step.demand.milli_cores,
            step.demand.memory_mb,
            step.demand.accelerators,
        ],
        "estimate": _ms(step.estimate),
    }
    for name, default in _STEP_DEFAULTS.items():
        value = getattr(step, name)
        if value != default:
            is_duration = isinstance(value, datetime.timedelta)
            data[name] = _ms(value) if is_duration else value
    return data


def _step_from_dict(data: dict) -> models.Step:
    fields = dict(data)
    fields["demand"] = models.Demand(*data["demand"])
    fields["estimate"] = data["estimate"] * _MS
    fields["after"] = tuple(data.get("after", ()))
    if "tail_target" in fields:
        fields["tail_target"] = data["tail_target"] * _MS
    return models.Step(**fields)


def encode_job(job: models.Job) -> bytes:
    """Encode the record of a submission."""
    data = {
        "queue": _queue_to_dict(job.queue),
        "account": job.account,
        "payload": job.payload,
        "steps": [_step_to_dict(step) for step in job.steps],
        "at": job.submitted_at.timestamp(),
    }
    if job.timetable:
        data["timetable"] = [
            job.timetable.first_due.timestamp(),
            _ms(job.timetable.interval),
            job.timetable.count,
        ]
    return dump(data)


def _instant(seconds: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC)


def decode_job(job_id: str, value: bytes) -> models.Job:
    """Decode the record of a submission."""
    data = json.loads(value)
    timetable = None
    if "timetable" in data:
        first_due, interval, count = data["timetable"]
        timetable = models.Timetable(
            _instant(first_due), interval * _MS, count
        )
    return models.Job(
        job_id,
        _queue_from_dict(data["queue"]),
        data["account"],
        data["payload"],
        tuple(_step_from_dict(step) for step in data["steps"]),
        timetable,
        _instant(data["at"]),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Cancellation:
    """Record of a job's cancelling; empty if an old version wrote it."""

    account: str = ""
    requested_at: float | None = None  # Unix time


def encode_cancellation(cancellation: Cancellation) -> bytes:
    """Encode the record of a job's cancelling."""
    return dump([cancellation.account, cancellation.requested_at])


def decode_cancellation(value: bytes) -> Cancellation:
    """Decode the record of a job's cancelling."""
    data = json.loads(value)
    return Cancellation(*data) if isinstance(data, list) else Cancellation()


@dataclasses.dataclass(frozen=True, slots=True)
class StepProgress:
    """Durable state of one step of one occurrence."""

    done: index_set.IndexSet = dataclasses.field(
        default_factory=index_set.IndexSet
    )
    # By index: the failures, the run number of the last, and the numbers of
    # all, which version 0.3.0 skips.
    failures_by_index: dict[int, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    checkpoints_by_index: dict[int, str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Durable state of a job and its steps."""

    state: str
    steps_by_key: dict[tuple[int, int], StepProgress]
    ended_at: float = 0.0
    # Further steps that are done: the ranges of their occurrences, by number.
    done_by_step: dict[int, ranges.Pairs] = dataclasses.field(
        default_factory=dict
    )


def record_bytes(key: str, value: bytes | None) -> int:
    """Return the size that the store compares with MAX_RECORD_BYTES."""
    return 1 + len(key.encode()) + len(value or b"")


def encode_progress(progress: Progress) -> bytes:
    """Encode the record of a job's progress.

    Without ranges it has the form that version 0.3.0 reads.
    """
    steps = {
        f"{occurrence}.{step}": [
            value.done.to_hex(),
            {str(k): list(v) for k, v in value.failures_by_index.items()},
            {str(k): v for k, v in value.checkpoints_by_index.items()},
        ]
        for (occurrence, step), value in progress.steps_by_key.items()
    }
    data = {"state": progress.state, "steps": steps, "at": progress.ended_at}
    if progress.done_by_step:
        data["true"] = [progress.state, progress.ended_at]
        data["done"] = {
            str(step): pairs for step, pairs in progress.done_by_step.items()
        }
        data["state"] = _STATE_FOR_OLD_READERS
        data["at"] = _ENDED_AT_FOR_OLD_READERS
    return dump(data)


def decode_progress(value: bytes) -> Progress:
    """Decode the record of a job's progress."""
    data = json.loads(value)
    steps = {}
    for name, (done, failures, checkpoints) in data["steps"].items():
        occurrence, _, step = name.partition(".")
        steps[int(occurrence), int(step)] = StepProgress(
            index_set.IndexSet.from_hex(done),
            {int(k): tuple(v) for k, v in failures.items()},
            {int(k): v for k, v in checkpoints.items()},
        )
    state, ended_at = data.get("true", (data["state"], data["at"]))
    done_by_step = {
        int(step): tuple((first, last) for first, last in pairs)
        for step, pairs in data.get("done", {}).items()
    }
    return Progress(state, steps, ended_at, done_by_step)


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Record of the runs that a worker may have."""

    host_port: str
    born_ms: int  # 0 while orders for a former incarnation may act
    runs_by_task: dict[str, int]
    # Given up while the worker did not answer; it may list their ends.
    given_up_by_task: dict[str, int] = dataclasses.field(default_factory=dict)
    has_late_starts: bool = False  # without an answer, to be fenced


def encode_assignment(assignment: Assignment) -> bytes:
    """Encode the record of a worker's runs."""
    runs_by_name = assignment.runs_by_task | {
        _GIVEN_UP_PREFIX + task: run
        for task, run in assignment.given_up_by_task.items()
    }
    if assignment.has_late_starts:
        runs_by_name[_LATE_STARTS] = 1
    return dump([assignment.host_port, assignment.born_ms, runs_by_name])


def decode_assignment(value: bytes) -> Assignment:
    """Decode the record of a worker's runs."""
    host_port, born_ms, runs_by_name = json.loads(value)
    runs_by_task, given_up_by_task = {}, {}
    has_late_starts = bool(runs_by_name.pop(_LATE_STARTS, 0))
    for name, run in runs_by_name.items():
        if name.startswith(_GIVEN_UP_PREFIX):
            given_up_by_task[name.removeprefix(_GIVEN_UP_PREFIX)] = run
        else:
            runs_by_task[name] = run
    return Assignment(
        host_port, born_ms, runs_by_task, given_up_by_task, has_late_starts
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Record of the scheduler's role: its holder and forecast waits."""

    holder: str
    epoch: int  # the offset of the claim; the fencing token is one more
    term: int  # counts the claims
    wait_ms_by_queue: dict[str, int] = dataclasses.field(
        default_factory=dict
    )  # expected wait before a new job can begin


def encode_claim(claim: Claim) -> bytes:
    """Encode the record of a claim or of its renewal."""
    return dump(
        [claim.holder, claim.epoch, claim.term, claim.wait_ms_by_queue]
    )


def decode_claim(value: bytes) -> Claim:
    """Decode the record of a claim."""
    return Claim(*json.loads(value))


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Record of an instance: where it accepts peer calls, and its size."""

    address: str  # HOST:PORT
    data_centre: str
    seen_at: float  # Unix time of the record
    cores: float = 1.0  # processor that it may use
    memory_mb: int = 0  # that it may use; 0 if unknown


def encode_peer(peer: Peer) -> bytes:
    """Encode the record of an instance."""
    return dump(list(dataclasses.astuple(peer)))


def decode_peer(value: bytes) -> Peer:
    """Decode the record of an instance; ignore fields of later versions."""
    return Peer(*json.loads(value)[: len(dataclasses.fields(Peer))])
