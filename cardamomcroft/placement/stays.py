"""Learn how long draining workers stay, and which runs can end there.

Load: a release or scale-in beside long gangs. A worker announces the least
time that it stays, and may stay for much longer. Moved at once, a gang loses
all that its members have done.
"""

import collections
import collections.abc
import dataclasses
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


@dataclasses.dataclass(slots=True)
class _Drain:
    """A worker that drains, as of the last round."""

    service: str
    born_ms: int
    began_at: datetime.timedelta
    silent_since: datetime.timedelta | None = None


class Stays:
    """How long the workers of each service have stayed after a drain began."""

    def __init__(self) -> None:
        """Know of no drain yet."""
        self._drains_by_worker: dict[str, _Drain] = {}
        self._stays_by_service: dict[
            str, collections.deque[datetime.timedelta]
        ] = {}

    def observe(
        self,
        workers_by_id: collections.abc.Mapping[str, runs.Worker],
        now: datetime.timedelta,
    ) -> None:
        """Note which workers have begun to drain, and which have left."""
        for worker_id, drain in list(self._drains_by_worker.items()):
            worker = workers_by_id.get(worker_id)
            if _has_left(drain, worker):
                self._note_end(worker_id, now)
            elif not _drains(worker):
                del self._drains_by_worker[worker_id]  # it is called off
            else:
                drain.silent_since = worker.unreachable_since
        for worker_id, worker in workers_by_id.items():
            if _drains(worker) and worker_id not in self._drains_by_worker:
                self._drains_by_worker[worker_id] = _Drain(
                    worker.listing.service, worker.listing.born_ms, now
                )

    def _note_end(self, worker_id: str, now: datetime.timedelta) -> None:
        """Note a stay; it has ended with the last answer."""
        drain = self._drains_by_worker.pop(worker_id)
        ended_at = now if drain.silent_since is None else drain.silent_since
        stays = self._stays_by_service.setdefault(
            drain.service, collections.deque(maxlen=MAX_STAYS)
        )
        stays.append(max(ended_at - drain.began_at, _ZERO))

    def began_at(self, worker_id: str) -> datetime.timedelta | None:
        """Return when a worker's drain was first seen."""
        drain = self._drains_by_worker.get(worker_id)
        return drain.began_at if drain else None

    def expected(
        self, service: str, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return how long a worker stays at least, as others have shown."""
        left = self._stays_by_service.get(service)
        if left:
            return min(left)
        staying = sorted(
            (
                now - drain.began_at
                for drain in self._drains_by_worker.values()
                if drain.service == service and drain.silent_since is None
            ),
            reverse=True,
        )
        if len(staying) < MIN_WITNESSES:
            return None
        return staying[MIN_WITNESSES - 1]


def _has_left(drain: _Drain, worker: runs.Worker | None) -> bool:
    """Return whether a worker is gone, or its successor has its id."""
    if worker is None or worker.listing is None:
        return True
    return worker.listing.born_ms != drain.born_ms


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
