"""Estimate the memory that accepted jobs need at most, to refuse others.

Every instance has the records of all jobs, and any may become the scheduler,
which has the steps of all unfinished jobs in memory.
"""

import collections.abc

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences

# Of an instance's memory; the rest is for the process itself (50 MB), the
# workers, their runs, and calls under way.
JOBS_SHARE = 0.4
# Checked by test_footprint.
RECORD_BYTES = 1_000  # beside the bytes of the record itself
JOB_BYTES = 2_000
COPIES_OF_RECORD = 2  # as it was read, and its texts decoded
DECODED_STEP_BYTES = 500
STEP_BYTES = 1_600  # of an open occurrence
_BITS_PER_TASK = 3  # waiting, done, started
_BITS_PER_BYTE = 8
BYTES_PER_MB = 1_000_000


def ended_job_bytes(record_size: int) -> int:
    """Return the memory of a job that has ended, in bytes."""
    return RECORD_BYTES + record_size


def job_bytes(job: models.Job, record_size: int) -> int:
    """Return the memory that an unfinished job needs at most, in bytes.

    What is at work beyond that is bounded by the workers, not by the job.
    """
    step_count = len(job.steps)
    open_count = min(job.occurrences, occurrences.max_idle(step_count))
    tasks = sum(step.width for step in job.steps)
    bits = tasks * _BITS_PER_TASK // _BITS_PER_BYTE
    return (
        RECORD_BYTES
        + JOB_BYTES
        + record_size * COPIES_OF_RECORD
        + step_count * DECODED_STEP_BYTES
        + (step_count * STEP_BYTES + bits) * open_count
    )


def budget_bytes(memory_mb: collections.abc.Iterable[int]) -> int | None:
    """Return the memory for jobs on the smallest instance, in bytes.

    ``memory_mb`` has the limits of the instances, 0 where it is unknown. The
    result is None if all are unknown.
    """
    known = [limit for limit in memory_mb if limit]
    return int(min(known) * BYTES_PER_MB * JOBS_SHARE) if known else None


class Footprint:
    """Add up the estimates of all jobs; weigh a job when it has changed."""

    def __init__(self, weigh: collections.abc.Callable[[str], int]) -> None:
        """Estimate a job with ``weigh``, which returns bytes."""
        self._weigh = weigh
        self._bytes_by_job: dict[str, int] = {}
        self._changed: set[str] = set()
        self._total = 0

    def note_change(self, job_id: str) -> None:
        """Weigh the job anew at the next question."""
        self._changed.add(job_id)

    def drop(self, job_id: str) -> None:
        """Leave a job out that has no record any more."""
        self._changed.discard(job_id)
        self._total -= self._bytes_by_job.pop(job_id, 0)

    def total(self) -> int:
        """Return the sum in bytes."""
        for job_id in self._changed:
            estimate = self._weigh(job_id)
            self._total += estimate - self._bytes_by_job.get(job_id, 0)
            self._bytes_by_job[job_id] = estimate
        self._changed.clear()
        return self._total
