"""Forecast how long a new job of each queue would wait before it begins.

Answers floods: work that is accepted now and begins after it is of use to
its caller only takes room from others.
"""

import collections
import collections.abc
import datetime

from cardamomcroft.scheduling import capacity
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# Forecasts are published in whole seconds, so that they cost few records.
PERIOD = datetime.timedelta(seconds=1)
MAX_RETRY_S = 60  # a forecast further ahead is worth little
_ZERO = datetime.timedelta()
_MS_A_SECOND = 1000


class Forecast:
    """Work out the expected waits once a second."""

    def __init__(self) -> None:
        """Start without any backlog."""
        self.wait_ms_by_queue: dict[str, int] = {}
        self._next_at = _ZERO

    def refresh(
        self,
        jobs: collections.abc.Collection[runs.JobState],
        workers: collections.abc.Iterable[runs.Worker],
        durations: estimates.Durations,
        now: datetime.timedelta,
    ) -> None:
        """Take the beliefs of a round."""
        if now < self._next_at:
            return
        self._next_at = now + PERIOD
        self.wait_ms_by_queue = expected_waits(jobs, workers, durations, now)


def expected_waits(
    jobs: collections.abc.Collection[runs.JobState],
    workers: collections.abc.Iterable[runs.Worker],
    durations: estimates.Durations,
    now: datetime.timedelta,
) -> dict[str, int]:
    """Return milliseconds by queue; a queue without a wait is left out.

    A new job waits for the work that waits already and goes before it: work
    of its own or a more urgent priority that is still of use.
    """
    totals = _totals(workers)
    work_by_level: collections.Counter[tuple[str, int]] = collections.Counter()
    queues: set[models.Queue] = set()
    for job in jobs:
        queue = job.job.queue
        queues.add(queue)
        ordering.refresh_forecast(job, now, durations)
        if queue.service not in totals or job.final_state:
            continue
        if ordering.is_useless(job, now, job.objective):
            continue
        work_s = _waiting_work_s(job, totals[queue.service], durations)
        work_by_level[queue.service, queue.priority] += work_s
    waits = {}
    for queue in queues:
        wait_s = sum(
            work_s
            for (service, priority), work_s in work_by_level.items()
            if service == queue.service and priority <= queue.priority
        )
        if wait_s >= 1:
            waits[queue.name] = int(wait_s) * _MS_A_SECOND
    return waits


def _totals(
    workers: collections.abc.Iterable[runs.Worker],
) -> dict[str, models.Demand]:
    totals: dict[str, models.Demand] = {}
    for worker in workers:
        if worker.listing is not None:
            service = worker.listing.service
            total = totals.get(service, models.Demand())
            totals[service] = total.plus(capacity.capacity_of(worker.listing))
    return totals


def _waiting_work_s(
    job: runs.JobState, total: models.Demand, durations: estimates.Durations
) -> float:
    """Return for how long the waiting tasks would fill all workers."""
    work_s = 0.0
    for step in job.steps_by_key.values():
        if step.waiting and not step.model.is_lasting:
            share = share_of(placing.demand_of(step.model), total)
            expected = durations.expected(job.job.queue.name, step.model)
            work_s += len(step.waiting) * share * expected.total_seconds()
    return work_s


def share_of(demand: models.Demand, total: models.Demand) -> float:
    """Return the part of the resource of which a demand takes most."""
    pairs = (
        (demand.milli_cores, total.milli_cores),
        (demand.memory_mb, total.memory_mb),
        (demand.accelerators, total.accelerators),
    )
    return max((need / have for need, have in pairs if have), default=0.0)


def retry_after_s(job: models.Job, wait: datetime.timedelta) -> int | None:
    """Return when a job should be handed in again; None to accept it now.

    A job is refused only if it would begin when it is of no use any more,
    and it is told to come back when the backlog is short enough.
    """
    if job.is_lasting or job.timetable:
        return None
    declared = estimates.Durations()
    longest = declared.objective(job) * ordering.LAST_USE
    spare = longest - declared.chain(job)
    if wait <= max(spare, PERIOD):
        return None
    seconds = (wait - spare) / datetime.timedelta(seconds=1)
    return min(int(seconds) + 1, MAX_RETRY_S)
