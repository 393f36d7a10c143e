"""Decode the jobs that clients submit."""

import datetime
import json

from cardamomcroft.scheduling import models

_MS = datetime.timedelta(milliseconds=1)


class SubmissionError(Exception):
    """Report an invalid submission, with the reason."""


def _decode_count(data: dict, name: str) -> int:
    value = data.get(name, 0)
    if not isinstance(value, int | float) or value < 0:
        raise SubmissionError(f"{name} must be a non-negative number")
    return int(value)


def _decode_step(data: dict, number: int) -> models.Step:
    after = tuple(data.get("After") or ())
    if any(not isinstance(a, int) or not 0 <= a < number for a in after):
        raise SubmissionError("After must list indices of earlier phases")
    target_ms = _decode_count(data, "TargetMs")
    budget = data.get("MaxUnavailable")
    label = data.get("Requirements") or ""
    if isinstance(label, list):
        label = label[0] if label else ""
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
        label,
        data.get("Affinity") or "",
        _decode_count(data, "AntiAffinity"),
        data.get("Image") or "",
        target_ms * _MS if target_ms else None,
        budget,
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
            timetable = models.Timetable(
                first_due, data["IntervalMs"] * _MS, data["RepeatCount"]
            )
        payload = data.get("Spec", "")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SubmissionError(repr(error)) from None
    if not steps or not isinstance(payload, str):
        raise SubmissionError("Phases must not be empty and Spec must be text")
    return models.Job(job_id, queue, account, payload, steps, timetable, now)
