"""Report which placements were avoided, at a bounded rate."""

import collections
import datetime

from cardamomcroft.ports import base
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import plans

PERIOD = datetime.timedelta(seconds=1)  # of the lines, one for each reason


class AvoidanceLog:
    """Counts of avoided placements, and a sample of the jobs."""

    def __init__(self, clock: base.Clock, log: events.Events) -> None:
        """Write to ``log``."""
        self._clock = clock
        self._log = log
        self._tasks: collections.Counter[str] = collections.Counter()
        self._jobs_by_reason: dict[str, set[str]] = {}
        self._next_lines = clock.monotonic()

    def report(
        self, avoidances: list[plans.Avoidance], leaving: int, flapping: int
    ) -> None:
        """Count avoided placements; log them once a second."""
        metric = self._log.metrics.placements_avoided
        for avoidance in avoidances:
            metric.labels(avoidance.reason).inc(avoidance.tasks)
            self._tasks[avoidance.reason] += avoidance.tasks
            jobs = self._jobs_by_reason.setdefault(avoidance.reason, set())
            jobs.add(avoidance.job_id)
        now = self._clock.monotonic()
        if not self._tasks or now < self._next_lines:
            return
        self._next_lines = now + PERIOD
        for reason, tasks in sorted(self._tasks.items()):
            jobs = self._jobs_by_reason[reason]
            self._log.emit(
                "placement_avoided",
                reason=reason,
                tasks=tasks,
                jobs=len(jobs),
                job_id=min(jobs),  # one of them
                leaving=leaving,
                flapping=flapping,
            )
        self._tasks.clear()
        self._jobs_by_reason.clear()
