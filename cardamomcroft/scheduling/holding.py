"""Hold workers for large work that waits until enough room is free.

Answers mixes of large and small tasks: without it, small tasks of less
urgent jobs take every piece that becomes free, and tasks that need most of
a worker never start.
"""

import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

MOST_HELD = 0.35  # of the workers; the others go on with small work
LARGE = 0.25  # of a worker; smaller tasks fit into what becomes free
HORIZON = datetime.timedelta(seconds=5)  # holding longer wastes too much
LONGEST = HORIZON * 1.5  # runs may take longer than predicted
# Bounds the cost of rounds while hundreds of jobs wait.
SEARCHES = 6
SEARCH_PERIOD = datetime.timedelta(milliseconds=250)
_ZERO = datetime.timedelta()


class Holds:
    """Remember between rounds which workers are held for which step.

    A choice made anew each round would leave a worker just when its first
    piece has become free.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._by_step: dict[
            runs.StepState, tuple[list[str], datetime.timedelta]
        ] = {}
        self._next_search = _ZERO
        self._searches = 0

    def keep(
        self,
        step: runs.StepState,
        worker_ids: list[str],
        now: datetime.timedelta,
    ) -> None:
        """Hold workers for a step until it starts or the hold expires."""
        self._by_step[step] = (worker_ids, now + LONGEST)

    def of(self, step: runs.StepState) -> list[str]:
        """Return the workers held for a step."""
        return self._by_step.get(step, ([], _ZERO))[0]

    def may_search(self) -> bool:
        """Count a search for workers; tell whether it may be made."""
        self._searches += 1
        return self._searches <= SEARCHES

    def drop_useless(self, now: datetime.timedelta) -> None:
        """Drop what has expired or whose tasks no longer wait."""
        if now >= self._next_search:
            self._next_search = now + SEARCH_PERIOD
            self._searches = 0
        for step, (_, until) in list(self._by_step.items()):
            is_over = step.job.is_cancelled or step.job.final_state
            if until <= now or not step.waiting or is_over:
                del self._by_step[step]


def is_large(step: models.Step, capacity: models.Demand) -> bool:
    """Tell whether a task needs a good part of a worker."""
    demand = placing.demand_of(step)
    pairs = (
        (demand.milli_cores, capacity.milli_cores),
        (demand.memory_mb, capacity.memory_mb),
        (demand.accelerators, capacity.accelerators),
    )
    return any(need > have * LARGE for need, have in pairs if have)


Ending = list[tuple[datetime.timedelta, models.Demand]]


def endings(
    worker: runs.Worker,
    durations: estimates.Durations,
    now: datetime.timedelta,
) -> Ending:
    """Return when runs end and what room each then frees."""
    return sorted(
        (
            (durations.remaining(run, now), placing.demand_of(run.step.model))
            for run in worker.runs_by_task.values()
            if not run.step.model.is_lasting
        ),
        key=lambda pair: pair[0],
    )


def times_to_fit(
    ending: Ending, free: models.Demand, demand: models.Demand
) -> list[datetime.timedelta]:
    """Return when each further task will fit, within the horizon."""
    times: list[datetime.timedelta] = []
    at = _ZERO
    for left, freed in [(_ZERO, models.Demand()), *ending]:
        if left > HORIZON:
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
