"""Plan a round: what starts where, and what makes room for it."""

import collections
import dataclasses
import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import rooms as rooms_module
from cardamomcroft.scheduling import runs

# Runs end all the time; within this wait most urgent jobs find room without
# throwing work away, and a third of the bound for guaranteed work is left.
PREEMPTION_WAIT = datetime.timedelta(milliseconds=900)
# Before that, urgent work stops what has cost less than twice as much as it
# costs itself: a late urgent job wastes its caller's time and its own work.
EAGER_LOSS = 2.0
# After that wait, urgent work beyond its account's guarantee may cost four
# times its own work: it is worth more a core-second than what it stops.
PRESSED_LOSS = 4.0
# Bound the cost of rounds while hundreds of jobs wait.
SEARCHES = 8  # for room a round
SEARCH_PAUSE = datetime.timedelta(milliseconds=150)
# Work that does not come first waits a while for room to become free.
PATIENCE = datetime.timedelta(seconds=1)
# Away from its data, or spread over racks, work takes three times as long
# (protocol): that pays once the wait has cost two further times.
REMOTE_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Ask for a task to be started on a worker."""

    step: runs.StepState
    index: int
    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Ask for a run to be stopped, with the job that needs the room."""

    run: runs.Run
    reason: str


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold what a round decided."""

    starts: list[Start] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    advice_wanted: list[runs.StepState] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Hold the inputs of a round."""

    jobs: list[runs.JobState]
    workers_by_id: dict[str, runs.Worker]
    now: datetime.timedelta  # monotonic
    wall: datetime.datetime
    accelerators_by_account: dict[str, int]
    reservations: reservations.Reservations
    durations: estimates.Durations
    headroom: headroom.Headroom
    holds: holding.Holds


