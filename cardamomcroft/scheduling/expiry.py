"""Drop the records of jobs that ended long ago.

Answers months of service: every instance holds every record, and a restart
reads them all.
"""

import datetime
import heapq

MOST_DROPPED = 50  # jobs a round: three small records each in one append


class Expiry:
    """Hold ended jobs until nobody has a right to their state any more."""

    def __init__(self, retention: datetime.timedelta) -> None:
        """Take for how long a job's state is shown after its end."""
        self._retention = retention
        self._ended: list[tuple[datetime.datetime, str]] = []

    def note_ended(self, job_id: str, ended_at: datetime.datetime) -> None:
        """Take in a job whose end is recorded."""
        heapq.heappush(self._ended, (ended_at, job_id))

    def pop_due(self, now: datetime.datetime) -> list[str]:
        """Return the jobs to drop now, the oldest first."""
        due: list[str] = []
        while self._ended and len(due) < MOST_DROPPED:
            ended_at, job_id = self._ended[0]
            if now - ended_at < self._retention:
                break
            heapq.heappop(self._ended)
            due.append(job_id)
        return due
