"""Give workers no new tasks for a while, but never too many of them."""

import collections
import collections.abc
import datetime

from cardamomcroft.ports import base
from cardamomcroft.scheduling import blame
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import runs
from cardamomcroft.workers import avoidance as limits

STRIKE_LIMIT = 2  # consecutive failures before a worker is avoided
STRIKE_PAUSE = datetime.timedelta(seconds=3)
MAX_STRIKE_FACTOR = 4
LAPSE_PAUSE = datetime.timedelta(seconds=1)
MAX_LAPSE_FACTOR = 8
LAPSE_MEMORY = datetime.timedelta(seconds=30)


class Avoidance:
    """Decide after failures, lapsed leases and refusals whom to avoid."""

    def __init__(self, clock: base.Clock, log: events.Events) -> None:
        """Log what is decided."""
        self._clock = clock
        self._log = log
        self._blame = blame.Blame()

    def record_success(self, worker: runs.Worker) -> None:
        """Note that a task has succeeded on a worker."""
        self._blame.record_success(worker.worker_id)
        worker.own_strikes = worker.lapses = worker.strikes = 0

    def record_failure(
        self, worker: runs.Worker, step: runs.StepState
    ) -> None:
        """Note a run that failed by the job's fault or the worker's."""
        name = step.job.job.job_id, step.number
        self._blame.record_failure(worker.worker_id, name)
        self._avoid_after_strike(worker)

    def record_refusal(
        self, worker: runs.Worker, pause: datetime.timedelta
    ) -> None:
        """Send no starts for a short while to a worker that has refused one.

        It speaks for itself, so this holds for any number of workers.
        """
        worker.refused_until = self._clock.monotonic() + pause
        worker.avoid_until = max(worker.avoid_until, worker.refused_until)

    def record_strike(self, worker: runs.Worker) -> None:
        """Note that a worker is unhealthy, or slow, whatever runs there."""
        worker.own_strikes += 1
        self._avoid_after_strike(worker)

    def _weigh(self, worker: runs.Worker) -> float:
        """Return what counts against a worker since its last success.

        Others are preferred to it after any failure, whoever is to blame.
        """
        weight = worker.own_strikes + self._blame.weight(worker.worker_id)
        has_failed = self._blame.has_failed(worker.worker_id)
        worker.strikes = max(int(weight), int(has_failed)) + worker.lapses
        return weight

    def _avoid_after_strike(self, worker: runs.Worker) -> None:
        """Avoid a worker after repeated failures, longer each time."""
        weight = self._weigh(worker)
        if weight < STRIKE_LIMIT:
            return
        excess = int(weight) - STRIKE_LIMIT + 1
        pause = STRIKE_PAUSE * min(excess, MAX_STRIKE_FACTOR)
        worker.avoid_until = self._clock.monotonic() + pause
        worker.is_avoided_for_failures = True
        self._log.emit(
            "worker_avoided",
            worker_id=worker.worker_id,
            reason="failures",
            strikes=round(weight, 2),
            seconds=pause.total_seconds(),
        )

    def _clear(self, worker: runs.Worker) -> None:
        """Use a worker again if its steps have proved to be to blame."""
        now = self._clock.monotonic()
        weight = self._weigh(worker)
        if weight >= STRIKE_LIMIT:
            return
        worker.is_avoided_for_failures = False
        worker.avoid_until = max(now, worker.refused_until)
        self._log.emit(
            "worker_cleared",
            worker_id=worker.worker_id,
            reason="its tasks fail elsewhere",
            strikes=round(weight, 2),
        )

    def record_lapse(self, worker: runs.Worker) -> None:
        """Avoid a worker whose leases have ended unheard, longer each time."""
        now = self._clock.monotonic()
        if now - worker.lapsed_at > LAPSE_MEMORY:
            worker.lapses = 0
        worker.lapses += 1
        worker.lapsed_at = now
        self._weigh(worker)
        pause = LAPSE_PAUSE * min(2**worker.lapses, MAX_LAPSE_FACTOR)
        worker.avoid_until = max(worker.avoid_until, now + pause)
        worker.is_avoided_for_failures = False
        self._log.emit(
            "worker_avoided",
            worker_id=worker.worker_id,
            reason="lease expired",
            strikes=worker.lapses,
            seconds=pause.total_seconds(),
        )

    def limit(self, workers: collections.abc.Iterable[runs.Worker]) -> None:
        """Use workers again where too many of a service are avoided.

        Those with the least against them come first, then those that would
        be used again soonest. Those that have just refused stay out.
        """
        now = self._clock.monotonic()
        avoided_by_service = collections.defaultdict(list)
        count_by_service: collections.Counter[str] = collections.Counter()
        for worker in workers:
            if not (capacities.is_ready(worker) and worker.is_heard_again):
                continue
            count_by_service[worker.listing.service] += 1
            if worker.avoid_until > now and worker.is_avoided_for_failures:
                self._clear(worker)
            if worker.avoid_until > now:
                avoided_by_service[worker.listing.service].append(worker)
        for service, avoided in avoided_by_service.items():
            count = count_by_service[service]
            excess = len(avoided) - limits.max_avoided(count)
            if excess > 0:
                self._use_again(service, avoided, excess, count)

    def _use_again(
        self,
        service: str,
        avoided: list[runs.Worker],
        excess: int,
        count: int,
    ) -> None:
        now = self._clock.monotonic()
        lasting = [w for w in avoided if w.avoid_until > w.refused_until]
        lasting.sort(key=lambda worker: (worker.strikes, worker.avoid_until))
        released = lasting[:excess]
        if not released:
            return
        for worker in released:
            worker.avoid_until = max(now, worker.refused_until)
        self._log.emit(
            "avoidance_limited",
            service=service,
            workers=count,
            avoided=len(avoided),
            used_again=[worker.worker_id for worker in released[:10]],
        )
