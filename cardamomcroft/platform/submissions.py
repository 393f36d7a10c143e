"""Decode the jobs that clients submit."""

import datetime
import json

from cardamomcroft.scheduling import models

_MS = datetime.timedelta(milliseconds=1)


class SubmissionError(Exception):
    """Report a submission that cannot be read, with the reason."""


def _count(plain: dict, name: str) -> int:
    value = plain.get(name, 0)
    if not isinstance(value, int | float) or value < 0:
        raise SubmissionError(f"{name} is not a count")
    return int(value)


def _step(plain: dict, number: int) -> models.Step:
    after = tuple(plain.get("After") or ())
    if any(not isinstance(a, int) or not 0 <= a < number for a in after):
        raise SubmissionError("After names no earlier step")
    target_ms = _count(plain, "TargetMs")
    budget = plain.get("MaxUnavailable")
    label = plain.get("Requirements") or ""
    if isinstance(label, list):
        label = label[0] if label else ""
    return models.Step(
        _count(plain, "Count"),
        models.Demand(
            _count(plain, "Cpu"), _count(plain, "MemMb"), _count(plain, "Gpu")
        ),
        _count(plain, "EstimateMs") * _MS,
        after,
        bool(plain.get("Gang")),
        bool(plain.get("RackLocal")),
        bool(plain.get("Checkpointing")),
        bool(plain.get("LongRunning")),
        bool(plain.get("Fills")),
        bool(plain.get("Speculative")),
        label,
        plain.get("Affinity") or "",
        _count(plain, "AntiAffinity"),
        plain.get("Image") or "",
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
    """Read a submission; raise SubmissionError if it is damaged."""
    try:
        plain = json.loads(body)
        steps = tuple(
            _step(step, number) for number, step in enumerate(plain["Phases"])
        )
        timetable = None
        if _count(plain, "RepeatCount"):
            first_due = datetime.datetime.fromtimestamp(
                plain["StartAtMs"] / 1000, datetime.UTC
            )
            timetable = models.Timetable(
                first_due, plain["IntervalMs"] * _MS, plain["RepeatCount"]
            )
        payload = plain.get("Spec", "")
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SubmissionError(repr(error)) from None
    if not steps or not isinstance(payload, str):
        raise SubmissionError("no steps or no payload")
    return models.Job(job_id, queue, account, payload, steps, timetable, now)
