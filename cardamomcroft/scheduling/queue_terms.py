"""Apply changes of a queue to the jobs that it has accepted.

What a job was promised stays as it was accepted: priority, attempts and
objective. Where it may start follows the configuration, as workers do.
"""

import collections.abc
import dataclasses

from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import runs

QueuesByName = collections.abc.Mapping[str, models.Queue]


def in_force(
    accepted: models.Queue,
    configured: models.Queue | None,
    listed_services: collections.abc.Set[str],
) -> models.Queue:
    """Return the terms of a job that was accepted under earlier ones.

    The job leaves its service only if that has no workers any more. A queue
    that is not configured any more keeps its terms.
    """
    if configured is None:
        return accepted
    service = accepted.service
    if service not in listed_services:
        service = configured.service
    if (service, configured.advice) == (accepted.service, accepted.advice):
        return accepted
    return dataclasses.replace(
        accepted, service=service, advice=configured.advice
    )


class QueueTerms:
    """Keep the terms of accepted jobs up to date."""

    def __init__(
        self,
        queues: collections.abc.Callable[[], QueuesByName],
        log: events.Events,
    ) -> None:
        """Follow what ``queues`` returns, by identity."""
        self._queues = queues
        self._log = log
        self._applied: QueuesByName = {}
        self._services: frozenset[str] = frozenset()

    def refresh(
        self,
        jobs: collections.abc.Iterable[runs.JobState],
        workers: collections.abc.Iterable[runs.Worker],
    ) -> None:
        """Apply the configuration and the listed services if they changed.

        Call it only while a worker that is not listed is known to be gone.
        """
        queues = self._queues()
        services = frozenset(
            worker.listing.service for worker in workers if worker.listing
        )
        if queues is self._applied and services == self._services:
            return
        self._applied, self._services = queues, services
        for job in jobs:
            self.apply(job)

    def apply(self, state: runs.JobState) -> None:
        """Put the terms of a job in force, also of one just admitted."""
        current = state.job.queue
        configured = self._applied.get(current.name)
        terms = in_force(state.accepted_queue, configured, self._services)
        if terms == current:
            return
        state.job = dataclasses.replace(state.job, queue=terms)
        self._log.emit(
            "job_terms_changed",
            job_id=state.job.job_id,
            queue=terms.name,
            service=terms.service,
            needs_advice=terms.advice is not None,
        )
