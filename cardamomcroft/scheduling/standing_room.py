"""Determine why no worker runs a waiting task, without I/O or clocks."""

import collections
import collections.abc
import dataclasses
import datetime
import functools

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom as headrooms
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_reasons as reasons

MAX_SEARCHES = 4  # per look
# Visits of workers by all searches of a look, at some microseconds each; one
# search is always allowed.
MAX_VISITS = 1000
EVACUATED = "evacuated"  # why a worker gets no new tasks
Reason = reasons.Reason
Holder = tuple[runs.StepState, list[str]]  # a step and its held workers


@dataclasses.dataclass(frozen=True, slots=True)
class RoomInputs:
    """What decides whether there is room."""

    workers_by_id: collections.abc.Mapping[str, runs.Worker]
    now: datetime.timedelta
    reservations: reservations.Reservations
    headroom: headrooms.Headroom
    durations: estimates.RunTimes
    # Called only if a search needs them.
    holders: collections.abc.Callable[[], list[Holder]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """A listed worker with what is free on it."""

    worker_id: str
    listing: fleet.Listing
    total: models.Demand
    free: models.Demand  # less what is reserved
    unusable: str  # why it gets no new tasks, if it gets none


class Room:
    """The room on all workers at one moment, searched a few times."""

    def __init__(self, inputs: RoomInputs) -> None:
        """Compute the room at the first search."""
        self._inputs = inputs
        self._searches = 0
        self._causes: dict[tuple, reasons.Cause] = {}

    def cause(self, step: runs.StepState) -> reasons.Cause | None:
        """Return why no task of the step is placed; None beyond the bound."""
        now = self._inputs.now
        needs_advice = step.job.job.queue.advice is not None
        if needs_advice and not step.advised_workers(now):
            return reasons.Cause(Reason.ADVICE_AWAITED)
        if step.rests.count(now) >= len(step.waiting) > 0:
            return reasons.Cause(Reason.RESTING)
        reserved = self._inputs.reservations.of(step)
        if reserved:
            return reasons.Cause(
                Reason.BEING_FREED, worker_id=reserved[0].worker_id
            )
        signature = self._signature(step)
        if signature not in self._causes:
            if not self._may_search():
                return None
            self._causes[signature] = self._search(step)
        return self._causes[signature]

    def _may_search(self) -> bool:
        """Count a search; return whether it is allowed."""
        self._searches += 1
        visits = self._searches * len(self._inputs.workers_by_id)
        return self._searches == 1 or (
            self._searches <= MAX_SEARCHES and visits <= MAX_VISITS
        )

    def _signature(self, step: runs.StepState) -> tuple:
        """Return what the room for a step depends on."""
        model, queue = step.model, step.job.job.queue
        is_singular = bool(model.spread_limit or queue.advice)
        return (
            placing.demand_of(model),
            model.required_label,
            model.data_rack,
            model.is_gang and (model.width, model.is_rack_local),
            queue.service,
            queue.priority > 0 or step.is_deferred,
            self._accepts_remote(step),
            is_singular and step.key(0),
        )

    @functools.cached_property
    def _places_by_service(self) -> dict[str, list[_Place]]:
        reserved = collections.defaultdict(models.Demand)
        for entry in self._inputs.reservations.all():
            known = reserved[entry.worker_id]
            reserved[entry.worker_id] = known.plus(entry.demand())
        places = collections.defaultdict(list)
        for worker_id, worker in self._inputs.workers_by_id.items():
            listing = worker.listing
            if listing is None:
                continue
            total = capacities.capacity_of(listing)
            free = total.minus(worker.used())
            places[listing.service].append(
                _Place(
                    worker_id,
                    listing,
                    total,
                    free.minus(reserved[worker_id]),
                    _unusable(worker, self._inputs.now),
                )
            )
        return places

    @functools.cached_property
    def _holders(self) -> list[Holder]:
        return self._inputs.holders()

    def _search(self, step: runs.StepState) -> reasons.Cause:
        model = step.model
        suitable = self._suitable(step)
        places = [p for p in suitable if p.unusable != EVACUATED]
        # Searched only if some are evacuated.
        with_evacuated = suitable if len(places) < len(suitable) else []
        usable = [place for place in places if not place.unusable]
        held_ids, headroom_ids = self._kept_ids(step, usable)
        kept = held_ids | headroom_ids
        open_places = [p for p in usable if p.worker_id not in kept]
        wanted = model.width if model.is_gang else 1
        fitting = _count(step, open_places)
        with_held = _count(step, usable)
        with_all = _count(step, places)
        counts = (
            (
                Reason.ROOM_UNUSED,
                self._count_in_rack(step, open_places, usable),
            ),
            (Reason.RACK_AWAITED, fitting),
            (Reason.HELD_WORKERS, with_held),
            (Reason.UNUSABLE_WORKERS, with_all),
            (Reason.EVACUATED, _count(step, with_evacuated)),
            (Reason.NO_ROOM, _count_on_empty(step, places, wanted)),
            (
                Reason.EVACUATED,
                _count_on_empty(step, with_evacuated, wanted),
            ),
        )
        reasons_with_room = (r for r, count in counts if count >= wanted)
        unusable = collections.Counter(place.unusable for place in suitable)
        return reasons.Cause(
            next(reasons_with_room, Reason.NO_WORKER),
            workers=len(suitable),
            usable=len(usable),
            held=len(held_ids),
            headroom=len(headroom_ids),
            avoided=unusable["avoided"],
            silent=unusable["silent"],
            unheard=unusable["unheard"],
            draining=unusable["draining"],
            evacuated=unusable[EVACUATED] or None,
            fitting=fitting,
            fitting_held=with_held - fitting,
            fitting_unusable=with_all - with_held,
            wanted=wanted,
        )

    def _suitable(self, step: runs.StepState) -> list[_Place]:
        """Return the workers on which the step may run at all."""
        queue, label = step.job.job.queue, step.model.required_label
        places = self._places_by_service.get(queue.service, [])
        if label:
            places = [p for p in places if label in p.listing.labels]
        if queue.advice is not None:
            advised = step.advised_workers(self._inputs.now)
            places = [p for p in places if p.worker_id in advised]
        return places

    def _kept_ids(
        self, step: runs.StepState, usable: list[_Place]
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the workers with room held for other steps, and headroom."""
        demand = placing.demand_of(step.model)
        with_room = frozenset(
            place.worker_id for place in usable if demand.fits(place.free)
        )
        if not with_room:
            return frozenset(), frozenset()
        held_ids = with_room.intersection(
            worker_id
            for other, held in self._holders
            if other is not step
            for worker_id in held
        )
        headroom_ids: frozenset[str] = frozenset()
        if step.job.job.queue.priority > 0 or step.is_deferred:
            headroom_ids = with_room & self._inputs.headroom.chosen_ids
        return held_ids, headroom_ids

    def _accepts_remote(self, step: runs.StepState) -> bool:
        """Return whether the planner no longer waits for the step's rack."""
        expected = self._inputs.durations.expected(step.job.job, step.model)
        waited = self._inputs.now - step.job.accepted_at
        return waited > expected * (planning.REMOTE_FACTOR - 1)

    def _count_in_rack(
        self,
        step: runs.StepState,
        open_places: list[_Place],
        usable: list[_Place],
    ) -> int:
        """Count the tasks that fit where the planner places them by now."""
        model = step.model
        if self._accepts_remote(step):
            return _count(step, open_places)
        if model.data_rack and any(
            place.listing.rack == model.data_rack for place in usable
        ):
            open_places = [
                p for p in open_places if p.listing.rack == model.data_rack
            ]
        is_local = model.is_gang and model.is_rack_local
        if not is_local or not self._fits_a_rack(model):
            return _count(step, open_places)
        by_rack = collections.defaultdict(list)
        for place in open_places:
            by_rack[place.listing.rack].append(place)
        return max((_count(step, p) for p in by_rack.values()), default=0)

    def _fits_a_rack(self, model: models.Step) -> bool:
        """Return whether an empty rack would take the whole gang."""
        count_by_rack: collections.Counter[str] = collections.Counter()
        for places in self._places_by_service.values():
            for place in places:
                if place.unusable == EVACUATED:
                    continue
                count = placing.max_tasks_on_empty(model, place.total)
                count_by_rack[place.listing.rack] += count
        return max(count_by_rack.values(), default=0) >= model.width


def _count(step: runs.StepState, places: list[_Place]) -> int:
    """Count the tasks of a step that fit on workers, within its spread."""
    model, demand = step.model, placing.demand_of(step.model)
    limit = model.spread_limit
    counts = step.run_count_by_worker() if limit else {}
    total = 0
    for place in places:
        if demand.fits(place.free):
            fitting = placing.max_tasks(model, place.free)
            if limit:
                left = max(limit - counts[place.worker_id], 0)
                fitting = min(fitting, left)
            total += fitting
    return total


def _count_on_empty(
    step: runs.StepState, places: list[_Place], wanted: int
) -> int:
    """Count the tasks that fit on empty workers, up to ``wanted`` or more."""
    total = 0
    for place in places:
        total += placing.max_tasks_on_empty(step.model, place.total)
        if total >= wanted:
            break
    return total


def _unusable(worker: runs.Worker, now: datetime.timedelta) -> str:
    """Return why a listed worker gets no new tasks; empty if it does."""
    if worker.is_evacuated:
        return EVACUATED
    if worker.unreachable_since is not None:
        return "silent"
    if not worker.has_inventory:
        return "unheard"
    if worker.listing.state is not fleet.ServerState.READY:
        return "draining"
    return "avoided" if worker.avoid_until > now else ""
