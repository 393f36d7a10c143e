"""Drop the records of ended jobs and of instances that are gone.

Answers months of service: every instance holds every record, and a restart
reads them all.
"""

import collections.abc
import datetime
import heapq

from cardamomcroft.scheduling import codec

MOST_DROPPED = 50  # jobs a round: three small records each in one append
# Instances register every five minutes; two of their records may get lost.
REGISTER_PERIOD = datetime.timedelta(minutes=5)
PEER_LIFETIME = REGISTER_PERIOD * 3
PEER_CHECK_PERIOD = datetime.timedelta(minutes=1)


class Expiry:
    """Hold ended jobs until nobody has a right to their state any more."""

    def __init__(self, retention: datetime.timedelta) -> None:
        """Take for how long a job's state is shown after its end."""
        self._retention = retention
        self._ended: list[tuple[datetime.datetime, str]] = []

    def record_ended(self, job_id: str, ended_at: datetime.datetime) -> None:
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


class PeerExpiry:
    """Find instances that have not registered for long."""

    def __init__(self) -> None:
        """Look at the first round."""
        self._next_at: datetime.datetime | None = None

    def pop_due(
        self,
        peers_by_instance: collections.abc.Mapping[str, codec.Peer],
        now: datetime.datetime,
    ) -> list[str]:
        """Return the instances to forget, at most once a period."""
        if self._next_at is not None and now < self._next_at:
            return []
        self._next_at = now + PEER_CHECK_PERIOD
        oldest = (now - PEER_LIFETIME).timestamp()
        return [
            name
            for name, peer in peers_by_instance.items()
            if peer.seen_at < oldest
        ]
