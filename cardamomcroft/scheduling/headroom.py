"""Leave some workers idle for urgent work that is about to come.

Answers mixes in which long work fills every worker: an urgent job then
begins at once, and nothing is thrown away for it. The room left grows with
the urgent jobs seen and is small beside the whole.
"""

import collections.abc
import dataclasses

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing

WEIGHT = 0.2  # of the newest urgent job; about the last ten count
JOBS = 1.5  # mean urgent jobs to keep room for
MOST = 0.12  # of all accelerators


@dataclasses.dataclass(slots=True)
class Headroom:
    """Learn how much room urgent jobs need."""

    mean: float = 0.0  # accelerators of an urgent job

    def observe(self, job: models.Job) -> None:
        """Take in an accepted job."""
        if job.queue.priority != 0:
            return
        wanted = sum(
            step.demand.accelerators * step.width for step in job.steps
        )
        self.mean += (wanted - self.mean) * WEIGHT

    def kept(
        self,
        rooms: collections.abc.Iterable[placing.Room],
        total: int,
    ) -> frozenset[str]:
        """Return the workers kept, the emptiest of the emptiest racks."""
        wanted = min(self.mean * JOBS, total * MOST)
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


def _free(rooms: list[placing.Room]) -> int:
    return sum(room.free.accelerators for room in rooms)
