"""Find where steps that lack advice could start, without I/O or clocks."""

import dataclasses

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# In a round; the advice service answers fewer calls meanwhile.
MAX_FOUND = 16
MAX_SEARCHES = 64
# Named beside those that the tasks need, as the first may be barred.
MIN_NAMED = 8


class Prospects:
    """The room that is left for steps beside those asked about before them.

    What it gives to a step is not taken from other work.
    """

    def __init__(self, pool: placing.WorkerPool) -> None:
        """Start from the room of a round's pool at the first step."""
        self._pool = pool
        self._copies_by_id: dict[str, placing.FreeWorker] = {}
        self._searches = 0
        self._found = 0
        self._most_free: models.Demand | None = None

    def may_search(self, step: runs.StepState) -> bool:
        """Return whether there may be room for a task, and time to look."""
        if self._found >= MAX_FOUND or self._searches >= MAX_SEARCHES:
            return False
        if self._most_free is None:
            self._most_free = self._find_most_free()
        return placing.demand_of(step.model).fits(self._most_free)

    def _find_most_free(self) -> models.Demand:
        """Return the most of each resource that any worker has free."""
        free = [
            self._copies_by_id.get(worker.worker_id, worker).free
            for worker in self._pool.workers
        ]
        return models.Demand(
            max((demand.milli_cores for demand in free), default=0),
            max((demand.memory_mb for demand in free), default=0),
            max((demand.accelerators for demand in free), default=0),
        )

    def workers_for(
        self,
        step: runs.StepState,
        free_workers: list[placing.FreeWorker],
        may_span_racks: bool,
        cost: placing.PlacementCost,
    ) -> tuple[str, ...]:
        """Return the workers that the step would use, then some others.

        There are none without room for it.
        """
        self._searches += 1
        copies = [self._copy(worker) for worker in free_workers]
        model = step.model
        if model.is_gang and not step.open_gang_number:
            placed = self._pool.place_gang(model, copies, may_span_racks, cost)
        else:
            placed = self._pool.place(
                model,
                len(step.waiting),
                copies,
                step.run_count_by_worker(),
                cost,
            )
        needed = list(dict.fromkeys(worker.worker_id for worker in placed))
        if not needed:
            return ()
        self._found += 1
        self._most_free = None
        return tuple(needed) + self._others(step, copies, needed)

    def _copy(self, worker: placing.FreeWorker) -> placing.FreeWorker:
        """Return the worker with the room that is still expected."""
        known = self._copies_by_id.get(worker.worker_id)
        if known is None:
            known = dataclasses.replace(worker)
            self._copies_by_id[worker.worker_id] = known
        return known

    def _others(
        self,
        step: runs.StepState,
        copies: list[placing.FreeWorker],
        needed: list[str],
    ) -> tuple[str, ...]:
        """Return workers with room to ask about beside those needed."""
        demand = placing.demand_of(step.model)
        count = max(MIN_NAMED - len(needed), len(needed))
        others = [
            worker.worker_id
            for worker in copies
            if worker.worker_id not in needed and demand.fits(worker.free)
        ]
        return tuple(others[:count])
