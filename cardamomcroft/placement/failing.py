"""Hold back gangs that fail by themselves.

Load: jobs that can never succeed. Their gangs take room from other jobs at
each attempt, and preempt for it, only to fail again. They still get all
their attempts, where these displace nothing.
"""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs

# One failure is often that of a worker; two in a row are rarely.
MIN_FAILURES = 2
_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _Wait:
    """How long a gang has been held back."""

    failures: int
    total: datetime.timedelta = _ZERO
    counted_at: datetime.timedelta | None = None  # None while it runs


class FailingGangs:
    """Gangs that have failed by themselves, kept between rounds."""

    def __init__(self) -> None:
        """Know of no gang yet."""
        self._waits_by_step: dict[runs.StepState, _Wait] = {}
        self._seen: dict[runs.StepState, _Wait] = {}
        self._newly_deferred: list[plans.Avoidance] = []

    def examine(
        self, job: runs.JobState, now: datetime.timedelta, is_guaranteed: bool
    ) -> None:
        """Decide whether the gangs of a job are held back in this round.

        Guaranteed work has to start within its bound whatever it does.
        """
        for step in job.steps_by_key.values():
            step.is_deferred = False
            if step.failures_by_index and not is_guaranteed:
                step.is_deferred = self._is_deferred(step, now)

    def _is_deferred(
        self, step: runs.StepState, now: datetime.timedelta
    ) -> bool:
        """Return whether a gang waits; count how long it has waited."""
        failures = step.failures_by_index.get(0, (0,))[0]
        model = step.model
        if not model.is_gang or model.is_lasting or failures < MIN_FAILURES:
            return False
        wait = self._waits_by_step.get(step)
        if wait is None:
            wait = _Wait(0)
        self._seen[step] = wait
        if len(step.waiting) < model.width:
            wait.counted_at = None
            return False
        if wait.counted_at is not None:
            wait.total += now - wait.counted_at
        wait.counted_at = now
        if wait.total >= step.job.objective:
            return False
        if wait.failures < failures:
            wait.failures = failures
            self._newly_deferred.append(
                plans.Avoidance(
                    "failing_gang", step.job.job.job_id, model.width
                )
            )
        return True

    def order(
        self,
        jobs: collections.abc.Sequence[runs.JobState],
        now: datetime.timedelta,
    ) -> list[runs.JobState]:
        """Return the jobs, those held back after the others of their queue.

        Jobs that end too late to have any value stay apart, as before.
        """
        self._waits_by_step, self._seen = self._seen, {}
        deferred = {
            step.job.job.job_id
            for step in self._waits_by_step
            if step.is_deferred
        }
        if not deferred:
            return list(jobs)
        last_by_class: dict[tuple[str, bool], int] = {}
        places = []
        for number, job in enumerate(jobs):
            is_past = ordering.is_past_final_deadline(job, now, job.objective)
            kind = (job.job.queue.name, is_past)
            is_deferred = job.job.job_id in deferred
            places.append((is_deferred, kind))
            if not is_deferred:
                last_by_class[kind] = number

        def position(number: int) -> tuple[int, bool, int]:
            is_deferred, kind = places[number]
            place = number
            if is_deferred:
                place = max(number, last_by_class.get(kind, number))
            return place, is_deferred, number

        return [jobs[n] for n in sorted(range(len(jobs)), key=position)]

    def take_newly_deferred(self) -> list[plans.Avoidance]:
        """Return the gangs held back since the last call."""
        found, self._newly_deferred = self._newly_deferred, []
        return found
