"""Drop the records of ended jobs and of instances that are gone.

Every instance holds every record and reads all of them at a restart, so both
would grow over months of service.
"""

import collections.abc
import datetime
import heapq

from cardamomcroft.scheduling import codec

MAX_DROPPED_JOBS = 50  # per round: three small records each in one append
# Instances register every five minutes; two of their records may get lost.
REGISTER_PERIOD = datetime.timedelta(minutes=5)
PEER_LIFETIME = REGISTER_PERIOD * 3
PEER_CHECK_PERIOD = datetime.timedelta(minutes=1)


class Expiry:
    """Ended jobs, kept while their state may still be queried."""

    def __init__(self, retention: datetime.timedelta) -> None:
        """Retain a job's state for this long after its end."""
        self._retention = retention
        self._ended: list[tuple[datetime.datetime, str]] = []

    def record_ended(self, job_id: str, ended_at: datetime.datetime) -> None:
        """Record a job whose end is in the store."""
        heapq.heappush(self._ended, (ended_at, job_id))

    def pop_due(self, now: datetime.datetime) -> list[str]:
        """Return the jobs to drop now, the oldest first."""
        due: list[str] = []
        while self._ended and len(due) < MAX_DROPPED_JOBS:
            ended_at, job_id = self._ended[0]
            if now - ended_at < self._retention:
                break
            heapq.heappop(self._ended)
            due.append(job_id)
        return due


class PeerExpiry:
    """Check for instances that have not registered for too long."""

    def __init__(self) -> None:
        # None until the first round, which always checks.
        self._next_at: datetime.datetime | None = None

    def pop_due(
        self,
        peers_by_instance: collections.abc.Mapping[str, codec.Peer],
        now: datetime.datetime,
    ) -> list[str]:
        """Return the instances to drop; check at most once a period."""
        if self._next_at is not None and now < self._next_at:
            return []
        self._next_at = now + PEER_CHECK_PERIOD
        oldest = (now - PEER_LIFETIME).timestamp()
        return [
            name
            for name, peer in peers_by_instance.items()
            if peer.seen_at < oldest
        ]
