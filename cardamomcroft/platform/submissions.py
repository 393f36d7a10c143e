"""Decode the jobs that clients submit."""

import datetime
import json

from cardamomcroft.platform import errors
from cardamomcroft.scheduling import models

# Repetitions included. The record of an end has a bit for each task of its
# step: with more tasks, a list of 500 ends would stop the event loop for long.
MAX_TASKS = 500_000
MAX_STEPS = 500_000
MAX_COUNT = 10**10  # in milliseconds 115 days; no sum or product overflows
_MS = datetime.timedelta(milliseconds=1)


class SubmissionError(Exception):
    """Report an invalid submission, with the reason."""


def _decode_count(data: dict, name: str) -> int:
    value = data.get(name, 0)
    if not isinstance(value, int | float) or value < 0:
        raise SubmissionError(f"{name} must be a non-negative number")
    if value > MAX_COUNT:
        raise SubmissionError(f"{name} must be at most {MAX_COUNT}")
    return int(value)


def _decode_text(data: dict, name: str) -> str:
    value = data.get(name) or ""
    if not isinstance(value, str):
        raise SubmissionError(f"{name} must be text")
    return value


def _decode_step(data: dict, number: int) -> models.Step:
    after = tuple(data.get("After") or ())
    if any(not isinstance(a, int) or not 0 <= a < number for a in after):
        raise SubmissionError("After must list indices of earlier phases")
    target_ms = _decode_count(data, "TargetMs")
    has_budget = data.get("MaxUnavailable") is not None
    label = data.get("Requirements")
    if isinstance(label, list):
        data = data | {"Requirements": label[0] if label else ""}
    return models.Step(
        _decode_count(data, "Count"),
        models.Demand(
            _decode_count(data, "Cpu"),
            _decode_count(data, "MemMb"),
            _decode_count(data, "Gpu"),
        ),
        _decode_count(data, "EstimateMs") * _MS,
        after,
        bool(data.get("Gang")),
        bool(data.get("RackLocal")),
        bool(data.get("Checkpointing")),
        bool(data.get("LongRunning")),
        bool(data.get("Fills")),
        bool(data.get("Speculative")),
        _decode_text(data, "Requirements"),
        _decode_text(data, "Affinity"),
        _decode_count(data, "AntiAffinity"),
        _decode_text(data, "Image"),
        target_ms * _MS if target_ms else None,
        _decode_count(data, "MaxUnavailable") if has_budget else None,
    )


def decode(
    job_id: str,
    queue: models.Queue,
    account: str,
    body: bytes,
    now: datetime.datetime,
) -> models.Job:
    """Decode a submission; raise SubmissionError if it is invalid."""
    try:
        data = json.loads(body)
        steps = tuple(
            _decode_step(step, number)
            for number, step in enumerate(data["Phases"])
        )
        timetable = None
        if _decode_count(data, "RepeatCount"):
            first_due = datetime.datetime.fromtimestamp(
                data["StartAtMs"] / 1000, datetime.UTC
            )
            count = _decode_count(data, "RepeatCount")
            interval = _decode_count(data, "IntervalMs") * _MS
            timetable = models.Timetable(first_due, interval, count)
            timetable.due(count)  # raises OverflowError if it has no date
        payload = data.get("Spec", "")
    except errors.CALL_ERRORS as error:
        raise SubmissionError(repr(error)) from None
    if not steps or not isinstance(payload, str):
        raise SubmissionError("Phases must not be empty and Spec must be text")
    job = models.Job(job_id, queue, account, payload, steps, timetable, now)
    step_count = len(steps) * job.occurrences
    task_count = sum(step.width for step in steps) * job.occurrences
    if step_count > MAX_STEPS or task_count > MAX_TASKS:
        raise SubmissionError(
            f"{task_count} tasks in {step_count} phases are over the limit of"
            f" {MAX_TASKS} tasks in {MAX_STEPS} phases, repetitions included"
        )
    return job
