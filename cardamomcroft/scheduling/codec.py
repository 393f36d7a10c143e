"""Encode what lasts: submissions, progress, assignments and the claim."""

import dataclasses
import datetime
import json

from cardamomcroft.scheduling import models

_MS = datetime.timedelta(milliseconds=1)


def dump(plain: object) -> bytes:
    """Return compact JSON."""
    return json.dumps(plain, separators=(",", ":")).encode()


def _ms(duration: datetime.timedelta) -> int:
    return round(duration / _MS)


def _queue_to_plain(queue: models.Queue) -> dict:
    plain = {
        "name": queue.name,
        "service": queue.service,
        "priority": queue.priority,
        "attempts": queue.max_attempts,
        "slack": queue.slack_factor,
        "target": _ms(queue.target_latency),
    }
    if queue.advice:
        terms = queue.advice
        plain["advice"] = [
            _ms(terms.decision),
            _ms(terms.period),
            _ms(terms.valid),
        ]
    return plain


def _queue_from_plain(plain: dict) -> models.Queue:
    advice = plain.get("advice")
    return models.Queue(
        plain["name"],
        plain["service"],
        plain["priority"],
        plain["attempts"],
        plain["slack"],
        plain["target"] * _MS,
        models.AdviceTerms(*(value * _MS for value in advice))
        if advice
        else None,
    )


_STEP_DEFAULTS = {
    field.name: field.default
    for field in dataclasses.fields(models.Step)
    if field.default is not dataclasses.MISSING
}


def _step_to_plain(step: models.Step) -> dict:
    plain: dict = {
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
            plain[name] = _ms(value) if is_duration else value
    return plain


def _step_from_plain(plain: dict) -> models.Step:
    fields = dict(plain)
    fields["demand"] = models.Demand(*plain["demand"])
    fields["estimate"] = plain["estimate"] * _MS
    fields["after"] = tuple(plain.get("after", ()))
    if "tail_target" in fields:
        fields["tail_target"] = plain["tail_target"] * _MS
    return models.Step(**fields)


def encode_job(job: models.Job) -> bytes:
    """Return the record of a submission."""
    plain = {
        "queue": _queue_to_plain(job.queue),
        "account": job.account,
        "payload": job.payload,
        "steps": [_step_to_plain(step) for step in job.steps],
        "at": job.submitted_at.timestamp(),
    }
    if job.timetable:
        plain["timetable"] = [
            job.timetable.first_due.timestamp(),
            _ms(job.timetable.interval),
            job.timetable.count,
        ]
    return dump(plain)


def _instant(seconds: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC)


def decode_job(job_id: str, value: bytes) -> models.Job:
    """Read the record of a submission."""
    plain = json.loads(value)
    timetable = None
    if "timetable" in plain:
        first_due, interval, count = plain["timetable"]
        timetable = models.Timetable(
            _instant(first_due), interval * _MS, count
        )
    return models.Job(
        job_id,
        _queue_from_plain(plain["queue"]),
        plain["account"],
        plain["payload"],
        tuple(_step_from_plain(step) for step in plain["steps"]),
        timetable,
        _instant(plain["at"]),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class StepProgress:
    """Hold what lasts of one step of one occurrence."""

    done: frozenset[int] = frozenset()
    failures_by_index: dict[int, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )  # index: (count, run of the last)
    checkpoints_by_index: dict[int, str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Hold what lasts of a job: its state and its steps' progress."""

    state: str
    steps_by_key: dict[tuple[int, int], StepProgress]
    ended_at: float = 0.0


def _done_to_plain(done: frozenset[int]) -> str:
    bits = 0
    for index in done:
        bits |= 1 << index
    return f"{bits:x}"


def _done_from_plain(plain: str) -> frozenset[int]:
    bits = int(plain, 16)
    return frozenset(
        index for index in range(bits.bit_length()) if bits >> index & 1
    )


def encode_progress(progress: Progress) -> bytes:
    """Return the record of a job's progress."""
    steps = {
        f"{occurrence}.{step}": [
            _done_to_plain(value.done),
            {str(k): list(v) for k, v in value.failures_by_index.items()},
            {str(k): v for k, v in value.checkpoints_by_index.items()},
        ]
        for (occurrence, step), value in progress.steps_by_key.items()
    }
    return dump(
        {"state": progress.state, "steps": steps, "at": progress.ended_at}
    )


def decode_progress(value: bytes) -> Progress:
    """Read the record of a job's progress."""
    plain = json.loads(value)
    steps = {}
    for name, (done, failures, checkpoints) in plain["steps"].items():
        occurrence, _, step = name.partition(".")
        steps[int(occurrence), int(step)] = StepProgress(
            _done_from_plain(done),
            {int(k): (v[0], v[1]) for k, v in failures.items()},
            {int(k): v for k, v in checkpoints.items()},
        )
    return Progress(plain["state"], steps, plain["at"])


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """List the runs that a worker may hold."""

    host_port: str
    born_ms: int
    runs_by_task: dict[str, int]


def encode_assignment(assignment: Assignment) -> bytes:
    """Return the record of a worker's runs."""
    return dump(
        [assignment.host_port, assignment.born_ms, assignment.runs_by_task]
    )


def decode_assignment(value: bytes) -> Assignment:
    """Read the record of a worker's runs."""
    host_port, born_ms, runs = json.loads(value)
    return Assignment(host_port, born_ms, runs)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Name the holder of the scheduler's role and how loaded it is."""

    holder: str
    epoch: int  # the offset of the claim; the fencing token
    term: int  # counts the claims
    drain_ms_by_queue: dict[str, int] = dataclasses.field(
        default_factory=dict
    )  # expected wait before a new job can begin


def encode_claim(claim: Claim) -> bytes:
    """Return the record of a claim or of its renewal."""
    return dump(
        [claim.holder, claim.epoch, claim.term, claim.drain_ms_by_queue]
    )


def decode_claim(value: bytes) -> Claim:
    """Read the record of a claim."""
    return Claim(*json.loads(value))


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Say where an instance takes calls from others."""

    address: str  # HOST:PORT
    data_centre: str
    seen_at: float  # Unix time of the record


def encode_peer(peer: Peer) -> bytes:
    """Return the record of an instance."""
    return dump([peer.address, peer.data_centre, peer.seen_at])


def decode_peer(value: bytes) -> Peer:
    """Read the record of an instance."""
    return Peer(*json.loads(value))
