"""Order waiting jobs by guarantee, priority and deadline.

Ordering by deadline alone fails under overload: a job that is already late
precedes those that could still finish in time, and makes them late as well.
"""

import collections.abc
import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

# A job that ends after three times its objective has no value (brief).
FINAL_DEADLINE_FACTOR = 3
# Fields of a key that state a class of urgency; the others order within it.
_CLASS_FIELDS = 4
# Learned run times change slowly, so an objective may be this old.
MAX_OBJECTIVE_AGE = datetime.timedelta(seconds=1)
# Under overload the first job in order is close to its deadline; the rest of
# the slack then covers run times that were predicted slightly too short.
ORDERING_SLACK_SHARE = 0.75


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


def is_past_final_deadline(
    state: runs.JobState,
    now: datetime.timedelta,
    objective: datetime.timedelta,
) -> bool:
    """Return whether the job would end too late to have any value."""
    if state.job.is_lasting or state.job.timetable:
        return False
    return now > state.accepted_at + objective * FINAL_DEADLINE_FACTOR


def refresh_objective(
    state: runs.JobState,
    now: datetime.timedelta,
    durations: estimates.RunTimes,
) -> None:
    """Recompute the objective and slack of a job, at most once a second."""
    if now >= state.objective_valid_until:
        state.objective = durations.objective(state.job)
        state.slack = state.objective - durations.critical_path(state.job)
        state.objective_valid_until = now + MAX_OBJECTIVE_AGE


def is_slack_exhausted(
    state: runs.JobState, now: datetime.timedelta, share: float = 1.0
) -> bool:
    """Return whether an unstarted job has used up a share of its slack."""
    if state.job.is_lasting or state.job.timetable or state.is_start_recorded:
        return False
    return now > state.accepted_at + state.slack * share


def sort_key(
    state: runs.JobState,
    now: datetime.timedelta,
    guaranteed: frozenset[str],
    durations: estimates.RunTimes,
) -> tuple:
    """Return a key that sorts the most urgent job first."""
    queue = state.job.queue
    refresh_objective(state, now, durations)
    objective = state.objective
    is_guaranteed = queue.priority == 0 and state.job.account in guaranteed
    return (
        not is_guaranteed,
        not state.job.is_lasting,
        is_past_final_deadline(state, now, objective),
        queue.priority,
        is_slack_exhausted(state, now, ORDERING_SLACK_SHARE),
        state.accepted_at + objective,
    )


def urgency_class(key: tuple) -> tuple:
    """Return what a key has in common with those of equally urgent jobs."""
    return key[:_CLASS_FIELDS]


def as_submitted_later(key: tuple, delay: datetime.timedelta) -> tuple:
    """Return a job's key as if it were submitted later, with slack left."""
    *urgency, _, deadline = key
    return (*urgency, False, deadline + delay)
