"""Order waiting work: by guarantee, priority and deadline.

Answers overload: in plain order of deadlines a job that is late already goes
before those that could still be in time, and makes them late as well.
"""

import collections.abc
import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

# A job ended after three times its objective is worth nothing (brief).
LAST_USE = 3
# Learnt run times change slowly.
OBJECTIVE_AGE = datetime.timedelta(seconds=1)
# In overload whoever comes first is close to its limit: what is left of the
# slack then covers run times that were predicted a little short.
ORDER_SHARE = 0.75


def guaranteed_accounts(
    jobs: collections.abc.Iterable[runs.JobState],
    accelerators_by_account: dict[str, int],
) -> frozenset[str]:
    """Return the accounts whose urgent jobs all fit their guarantee."""
    wanted: dict[str, int] = {}
    for state in jobs:
        if state.job.queue.priority == 0 and not state.final_state:
            account = state.job.account
            total = sum(
                step.demand.accelerators * step.width
                for step in state.job.steps
            )
            wanted[account] = wanted.get(account, 0) + total
    return frozenset(
        account
        for account, total in wanted.items()
        if total <= accelerators_by_account.get(account, 0)
    )


def is_useless(
    state: runs.JobState,
    now: datetime.timedelta,
    objective: datetime.timedelta,
) -> bool:
    """Tell whether the job ends too late to be of use."""
    if state.job.is_lasting or state.job.timetable:
        return False
    return now > state.accepted_at + objective * LAST_USE


def refresh_forecast(
    state: runs.JobState,
    now: datetime.timedelta,
    durations: estimates.Durations,
) -> None:
    """Work out anew by when a job has to begin, at most once a second."""
    if now >= state.objective_valid_until:
        state.objective = durations.objective(state.job)
        state.slack = state.objective - durations.chain(state.job)
        state.objective_valid_until = now + OBJECTIVE_AGE


def is_behind(
    state: runs.JobState, now: datetime.timedelta, share: float = 1.0
) -> bool:
    """Tell whether a job that has not begun has used up its slack."""
    if state.job.is_lasting or state.job.timetable or state.is_start_recorded:
        return False
    return now > state.accepted_at + state.slack * share


def sort_key(
    state: runs.JobState,
    now: datetime.timedelta,
    guaranteed: frozenset[str],
    durations: estimates.Durations,
) -> tuple:
    """Return a key that sorts the most urgent job first."""
    queue = state.job.queue
    refresh_forecast(state, now, durations)
    objective = state.objective
    is_guaranteed = queue.priority == 0 and state.job.account in guaranteed
    return (
        not is_guaranteed,
        not state.job.is_lasting,
        is_useless(state, now, objective),
        queue.priority,
        is_behind(state, now, ORDER_SHARE),
        state.accepted_at + objective,
    )
