"""Leave some workers idle for urgent work that is about to come.

Answers mixes in which long work fills every worker: an urgent job then
begins at once, and nothing is thrown away for it. The room left grows with
the urgent jobs seen, and with the square root of the load that they make:
that is how far such a load strays from its mean.
"""

import collections.abc
import dataclasses
import datetime
import math

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing

WEIGHT = 0.2  # of the newest urgent job; about the last ten count
JOBS = 1.5  # mean urgent jobs to keep room for
MOST = 0.12  # of all accelerators
DEVIATIONS = 0.75  # of the urgent load
# Sizes of urgent jobs vary about as much as their mean (brief).
SIZE_VARIANCE = 1.0
LOAD_PERIOD = datetime.timedelta(milliseconds=250)
LOAD_WEIGHT = 0.04  # of the newest sample; about the last six seconds count
_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class Headroom:
    """Learn how much room urgent jobs need."""

    mean: float = 0.0  # accelerators of an urgent job
    load: float = 0.0  # accelerators that urgent jobs use or wait for
    _next_at: datetime.timedelta = _ZERO

    def observe(self, job: models.Job) -> None:
        """Take in an accepted job."""
        if job.queue.priority != 0:
            return
        self.mean += (_accelerators(job) - self.mean) * WEIGHT

    def note_load(
        self,
        urgent_jobs: collections.abc.Iterable[models.Job],
        now: datetime.timedelta,
    ) -> None:
        """Take in the urgent jobs that have not ended."""
        if now < self._next_at:
            return
        self._next_at = now + LOAD_PERIOD
        load = sum(_accelerators(job) for job in urgent_jobs)
        self.load += (load - self.load) * LOAD_WEIGHT

    def _wanted(self) -> float:
        variance = self.load * self.mean * (1 + SIZE_VARIANCE)
        return max(self.mean * JOBS, math.sqrt(variance) * DEVIATIONS)

    def kept(
        self,
        rooms: collections.abc.Iterable[placing.Room],
        total: int,
    ) -> frozenset[str]:
        """Return the workers kept, the emptiest of the emptiest racks."""
        wanted = min(self._wanted(), total * MOST)
        by_rack: dict[str, list[placing.Room]] = {}
        for room in rooms:
            if room.free.accelerators > 0:
                by_rack.setdefault(room.rack, []).append(room)
        racks = sorted(by_rack.values(), key=_free, reverse=True)
        kept: set[str] = set()
        for rack in racks:
            for room in sorted(rack, key=lambda r: -r.free.accelerators):
                # A worker far larger than the need is not kept for it.
                if room.free.accelerators > wanted * 2:
                    return frozenset(kept)
                wanted -= room.free.accelerators
                kept.add(room.worker_id)
        return frozenset(kept)


def _accelerators(job: models.Job) -> int:
    return sum(step.demand.accelerators * step.width for step in job.steps)


def _free(rooms: list[placing.Room]) -> int:
    return sum(room.free.accelerators for room in rooms)
