"""Weigh what it costs to stop a run for other work.

Load: bursts of urgent jobs beside long work. Without a memory of stops, the
same jobs lose their work again and again; without a look at the work left,
runs are stopped that would have ended before their stop took effect.
"""

import collections.abc
import datetime

from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import run_ends

# The cost of a further stop doubles with each. After four stops a job has
# lost so much that only a guarantee justifies another.
MAX_STOPS = 4
_ZERO = datetime.timedelta()


class VictimCosts:
    """The costs of one round, beyond the work that a stop loses."""

    def __init__(
        self,
        ends: run_ends.RunEnds,
        lead: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Use forecasts of ends and the lead time of preemption."""
        self._ends = ends
        self._lead = lead
        self._now = now

    def left(self, run: runs.Run) -> datetime.timedelta | None:
        """Return the time until a run and its gang end; None if unknown."""
        return self._ends.left(run)

    def ends_within_lead(self, run: runs.Run) -> bool:
        """Return whether a run ends before a stop would let others start."""
        left = self.left(run)
        return left is not None and left <= self._lead

    def still_end(
        self,
        awaited: collections.abc.Sequence[runs.Run],
        within: datetime.timedelta,
    ) -> bool:
        """Return whether runs that a step awaits still end in time."""
        open_runs = [r for r in awaited if r.phase is not runs.Phase.ENDED]
        return bool(open_runs) and all(
            run.phase is runs.Phase.STOPPING
            or ((left := self.left(run)) is not None and left <= within)
            for run in open_runs
        )

    def weigh(
        self, group: collections.abc.Sequence[runs.Run], lost: float
    ) -> float:
        """Return the cost of a stop that loses so many core-seconds.

        Work nearly done costs up to twice as much: its caller is about to be
        served, and it frees its capacity soon anyway.
        """
        first = group[0]  # the members of a gang start and stop together
        cost = lost * 2.0 ** stop_count(first)
        left = self.left(first)
        if left is None:
            return cost
        done = self._now - first.began_at
        total = done + left
        return cost * (1 + done / total) if total > _ZERO else cost

    @staticmethod
    def is_exempt(group: collections.abc.Sequence[runs.Run]) -> bool:
        """Return whether a group stops for guaranteed work only."""
        return stop_count(group[0]) >= MAX_STOPS


def stop_count(run: runs.Run) -> int:
    """Return how often a task or its gang has been stopped for others.

    Each independent task counts for itself: a job with hundreds of them loses
    only a small part of its work with each stop.
    """
    index = run.key.index
    count = run.step.preemptions_by_index[index]
    if not run.is_inherited:
        return count
    # The number within the earlier term counts the runs before it; some of
    # them may have ended otherwise, so this alone exempts nothing.
    earlier = (run.number - 1) % runs.RUN_NUMBERS_PER_TERM
    earlier -= len(run.step.failures_by_index.get(index, ()))
    return max(count, min(max(earlier, 0), MAX_STOPS - 1))


def count_stop(run: runs.Run) -> None:
    """Count that a run is stopped for others."""
    run.step.preemptions_by_index[run.key.index] = stop_count(run) + 1
