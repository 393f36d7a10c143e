"""Hold workers for large tasks until enough of their capacity is free.

Without holds, small tasks of less urgent jobs take all capacity as it becomes
free, and tasks that need most of a worker starve.
"""

import collections.abc
import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# Most runs have ended by then; half of them take longer than the median.
COMPLETION_QUANTILE = 0.75
MAX_HELD_SHARE = 0.35  # of the workers; the others continue with small tasks
MIN_LARGE_SHARE = 0.25  # of a worker; smaller tasks fit what becomes free
HOLD_HORIZON = datetime.timedelta(seconds=5)  # holding longer wastes too much
MAX_HOLD_TIME = HOLD_HORIZON * 1.5  # runs may take longer than predicted
# These two bound the duration of rounds while hundreds of jobs wait.
MAX_SEARCHES = 6
SEARCH_PERIOD = datetime.timedelta(milliseconds=250)
_ZERO = datetime.timedelta()


class Holds:
    """Workers held for steps, kept between rounds.

    Choosing again in each round would abandon a worker as soon as its first
    run has ended.
    """

    def __init__(self) -> None:
        self._by_step: dict[
            runs.StepState, tuple[list[str], datetime.timedelta]
        ] = {}
        self._next_search = _ZERO
        self._searches = 0

    def add(
        self,
        step: runs.StepState,
        worker_ids: list[str],
        now: datetime.timedelta,
    ) -> None:
        """Hold workers for a step until it starts or the hold expires."""
        self._by_step[step] = (worker_ids, now + MAX_HOLD_TIME)

    def of(self, step: runs.StepState) -> list[str]:
        """Return the workers held for a step."""
        return self._by_step.get(step, ([], _ZERO))[0]

    def worker_ids(self) -> set[str]:
        """Return the workers held for any step."""
        return {
            worker_id
            for worker_ids, _ in self._by_step.values()
            for worker_id in worker_ids
        }

    def drop(self, step: runs.StepState) -> None:
        """Release the workers held for a step."""
        self._by_step.pop(step, None)

    def drop_workers(self, worker_ids: collections.abc.Set[str]) -> None:
        """Drop the holds of workers that get no new tasks."""
        for step, (held, _) in list(self._by_step.items()):
            if not worker_ids.isdisjoint(held):
                del self._by_step[step]

    def may_search(self) -> bool:
        """Count a search for workers; return whether it is allowed."""
        self._searches += 1
        return self._searches <= MAX_SEARCHES

    def drop_expired(self, now: datetime.timedelta) -> None:
        """Drop what has expired or belongs to a step without waiting tasks."""
        if now >= self._next_search:
            self._next_search = now + SEARCH_PERIOD
            self._searches = 0
        for step, (_, until) in list(self._by_step.items()):
            is_over = step.job.is_cancelled or step.job.final_state
            if until <= now or not step.waiting or is_over:
                del self._by_step[step]


def is_large(step: models.Step, capacity: models.Demand) -> bool:
    """Return whether a task needs a large share of any resource."""
    demand = placing.demand_of(step)
    pairs = (
        (demand.milli_cores, capacity.milli_cores),
        (demand.memory_mb, capacity.memory_mb),
        (demand.accelerators, capacity.accelerators),
    )
    return any(need > have * MIN_LARGE_SHARE for need, have in pairs if have)


Completions = list[tuple[datetime.timedelta, models.Demand]]


def expected_completions(
    worker: runs.Worker,
    durations: estimates.RunTimes,
    now: datetime.timedelta,
) -> Completions:
    """Return when each run is expected to end and what it frees."""
    return sorted(
        (
            (
                durations.remaining_quantile(run, now, COMPLETION_QUANTILE),
                placing.demand_of(run.step.model),
            )
            for run in worker.runs_by_task.values()
            if not run.step.model.is_lasting
        ),
        key=lambda pair: pair[0],
    )


def times_to_fit(
    completions: Completions, free: models.Demand, demand: models.Demand
) -> list[datetime.timedelta]:
    """Return when each further task will fit, up to the horizon."""
    times: list[datetime.timedelta] = []
    at = _ZERO
    for left, freed in [(_ZERO, models.Demand()), *completions]:
        if left > HOLD_HORIZON:
            break
        at = max(at, left)
        free = free.plus(freed)
        while demand.fits(free):
            times.append(at)
            free = free.minus(demand)
            if demand == models.Demand():
                return times
    return times


def choose(
    slots_by_worker: dict[str, list[datetime.timedelta]], count: int
) -> list[str]:
    """Return the workers on which count tasks fit soonest, or none."""
    slots = sorted(
        (at, worker_id)
        for worker_id, times in slots_by_worker.items()
        for at in times
    )
    if len(slots) < count:
        return []
    return sorted({worker_id for _, worker_id in slots[:count]})
