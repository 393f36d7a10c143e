"""Estimate when a service will have begun its waiting work.

Load: a flood that cannot be served, and jobs that wait although workers have
room, because a takeover or an outage has held up their starts. Work that fits
the free room delays nobody, and running work gives up its room as it ends.
"""

import collections
import collections.abc
import dataclasses
import datetime
import typing

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import fair_shares

# Forecasts are in whole seconds, so a half is exact enough; finer slots make
# the computation longer.
SLOT_S = 0.5
# As queue_waits.MAX_RETRY_S; beyond it, work counts by its volume alone.
HORIZON_SLOTS = 120
# An inherited run began at an unknown time before: on average at its half.
INHERITED_SHARE_LEFT = 0.5
_NEGLIGIBLE = 1e-9

Vector = fair_shares.Vector
_Key = typing.TypeVar("_Key")


@dataclasses.dataclass(slots=True)
class Backlog:
    """Waiting work in parts of a service's capacity."""

    demand: Vector = fair_shares.NOTHING  # of the tasks whose turn has come
    work_s: Vector = fair_shares.NOTHING  # for how long it fills the service

    def add(self, demand: Vector, work_s: Vector) -> None:
        """Add a job's waiting work."""
        self.demand = fair_shares.plus(self.demand, demand)
        self.work_s = fair_shares.plus(self.work_s, work_s)

    def part(self, share: float) -> "Backlog":
        """Return a part of this work."""
        return Backlog(
            fair_shares.plus(fair_shares.NOTHING, self.demand, share),
            fair_shares.plus(fair_shares.NOTHING, self.work_s, share),
        )

    @property
    def slots(self) -> int:
        """Return for how many slots its tasks keep their room, at least 1."""
        if max(self.demand) <= 0:
            return 1
        seconds = max(self.work_s) / max(self.demand)
        return max(round(seconds / SLOT_S), 1)


def add_job(
    backlog: Backlog,
    job: runs.JobState,
    total: models.Demand,
    durations: estimates.RunTimes,
    wall: datetime.datetime,
) -> None:
    """Add what of a job waits, unless it waits for its own steps only.

    Later steps take the room of earlier ones, so they lengthen its use.
    """
    demand = work_s = fair_shares.NOTHING
    counts = queue_waits.count_waiting(job, wall)
    ready = _count_ready(job, wall)
    for model, count, ready_count in zip(
        job.job.steps, counts, ready, strict=True
    ):
        if count and not model.is_lasting:
            task = fair_shares.fractions(placing.demand_of(model), total)
            seconds = durations.expected(job.job, model).total_seconds()
            demand = fair_shares.plus(demand, task, ready_count)
            work_s = fair_shares.plus(work_s, task, count * seconds)
    if max(demand) > 0:
        backlog.add(demand, work_s)


def _count_ready(job: runs.JobState, wall: datetime.datetime) -> list[int]:
    """Count the waiting tasks whose dependencies are done, by step."""
    unopened = occurrences.count_unopened(job, wall)
    counts = [
        0 if step.after else step.width * unopened for step in job.job.steps
    ]
    for (occurrence, number), step in job.steps_by_key.items():
        if step.waiting and all(
            job.steps_by_key[occurrence, before].is_done
            for before in step.model.after
        ):
            counts[number] += len(step.waiting)
    return counts


class Room:
    """Free capacity of a service and what its runs will give up."""

    def __init__(
        self, workers: list[runs.Worker], total: models.Demand
    ) -> None:
        """Take the workers that get work, in parts of the total capacity."""
        self._workers = [
            worker
            for worker in capacities.counted(workers)
            if worker.listing.state is fleet.ServerState.READY
        ]
        self._total = total
        self.free = fair_shares.NOTHING
        for worker in self._workers:
            free = capacities.capacity_of(worker.listing).minus(worker.used())
            self.free = fair_shares.plus(
                self.free, fair_shares.fractions(free, total)
            )
        # What runs of each priority free in a slot.
        self._ends: dict[tuple[int, int], Vector] = {}

    def has_room_for(
        self, backlogs: collections.abc.Iterable[Backlog]
    ) -> bool:
        """Return whether all of this work could begin now."""
        demand = fair_shares.NOTHING
        for backlog in backlogs:
            demand = fair_shares.plus(demand, backlog.demand)
        return all(
            need <= max(have, 0.0)
            for need, have in zip(demand, self.free, strict=True)
        )

    def foresee_ends(
        self,
        durations: estimates.RunTimes,
        now: datetime.timedelta,
        lead: datetime.timedelta,
    ) -> None:
        """Estimate when the runs end; a stop takes the lead at most."""
        lead_slot = _slot(lead)
        sums: dict[tuple[int, int], list[int]] = {}
        for worker in self._workers:
            for run in worker.runs_by_task.values():
                model = run.step.model
                if model.is_lasting:
                    continue
                left = durations.remaining(run, now)
                if run.is_inherited or run.phase is runs.Phase.INHERITED:
                    left *= INHERITED_SHARE_LEFT
                slot = _slot(left)
                if run.phase is runs.Phase.STOPPING:
                    slot = min(slot, lead_slot)
                key = run.step.job.job.queue.priority, slot
                freed = sums.setdefault(key, [0, 0, 0])
                if not model.is_filling:
                    freed[0] += model.demand.milli_cores
                freed[1] += model.demand.memory_mb
                freed[2] += model.demand.accelerators
        self._ends = {
            key: fair_shares.fractions(models.Demand(*freed), self._total)
            for key, freed in sums.items()
        }

    def seconds_to_begin(
        self,
        backlogs: list[Backlog],
        priority: int,
        lead: datetime.timedelta,
    ) -> float:
        """Return when all of this work has begun, in this order.

        Runs of less urgent work are stopped for it, which takes the lead.
        """
        freed_by_slot: dict[int, Vector] = {}
        for (run_priority, slot), freed in self._ends.items():
            if run_priority > priority:
                slot = min(slot, _slot(lead))
            _add(freed_by_slot, slot, freed)
        slot, free = 0, self.free
        for number, backlog in enumerate(backlogs):
            left, slots = 1.0, backlog.slots
            while True:
                part = min(_fitting(free, backlog.demand), left)
                if part > 0:
                    taken = backlog.part(part).demand
                    free = fair_shares.plus(free, taken, -1.0)
                    _add(freed_by_slot, slot + slots, taken)
                    left -= part
                if left <= _NEGLIGIBLE:
                    break
                slot += 1
                if slot > HORIZON_SLOTS:
                    rest = [backlog.part(left), *backlogs[number + 1 :]]
                    return HORIZON_SLOTS * SLOT_S + _volume_s(rest)
                freed = freed_by_slot.pop(slot, fair_shares.NOTHING)
                free = fair_shares.plus(free, freed)
        return slot * SLOT_S


def _slot(left: datetime.timedelta) -> int:
    return max(round(left.total_seconds() / SLOT_S), 1)


def _add(sums: dict[_Key, Vector], key: _Key, freed: Vector) -> None:
    sums[key] = fair_shares.plus(sums.get(key, fair_shares.NOTHING), freed)


def _fitting(free: Vector, demand: Vector) -> float:
    """Return which part of a demand fits."""
    part = 1.0
    for have, need in zip(free, demand, strict=True):
        if need > _NEGLIGIBLE and have < need * part:
            part = max(have, 0.0) / need
    return part


def _volume_s(backlogs: list[Backlog]) -> float:
    """Return for how long work fills the whole service."""
    work_s = fair_shares.NOTHING
    for backlog in backlogs:
        work_s = fair_shares.plus(work_s, backlog.work_s)
    return max(work_s)
