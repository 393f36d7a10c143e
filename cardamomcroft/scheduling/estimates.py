"""Predict how long tasks take.

Declared run times can be far off, so each queue's declared times compete with
its learned mean, and the one with the smaller error predicts.
"""

import abc
import dataclasses
import datetime
import math

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import runs

EMA_WEIGHT = 0.15  # of the newest run; about the last dozen runs count
MIN_RUNS = 5  # before a run can count as slow
_ZERO = datetime.timedelta()
_MIN_DURATION = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class _QueueStatistics:
    """Moving averages of a queue's run times and prediction errors."""

    mean_s: float
    declared_error: float = 0.0
    learned_error: float = 0.0
    count: int = 1


class RunTimes(abc.ABC):
    """Predict run times from those of the runs that have ended."""

    @abc.abstractmethod
    def observe(
        self, job: models.Job, step: models.Step, actual: datetime.timedelta
    ) -> None:
        """Record the run time of an uninterrupted run that is done."""

    @abc.abstractmethod
    def expected(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta:
        """Return the run time to plan with."""

    @abc.abstractmethod
    def upper_estimate(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta | None:
        """Return a cautious estimate; None before enough runs have ended."""

    @abc.abstractmethod
    def remaining(
        self, run: runs.Run, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long a run still takes."""

    @abc.abstractmethod
    def observe_stopped(self, run: runs.Run, ran: datetime.timedelta) -> None:
        """Record that a run takes longer than it ran before its stop."""

    def observe_run(self, run: runs.Run, actual: datetime.timedelta) -> None:
        """Record an uninterrupted run that is done."""
        self.observe(run.step.job.job, run.step.model, actual)

    def is_slow(self, run: runs.Run, now: datetime.timedelta) -> bool | None:
        """Return whether a run is slow; None to judge by upper estimates."""
        return None

    def remaining_quantile(
        self, run: runs.Run, now: datetime.timedelta, quantile: float
    ) -> datetime.timedelta:
        """Return how long a run takes at most, with this probability."""
        return self.remaining(run, now)

    def worker_speed(self, worker_id: str) -> float:
        """Return a worker's speed relative to others of its kind."""
        return 1.0

    def critical_path(self, job: models.Job) -> datetime.timedelta:
        """Return the expected length of the longest chain of steps."""
        end_times: list[datetime.timedelta] = []
        for step in job.steps:
            dependency_ends = [end_times[number] for number in step.after]
            start = max(dependency_ends, default=_ZERO)
            end_times.append(start + self.expected(job, step))
        return max(end_times)

    def objective(self, job: models.Job) -> datetime.timedelta:
        """Return the time within which a job's value is highest."""
        scaled_path = self.critical_path(job) * job.queue.slack_factor
        return scaled_path + job.queue.target_latency


class Durations(RunTimes):
    """Run-time predictions by queue; declared times until runs have ended."""

    def __init__(self) -> None:
        self._statistics_by_queue: dict[str, _QueueStatistics] = {}

    def observe(
        self, job: models.Job, step: models.Step, actual: datetime.timedelta
    ) -> None:
        """Record the run time of an uninterrupted run."""
        queue = job.queue.name
        actual_s = max(actual, _MIN_DURATION).total_seconds()
        statistics = self._statistics_by_queue.get(queue)
        if statistics is None:
            self._statistics_by_queue[queue] = _QueueStatistics(actual_s)
            return
        declared_s = max(step.estimate, _MIN_DURATION).total_seconds()
        statistics.declared_error = _moving_average(
            statistics.declared_error, abs(math.log(declared_s / actual_s))
        )
        statistics.learned_error = _moving_average(
            statistics.learned_error,
            abs(math.log(statistics.mean_s / actual_s)),
        )
        statistics.mean_s = _moving_average(statistics.mean_s, actual_s)
        statistics.count += 1

    def observe_stopped(self, run: runs.Run, ran: datetime.timedelta) -> None:
        """Ignore a stopped run: a mean cannot use a lower bound."""

    def expected(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta:
        """Return the run time to plan with."""
        statistics = self._statistics_by_queue.get(job.queue.name)
        if statistics is None or (
            step.estimate > _ZERO
            and statistics.declared_error <= statistics.learned_error
        ):
            return step.estimate
        return datetime.timedelta(seconds=statistics.mean_s)

    def upper_estimate(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta | None:
        """Return a cautious estimate; None before enough runs have ended."""
        statistics = self._statistics_by_queue.get(job.queue.name)
        if statistics is None or statistics.count < MIN_RUNS:
            return None
        mean = datetime.timedelta(seconds=statistics.mean_s)
        return max(mean, step.estimate)

    def remaining(
        self, run: runs.Run, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long a run still takes at its observed rate."""
        rate = run.percent_rate()
        if rate is not None:
            percent_now = run.percent + rate * _seconds(now - run.reported_at)
            return datetime.timedelta(seconds=max(100 - percent_now, 0) / rate)
        expected = self.expected(run.step.job.job, run.step.model)
        return max(expected - (now - run.began_at), _ZERO)


def _seconds(duration: datetime.timedelta) -> float:
    return duration.total_seconds()


def _moving_average(old: float, new: float) -> float:
    return old + (new - old) * EMA_WEIGHT
