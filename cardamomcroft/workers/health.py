"""Attribute failures to workers or jobs by evidence."""

import collections
import dataclasses
import datetime

from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.state import models

SUSPECT_JOBS = 2  # distinct jobs that failed on a worker since a success
WORKERS_OF_BAD_JOB = 2  # distinct workers on which a job failed
QUARANTINE_START = datetime.timedelta(seconds=30)
QUARANTINE_LIMIT = datetime.timedelta(minutes=10)
AVOIDANCE_START = datetime.timedelta(seconds=5)
AVOIDANCE_LIMIT = datetime.timedelta(minutes=1)
JOBS_REMEMBERED = 2000


@dataclasses.dataclass(slots=True)
class _Evidence:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    quarantines: int = 0
    until: datetime.timedelta = datetime.timedelta()
    unreachable_until: datetime.timedelta = datetime.timedelta()
    misses: int = 0


class Health:
    """Keep what the log says about failures on each worker.

    Every instance watches the same records, so a new owner knows what
    the old one knew. A quarantined worker is tried again when its time
    is over; one more failure sends it back for twice as long.
    """

    def __init__(self, clock: base.Clock) -> None:
        """Start without evidence."""
        self._clock = clock
        self._by_worker: dict[str, _Evidence] = collections.defaultdict(
            _Evidence
        )
        self._workers_by_job: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def observe(self, record: records.Record, applied: models.Applied) -> None:
        """Take the ends of tasks from the log."""
        body = record.body
        if not applied.accepted or not isinstance(body, records.TasksEnded):
            return
        for end in body.ends:
            if end.kind is records.EndKind.FINISHED:
                self._note_success(body.worker_id)
            elif end.kind is records.EndKind.FAILED:
                self._note_failure(body.worker_id, end.task.job_id)

    def _note_success(self, worker_id: str) -> None:
        evidence = self._by_worker[worker_id]
        evidence.failed_jobs.clear()
        evidence.quarantines = 0
        evidence.until = datetime.timedelta()

    def _note_failure(self, worker_id: str, job_id: str) -> None:
        workers = self._workers_by_job.setdefault(job_id, set())
        workers.add(worker_id)
        if len(self._workers_by_job) > JOBS_REMEMBERED:
            self._workers_by_job.popitem(last=False)
        evidence = self._by_worker[worker_id]
        evidence.failed_jobs.add(job_id)
        if not self.is_suspect(worker_id):
            return
        length = min(
            QUARANTINE_START * 2**evidence.quarantines, QUARANTINE_LIMIT
        )
        evidence.quarantines = min(evidence.quarantines + 1, 10)
        evidence.until = self._clock.monotonic() + length

    def is_suspect(self, worker_id: str) -> bool:
        """Tell whether jobs fail here that do not fail elsewhere."""
        failed_jobs = self._by_worker[worker_id].failed_jobs
        telling = [
            job_id
            for job_id in failed_jobs
            if len(self._workers_by_job.get(job_id, ())) < WORKERS_OF_BAD_JOB
        ]
        return len(telling) >= SUSPECT_JOBS

    def note_unreachable(self, worker_id: str) -> None:
        """Avoid a worker that did not answer, longer each time."""
        evidence = self._by_worker[worker_id]
        length = min(AVOIDANCE_START * 2**evidence.misses, AVOIDANCE_LIMIT)
        evidence.misses = min(evidence.misses + 1, 10)
        evidence.unreachable_until = self._clock.monotonic() + length

    def note_reachable(self, worker_id: str) -> None:
        """Forget the times that a worker did not answer."""
        evidence = self._by_worker.get(worker_id)
        if evidence is not None:
            evidence.misses = 0
            evidence.unreachable_until = datetime.timedelta()

    def is_usable(self, worker_id: str) -> bool:
        """Tell whether new work may be placed on a worker."""
        evidence = self._by_worker.get(worker_id)
        if evidence is None:
            return True
        now = self._clock.monotonic()
        return now >= max(evidence.until, evidence.unreachable_until)
