"""Compare workers by the work that a placement there is likely to waste.

A run that its worker does not outlast is lost, and with it its whole gang.
Small tasks that spread over idle workers and racks keep those from tasks and
gangs that need all of one.
"""

import abc
import collections
import collections.abc
import datetime
import functools
import itertools

from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.placement import speeds
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import runs

# Ranks are tenths of the probability that a worker leaves before the run's
# end: finer differences are within the error of the expectation.
RANKS = 10
# Of a worker that flaps, for gangs: it may be lost at any time, and without
# the notice that a drain gives.
FLAPPING_RANK = RANKS + 2
# Steps of a round whose avoided workers are looked for; bounds its duration.
MAX_EXPLAINED = 20
_STRIKE_SPAN = 64  # strikes that a rank counts; workers are avoided earlier
_FIT_BITS = 40  # more than the accelerators of a worker need


class LeastWaste(placing.PlacementCost):
    """Prefer workers that are likely to stay, and among them the best fit."""

    def __init__(
        self,
        ranks_by_id: dict[str, int],
        free_by_rack: dict[str, float],
        speeds_by_id: dict[str, int],
        is_urgent: bool,
    ) -> None:
        """Place on workers with a rank only after those without one.

        The free capacity of the racks is in cores. Speeds are numbers of
        classes; there are none if all workers are of one class.
        """
        self.ranks_by_id = ranks_by_id
        self._free_by_rack = free_by_rack
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
            self._free_by_rack.get(worker.rack, 0),
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
            return (free_workers,)
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
            weights = [max(worker.free.accelerators, 0) for worker in rack]
            total = sum(
                self.ranks_by_id.get(worker.worker_id, 0) * weight
                for worker, weight in zip(rack, weights, strict=True)
            )
            self._ranks_by_rack[name] = round(total / max(sum(weights), 1))
        return self._ranks_by_rack[name]


class RoundCosts(abc.ABC):
    """The costs of placements in one round."""

    @abc.abstractmethod
    def of(self, step: runs.StepState) -> placing.PlacementCost:
        """Return how to compare workers for a step."""

    def avoidances(self, starts: list[plans.Start]) -> list[plans.Avoidance]:
        """Return which starts other workers with room were left out for."""
        return []


class _SameCosts(RoundCosts):
    """Decide by best fit only."""

    def of(self, step: runs.StepState) -> placing.PlacementCost:
        """Return the best fit."""
        return placing.BEST_FIT


class _ExpectedCosts(RoundCosts):
    """Decide by what is expected of the workers during a step."""

    def __init__(
        self,
        free_workers: list[placing.FreeWorker],
        outlook: outlooks.Outlook,
        durations: estimates.RunTimes,
    ) -> None:
        """Compute each cost when it is first needed."""
        self._free_workers = free_workers
        self._outlook = outlook
        self._durations = durations
        self._costs_by_key: dict[tuple, LeastWaste] = {}

    def of(self, step: runs.StepState) -> LeastWaste:
        """Return how to compare workers for a step."""
        service = step.job.job.queue.service
        departure = self._outlook.departures_by_service.get(service)
        levels = (0, 0)
        if departure is not None:
            run_time = self._durations.expected(step.job.job, step.model)
            levels = leave_ranks(departure, step.model, run_time)
        flapping = self._outlook.flapping if step.model.is_gang else ()
        is_urgent = step.job.job.queue.priority == 0
        key = (service, levels, bool(flapping), is_urgent)
        cost = self._costs_by_key.get(key)
        if cost is None:
            ranks_by_id = _ranks(departure, levels) if any(levels) else {}
            for worker_id in flapping:
                ranks_by_id[worker_id] = FLAPPING_RANK
            cost = self._costs_by_key[key] = LeastWaste(
                ranks_by_id,
                self._free_by_rack,
                self._speeds_by_id,
                is_urgent,
            )
        return cost

    @functools.cached_property
    def _speeds_by_id(self) -> dict[str, int]:
        """Return the speed classes of the workers, once a round."""
        return speeds.classes(self._free_workers, self._durations)

    @functools.cached_property
    def _free_by_rack(self) -> dict[str, float]:
        """Return the free capacity of each rack, once a round."""
        free_by_rack: dict[str, float] = collections.defaultdict(float)
        for worker in self._free_workers:
            free = preempting.core_equivalent(worker.free)
            free_by_rack[worker.rack] += free
        return free_by_rack

    def avoidances(self, starts: list[plans.Start]) -> list[plans.Avoidance]:
        """Return which starts other workers with room were left out for."""
        counts = collections.Counter(start.step for start in starts)
        worker_ids = {start.worker_id for start in starts}
        found = []
        for step, count in itertools.islice(counts.items(), MAX_EXPLAINED):
            ranks_by_id = self.of(step).ranks_by_id
            if not ranks_by_id:
                continue
            demand = placing.demand_of(step.model)
            reasons = {
                _reason(ranks_by_id[worker.worker_id])
                for worker in self._free_workers
                if worker.worker_id in ranks_by_id
                and worker.worker_id not in worker_ids
                and demand.fits(worker.free)
            }
            found += [
                plans.Avoidance(reason, step.job.job.job_id, count)
                for reason in sorted(reasons)
            ]
        return found


def leave_ranks(
    departure: outlooks.Departure,
    step: models.Step,
    run_time: datetime.timedelta,
) -> tuple[int, int]:
    """Return the ranks of workers in racks that have begun, and of others.

    A gang is lost with any of its members.
    """
    members = step.width if step.is_gang else 1
    begun, others = (
        min(1.0, probability * members)
        for probability in departure.probabilities(run_time)
    )
    first, second = round(begun * RANKS), round(others * RANKS)
    # Where either is nearly certain to leave, those that leave later are
    # still the better ones.
    return max(first, second + 1) if second else first, second


def _reason(rank: int) -> str:
    """Return why placements avoid a worker."""
    return "flapping" if rank == FLAPPING_RANK else "leaving"


def _ranks(
    departure: outlooks.Departure, levels: tuple[int, int]
) -> dict[str, int]:
    begun, others = levels
    ranks_by_id = dict.fromkeys(departure.begun, begun) if begun else {}
    if others:
        ranks_by_id.update(dict.fromkeys(departure.others, others))
    return ranks_by_id


def make(
    plans_ahead: bool,
    free_workers: list[placing.FreeWorker],
    outlook: outlooks.Outlook,
    durations: estimates.RunTimes,
) -> RoundCosts:
    """Return the costs of a round."""
    if not plans_ahead:
        return _SameCosts()
    return _ExpectedCosts(free_workers, outlook, durations)
