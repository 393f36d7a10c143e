"""Plan each job by itself: an error in one has no effect on the others."""

import collections.abc
import dataclasses

from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs

Version = tuple[plans.Size, int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Savepoint:
    """What planning a job may change."""

    version: Version
    size: plans.Size
    pool: placing.Savepoint
    preemption: preempting.Savepoint


class Isolation:
    """Undo what was decided on a job that could not be planned."""

    def __init__(
        self,
        plan: plans.Plan,
        pool: placing.WorkerPool,
        preemption: preempting.Preemption,
        reserved: reservations.Reservations,
        holds: holding.Holds,
    ) -> None:
        """Start from the state before any job is planned."""
        self._plan = plan
        self._pool = pool
        self._preemption = preemption
        self._reservations = reserved
        self._holds = holds
        self._saved = self._save()

    def decide(
        self,
        job: runs.JobState,
        function: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> bool:
        """Call a function that decides on a job; return whether it could."""
        # Most waiting jobs change nothing, so few savepoints are needed.
        if self._saved.version != self._version():
            self._saved = self._save()
        try:
            function(*arguments)
        except Exception as error:
            self._undo(job)
            self._plan.failures.append(
                plans.Failure(job.job.job_id, repr(error))
            )
            return False
        return True

    def _version(self) -> Version:
        return (
            self._plan.size(),
            len(self._pool.held),
            self._preemption.allocations,
        )

    def _save(self) -> _Savepoint:
        return _Savepoint(
            self._version(),
            self._plan.size(),
            self._pool.save(),
            self._preemption.save(),
        )

    def _undo(self, job: runs.JobState) -> None:
        self._plan.shrink(self._saved.size)
        self._pool.restore(self._saved.pool)
        self._preemption.restore(self._saved.preemption)
        for step in job.steps_by_key.values():
            self._reservations.drop(step)
            self._holds.drop(step)
