"""Fold the stream of jobs into the state that instances share."""

import datetime
import enum

from cardamomcroft.ports import store
from cardamomcroft.scheduling import cancellations
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import footprint
from cardamomcroft.scheduling import lazy
from cardamomcroft.scheduling import models

CLAIM_KEY = "claim"
# Version 0.3.0 kept the instances' records in this stream.
OLD_INSTANCE_PREFIX = "i/"
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class Kind(enum.Enum):
    """Key prefixes of the records of jobs and workers.

    Submissions, cancellations and progress have different writers, so each
    has its own key, which a late append of another writer cannot overwrite.
    """

    SUBMISSION = "s/"
    CANCELLATION = "c/"
    PROGRESS = "p/"
    ASSIGNMENT = "w/"

    def key(self, name: str) -> str:
        """Return the key of a job or worker."""
        return self.value + name


# In the order of their deletion: what remains after a crash between two
# appends has no submission, so that no scheduler runs the job again.
JOB_KINDS = (Kind.SUBMISSION, Kind.PROGRESS, Kind.CANCELLATION)
LEFTOVER_KINDS = (Kind.PROGRESS, Kind.CANCELLATION)
# Written by the holder alone, so that they show that it is alive.
HOLDER_KINDS = frozenset({Kind.PROGRESS, Kind.ASSIGNMENT})


def is_written_by_holder(key: str) -> bool:
    """Return whether a record shows that the scheduler is alive."""
    prefixes = tuple(kind.value for kind in HOLDER_KINDS)
    return key == CLAIM_KEY or key.startswith(prefixes)


class Ledger:
    """Keep the newest record of each key, decoded."""

    def __init__(self) -> None:
        """Create a ledger before the first record of the stream."""
        self.end_offset = 0
        self.jobs_by_id: lazy.LazyMap[models.Job] = lazy.LazyMap(
            codec.decode_job
        )
        # Jobs of which the stream has another submission after the first.
        self.resubmitted_ids: set[str] = set()
        self.cancelled_ids: set[str] = set()
        self.unmatched = cancellations.UnmatchedCancellations()
        self.progress_by_id: lazy.LazyMap[codec.Progress] = lazy.LazyMap(
            lambda _, raw: codec.decode_progress(raw)
        )
        self.assignments_by_worker: lazy.LazyMap[codec.Assignment] = (
            lazy.LazyMap(lambda _, raw: codec.decode_assignment(raw))
        )
        self._maps_by_kind: dict[Kind, lazy.LazyMap] = {
            Kind.PROGRESS: self.progress_by_id,
            Kind.ASSIGNMENT: self.assignments_by_worker,
        }
        self.footprint = footprint.Footprint(self._weigh)
        self.claim: codec.Claim | None = None
        self.holder_seen_at: datetime.timedelta | None = None
        # A load shows no deletions, so the holder may have been alive then.
        self.loaded_at: datetime.timedelta | None = None
        # The claim before this one, and when its last record was read.
        self.predecessor: codec.Claim | None = None
        self.predecessor_seen_at: datetime.timedelta | None = None

    def apply(
        self, page: store.Page, now: datetime.timedelta
    ) -> list[tuple[Kind, str]]:
        """Fold a page and return its new submissions and cancellations.

        Two reads may overlap: records of an earlier page are skipped, so
        that a late page never replaces a newer record by an older one.
        """
        updates: list[tuple[Kind, str]] = []
        for record in page.records:
            if record.offset < self.end_offset:
                continue
            if record.key == CLAIM_KEY:
                self._fold_claim(record, now)
                continue
            if record.key.startswith(OLD_INSTANCE_PREFIX):
                continue
            kind, name = Kind(record.key[:2]), record.key[2:]
            if kind in HOLDER_KINDS:
                self.holder_seen_at = now
            if self._fold(kind, name, record.value):
                updates.append((kind, name))
        self.end_offset = max(self.end_offset, page.end_offset)
        return updates

    def _fold_claim(
        self, record: store.Record, now: datetime.timedelta
    ) -> None:
        if record.value is None:
            return
        claim = codec.decode_claim(record.value)
        if self.claim is None or claim.epoch >= self.claim.epoch:
            if self.claim is not None and claim.epoch > self.claim.epoch:
                self.predecessor = self.claim
                signs = self.holder_seen_at, self.loaded_at
                self.predecessor_seen_at = max(
                    at for at in signs if at is not None
                )
            self.claim = claim
            self.holder_seen_at = now

    def _fold(self, kind: Kind, name: str, value: bytes | None) -> bool:
        if kind is Kind.SUBMISSION:
            return self._fold_submission(name, value)
        if kind is Kind.CANCELLATION:
            return self._fold_cancellation(name, value)
        records = self._maps_by_kind[kind]
        if value is None:
            records.drop(name)
        else:
            records.put(name, value)
        if kind is Kind.PROGRESS and name in self.jobs_by_id:
            self.footprint.note_change(name)
        return False

    def _fold_submission(self, job_id: str, value: bytes | None) -> bool:
        if value is None:
            self.jobs_by_id.drop(job_id)
            self.footprint.drop(job_id)
            self.resubmitted_ids.discard(job_id)
            return False
        if job_id not in self.jobs_by_id:
            self.jobs_by_id.put(job_id, value)
            self.footprint.note_change(job_id)
            self.unmatched.drop(job_id)
            return True
        if value == self.jobs_by_id.raw(job_id):
            self.resubmitted_ids.discard(job_id)
        else:
            self.resubmitted_ids.add(job_id)
        return False

    def _fold_cancellation(self, job_id: str, value: bytes | None) -> bool:
        if value is None:
            self.cancelled_ids.discard(job_id)
            self.unmatched.drop(job_id)
            return False
        is_new = job_id not in self.cancelled_ids
        self.cancelled_ids.add(job_id)
        if job_id in self.jobs_by_id:
            return is_new
        # A repeated one is kept for longer.
        self.unmatched.put(job_id, codec.decode_cancellation(value))
        return True

    def _weigh(self, job_id: str) -> int:
        size = self.jobs_by_id.size(job_id)
        if self.state(job_id) in FINAL_STATES:
            self.jobs_by_id.forget_value(job_id)
            return footprint.ended_job_bytes(size)
        return footprint.job_bytes(self.jobs_by_id[job_id], size)

    def leftover_ids(self) -> set[str]:
        """Return the ids whose records have lost their submission."""
        named = self.progress_by_id.keys() | self.cancelled_ids
        return named - self.jobs_by_id.keys()

    def state(self, job_id: str) -> str | None:
        """Return a job's state; None if the job is unknown."""
        if job_id not in self.jobs_by_id:
            return None
        progress = self.progress_by_id.get(job_id)
        if progress and progress.state in FINAL_STATES:
            return progress.state
        if job_id in self.cancelled_ids:
            return "cancelled"
        return progress.state if progress else "queued"

    def pending(self, queue: str) -> int:
        """Count a queue's jobs of which no task has started."""
        return sum(
            self.state(job_id) == "queued"
            and self.jobs_by_id[job_id].queue.name == queue
            for job_id in self.jobs_by_id
        )
