"""Predict run times by what finished and stopped runs have shown.

Load: queues whose declared times are wrong by up to 90% and whose run times
vary by a factor of 50, so that neither they nor a mean tell a long run from a
slow worker.
"""

import collections.abc
import datetime
import statistics

from cardamomcroft.ports import fleet
from cardamomcroft.runtimes import accuracy
from cardamomcroft.runtimes import cached
from cardamomcroft.runtimes import kinds
from cardamomcroft.runtimes import sources
from cardamomcroft.runtimes import speeds
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import stragglers

UPPER_QUANTILE = 0.9
SLOW_QUANTILE = 0.99
# Steps of the queue before any of its runs counts as slow.
MIN_SLOW_EVIDENCE = 2.0
# Tasks of a step differ by up to 30%, workers by a factor of 1.6 (0.8 to 1.3).
MIN_PEER_RATIO = 2.0
# Steps whose run times are collected until the last task has ended.
MAX_OPEN_STEPS = 64
MAX_STEP_TIMES = 512  # enough for a median
_RATE_ERROR = 0.05  # of a run's rate, beside the rounding of percentages
_MIN_S = 0.001
_SECOND = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()

ListingOf = collections.abc.Callable[[str], fleet.Listing | None]


def _no_listing(worker_id: str) -> None:
    return None


