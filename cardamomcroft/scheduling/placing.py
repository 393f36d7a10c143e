"""Place tasks and gangs on workers, without I/O or clocks."""

import abc
import collections.abc
import dataclasses

from cardamomcroft.scheduling import models

_NOTHING = models.Demand()


@dataclasses.dataclass(slots=True)
class FreeWorker:
    """A worker that accepts new tasks, with its free capacity."""

    worker_id: str
    free: models.Demand
    rack: str
    labels: frozenset[str]
    service: str
    strikes: int = 0  # recent failures; workers with fewer come first
    total: models.Demand = _NOTHING  # the capacity of the empty worker

    @property
    def is_idle(self) -> bool:
        """Return whether nothing runs on the worker or is placed there."""
        free, total = self.free, self.total
        return (
            free.milli_cores == total.milli_cores
            and free.memory_mb == total.memory_mb
            and free.accelerators == total.accelerators
        )


class PlacementCost(abc.ABC):
    """Compare the workers on which a step may be placed."""

    @abc.abstractmethod
    def best(
        self,
        step: models.Step,
        demand: models.Demand,
        free_workers: list[FreeWorker],
        count_by_worker: dict[str, int],
    ) -> FreeWorker | None:
        """Return the worker for the next task; None if it fits nowhere."""

    def order_racks(
        self, step: models.Step, racks: collections.abc.Iterable[list]
    ) -> list[list[FreeWorker]]:
        """Return the racks in the order in which to try a gang."""
        return sorted(
            racks,
            key=lambda rack: sum(worker.free.accelerators for worker in rack),
        )

    def gang_groups(
        self, step: models.Step, free_workers: list[FreeWorker]
    ) -> collections.abc.Iterable[list[FreeWorker]]:
        """Return the sets of workers to try a gang on, the best first."""
        return (free_workers,)


class BestFit(PlacementCost):
    """Leave whole workers free for the tasks that need them."""

    def best(
        self,
        step: models.Step,
        demand: models.Demand,
        free_workers: list[FreeWorker],
        count_by_worker: dict[str, int],
    ) -> FreeWorker | None:
        """Return the worker that has the least left, of those that fit."""
        best, best_cost = None, None
        for worker in free_workers:
            if not demand.fits(worker.free):
                continue
            limit = step.spread_limit
            if limit and count_by_worker.get(worker.worker_id, 0) >= limit:
                continue
            cost = (
                worker.strikes,
                worker.free.accelerators - demand.accelerators,
                worker.free.milli_cores,
            )
            if best_cost is None or cost < best_cost:
                best, best_cost = worker, cost
        return best


BEST_FIT = BestFit()


def demand_of(step: models.Step) -> models.Demand:
    """Return the demand of one task; filling tasks use leftover cores."""
    if not step.is_filling:
        return step.demand
    return dataclasses.replace(step.demand, milli_cores=0)


def max_tasks(step: models.Step, capacity: models.Demand) -> int:
    """Return how many tasks of a step fit into the capacity."""
    demand = demand_of(step)
    pairs = (
        (capacity.milli_cores, demand.milli_cores),
        (capacity.memory_mb, demand.memory_mb),
        (capacity.accelerators, demand.accelerators),
    )
    return min((have // need for have, need in pairs if need), default=1)


def max_tasks_on_empty(step: models.Step, total: models.Demand) -> int:
    """Return how many tasks of a step an idle worker may run."""
    count = max_tasks(step, total)
    return min(count, step.spread_limit) if step.spread_limit else count


@dataclasses.dataclass(frozen=True, slots=True)
class Savepoint:
    """Capacity of a pool at one point of a round."""

    free_workers: list[FreeWorker]
    free: list[models.Demand]  # of each worker, also of those held
    held: frozenset[str]


class WorkerPool:
    """Free capacity of one scheduling round, from which tasks are placed."""

    def __init__(self, free_workers: list[FreeWorker]) -> None:
        """Place tasks on these workers and update their free capacity."""
        self.free_workers = free_workers
        self._all = free_workers
        self.held: frozenset[str] = frozenset()

    @property
    def workers(self) -> list[FreeWorker]:
        """Return all workers, also those held."""
        return self._all

    def hold(self, worker_ids: list[str]) -> None:
        """Keep further tasks off these workers."""
        self.held |= frozenset(worker_ids)
        self.free_workers = [
            worker
            for worker in self.free_workers
            if worker.worker_id not in self.held
        ]

    def save(self) -> Savepoint:
        """Return the state to restore if a job cannot be planned."""
        free = [worker.free for worker in self._all]
        return Savepoint(self.free_workers, free, self.held)

    def restore(self, saved: Savepoint) -> None:
        """Undo what was allocated and held since ``save``."""
        self.free_workers = saved.free_workers
        self.held = saved.held
        for worker, free in zip(self._all, saved.free, strict=True):
            worker.free = free

    def eligible(
        self,
        step: models.Step,
        service: str,
        allowed: frozenset[str] | None = None,
        with_held: bool = False,
    ) -> list[FreeWorker]:
        """Return the workers that may run the step once they have capacity."""
        return [
            worker
            for worker in (self._all if with_held else self.free_workers)
            if worker.service == service
            and (
                not step.required_label or step.required_label in worker.labels
            )
            and (allowed is None or worker.worker_id in allowed)
        ]

    def place(
        self,
        step: models.Step,
        count: int,
        free_workers: list[FreeWorker],
        count_by_worker: dict[str, int],
        cost: PlacementCost = BEST_FIT,
    ) -> list[FreeWorker]:
        """Allocate up to ``count`` tasks where they cost least."""
        demand = demand_of(step)
        placed: list[FreeWorker] = []
        counts = dict(count_by_worker)
        candidates = [
            worker for worker in free_workers if demand.fits(worker.free)
        ]
        while len(placed) < count:
            best = cost.best(step, demand, candidates, counts)
            if best is None:
                break
            best.free = best.free.minus(demand)
            counts[best.worker_id] = counts.get(best.worker_id, 0) + 1
            placed.append(best)
        return placed

    def place_gang(
        self,
        step: models.Step,
        free_workers: list[FreeWorker],
        may_span_racks: bool,
        cost: PlacementCost = BEST_FIT,
    ) -> list[FreeWorker]:
        """Allocate all tasks of a gang, or none."""
        if step.is_rack_local and not may_span_racks:
            return self._place_in_one_rack(step, free_workers, cost)
        return self._place_whole(step, free_workers, cost)

    def _place_whole(
        self,
        step: models.Step,
        free_workers: list[FreeWorker],
        cost: PlacementCost,
    ) -> list[FreeWorker]:
        for group in cost.gang_groups(step, free_workers):
            placed = self.place(step, step.width, group, {}, cost)
            if len(placed) == step.width:
                return placed
            self.release(step, placed)
        return []

    def _place_in_one_rack(
        self,
        step: models.Step,
        free_workers: list[FreeWorker],
        cost: PlacementCost,
    ) -> list[FreeWorker]:
        by_rack: dict[str, list[FreeWorker]] = {}
        for worker in free_workers:
            by_rack.setdefault(worker.rack, []).append(worker)
        for rack in cost.order_racks(step, by_rack.values()):
            placed = self._place_whole(step, rack, cost)
            if placed:
                return placed
        return []

    def release(self, step: models.Step, placed: list[FreeWorker]) -> None:
        """Release the capacity of one task for each entry of ``placed``."""
        demand = demand_of(step)
        for worker in placed:
            worker.free = worker.free.plus(demand)
