"""Derive the costs of a round's placements from what is expected."""

import abc
import collections
import datetime
import functools
import itertools

from cardamomcroft.placement import least_waste
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.placement import speeds
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs

# Ranks are tenths of the probability that a worker leaves before the run's
# end: finer differences are within the error of the expectation.
RANKS = 10
# Of a worker that flaps, for gangs: it may be lost at any time, and without
# the notice that a drain gives.
FLAPPING_RANK = RANKS + 2
# Steps of a round whose avoided workers are looked for; bounds its duration.
MAX_EXPLAINED = 20


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
        self._costs_by_key: dict[tuple, least_waste.LeastWaste] = {}

    def of(self, step: runs.StepState) -> least_waste.LeastWaste:
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
            cost = self._costs_by_key[key] = least_waste.LeastWaste(
                ranks_by_id,
                self._racks,
                self._speeds_by_id,
                is_urgent,
            )
        return cost

    @functools.cached_property
    def _speeds_by_id(self) -> dict[str, int]:
        """Return the speed classes of the workers, once a round."""
        return speeds.classes(self._free_workers, self._durations)

    @functools.cached_property
    def _racks(self) -> least_waste.Racks:
        """Return the free capacity of each rack, once a round."""
        return least_waste.Racks.of(self._free_workers)

    def avoidances(self, starts: list[plans.Start]) -> list[plans.Avoidance]:
        """Return which starts other workers with room were left out for."""
        avoided_ids = self._outlook.avoided_ids()
        if not avoided_ids:
            return []
        avoided_ids -= {start.worker_id for start in starts}
        avoided = [
            worker
            for worker in self._free_workers
            if worker.worker_id in avoided_ids
        ]
        counts = collections.Counter(start.step for start in starts)
        found = []
        for step, count in itertools.islice(counts.items(), MAX_EXPLAINED):
            ranks_by_id = self.of(step).ranks_by_id
            demand = placing.demand_of(step.model)
            reasons = {
                _reason(ranks_by_id[worker.worker_id])
                for worker in avoided
                if worker.worker_id in ranks_by_id and demand.fits(worker.free)
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
