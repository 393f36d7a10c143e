"""Choose workers for tasks and gangs, without I/O or clocks."""

import dataclasses

from cardamomcroft.scheduling import models


@dataclasses.dataclass(slots=True)
class Room:
    """Describe what a worker can still take."""

    worker_id: str
    free: models.Demand
    rack: str
    labels: frozenset[str]
    service: str
    penalty: int = 0  # recent failures; sound workers come first


def demand_of(step: models.Step) -> models.Demand:
    """Return what a task takes from a worker's room."""
    if not step.is_filling:
        return step.demand
    return dataclasses.replace(step.demand, milli_cores=0)


def places(step: models.Step, room: models.Demand) -> int:
    """Count the tasks of a step that fit into the room."""
    demand = demand_of(step)
    pairs = (
        (room.milli_cores, demand.milli_cores),
        (room.memory_mb, demand.memory_mb),
        (room.accelerators, demand.accelerators),
    )
    return min((have // need for have, need in pairs if need), default=1)


class Board:
    """Hold the rooms of one decision round and take from them."""

    def __init__(self, rooms: list[Room]) -> None:
        """Take the rooms of all workers that get new work."""
        self.rooms = rooms

    def eligible(
        self,
        step: models.Step,
        service: str,
        allowed: frozenset[str] | None = None,
    ) -> list[Room]:
        """Return the rooms of workers that may run the step at all."""
        return [
            room
            for room in self.rooms
            if room.service == service
            and (not step.required_label or step.required_label in room.labels)
            and (allowed is None or room.worker_id in allowed)
        ]

    def place(
        self,
        step: models.Step,
        count: int,
        rooms: list[Room],
        run_count_by_worker: dict[str, int],
    ) -> list[Room]:
        """Take room for up to count tasks, best fit first."""
        demand = demand_of(step)
        taken: list[Room] = []
        held = dict(run_count_by_worker)
        candidates = [room for room in rooms if demand.fits(room.free)]
        while len(taken) < count:
            best = _best(step, demand, candidates, held)
            if best is None:
                break
            best.free = best.free.minus(demand)
            held[best.worker_id] = held.get(best.worker_id, 0) + 1
            taken.append(best)
        return taken

    def place_gang(
        self,
        step: models.Step,
        rooms: list[Room],
        may_span_racks: bool,
    ) -> list[Room]:
        """Take room for all tasks of a gang, or for none."""
        if step.is_rack_local and not may_span_racks:
            return self._place_in_one_rack(step, rooms)
        taken = self.place(step, step.width, rooms, {})
        if len(taken) == step.width:
            return taken
        self.release(step, taken)
        return []

    def _place_in_one_rack(
        self, step: models.Step, rooms: list[Room]
    ) -> list[Room]:
        by_rack: dict[str, list[Room]] = {}
        for room in rooms:
            by_rack.setdefault(room.rack, []).append(room)
        racks = sorted(
            by_rack.values(),
            key=lambda rack: sum(room.free.accelerators for room in rack),
        )
        for rack in racks:
            taken = self.place(step, step.width, rack, {})
            if len(taken) == step.width:
                return taken
            self.release(step, taken)
        return []

    def release(self, step: models.Step, taken: list[Room]) -> None:
        """Give back the room of one task for each entry."""
        demand = demand_of(step)
        for room in taken:
            room.free = room.free.plus(demand)


def _best(
    step: models.Step,
    demand: models.Demand,
    rooms: list[Room],
    held: dict[str, int],
) -> Room | None:
    best, best_cost = None, None
    for room in rooms:
        if not demand.fits(room.free):
            continue
        limit = step.spread_limit
        if limit and held.get(room.worker_id, 0) >= limit:
            continue
        # Best fit keeps whole workers free for tasks that need them.
        cost = (
            room.penalty,
            room.free.accelerators - demand.accelerators,
            room.free.milli_cores,
        )
        if best_cost is None or cost < best_cost:
            best, best_cost = room, cost
    return best
