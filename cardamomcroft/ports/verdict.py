"""Classify failures by whether the request may have taken effect."""

import dataclasses
import datetime
import enum


class Verdict(enum.Enum):
    """Classify what is known about the effect of a request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Reason(enum.Enum):
    """Classify the cause of a failure."""

    INVALID = "invalid"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    OVERLOADED = "overloaded"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    STALE = "stale"
    LEAVING = "leaving"
    RESTARTED = "restarted"  # the command is for another incarnation
    REMOTE = "remote"


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Describe a failed operation and whether it may have taken effect."""

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after: datetime.timedelta | None = None


def not_run(
    reason: Reason,
    detail: str,
    retry_after: datetime.timedelta | None = None,
) -> Failure:
    """Return a failure that certainly had no effect."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)


def may_have_run(reason: Reason, detail: str) -> Failure:
    """Return a failure whose effect is unknown."""
    return Failure(Verdict.MAY_HAVE_RUN, reason, detail)
