"""Compare workers by the work that a placement there is likely to waste.

A run that its worker does not outlast is lost, and with it its whole gang.
Small tasks that spread over idle workers and racks keep those from tasks and
gangs that need all of one.
"""

import collections
import collections.abc
import dataclasses

from cardamomcroft.placement import speeds
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import preempting

_STRIKE_SPAN = 64  # strikes that a rank counts; workers are avoided earlier
_FIT_BITS = 40  # more than the accelerators of a worker need


@dataclasses.dataclass(frozen=True, slots=True)
class Racks:
    """Free capacity of the racks, once a round."""

    free: dict[str, float]  # in cores
    # Of the workers that have some free.
    accelerators: dict[str, list[tuple[str, int]]]

    @classmethod
    def of(cls, free_workers: list[placing.FreeWorker]) -> "Racks":
        """Sum up what is free."""
        racks = cls(collections.defaultdict(float), {})
        for worker in free_workers:
            free, rack = worker.free, worker.rack
            racks.free[rack] += preempting.core_equivalent(free)
            if free.accelerators > 0:
                members = racks.accelerators.setdefault(rack, [])
                members.append((worker.worker_id, free.accelerators))
        return racks


class LeastWaste(placing.PlacementCost):
    """Prefer workers that are likely to stay, and among them the best fit."""

    def __init__(
        self,
        ranks_by_id: dict[str, int],
        racks: Racks,
        speeds_by_id: dict[str, int],
        is_urgent: bool,
    ) -> None:
        """Place on workers with a rank only after those without one.

        Speeds are numbers of classes; there are none if all workers are of
        one class.
        """
        self.ranks_by_id = ranks_by_id
        self._racks = racks
        self._speeds_by_id = speeds_by_id
        self._is_urgent = is_urgent
        self._ranks_by_rack: dict[str, int] = {}

    def best(
        self,
        step: models.Step,
        demand: models.Demand,
        free_workers: list[placing.FreeWorker],
        count_by_worker: dict[str, int],
    ) -> placing.FreeWorker | None:
        """Return the worker that costs least, of those that fit."""
        ranks, limit = self.ranks_by_id, step.spread_limit
        cores, memory = demand.milli_cores, demand.memory_mb
        best, best_head, best_tail = None, None, None
        for worker in free_workers:
            free = worker.free
            left = free.accelerators - demand.accelerators
            if left < 0 or free.milli_cores < cores or free.memory_mb < memory:
                continue
            worker_id = worker.worker_id
            if limit and count_by_worker.get(worker_id, 0) >= limit:
                continue
            rank = ranks.get(worker_id, 0) if ranks else 0
            strikes = min(worker.strikes, _STRIKE_SPAN - 1)
            head = ((rank * _STRIKE_SPAN + strikes) << _FIT_BITS) + left
            if best is not None and head > best_head:
                continue
            tail = self._tail(worker)
            if best is None or head < best_head or tail < best_tail:
                best, best_head, best_tail = worker, head, tail
        return best

    def _tail(self, worker: placing.FreeWorker) -> tuple:
        """Return what decides between workers of the same rank and fit."""
        speed = 0
        if self._is_urgent and self._speeds_by_id:
            speed = self._speeds_by_id.get(worker.worker_id, 0)
        return (
            -speed,
            worker.is_idle,
            self._racks.free.get(worker.rack, 0),
            worker.free.milli_cores,
        )

    def gang_groups(
        self, step: models.Step, free_workers: list[placing.FreeWorker]
    ) -> collections.abc.Iterable[list[placing.FreeWorker]]:
        """Return workers of one speed first: the slowest member decides.

        Workers that leave or fail more likely than others are used only
        together with those.
        """
        if not self._speeds_by_id:
            has_room = speeds.has_room(step, free_workers)
            return (free_workers,) if has_room else ()
        return speeds.groups(
            step,
            free_workers,
            self._speeds_by_id,
            self.ranks_by_id,
            self._is_urgent,
        )

    def order_racks(self, step, racks) -> list[list[placing.FreeWorker]]:
        """Return the racks, first those whose free capacity is to stay."""
        ordered = super().order_racks(step, racks)
        if self.ranks_by_id:
            ordered.sort(key=self._rank_of_rack)
        return ordered

    def _rank_of_rack(self, rack: list[placing.FreeWorker]) -> int:
        """Return the mean rank of a rack's free capacity, once a round.

        An exact rank for each gang would visit all workers for each gang.
        """
        name = rack[0].rack
        if name not in self._ranks_by_rack:
            free = self._racks.accelerators.get(name, [])
            total = sum(
                self.ranks_by_id.get(worker_id, 0) * weight
                for worker_id, weight in free
            )
            weights = sum(weight for _, weight in free)
            self._ranks_by_rack[name] = round(total / max(weights, 1))
        return self._ranks_by_rack[name]
