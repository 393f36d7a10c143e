"""Attribute task failures to workers or to jobs."""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.state import models
from cardamomcroft.workers import avoidance

SUSPECT_JOB_COUNT = 2  # distinct failed jobs on a worker since a success
FAULTY_JOB_WORKER_COUNT = 2  # distinct workers on which a job failed
INITIAL_QUARANTINE = datetime.timedelta(seconds=30)
MAX_QUARANTINE = datetime.timedelta(minutes=10)
INITIAL_AVOIDANCE = datetime.timedelta(seconds=5)
MAX_AVOIDANCE = datetime.timedelta(minutes=1)
MAX_TRACKED_JOBS = 2000


@dataclasses.dataclass(slots=True)
class _WorkerHistory:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantines: int = 0
    quarantined_until: datetime.timedelta = datetime.timedelta()


class Health:
    """Quarantine workers by the task failures that the log records.

    Every instance observes the same records or loads what they left in the
    state, so a new owner starts with the failure history of the former one.
    A worker is usable again when its quarantine ends; one more failure
    quarantines it for twice as long.
    """

    def __init__(self, clock: base.Clock) -> None:
        """Start without failures; ``clock`` times the quarantines."""
        self._clock = clock
        self._avoidance = avoidance.Avoidance(
            clock, INITIAL_AVOIDANCE, MAX_AVOIDANCE
        )
        self._by_worker: dict[str, _WorkerHistory] = collections.defaultdict(
            _WorkerHistory
        )
        self._workers_by_job: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def observe(self, record: records.Record, applied: models.Applied) -> None:
        """Record the successes and failures of tasks in a log record."""
        body = record.body
        if not applied.accepted or not isinstance(body, records.TasksEnded):
            return
        for end in body.ends:
            if end.kind is records.EndKind.FINISHED:
                self._record_success(body.worker_id)
            elif end.kind is records.EndKind.FAILED:
                self._record_failure(body.worker_id, end.task.job_id)

    def restore(self, state: models.State) -> None:
        """Adopt the failures that a loaded state records.

        They quarantine no worker by themselves: the next one does.
        """
        for worker_id in self._by_worker.keys() | state.failed_jobs.keys():
            failed_jobs = state.failed_jobs.get(worker_id, ())
            self._by_worker[worker_id].failed_jobs = set(failed_jobs)
        for job in state.jobs.values():
            for worker_id in job.failed_workers:
                self._note_failure(worker_id, job.job_id)

    def _note_failure(self, worker_id: str, job_id: str) -> None:
        workers = self._workers_by_job.setdefault(job_id, set())
        workers.add(worker_id)
        if len(self._workers_by_job) > MAX_TRACKED_JOBS:
            self._workers_by_job.popitem(last=False)

    def _record_success(self, worker_id: str) -> None:
        history = self._by_worker[worker_id]
        history.failed_jobs.clear()
        history.quarantines = 0
        history.quarantined_until = datetime.timedelta()

    def _record_failure(self, worker_id: str, job_id: str) -> None:
        self._note_failure(worker_id, job_id)
        history = self._by_worker[worker_id]
        history.failed_jobs.add(job_id)
        if not self.is_suspect(worker_id):
            return
        duration = min(
            INITIAL_QUARANTINE * 2**history.quarantines, MAX_QUARANTINE
        )
        history.quarantines = min(history.quarantines + 1, 10)
        history.quarantined_until = self._clock.monotonic() + duration

    def is_suspect(self, worker_id: str) -> bool:
        """Return whether several jobs failed on this worker only."""
        failed_jobs = self._by_worker[worker_id].failed_jobs
        attributable = [
            job_id
            for job_id in failed_jobs
            if len(self._workers_by_job.get(job_id, ()))
            < FAULTY_JOB_WORKER_COUNT
        ]
        return len(attributable) >= SUSPECT_JOB_COUNT

    def record_unreachable(self, worker_id: str) -> None:
        """Avoid an unreachable worker, longer each time up to a limit."""
        self._avoidance.record_missed(worker_id)

    def record_reachable(self, worker_id: str) -> None:
        """End the avoidance of a worker and reset its length."""
        self._avoidance.record_answered(worker_id)

    def unusable(
        self, worker_ids: collections.abc.Collection[str]
    ) -> frozenset[str]:
        """Return the workers that get no new work, of all in a region.

        Those whose quarantine ends first are used again if too many have one.
        """
        now = self._clock.monotonic()
        ends = sorted(
            (self._by_worker[worker_id].quarantined_until, worker_id)
            for worker_id in worker_ids
            if worker_id in self._by_worker
            and self._by_worker[worker_id].quarantined_until > now
        )
        limit = avoidance.max_avoided(len(worker_ids))
        kept = ends[max(len(ends) - limit, 0) :]
        return frozenset(worker_id for _, worker_id in kept) | frozenset(
            filter(self._avoidance.is_avoided, worker_ids)
        )

    def is_usable(self, worker_id: str) -> bool:
        """Return whether new work may be placed on a worker by itself."""
        if self._avoidance.is_avoided(worker_id):
            return False
        history = self._by_worker.get(worker_id)
        if history is None:
            return True
        return self._clock.monotonic() >= history.quarantined_until
