"""Forecast how long a new job of each queue would wait before it starts.

In a flood, a job that would start too late to be of use to its caller only
takes capacity from others, so the ingress refuses it.
"""

import collections
import collections.abc
import datetime

from cardamomcroft.scheduling import capacity
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs

# Forecasts are published in whole seconds to keep the number of records low.
REFRESH_PERIOD = datetime.timedelta(seconds=1)
MAX_RETRY_S = 60  # a longer forecast has little value
_ZERO = datetime.timedelta()
_MS_PER_SECOND = 1000


class Forecast:
    """Expected wait of each queue, recomputed once a second."""

    def __init__(self) -> None:
        self.wait_ms_by_queue: dict[str, int] = {}
        self._next_at = _ZERO

    def refresh(
        self,
        jobs: collections.abc.Collection[runs.JobState],
        workers: collections.abc.Iterable[runs.Worker],
        durations: estimates.RunTimes,
        now: datetime.timedelta,
        wall: datetime.datetime,
    ) -> None:
        """Recompute the waits if the last computation is old enough."""
        if now < self._next_at:
            return
        self._next_at = now + REFRESH_PERIOD
        self.wait_ms_by_queue = expected_waits(
            jobs, workers, durations, now, wall
        )


def expected_waits(
    jobs: collections.abc.Collection[runs.JobState],
    workers: collections.abc.Iterable[runs.Worker],
    durations: estimates.RunTimes,
    now: datetime.timedelta,
    wall: datetime.datetime,
) -> dict[str, int]:
    """Return the waits in milliseconds; queues without a wait are left out.

    A new job waits for the queued work that precedes it: work of its own or a
    more urgent priority that has not passed its final deadline.
    """
    capacity_by_service = _capacity_by_service(workers)
    work_by_level: collections.Counter[tuple[str, int]] = collections.Counter()
    queues: set[models.Queue] = set()
    for job in jobs:
        queue = job.job.queue
        queues.add(queue)
        ordering.refresh_objective(job, now, durations)
        if queue.service not in capacity_by_service or job.final_state:
            continue
        if ordering.is_past_final_deadline(job, now, job.objective):
            continue
        work_s = _queued_work_s(
            job, capacity_by_service[queue.service], durations, wall
        )
        work_by_level[queue.service, queue.priority] += work_s
    waits = {}
    for queue in queues:
        wait_s = sum(
            work_s
            for (service, priority), work_s in work_by_level.items()
            if service == queue.service and priority <= queue.priority
        )
        if wait_s >= 1:
            waits[queue.name] = int(wait_s) * _MS_PER_SECOND
    return waits


def _capacity_by_service(
    workers: collections.abc.Iterable[runs.Worker],
) -> dict[str, models.Demand]:
    capacity_by_service: dict[str, models.Demand] = {}
    for worker in capacity.counted(workers):
        service = worker.listing.service
        total = capacity_by_service.get(service, models.Demand())
        capacity_by_service[service] = total.plus(
            capacity.capacity_of(worker.listing)
        )
    return capacity_by_service


def _queued_work_s(
    job: runs.JobState,
    total: models.Demand,
    durations: estimates.RunTimes,
    wall: datetime.datetime,
) -> float:
    """Return for how long a job's waiting tasks would fill all workers."""
    work_s = 0.0
    counts = count_waiting(job, wall)
    for model, waiting in zip(job.job.steps, counts, strict=True):
        if waiting and not model.is_lasting:
            share = dominant_share(placing.demand_of(model), total)
            expected = durations.expected(job.job, model)
            work_s += waiting * share * expected.total_seconds()
    return work_s


def count_waiting(job: runs.JobState, wall: datetime.datetime) -> list[int]:
    """Count a job's waiting tasks by step.

    What is not due yet does not wait.
    """
    unopened = occurrences.count_unopened(job, wall)
    counts = [step.width * unopened for step in job.job.steps]
    for step in job.steps_by_key.values():
        counts[step.number] += len(step.waiting)
    return counts


def dominant_share(demand: models.Demand, total: models.Demand) -> float:
    """Return the largest share that a demand takes of any resource."""
    pairs = (
        (demand.milli_cores, total.milli_cores),
        (demand.memory_mb, total.memory_mb),
        (demand.accelerators, total.accelerators),
    )
    return max((need / have for need, have in pairs if have), default=0.0)


def retry_after_s(
    job: models.Job,
    wait: datetime.timedelta,
    durations: estimates.RunTimes | None = None,
) -> int | None:
    """Return when a job should be submitted again; None to accept it now.

    A job is refused only if it could not end by its final deadline. It should
    return when the backlog is short enough for that. Without ``durations``
    the declared times count.
    """
    if job.is_lasting or job.timetable:
        return None
    times = durations or estimates.Durations()
    final_deadline = times.objective(job) * ordering.FINAL_DEADLINE_FACTOR
    max_wait = final_deadline - times.critical_path(job)
    if wait <= max(max_wait, REFRESH_PERIOD):
        return None
    seconds = (wait - max_wait) / datetime.timedelta(seconds=1)
    return min(int(seconds) + 1, MAX_RETRY_S)
