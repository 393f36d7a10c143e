"""Keep some workers idle as headroom for urgent jobs to come.

When long work would fill every worker, an urgent job still starts at once and
no work is lost to preemption. The headroom grows with the urgent jobs observed
and stays a small share of all accelerators.
"""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.sharing import arrivals

EMA_WEIGHT = 0.2  # of the newest urgent job; about the last ten count
HEADROOM_JOBS = 1.5  # urgent jobs of mean size that fit the headroom
MAX_HEADROOM_SHARE = 0.12  # of all accelerators


@dataclasses.dataclass(slots=True)
class Headroom:
    """Headroom sized by the moving average of urgent jobs' demands."""

    mean_accelerators: float = 0.0  # of an urgent job
    # Where scheduling plans ahead: the arrivals to size it by, the time from a
    # stop order to the start in its place, and the time of the round.
    rate: arrivals.ArrivalRate | None = None
    lead: datetime.timedelta = datetime.timedelta()
    now: datetime.timedelta = datetime.timedelta()
    kept: int = 0  # free accelerators on the workers last chosen
    # The headroom workers of the round; none if no step had to leave them.
    chosen_ids: frozenset[str] = frozenset()

    def observe(
        self,
        job: models.Job,
        accepted_at: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Record the demand of an accepted job."""
        if job.queue.priority != 0:
            return
        wanted = sum(
            step.demand.accelerators * step.width for step in job.steps
        )
        self.mean_accelerators += (
            wanted - self.mean_accelerators
        ) * EMA_WEIGHT
        if self.rate is not None:
            self.rate.observe(wanted, accepted_at)

    def wanted(self, total: int) -> float:
        """Return the accelerators to keep, of the total given."""
        if self.rate is None:
            return min(
                self.mean_accelerators * HEADROOM_JOBS,
                total * MAX_HEADROOM_SHARE,
            )
        return arrivals.headroom_wanted(
            self.rate.per_second(self.now),
            self.mean_accelerators,
            self.lead,
            total,
        )

    def begin_round(self, now: datetime.timedelta) -> None:
        """Forget the workers of the last round."""
        self.now = now
        self.chosen_ids = frozenset()

    def headroom_workers(
        self,
        free_workers: collections.abc.Iterable[placing.FreeWorker],
        total: int,
        leaving: collections.abc.Set[str] = frozenset(),
    ) -> frozenset[str]:
        """Choose the headroom workers: the emptiest of the emptiest racks.

        Workers that are expected to leave come first: urgent runs mostly end
        before such a worker does. In a release the workers already replaced
        are the emptiest, and long work needs them.
        """
        self.kept = 0
        self.chosen_ids = frozenset(
            self._choose(free_workers, self.wanted(total), leaving)
        )
        return self.chosen_ids

    def _choose(
        self,
        free_workers: collections.abc.Iterable[placing.FreeWorker],
        wanted: float,
        leaving: collections.abc.Set[str],
    ) -> collections.abc.Iterator[str]:
        """Yield the headroom workers, and count what they keep."""
        groups: dict[bool, dict[str, list[placing.FreeWorker]]] = {
            True: {},
            False: {},
        }
        for worker in free_workers:
            if worker.free.accelerators > 0:
                by_rack = groups[worker.worker_id in leaving]
                by_rack.setdefault(worker.rack, []).append(worker)
        for by_rack in groups.values():
            for worker in _emptiest_first(by_rack):
                # A worker far larger than the need is not worth keeping idle.
                if worker.free.accelerators > wanted * 2:
                    return
                wanted -= worker.free.accelerators
                self.kept += worker.free.accelerators
                yield worker.worker_id


def _emptiest_first(
    by_rack: dict[str, list[placing.FreeWorker]],
) -> collections.abc.Iterator[placing.FreeWorker]:
    """Yield the workers, the emptiest racks and their emptiest first."""
    for rack in sorted(by_rack.values(), key=_free_accelerators, reverse=True):
        yield from sorted(rack, key=lambda w: -w.free.accelerators)


def _free_accelerators(workers: list[placing.FreeWorker]) -> int:
    return sum(worker.free.accelerators for worker in workers)