class LearnedRunTimes(estimates.RunTimes):
    """Predictions by kind of run; declared times until runs have ended."""

    def __init__(self, listing_of: ListingOf = _no_listing) -> None:
        """Start without evidence; ``listing_of`` returns a worker's entry."""
        self._listing_of = listing_of
        self._cache = cached.Cache()
        self.speeds = speeds.Speeds()
        self._sources = sources.Sources()
        self.accuracy = accuracy.Accuracy()
        self._times_by_step: dict[runs.StepState, list[tuple[str, float]]] = {}

    @property
    def known(self) -> kinds.Kinds:
        """Return all evidence."""
        return self._cache.known

    @known.setter
    def known(self, replacement: kinds.Kinds) -> None:
        """Replace all evidence."""
        self._cache.replace(replacement)

    def observe(
        self, job: models.Job, step: models.Step, actual: datetime.timedelta
    ) -> None:
        """Record the run time of an uninterrupted run that is done.

        The tasks of a step resemble each other, so a step counts as one run.
        """
        self._observe(job, step, actual, 1 / max(step.width, 1))

    def observe_run(self, run: runs.Run, actual: datetime.timedelta) -> None:
        """Record an uninterrupted run and compare its worker with others."""
        step = run.step.model
        if step.is_lasting or step.is_filling or actual <= _ZERO:
            return
        actual_s = max(actual.total_seconds(), _MIN_S)
        self._compare_workers(run, actual_s)
        weight = 1 / max(step.width, 1)
        self._sources, weight = self._sources.accept(run.worker_id, weight)
        if weight:
            self._observe(run.step.job.job, step, actual, weight)

    def _observe(
        self,
        job: models.Job,
        step: models.Step,
        actual: datetime.timedelta,
        weight: float,
    ) -> None:
        if step.is_lasting or step.is_filling or actual <= _ZERO:
            return  # a clock that jumps gives negative times
        subject = kinds.subject_of(job, step)
        actual_s = max(actual.total_seconds(), _MIN_S)
        expected_s = max(self.expected(job, step).total_seconds(), _MIN_S)
        self.accuracy.record(subject, actual_s, expected_s)
        known = self.known.observe(subject, actual_s, weight)
        self._cache.update(known, subject, weight)

    def observe_stopped(self, run: runs.Run, ran: datetime.timedelta) -> None:
        """Record that a run takes longer than it ran before its stop.

        One that hung tells nothing. Those of a task that is stopped again and
        again count less each time: their true run time is the same.
        """
        step = run.step.model
        if (
            ran <= _ZERO
            or step.is_lasting
            or step.is_filling
            or run.is_resumed
            or run.is_remote
            or run.is_inherited
            or run.stop_reason == stragglers.STALLED
        ):
            return
        index = 0 if step.is_gang else run.key.index
        earlier = run.step.restarts_by_index[index]
        weight = 1 / (max(step.width, 1) * (1 + earlier) ** 2)
        self._sources, weight = self._sources.accept(run.worker_id, weight)
        if weight:
            subject = kinds.subject_of(run.step.job.job, step)
            ran_s = ran.total_seconds()
            known = self.known.observe_stopped(subject, ran_s, weight)
            self._cache.update(known, subject, weight)

    def _compare_workers(self, run: runs.Run, actual_s: float) -> None:
        """Collect the run times of a step; compare them when it is done."""
        if run.step.model.width < speeds.MIN_RUNS:
            return
        times = self._times_by_step.setdefault(run.step, [])
        if len(times) < MAX_STEP_TIMES:
            times.append((run.worker_id, actual_s))
        if len(times) >= min(run.step.model.width, MAX_STEP_TIMES):
            del self._times_by_step[run.step]
        elif len(self._times_by_step) > MAX_OPEN_STEPS:
            oldest = next(iter(self._times_by_step))
            times = self._times_by_step.pop(oldest)
        else:
            return
        self.speeds = self.speeds.observe(times, self._kind_of)

    def _kind_of(self, worker_id: str) -> speeds.WorkerKind:
        """Return what workers of like speed have in common."""
        return speeds.kind_of(self._listing_of(worker_id))

    def evidence(self, job: models.Job, step: models.Step) -> float:
        """Return how many recent steps of its queue are known."""
        return self._cache.weight((kinds.QUEUE, job.queue.name))

    def quantile(
        self, job: models.Job, step: models.Step, quantile: float
    ) -> datetime.timedelta:
        """Return the time within which this share of the runs ends."""
        if not self.evidence(job, step):
            return step.estimate
        found = self._cache.distribution(job, step)
        return found.quantile_s(quantile) * _SECOND

    def expected(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta:
        """Return the median of the run time."""
        return self.quantile(job, step, 0.5)

    def upper_estimate(
        self, job: models.Job, step: models.Step
    ) -> datetime.timedelta | None:
        """Return the 90% quantile; None before enough runs have ended."""
        if self.evidence(job, step) < MIN_SLOW_EVIDENCE:
            return None
        return self.quantile(job, step, UPPER_QUANTILE)

    def remaining(
        self, run: runs.Run, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the median of how long a run still takes."""
        return self.remaining_quantile(run, now, 0.5)

    def remaining_quantile(
        self, run: runs.Run, now: datetime.timedelta, quantile: float
    ) -> datetime.timedelta:
        """Return how long a run takes at most, with this probability.

        The rate that it has shown tells more than what others took.
        """
        rate = run.percent_rate()
        if rate is None:
            return self._usual_remaining(run, now, quantile)
        since_s = (now - run.reported_at).total_seconds()
        left_s = max(100 - run.percent - rate * since_s, 0) / rate
        gained = run.percent - run.first_percent
        error = _RATE_ERROR + 1 / max(gained, 1)
        return left_s * (1 + (2 * quantile - 1) * error) * _SECOND

    def _usual_remaining(
        self, run: runs.Run, now: datetime.timedelta, quantile: float
    ) -> datetime.timedelta:
        """Return what others that ran as long took beyond that."""
        job, step = run.step.job.job, run.step.model
        ran = max(now - run.began_at, _ZERO)
        if not self.evidence(job, step):
            return max(step.estimate - ran, _ZERO)
        found = self._cache.distribution(job, step)
        ran_s = ran.total_seconds()
        total_s = found.quantile_after_s(quantile, ran_s)
        return max(total_s - ran_s, 0) * _SECOND

    def is_slow(self, run: runs.Run, now: datetime.timedelta) -> bool | None:
        """Return whether a run is slower than its kind and its step's others.

        A run beside others that are as slow is long in itself.
        """
        job, step = run.step.job.job, run.step.model
        moves = run.step.moves_by_index
        count = sum(moves.values()) if step.is_gang else moves[run.key.index]
        if count >= stragglers.MAX_SLOW_MOVES:
            return False
        if self.evidence(job, step) < MIN_SLOW_EVIDENCE:
            return False
        limit = self._usual_remaining(run, now, SLOW_QUANTILE)
        limit = max(limit, stragglers.MIN_SLOW_REMAINING)
        if self.remaining(run, now) <= limit:
            return False
        rates = [
            rate
            for other in run.step.runs_by_index.values()
            if other.worker_id != run.worker_id
            and (rate := other.percent_rate()) is not None
        ]
        if not rates:
            return True
        return statistics.median(rates) > run.percent_rate() * MIN_PEER_RATIO

    def worker_speed(self, worker_id: str) -> float:
        """Return a worker's speed; 1.0 until many steps have shown it."""
        return self.speeds.speed(worker_id, self._kind_of(worker_id))
