"""Learn how long draining workers stay, and which runs can end there.

Load: a release or scale-in beside long gangs. A worker announces the least
time that it stays, and may stay for much longer. Moved at once, a gang loses
all that its members have done.
"""

import collections
import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

MAX_STAYS = 32  # by service; the oldest are forgotten
# Fewer workers that are still there may be exceptions.
MIN_WITNESSES = 3
# A run has to end before its worker does, not at the same time.
END_MARGIN = datetime.timedelta(milliseconds=500)
# Most runs of a kind end within it; a run that outlasts its worker is lost.
REMAINING_QUANTILE = 0.75
# The end of a worker that leaves without an answer is certain once its lease
# has expired; only then does the task start again.
LOSS_NOTICE = datetime.timedelta(seconds=6)
_ZERO = datetime.timedelta()


class Stays:
    """How long the workers of each service have stayed after a drain began."""

    def __init__(self) -> None:
        """Know of no drain yet."""
        self._began_by_worker: dict[str, tuple[str, datetime.timedelta]] = {}
        self._stays_by_service: dict[
            str, collections.deque[datetime.timedelta]
        ] = {}

    def observe(
        self,
        workers_by_id: collections.abc.Mapping[str, runs.Worker],
        now: datetime.timedelta,
    ) -> None:
        """Note which workers have begun to drain, and which have left."""
        for worker_id, worker in workers_by_id.items():
            if _drains(worker) and worker_id not in self._began_by_worker:
                service = worker.listing.service
                self._began_by_worker[worker_id] = service, now
        for worker_id in list(self._began_by_worker):
            worker = workers_by_id.get(worker_id)
            if worker is None or not _drains(worker):
                self._note_end(worker_id, worker, now)
            elif worker.unreachable_since is not None:
                self._note_end(worker_id, worker, worker.unreachable_since)

    def _note_end(
        self,
        worker_id: str,
        worker: runs.Worker | None,
        ended_at: datetime.timedelta,
    ) -> None:
        service, began_at = self._began_by_worker.pop(worker_id)
        if worker is not None and worker.listing is not None:
            if not _drains(worker):
                return  # it has come back
        stays = self._stays_by_service.setdefault(
            service, collections.deque(maxlen=MAX_STAYS)
        )
        stays.append(max(ended_at - began_at, _ZERO))

    def began_at(self, worker_id: str) -> datetime.timedelta | None:
        """Return when a worker's drain was first seen."""
        known = self._began_by_worker.get(worker_id)
        return known[1] if known else None

    def expected(
        self, service: str, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return how long a worker stays at least, as others have shown."""
        left = self._stays_by_service.get(service)
        if left:
            return min(left)
        staying = sorted(
            (
                now - began_at
                for other, began_at in self._began_by_worker.values()
                if other == service
            ),
            reverse=True,
        )
        if len(staying) < MIN_WITNESSES:
            return None
        return staying[MIN_WITNESSES - 1]


def _drains(worker: runs.Worker) -> bool:
    listing = worker.listing
    return listing is not None and listing.state is fleet.ServerState.DRAINING


def may_end_in_time(
    run: runs.Run,
    stays: Stays,
    durations: estimates.RunTimes,
    now: datetime.timedelta,
) -> bool:
    """Return whether a run should stay on its worker beyond the notice.

    Where others have left, by how long they stayed. Before that, a run that
    would lose more by a move than by its worker's end stays, if its job could
    begin again afterwards and still be in time.
    """
    job, step = run.step.job, run.step.model
    remaining = durations.remaining_quantile(run, now, REMAINING_QUANTILE)
    began_at = stays.began_at(run.worker_id)
    if began_at is None:
        return False
    stay = stays.expected(job.job.queue.service, now)
    if stay is not None and now + remaining + END_MARGIN <= began_at + stay:
        return True
    if step.is_checkpointing or now - run.began_at < remaining:
        return False
    expected = durations.expected(job.job, step)
    latest_end = now + remaining + LOSS_NOTICE + expected
    return latest_end <= job.accepted_at + durations.objective(job.job)
