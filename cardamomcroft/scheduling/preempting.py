"""Choose what to stop so that urgent work begins in time.

Answers floods of the less urgent work: accounts get what they are
guaranteed within the bound, and urgent jobs do not queue behind long ones.
"""

import dataclasses
import datetime

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# Accelerators weigh as many cores in work that is thrown away (prices).
CORES_AN_ACCELERATOR = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold victims on one worker and the work that they lose."""

    cost: float  # core-seconds
    worker_id: str
    victims: tuple[runs.Run, ...]


class Preemption:
    """Find victims in one round, counting what is being freed already."""

    def __init__(
        self, workers_by_id: dict[str, runs.Worker], now: datetime.timedelta
    ) -> None:
        """Take the workers."""
        self._workers_by_id = workers_by_id
        self._now = now
        self._free_by_worker: dict[str, models.Demand] = {}
        self._is_prepared = False
        self._started: list[tuple[str, models.Demand]] = []
        self._chosen: set[runs.Run] = set()

    def note_start(self, worker_id: str, demand: models.Demand) -> None:
        """Count room that the round has given away."""
        if self._is_prepared:
            self._give(worker_id, models.Demand().minus(demand))
        else:
            self._started.append((worker_id, demand))

    def _prepare(self) -> None:
        if self._is_prepared:
            return
        self._is_prepared = True
        for worker in self._workers_by_id.values():
            free = _free_soon(worker, self._now)
            if free is not None:
                self._free_by_worker[worker.worker_id] = free
        for worker_id, demand in self._started:
            self._give(worker_id, models.Demand().minus(demand))

    def _give(self, worker_id: str, demand: models.Demand) -> None:
        free = self._free_by_worker.get(worker_id)
        if free is not None:
            self._free_by_worker[worker_id] = free.plus(demand)

    def victims(
        self, step: runs.StepState, count: int, is_guaranteed: bool
    ) -> list[runs.Run]:
        """Return the runs to stop for count tasks, whole gangs together."""
        self._prepare()
        demand = placing.demand_of(step.model)
        chosen: list[runs.Run] = []
        for _ in range(count):
            choices = [
                choice
                for worker_id in self._free_by_worker
                if (choice := self._cheapest(worker_id, step, is_guaranteed))
            ]
            if not choices:
                # A gang needs room for all of its tasks or for none.
                return [] if step.model.is_gang else chosen
            best = min(choices, key=lambda choice: choice.cost)
            self._give(best.worker_id, models.Demand().minus(demand))
            for run in best.victims:
                self._chosen.add(run)
                self._give(run.worker_id, placing.demand_of(run.step.model))
            chosen.extend(best.victims)
        return chosen

    def _cheapest(
        self, worker_id: str, step: runs.StepState, is_guaranteed: bool
    ) -> Choice | None:
        worker = self._workers_by_id[worker_id]
        if not _may_run(step, worker):
            return None
        demand = placing.demand_of(step.model)
        free = self._free_by_worker[worker_id]
        if demand.fits(free):
            return Choice(0.0, worker_id, ())
        groups = []
        for run in worker.runs_by_task.values():
            group = self._group(run)
            if all(_may_stop(member, is_guaranteed) for member in group):
                groups.append((self._cost(group), run, group))
        groups.sort(key=lambda entry: entry[0])
        cost, victims = 0.0, []
        for group_cost, run, group in groups:
            if run in victims:
                continue
            victims.extend(group)
            cost += group_cost
            here = (m for m in group if m.worker_id == worker_id)
            for member in here:
                free = free.plus(placing.demand_of(member.step.model))
            if demand.fits(free):
                return Choice(cost, worker_id, tuple(victims))
        return None

    def _group(self, run: runs.Run) -> list[runs.Run]:
        if run.step.model.is_gang:
            return list(run.step.runs_by_index.values())
        return [run]

    def _cost(self, group: list[runs.Run]) -> float:
        return sum(lost_work(run, self._now) for run in group) + sum(
            run in self._chosen for run in group
        )


def lost_work(run: runs.Run, now: datetime.timedelta) -> float:
    """Return the core-seconds that a stop would throw away."""
    step = run.step.model
    cores = step.demand.milli_cores / 1000
    weight = cores + step.demand.accelerators * CORES_AN_ACCELERATOR
    lost_s = (now - run.began_at).total_seconds()
    if step.is_checkpointing:
        lost_s = min(lost_s, 1.0)  # a stop saves; restoring costs a little
    return lost_s * weight


def _may_stop(run: runs.Run, is_guaranteed: bool) -> bool:
    step = run.step.model
    if run.phase is not runs.Phase.AT_WORK or step.is_lasting:
        return False
    if run.step.job.job.queue.priority == 0:
        return False
    return is_guaranteed or step.is_checkpointing


def _may_run(step: runs.StepState, worker: runs.Worker) -> bool:
    listing = worker.listing
    model = step.model
    if listing.service != step.job.job.queue.service:
        return False
    if model.required_label and model.required_label not in listing.labels:
        return False
    return not model.data_rack or listing.rack == model.data_rack


def _free_soon(
    worker: runs.Worker, now: datetime.timedelta
) -> models.Demand | None:
    listing = worker.listing
    if listing is None or listing.state.value != "ready":
        return None
    if worker.unreachable_since is not None or worker.avoid_until > now:
        return None
    free = models.Demand(
        listing.milli_cores, listing.memory_mb, listing.accelerators
    )
    for run in worker.runs_by_task.values():
        if run.phase is not runs.Phase.STOPPING:
            free = free.minus(placing.demand_of(run.step.model))
    return free