class Planner:
    """Decide one round."""

    def __init__(self, situation: Situation) -> None:
        """Take the inputs."""
        self._situation = situation
        self._plan = Plan()
        self._board = placing.Board(
            [
                room
                for worker in situation.workers_by_id.values()
                if (room := rooms_module.room_of(worker, situation.now))
            ]
        )
        self._guaranteed = ordering.guaranteed_accounts(
            situation.jobs, situation.accelerators_by_account
        )
        self._hopeless: set[tuple] = set()
        self._reserved = situation.reservations
        self._rooms_by_id = {
            room.worker_id: room for room in self._board.rooms
        }
        self._preemption = preempting.Preemption(
            situation.workers_by_id,
            {
                worker.worker_id: free
                for worker in situation.workers_by_id.values()
                if (free := rooms_module.room_soon(worker, situation.now))
            },
            situation.now,
            self._guaranteed,
        )

    def plan(self) -> Plan:
        """Return the decisions."""
        now = self._situation.now
        self._reserved.drop_useless(now)
        self._situation.holds.drop_useless(now)
        for step in self._reserved.steps():
            self._use_reservations(step)
        for entry in self._reserved.all():
            self._take(entry.worker_id, entry.demand())
        self._kept: frozenset[str] | None = None
        self._held: set[str] = set()
        self._endings_by_worker: dict[str, holding.Ending] = {}
        self._rack_places: dict[models.Demand, int] = {}
        self._searches = 0
        ordered = sorted(
            (job for job in self._situation.jobs if not job.final_state),
            key=lambda job: ordering.sort_key(
                job, now, self._guaranteed, self._situation.durations
            ),
        )
        for job in ordered:
            if not job.is_cancelled:
                for step in ready_steps(job, now, self._situation.wall):
                    self._plan_step(step)
        return self._plan

    def _take(self, worker_id: str, demand: models.Demand) -> None:
        self._preemption.take(worker_id, demand)
        room = self._rooms_by_id.get(worker_id)
        if room is not None:
            room.free = room.free.minus(demand)

    def _use_reservations(self, step: runs.StepState) -> None:
        """Start on kept room what fits by now; a gang only as a whole."""
        entries = list(self._reserved.of(step))
        ready = [
            entry
            for entry in entries
            if (room := self._rooms_by_id.get(entry.worker_id))
            and entry.demand().fits(room.free)
        ]
        if step.model.is_gang and (
            len(ready) < len(entries)
            or len(step.waiting) < step.model.width
            or self._reserved.count(step) != step.model.width
        ):
            return
        waiting = sorted(step.waiting)
        held = step.run_count_by_worker()
        for entry in ready:
            count = min(entry.count, len(waiting))
            if step.model.spread_limit:
                left = step.model.spread_limit - held[entry.worker_id]
                count = min(count, max(left, 0))
            held[entry.worker_id] += count
            room = self._rooms_by_id[entry.worker_id]
            demand = placing.demand_of(step.model)
            for index in waiting[:count]:
                room.free = room.free.minus(demand)
                self._start(step, index, room)
            waiting = waiting[count:]
            self._reserved.use(entry, entry.count)

    def _plan_step(self, step: runs.StepState) -> None:
        model = step.model
        if self._unplanned(step) <= 0:
            return
        signature = (
            model.demand,
            model.required_label,
            model.data_rack,
            step.job.job.queue.service,
            model.is_gang and model.width,
            model.spread_limit and step.number,
        )
        advised = self._advised(step)
        if advised is None:
            return
        plain = not advised
        if plain and signature in self._hopeless:
            self._make_room(step)
            self._hold(step)
            return
        rooms = self._rooms(step, advised)
        if model.is_gang:
            placed = self._place_gang(step, rooms)
        else:
            placed = self._place_tasks(step, rooms)
        if not placed:
            if plain:
                self._hopeless.add(signature)
            self._make_room(step)
            self._hold(step)

    def _advised(self, step: runs.StepState) -> frozenset[str] | None:
        """Return the workers advised; empty for any, None while unknown."""
        if step.job.job.queue.advice is None:
            return frozenset()
        now = self._situation.now
        valid = frozenset(
            worker_id
            for worker_id, (_, until) in step.tickets_by_worker.items()
            if until > now
        )
        if not valid:
            self._plan.advice_wanted.append(step)
            return None
        return valid

    def _rooms(
        self, step: runs.StepState, advised: frozenset[str]
    ) -> list[placing.Room]:
        model = step.model
        rooms = self._board.eligible(
            model, step.job.job.queue.service, advised or None
        )
        if step.job.job.queue.priority > 0:
            kept = self._kept_workers()
            rooms = [room for room in rooms if room.worker_id not in kept]
        if not model.data_rack:
            return rooms
        near = [room for room in rooms if room.rack == model.data_rack]
        if near and not self._is_pressed(step):
            return near
        return rooms

    def _kept_workers(self) -> frozenset[str]:
        """Return the workers kept idle, once urgent work is placed."""
        if self._kept is None:
            total = sum(
                worker.listing.accelerators
                for worker in self._situation.workers_by_id.values()
                if worker.listing is not None
            )
            headroom = self._situation.headroom
            self._kept = headroom.kept(self._board.rooms, total)
        return self._kept

    def _is_pressed(self, step: runs.StepState) -> bool:
        """Tell whether waiting costs more than a slower place."""
        waited = self._situation.now - step.job.accepted_at
        expected = self._situation.durations.expected(
            step.job.job.queue.name, step.model
        )
        return waited > expected * (REMOTE_FACTOR - 1)

    def _place_gang(
        self, step: runs.StepState, rooms: list[placing.Room]
    ) -> bool:
        if len(step.waiting) < step.model.width:
            return True  # an earlier run is still ending
        taken = self._board.place_gang(
            step.model, rooms, self._may_span_racks(step)
        )
        for index, room in enumerate(taken):
            self._start(step, index, room)
        return bool(taken)

    def _place_tasks(
        self, step: runs.StepState, rooms: list[placing.Room]
    ) -> bool:
        waiting = self._unplanned_indexes(step)
        held = self._held_by_worker(step)
        taken = self._board.place(step.model, len(waiting), rooms, held)
        for index, room in zip(waiting, taken, strict=False):
            self._start(step, index, room)
        return len(taken) == len(waiting)

    def _held_by_worker(
        self, step: runs.StepState
    ) -> collections.Counter[str]:
        """Count a step's runs, planned starts and kept room by worker."""
        held = step.run_count_by_worker()
        held.update(
            start.worker_id
            for start in self._plan.starts
            if start.step is step
        )
        for entry in self._reserved.of(step):
            held[entry.worker_id] += entry.count
        return held

    def _unplanned(self, step: runs.StepState) -> int:
        """Count the waiting tasks that have neither a start nor room."""
        planned = sum(start.step is step for start in self._plan.starts)
        return len(step.waiting) - planned - self._reserved.count(step)

    def _unplanned_indexes(self, step: runs.StepState) -> list[int]:
        planned = {
            start.index for start in self._plan.starts if start.step is step
        }
        waiting = sorted(step.waiting - planned)
        return waiting[: len(waiting) - self._reserved.count(step)]

    def _may_span_racks(self, step: runs.StepState) -> bool:
        """Tell whether a gang is better spread than kept waiting."""
        return self._is_pressed(step) or not self._fits_a_rack(step)

    def _fits_a_rack(self, step: runs.StepState) -> bool:
        demand = step.model.demand
        if demand not in self._rack_places:
            places: collections.Counter[str] = collections.Counter()
            for worker in self._situation.workers_by_id.values():
                if worker.listing is not None:
                    capacity = rooms_module.capacity_of(worker.listing)
                    count = placing.places(step.model, capacity)
                    places[worker.listing.rack] += count
            self._rack_places[demand] = max(places.values(), default=0)
        return self._rack_places[demand] >= step.model.width

    def _start(
        self, step: runs.StepState, index: int, room: placing.Room
    ) -> None:
        self._plan.starts.append(Start(step, index, room.worker_id))
        self._preemption.take(room.worker_id, placing.demand_of(step.model))

    def _make_room(self, step: runs.StepState) -> None:
        now = self._situation.now
        waited = now - step.job.accepted_at
        is_urgent = step.job.job.queue.priority == 0
        if step.model.is_filling or not (is_urgent or waited > PATIENCE):
            return
        if not self._is_guaranteed(step.job) and self._comes_late(step.job):
            return  # stopping others' work would not bring it in time
        count = self._unplanned(step)
        if step.model.is_gang and count < step.model.width:
            return
        if now < step.search_at or self._searches >= SEARCHES:
            return
        self._searches += 1
        step.search_at = now + SEARCH_PAUSE
        kept = frozenset() if is_urgent else self._kept_workers()
        choices = self._preemption.choose(
            step,
            count,
            self._may_span_racks(step),
            self._most_lost(step),
            self._held | kept,
            self._held_by_worker(step),
        )
        if not choices:
            return
        self._reserved.add(step, [c.worker_id for c in choices], now)
        for choice in choices:
            room = self._rooms_by_id.get(choice.worker_id)
            if room is not None:
                demand = placing.demand_of(step.model)
                room.free = room.free.minus(demand)
            self._plan.stops.extend(
                Stop(run, f"preempted by {step.job.job.job_id}")
                for run in choice.victims
            )

    def _is_guaranteed(self, job: runs.JobState) -> bool:
        return (
            job.job.queue.priority == 0 and job.job.account in self._guaranteed
        )

    def _comes_late(self, job: runs.JobState) -> bool:
        now = self._situation.now
        return ordering.is_useless(
            job, now, job.objective
        ) or ordering.is_behind(job, now)

    def _hold(self, step: runs.StepState) -> None:
        """Keep less urgent work off the workers that will fit soonest."""
        if step.model.is_lasting or self._unplanned(step) <= 0:
            return
        budget = int(len(self._board.rooms) * holding.MOST_HELD)
        budget -= len(self._held)
        holds = self._situation.holds
        best = holds.of(step) or self._soonest(step, budget)
        if not best or len(best) > budget:
            return
        if not holds.of(step):
            holds.keep(step, best, self._situation.now)
        self._held.update(best)
        self._board.rooms = [
            room
            for room in self._board.rooms
            if room.worker_id not in self._held
        ]

    def _endings(self, worker: runs.Worker) -> holding.Ending:
        if worker.worker_id not in self._endings_by_worker:
            self._endings_by_worker[worker.worker_id] = holding.endings(
                worker, self._situation.durations, self._situation.now
            )
        return self._endings_by_worker[worker.worker_id]

    def _soonest(self, step: runs.StepState, budget: int) -> list[str]:
        """Return the workers on which a large step's tasks fit soonest."""
        if not self._situation.holds.may_search():
            return []
        model = step.model
        within_rack = model.is_rack_local and not self._may_span_racks(step)
        slots_by_rack: dict[str, dict[str, list[datetime.timedelta]]] = {}
        for room in self._board.eligible(model, step.job.job.queue.service):
            worker = self._situation.workers_by_id[room.worker_id]
            is_near = model.data_rack in ("", room.rack)
            capacity = rooms_module.capacity_of(worker.listing)
            if is_near and holding.is_large(model, capacity):
                rack = room.rack if within_rack else ""
                slots = slots_by_rack.setdefault(rack, {})
                slots[room.worker_id] = holding.times_to_fit(
                    self._endings(worker),
                    room.free,
                    placing.demand_of(model),
                )
        count = min(self._unplanned(step), max(budget, 0))
        wanted = model.width if model.is_gang else count
        plans = [
            plan
            for slots in slots_by_rack.values()
            if wanted and (plan := holding.choose(slots, wanted))
        ]
        return min(plans, key=len, default=[])

    def _most_lost(self, step: runs.StepState) -> float:
        """Return the core-seconds that may be thrown away for a step."""
        waited = self._situation.now - step.job.accepted_at
        is_urgent = step.job.job.queue.priority == 0
        is_pressed = is_urgent and waited >= PREEMPTION_WAIT
        if is_pressed and self._is_guaranteed(step.job):
            return float("inf")
        expected = self._situation.durations.expected(
            step.job.job.queue.name, step.model
        )
        own = preempting.weight(step.model.demand) * step.model.width
        factor = PRESSED_LOSS if is_pressed else EAGER_LOSS
        return own * expected.total_seconds() * factor


def ready_steps(
    job: runs.JobState, now: datetime.timedelta, wall: datetime.datetime
) -> list[runs.StepState]:
    """Return the steps whose turn has come and that have tasks waiting."""
    ready = []
    timetable = job.job.timetable
    for (occurrence, _), step in job.steps_by_key.items():
        if not step.waiting or step.retry_at > now:
            continue
        if timetable and timetable.due(occurrence) > wall:
            continue
        if all(
            job.steps_by_key[occurrence, number].is_done
            for number in step.model.after
        ):
            ready.append(step)
    return ready
