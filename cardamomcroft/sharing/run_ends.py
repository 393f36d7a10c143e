"""Forecast cautiously when running tasks free their capacity.

Load: an urgent step finds no free capacity. Whether it should wait or preempt
depends on what frees itself before a stop could free it.
"""

import datetime

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

# A wait that turns out too long costs the urgent job its objective, a stop
# only the work of a run that was about to end: three of four forecast ends
# are in time.
QUANTILE = 0.75
# Of a single estimate without a spread or an observed rate of progress:
# declared run times are wrong by up to 90%.
UNKNOWN_SPREAD_FACTOR = 2
_ZERO = datetime.timedelta()


class RunEnds:
    """The time left to runs and gangs, computed once a round for each."""

    def __init__(
        self, durations: estimates.RunTimes, now: datetime.timedelta
    ) -> None:
        """Forecast from the run times known at a time."""
        self._durations = durations
        self._now = now
        self._left_by_unit: dict[
            runs.Run | runs.StepState, datetime.timedelta | None
        ] = {}

    def left(self, run: runs.Run) -> datetime.timedelta | None:
        """Return the time until a run and its gang end; None if unknown."""
        step = run.step
        unit = step if step.model.is_gang else run
        if unit not in self._left_by_unit:
            if step.model.is_gang:
                left = self._left_of_gang(step)
            else:
                left = self._left_of_run(run)
            self._left_by_unit[unit] = left
        return self._left_by_unit[unit]

    def _left_of_gang(self, step: runs.StepState) -> datetime.timedelta | None:
        """Return the time until all members end; they end together."""
        members = step.runs_by_index.values()
        if len(members) < step.model.width:
            return None  # it waits for a member, or some have ended
        longest = _ZERO
        for member in members:
            left = self._left_of_run(member)
            if left is None:
                return None
            longest = max(longest, left)
        return longest

    def _left_of_run(self, run: runs.Run) -> datetime.timedelta | None:
        if run.phase is not runs.Phase.AT_WORK or run.step.model.is_lasting:
            return None
        left = self._durations.remaining_quantile(run, self._now, QUANTILE)
        if run.percent_rate() is not None:
            return left
        if left > self._durations.remaining(run, self._now):
            return left  # of a known distribution
        if left <= _ZERO:
            return None  # it has outlasted its estimate
        ran = self._now - run.began_at
        return (ran + left) * UNKNOWN_SPREAD_FACTOR - ran
