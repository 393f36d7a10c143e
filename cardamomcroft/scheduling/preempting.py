"""Choose the runs to preempt so that urgent work starts in time.

In a flood of less urgent work, accounts get their guarantees within the
bound, and urgent jobs do not queue behind long ones.
"""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import victims

# Lost work counts an accelerator as this many cores (ratio of the prices).
CORES_PER_ACCELERATOR = 8
# Added to the lost seconds of an urgent run, as its stop makes its caller
# late. Less urgent runs younger than an urgent job's usual objective are
# therefore stopped first.
URGENT_PENALTY_S = 8.0
# Lost seconds of a task that lasts, whatever its age: it starts again with
# nothing lost but its absence, and is stopped after other work.
LASTING_LOSS_S = 60.0
# A task that lasts is at work from this percentage on (protocol).
AT_WORK_PERCENT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A worker for one task and the runs that must stop for it."""

    cost: float  # core-seconds lost
    worker_id: str
    victims: tuple[runs.Run, ...]
    # Runs whose capacity it awaits, and the time until the last one ends.
    ending: tuple[runs.Run, ...] = ()
    awaits: datetime.timedelta = datetime.timedelta()

    def rank(self) -> tuple[float, datetime.timedelta]:
        """Return a key that sorts the cheapest and soonest first."""
        return self.cost, self.awaits


@dataclasses.dataclass(frozen=True, slots=True)
class _VictimGroup:
    """A task or gang that may stop, or ends by itself in time."""

    cost: float
    runs: list[runs.Run]
    ends: bool = False
    left: datetime.timedelta = datetime.timedelta()  # until it ends


@dataclasses.dataclass(frozen=True, slots=True)
class _VictimGroups:
    """Preemptible tasks and gangs of a worker, cheapest first."""

    groups: list[_VictimGroup]
    capacity: models.Demand  # freed if all of them stop


@dataclasses.dataclass(frozen=True, slots=True)
class Savepoint:
    """Capacity and victims at one point of a round."""

    free_by_worker: dict[str, models.Demand]
    chosen: frozenset[runs.Run]


class Preemption:
    """Victim selection of one round, aware of the stops under way."""

    def __init__(
        self,
        workers_by_id: dict[str, runs.Worker],
        free_by_worker: dict[str, models.Demand],
        now: datetime.timedelta,
        guaranteed: frozenset[str],
        costs: victims.VictimCosts | None = None,
    ) -> None:
        """Start with the capacity that is free without any further stop.

        With ``costs``, scheduling plans ahead.
        """
        self._costs = costs
        self._horizon: datetime.timedelta | None = None  # of the search
        self._is_unlimited = False  # the search
        self._workers_by_id = workers_by_id
        self._free_by_worker = free_by_worker
        self._now = now
        self._guaranteed = guaranteed
        self._chosen: set[runs.Run] = set()
        self.allocations = 0
        # By the terms of a search and the worker, or the run or gang.
        self._victim_groups: dict[tuple, dict[str, _VictimGroups]] = {}
        self._groups: dict[
            tuple, dict[runs.Run | runs.StepState, _VictimGroup | None]
        ] = {}
        self._at_work_by_step: dict[runs.StepState, frozenset[runs.Run]] = {}

    def save(self) -> "Savepoint":
        """Return the state to restore if a job cannot be planned."""
        return Savepoint(dict(self._free_by_worker), frozenset(self._chosen))

    def restore(self, saved: "Savepoint") -> None:
        """Undo what was allocated and chosen since ``save``."""
        self._free_by_worker = dict(saved.free_by_worker)
        self._chosen = set(saved.chosen)

    def allocate(self, worker_id: str, demand: models.Demand) -> None:
        """Subtract capacity that the round has allocated."""
        self.allocations += 1
        free = self._free_by_worker.get(worker_id)
        if free is not None:
            self._free_by_worker[worker_id] = free.minus(demand)

    def choose(
        self,
        step: runs.StepState,
        count: int,
        may_span_racks: bool,
        max_cost: float,
        excluded: collections.abc.Set[str],
        count_by_worker: collections.Counter[str],
        horizon: datetime.timedelta | None = None,
    ) -> list[Choice]:
        """Return placements for the tasks; for a gang, for all or none.

        Choices that together lose more than ``max_cost`` core-seconds are
        discarded. Runs expected to end within ``horizon`` are not stopped.
        """
        self._horizon = horizon
        self._is_unlimited = max_cost == float("inf")
        eligible = [
            worker_id
            for worker_id in self._free_by_worker
            if worker_id not in excluded
            and _may_run(step, self._workers_by_id[worker_id])
        ]
        if step.model.is_rack_local and not may_span_racks:
            plans = [
                self._choose_within(step, count, group, count_by_worker)
                for group in self._by_rack(eligible)
            ]
        else:
            plans = [
                self._choose_within(step, count, eligible, count_by_worker)
            ]
        plans = [plan for plan in plans if plan]
        if not plans:
            return []
        best = min(plans, key=_rank)
        if step.model.is_gang and len(best) < count:
            return []
        if _cost(best) > max_cost:
            return []
        self._commit(step, best)
        return best

    def _by_rack(self, worker_ids: list[str]) -> list[list[str]]:
        by_rack: dict[str | None, list[str]] = {}
        for worker_id in worker_ids:
            rack = self._workers_by_id[worker_id].rack
            by_rack.setdefault(rack, []).append(worker_id)
        return list(by_rack.values())

    def _commit(self, step: runs.StepState, plan: list[Choice]) -> None:
        demand = placing.demand_of(step.model)
        for choice in plan:
            self.allocate(choice.worker_id, demand)
            for run in choice.victims + choice.ending:
                self._chosen.add(run)
                freed = placing.demand_of(run.step.model)
                self.allocate(run.worker_id, models.Demand().minus(freed))

    def _choose_within(
        self,
        step: runs.StepState,
        count: int,
        worker_ids: list[str],
        count_by_worker: collections.Counter[str],
    ) -> list[Choice]:
        demand = placing.demand_of(step.model)
        free_by_worker = {
            worker_id: self._free_by_worker[worker_id]
            for worker_id in worker_ids
        }
        stopped = set(self._chosen)
        plan: list[Choice] = []
        counts = count_by_worker.copy()
        limit = step.model.spread_limit or len(step.waiting) + sum(
            counts.values()
        )
        # A choice depends on its worker's free capacity and runs only.
        known: dict[str, Choice | None] = {}
        while len(plan) < count:
            best = None
            for worker_id, free in free_by_worker.items():
                if counts[worker_id] >= limit:
                    continue
                if worker_id not in known:
                    known[worker_id] = self._cheapest(
                        worker_id, step, free, stopped
                    )
                choice = known[worker_id]
                if choice and (best is None or choice.rank() < best.rank()):
                    best = choice
                    if not (choice.victims or choice.ending):
                        break
            if best is None:
                break
            plan.append(best)
            counts[best.worker_id] += 1
            _forget(known, best)
            free = free_by_worker[best.worker_id]
            free_by_worker[best.worker_id] = free.minus(demand)
            for run in best.victims + best.ending:
                stopped.add(run)
                if run.worker_id in free_by_worker:
                    freed = placing.demand_of(run.step.model)
                    free = free_by_worker[run.worker_id]
                    free_by_worker[run.worker_id] = free.plus(freed)
        return plan

    def _cheapest(
        self,
        worker_id: str,
        step: runs.StepState,
        free: models.Demand,
        stopped: set[runs.Run],
    ) -> Choice | None:
        demand = placing.demand_of(step.model)
        if demand.fits(free):
            return Choice(0.0, worker_id, ())
        candidates = self._victim_groups_on(worker_id, step)
        if not demand.fits(free.plus(candidates.capacity)):
            return None
        freed: list[runs.Run] = []
        used: list[_VictimGroup] = []
        for group in candidates.groups:
            first = group.runs[0]
            if first in freed or first in stopped:
                continue
            if not self._is_within_budget(group.runs, stopped.union(freed)):
                continue
            freed.extend(group.runs)
            used.append(group)
            for member in group.runs:
                if member.worker_id == worker_id:
                    free = free.plus(placing.demand_of(member.step.model))
            if demand.fits(free):
                return _make_choice(worker_id, used)
        return None

    def _victim_groups_on(
        self, worker_id: str, step: runs.StepState
    ) -> "_VictimGroups":
        job = step.job.job
        priority = job.queue.priority
        is_guaranteed = priority == 0 and job.account in self._guaranteed
        terms = priority, is_guaranteed, self._horizon, self._is_unlimited
        known = self._victim_groups.setdefault(terms, {})
        if worker_id not in known:
            known_groups = self._groups.setdefault(terms, {})
            groups = []
            capacity = models.Demand()
            for run in self._workers_by_id[worker_id].runs_by_task.values():
                unit = run.step if run.step.model.is_gang else run
                if unit not in known_groups:
                    known_groups[unit] = self._victim_group(
                        run, priority, is_guaranteed
                    )
                group = known_groups[unit]
                if group is not None:
                    groups.append(group)
                    capacity = capacity.plus(placing.demand_of(run.step.model))
            groups.sort(key=lambda group: (group.cost, group.left))
            known[worker_id] = _VictimGroups(groups, capacity)
        return known[worker_id]

    def _victim_group(
        self, run: runs.Run, priority: int, is_guaranteed: bool
    ) -> "_VictimGroup | None":
        """Return a run with its gang; None if the step may not use it."""
        group = _group(run)
        costs = self._costs
        if costs is not None:
            left = costs.left(run)
            is_soon = left is not None and self._horizon is not None
            if is_soon and left <= self._horizon:
                return _VictimGroup(0.0, group, True, left)
            if not self._is_unlimited and costs.ends_within_lead(run):
                return None
            if not is_guaranteed and costs.is_exempt(group):
                return None
        if not all(self._may_stop(m, priority, is_guaranteed) for m in group):
            return None
        cost = sum(lost_work(member, self._now) for member in group)
        if costs is not None:
            cost = costs.weigh(group, cost)
        return _VictimGroup(cost, group)

    def _may_stop(
        self, run: runs.Run, priority: int, is_guaranteed: bool
    ) -> bool:
        victim = run.step.model
        if run.phase is not runs.Phase.AT_WORK:
            return False
        if victim.is_lasting and not is_guaranteed:
            return False
        victim_job = run.step.job.job
        if victim_job.queue.priority > priority:
            return priority == 0 or victim.is_checkpointing
        # Urgent work beyond its account's guarantee only borrows capacity.
        return is_guaranteed and victim_job.account not in self._guaranteed

    def _is_within_budget(
        self, group: list[runs.Run], stopped: collections.abc.Set[runs.Run]
    ) -> bool:
        """Return whether a step may lack the group beside those stopped."""
        step = group[0].step
        limit = step.model.max_unavailable
        if not step.model.is_lasting or limit is None:
            return True
        at_work = self._at_work_of(step)
        lost = at_work.intersection(group)
        missing = step.model.width - len(at_work)
        return not lost or missing + len(at_work & stopped | lost) <= limit

    def _at_work_of(self, step: runs.StepState) -> frozenset[runs.Run]:
        """Return the runs of a step of lasting tasks that are at work."""
        if step not in self._at_work_by_step:
            self._at_work_by_step[step] = frozenset(
                run
                for run in step.runs_by_index.values()
                if run.phase is runs.Phase.AT_WORK
                and run.percent >= AT_WORK_PERCENT
            )
        return self._at_work_by_step[step]


def _group(run: runs.Run) -> list[runs.Run]:
    if run.step.model.is_gang:
        return list(run.step.runs_by_index.values())
    return [run]


def _forget(known: dict[str, Choice | None], taken: Choice) -> None:
    """Drop the choices that a further one changes."""
    known.pop(taken.worker_id, None)
    for run in taken.victims + taken.ending:
        known.pop(run.worker_id, None)
        if run.step.model.is_lasting:
            known.clear()  # the step's budget counts on all workers


def _make_choice(worker_id: str, used: list[_VictimGroup]) -> Choice:
    stopped = [run for g in used if not g.ends for run in g.runs]
    ending = [run for g in used if g.ends for run in g.runs]
    return Choice(
        sum(group.cost for group in used),
        worker_id,
        tuple(stopped),
        tuple(ending),
        max(group.left for group in used),
    )


def _rank(plan: list[Choice]) -> tuple:
    """Return a key that sorts the most complete and cheapest plan first."""
    awaits = max(choice.awaits for choice in plan)
    return -len(plan), _cost(plan), awaits


def _cost(plan: list[Choice]) -> float:
    return sum(choice.cost for choice in plan)


def core_equivalent(demand: models.Demand) -> float:
    """Return a demand in cores, with accelerators converted to cores."""
    cores = demand.milli_cores / 1000
    return cores + demand.accelerators * CORES_PER_ACCELERATOR


def lost_work(run: runs.Run, now: datetime.timedelta) -> float:
    """Return the core-seconds of work that a stop would lose."""
    step = run.step.model
    if step.is_lasting:
        return LASTING_LOSS_S * core_equivalent(step.demand)
    lost_s = (now - run.began_at).total_seconds()
    if run.step.job.job.queue.priority == 0:
        lost_s += URGENT_PENALTY_S
    if step.is_checkpointing:
        # A stop saves a checkpoint; restoring it costs little.
        lost_s = min(lost_s, 1.0)
    return lost_s * core_equivalent(step.demand)


def _may_run(step: runs.StepState, worker: runs.Worker) -> bool:
    listing = worker.listing
    model = step.model
    if listing is None or listing.service != step.job.job.queue.service:
        return False
    if model.required_label and model.required_label not in listing.labels:
        return False
    return not model.data_rack or listing.rack == model.data_rack
