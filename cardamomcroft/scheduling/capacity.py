"""Compute workers' free capacity from the cluster state."""

import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import runs


def capacity_of(listing: fleet.Listing) -> models.Demand:
    """Return the total capacity of a worker."""
    return models.Demand(
        listing.milli_cores, listing.memory_mb, listing.accelerators
    )


def counted(
    workers: collections.abc.Iterable[runs.Worker],
) -> list[runs.Worker]:
    """Return the workers whose capacity counts: listed, not evacuated."""
    return [
        worker
        for worker in workers
        if worker.listing is not None and not worker.is_evacuated
    ]


def use_of(
    workers: collections.abc.Iterable[runs.Worker], service: str
) -> tuple[models.Demand, models.Demand]:
    """Return what runs of a service use, and the capacity of its workers."""
    used = total = models.Demand()
    for worker in counted(workers):
        if worker.listing.service == service:
            used = used.plus(worker.used())
            total = total.plus(capacity_of(worker.listing))
    return used, total


def capacity_after_stops(
    worker: runs.Worker, now: datetime.timedelta
) -> models.Demand | None:
    """Return a worker's free capacity once the stops under way complete.

    None while the worker gets no new tasks.
    """
    if not is_usable(worker, now):
        return None
    free = capacity_of(worker.listing).minus(worker.used())
    for run in worker.runs_by_task.values():
        if run.phase is runs.Phase.STOPPING:
            free = free.plus(placing.demand_of(run.step.model))
    return free


def free_worker(
    worker: runs.Worker, now: datetime.timedelta
) -> placing.FreeWorker | None:
    """Return a worker's free capacity; None while it gets no new tasks."""
    listing = worker.listing
    if listing is None or not is_usable(worker, now):
        return None
    total = capacity_of(listing)
    return placing.FreeWorker(
        worker.worker_id,
        total.minus(worker.used()),
        listing.rack,
        listing.labels,
        listing.service,
        worker.strikes,
        total,
    )


def is_ready(worker: runs.Worker) -> bool:
    """Return whether a worker could get new tasks, if it is not avoided."""
    return (
        worker.listing is not None
        and worker.listing.state.value == "ready"
        and worker.has_inventory
        and worker.unreachable_since is None
        and not worker.is_evacuated
    )


def is_usable(worker: runs.Worker, now: datetime.timedelta) -> bool:
    """Return whether a worker gets new tasks."""
    return worker.avoid_until <= now and is_ready(worker)
