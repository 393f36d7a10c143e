"""Choose workers by their speed.

Load: workers of one kind that differ in speed. An urgent job has little slack
to lose on a slow one, and a gang is as slow as its slowest member, for which
the others wait.
"""

import collections
import collections.abc

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing

# Speeds within a tenth are taken for equal: the tasks of a step differ more
# by themselves.
CLASSES_PER_UNIT = 10
_MANY = 1_000_000_000  # tasks that need nothing


def classes(
    free_workers: collections.abc.Iterable[placing.FreeWorker],
    durations: estimates.RunTimes,
) -> dict[str, int]:
    """Return the speed class of each worker; none if all are of one class."""
    speeds_by_id = {
        worker.worker_id: round(
            durations.worker_speed(worker.worker_id) * CLASSES_PER_UNIT
        )
        for worker in free_workers
    }
    return speeds_by_id if len(set(speeds_by_id.values())) > 1 else {}


def groups(
    step: models.Step,
    free_workers: list[placing.FreeWorker],
    speeds_by_id: dict[str, int],
    ranks_by_id: dict[str, int],
    is_urgent: bool,
) -> list[list[placing.FreeWorker]]:
    """Return the sets of workers to try a gang on, the best first.

    Sets of one speed hold only workers without a rank or a strike. The last
    set has all workers; there is none if the gang does not fit on them.
    """
    demand = placing.demand_of(step)
    accelerators, cores = demand.accelerators, demand.milli_cores
    memory = demand.memory_mb
    counts: collections.Counter[int] = collections.Counter()
    members_by_speed: dict[int, list[placing.FreeWorker]] = {}
    total = 0
    for worker in free_workers:
        free = worker.free
        # Most workers are full; a call for each would slow the round.
        if (
            free.accelerators < accelerators
            or free.milli_cores < cores
            or free.memory_mb < memory
        ):
            continue
        count = _fitting(demand, free, step.spread_limit)
        total += count
        worker_id = worker.worker_id
        if not worker.strikes and not ranks_by_id.get(worker_id, 0):
            speed = speeds_by_id.get(worker_id, CLASSES_PER_UNIT)
            counts[speed] += count
            members_by_speed.setdefault(speed, []).append(worker)
    if total < step.width:
        return []
    enough = [speed for speed in counts if counts[speed] >= step.width]
    # Urgent work takes the fastest; the rest leaves the larger set whole.
    enough.sort(key=lambda s: -s if is_urgent else counts[s])
    return [members_by_speed[speed] for speed in enough] + [free_workers]


def has_room(
    step: models.Step, free_workers: list[placing.FreeWorker]
) -> bool:
    """Return whether a whole gang fits; most racks are too full for one.

    Placing its members one by one, and giving up, takes longer.
    """
    demand = placing.demand_of(step)
    accelerators, cores = demand.accelerators, demand.milli_cores
    memory, missing = demand.memory_mb, step.width
    for worker in free_workers:
        free = worker.free
        if (
            free.accelerators >= accelerators
            and free.milli_cores >= cores
            and free.memory_mb >= memory
        ):
            missing -= _fitting(demand, free, step.spread_limit)
            if missing <= 0:
                return True
    return False


def _fitting(demand: models.Demand, free: models.Demand, limit: int) -> int:
    """Return how many tasks fit; ``placing.max_tasks`` takes longer."""
    count = limit or _MANY
    if demand.accelerators:
        count = min(count, free.accelerators // demand.accelerators)
    if demand.milli_cores:
        count = min(count, free.milli_cores // demand.milli_cores)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    return count
