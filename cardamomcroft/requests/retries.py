"""Bound retries by verdict, budget, backoff and deadline."""

import datetime
import random

from cardamomcroft.ports import verdict

MAX_TRIES = 4  # per request and instance
INITIAL_BACKOFF = datetime.timedelta(milliseconds=20)
MAX_BACKOFF = datetime.timedelta(milliseconds=500)
RETRIES_PER_FIRST_TRY = 0.2
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limit retries to a share of first tries, as a token bucket does."""

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the retries earned by a first try."""
        self._tokens = min(
            MAX_SAVED_RETRIES, self._tokens + RETRIES_PER_FIRST_TRY
        )

    def spend(self) -> bool:
        """Use up one retry; return whether the budget had one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def may_retry(failure: verdict.Failure, is_idempotent: bool) -> bool:
    """Return whether a retry cannot run a non-idempotent request twice."""
    if failure.verdict is verdict.Verdict.NOT_RUN:
        return True
    return failure.verdict is verdict.Verdict.MAY_HAVE_RUN and is_idempotent


def backoff(tries: int, generator: random.Random) -> datetime.timedelta:
    """Return a jittered delay that doubles with each try."""
    limit = min(MAX_BACKOFF, INITIAL_BACKOFF * 2 ** (tries - 1))
    return limit * generator.uniform(0.5, 1.0)
