"""Learn how long tasks take.

Answers days on which declared run times are far off: each queue's declared
times and its learnt mean compete, and the closer one predicts.
"""

import dataclasses
import datetime
import math

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import runs

WEIGHT = 0.15  # of the newest run; about the last dozen runs count
LEAST_RUNS = 5  # before a run counts as slow
_ZERO = datetime.timedelta()
_LEAST = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class _Record:
    """Hold what a queue's runs have shown."""

    mean_s: float
    declared_error: float = 0.0
    learnt_error: float = 0.0
    count: int = 1


class Durations:
    """Predict run times by queue."""

    def __init__(self) -> None:
        """Start with declared times only."""
        self._records_by_queue: dict[str, _Record] = {}

    def observe(
        self, queue: str, step: models.Step, actual: datetime.timedelta
    ) -> None:
        """Take in a run that worked from start to end in one go."""
        actual_s = max(actual, _LEAST).total_seconds()
        record = self._records_by_queue.get(queue)
        if record is None:
            self._records_by_queue[queue] = _Record(actual_s)
            return
        declared_s = max(step.estimate, _LEAST).total_seconds()
        record.declared_error = _blend(
            record.declared_error, abs(math.log(declared_s / actual_s))
        )
        record.learnt_error = _blend(
            record.learnt_error, abs(math.log(record.mean_s / actual_s))
        )
        record.mean_s = _blend(record.mean_s, actual_s)
        record.count += 1

    def expected(self, queue: str, step: models.Step) -> datetime.timedelta:
        """Return the run time to plan with."""
        record = self._records_by_queue.get(queue)
        if record is None or (
            step.estimate > _ZERO
            and record.declared_error <= record.learnt_error
        ):
            return step.estimate
        return datetime.timedelta(seconds=record.mean_s)

    def longest(
        self, queue: str, step: models.Step
    ) -> datetime.timedelta | None:
        """Return a cautious run time; None before enough runs have ended."""
        record = self._records_by_queue.get(queue)
        if record is None or record.count < LEAST_RUNS:
            return None
        mean = datetime.timedelta(seconds=record.mean_s)
        return max(mean, step.estimate)

    def chain(self, job: models.Job) -> datetime.timedelta:
        """Return the expected length of the longest chain of steps."""
        ends: list[datetime.timedelta] = []
        for step in job.steps:
            begins = [ends[number] for number in step.after]
            begin = max(begins, default=_ZERO)
            ends.append(begin + self.expected(job.queue.name, step))
        return max(ends)

    def objective(self, job: models.Job) -> datetime.timedelta:
        """Return the time within which a job is worth most."""
        slack = self.chain(job) * job.queue.slack_factor
        return slack + job.queue.target_latency

    def remaining(
        self, run: runs.Run, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long a run still takes at the rate that it showed."""
        rate = run.percent_rate()
        if rate is not None:
            percent_now = run.percent + rate * _seconds(now - run.listed_at)
            return datetime.timedelta(seconds=max(100 - percent_now, 0) / rate)
        expected = self.expected(run.step.job.job.queue.name, run.step.model)
        return max(expected - (now - run.began_at), _ZERO)


def _seconds(duration: datetime.timedelta) -> float:
    return duration.total_seconds()


def _blend(old: float, new: float) -> float:
    return old + (new - old) * WEIGHT
