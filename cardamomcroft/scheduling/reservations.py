"""Keep room that is being freed for the work that it is freed for.

Without it, small tasks take each piece as it becomes free, and the urgent
task that needs the whole preempts again and again.
"""

import collections
import dataclasses
import datetime

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# A stop takes 0.2 s and its end some polls; then a new plan is better.
HOLD_TIME = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Keep room on a worker for some tasks of a step."""

    step: runs.StepState
    worker_id: str
    count: int
    until: datetime.timedelta

    def demand(self) -> models.Demand:
        """Return the room kept."""
        return placing.demand_of(self.step.model).times(self.count)


class Reservations:
    """Hold the reservations between rounds."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_step: dict[runs.StepState, list[Reservation]] = {}

    def add(
        self,
        step: runs.StepState,
        worker_ids: list[str],
        now: datetime.timedelta,
    ) -> None:
        """Keep room for one task of the step on each worker named."""
        counts = collections.Counter(worker_ids)
        self._by_step[step] = self._by_step.get(step, []) + [
            Reservation(step, worker_id, count, now + HOLD_TIME)
            for worker_id, count in counts.items()
        ]

    def drop_useless(self, now: datetime.timedelta) -> None:
        """Drop what has expired or whose tasks no longer wait."""
        for step, entries in list(self._by_step.items()):
            kept = [entry for entry in entries if entry.until > now]
            is_over = step.job.is_cancelled or step.job.final_state
            if not kept or not step.waiting or is_over:
                del self._by_step[step]
            else:
                self._by_step[step] = kept

    def of(self, step: runs.StepState) -> list[Reservation]:
        """Return a step's reservations."""
        return self._by_step.get(step, [])

    def count(self, step: runs.StepState) -> int:
        """Count the tasks of a step for which room is kept."""
        return sum(entry.count for entry in self.of(step))

    def use(self, entry: Reservation, count: int) -> None:
        """Give up the room of tasks that start now."""
        entry.count -= count
        if entry.count <= 0:
            self._by_step[entry.step].remove(entry)
            if not self._by_step[entry.step]:
                del self._by_step[entry.step]

    def steps(self) -> list[runs.StepState]:
        """Return the steps for which room is kept."""
        return list(self._by_step)

    def all(self) -> list[Reservation]:
        """Return every reservation."""
        return [e for entries in self._by_step.values() for e in entries]
