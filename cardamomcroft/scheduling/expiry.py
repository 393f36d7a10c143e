"""Drop the records of ended jobs.

Every instance holds every record and reads all of them at a restart, so they
would grow over months of service.
"""

import datetime
import heapq

MAX_DROPPED_JOBS = 50  # per round: three small records each in one append


class Expiry:
    """Ended jobs, kept while their state may still be queried."""

    def __init__(self, retention: datetime.timedelta) -> None:
        """Retain a job's state for this long after its end."""
        self._retention = retention
        self._ended: list[tuple[datetime.datetime, str]] = []
        self._ended_at_by_id: dict[str, datetime.datetime] = {}

    def record_ended(self, job_id: str, ended_at: datetime.datetime) -> None:
        """Record a job whose end is in the store; the latest time counts."""
        known = self._ended_at_by_id.get(job_id)
        if known is None:
            heapq.heappush(self._ended, (ended_at, job_id))
        self._ended_at_by_id[job_id] = max(known or ended_at, ended_at)

    def pop_due(self, now: datetime.datetime) -> list[str]:
        """Return the jobs to drop now, the oldest first."""
        due: list[str] = []
        while self._ended and len(due) < MAX_DROPPED_JOBS:
            ended_at, job_id = self._ended[0]
            if now - ended_at < self._retention:
                break
            heapq.heappop(self._ended)
            latest = self._ended_at_by_id[job_id]
            if latest > ended_at:
                heapq.heappush(self._ended, (latest, job_id))
                continue
            del self._ended_at_by_id[job_id]
            due.append(job_id)
        return due
