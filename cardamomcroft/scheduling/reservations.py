"""Reserve capacity that is being freed for the step that preempts.

Without reservations, small tasks take the capacity as it becomes free, and
the urgent task that needs all of it preempts again and again.
"""

import collections
import dataclasses
import datetime

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# A stop takes 0.2 s and the report of its end some polls; after this time it
# is better to plan again. Where stops take longer, sharing.lifetimes applies.
RESERVATION_LIFETIME = datetime.timedelta(seconds=1.5)


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Capacity of a worker that is reserved for tasks of a step."""

    step: runs.StepState
    worker_id: str
    count: int
    until: datetime.timedelta

    def demand(self) -> models.Demand:
        """Return the reserved capacity."""
        return placing.demand_of(self.step.model).times(self.count)


class Reservations:
    """Reservations by step, kept between rounds."""

    def __init__(
        self, lifetime: datetime.timedelta = RESERVATION_LIFETIME
    ) -> None:
        """Drop each reservation once it is older than ``lifetime``."""
        self._lifetime = lifetime
        self._by_step: dict[runs.StepState, list[Reservation]] = {}

    def add(
        self,
        step: runs.StepState,
        worker_ids: list[str],
        now: datetime.timedelta,
    ) -> None:
        """Reserve capacity for one task of the step per worker id given."""
        counts = collections.Counter(worker_ids)
        self._by_step[step] = self._by_step.get(step, []) + [
            Reservation(step, worker_id, count, now + self._lifetime)
            for worker_id, count in counts.items()
        ]

    def drop_expired(self, now: datetime.timedelta) -> None:
        """Drop what has expired or belongs to a step without waiting tasks."""
        for step, entries in list(self._by_step.items()):
            valid = [entry for entry in entries if entry.until > now]
            is_over = step.job.is_cancelled or step.job.final_state
            if not valid or not step.waiting or is_over:
                del self._by_step[step]
            else:
                self._by_step[step] = valid

    def of(self, step: runs.StepState) -> list[Reservation]:
        """Return a step's reservations."""
        return self._by_step.get(step, [])

    def count(self, step: runs.StepState) -> int:
        """Count the tasks of a step that have reserved capacity."""
        return sum(entry.count for entry in self.of(step))

    def use(self, entry: Reservation, count: int) -> None:
        """Release the reserved capacity of tasks that start now."""
        entry.count -= count
        if entry.count <= 0:
            self._by_step[entry.step].remove(entry)
            if not self._by_step[entry.step]:
                del self._by_step[entry.step]

    def drop(self, step: runs.StepState) -> None:
        """Drop a step's reservations; it is planned anew."""
        self._by_step.pop(step, None)

    def drop_workers(self, worker_ids: collections.abc.Set[str]) -> None:
        """Drop what is reserved on workers that get no new tasks.

        A gang is planned anew as a whole, at once instead of after the
        lifetime of its reservations.
        """
        for step, entries in list(self._by_step.items()):
            left = [e for e in entries if e.worker_id not in worker_ids]
            if not left or (step.model.is_gang and len(left) < len(entries)):
                del self._by_step[step]
            else:
                self._by_step[step] = left

    def steps(self) -> list[runs.StepState]:
        """Return the steps that have reservations."""
        return list(self._by_step)

    def all(self) -> list[Reservation]:
        """Return every reservation."""
        return [e for entries in self._by_step.values() for e in entries]
