"""Find workers that are lost and come back again and again.

Load: a worker with a bad link or a process that crashes. It is idle whenever
it is back, so the next gang starts there, and is lost with it.
"""

import collections
import datetime
import enum

# Events of a worker count for so long: most gangs run for less, and a worker
# that has been well for so long is trusted again.
WINDOW = datetime.timedelta(seconds=30)
MIN_EVENTS = 2  # of one kind


class Kind(enum.Enum):
    """What a worker shows when it fails.

    One failure may show as one event of each kind, so that only events of
    the same kind are counted together.
    """

    LOST = "lost"
    REBORN = "reborn"
    LISTED_ANEW = "listed_anew"


class Flapping:
    """Events of the workers that have failed lately."""

    def __init__(self) -> None:
        """Know of no event yet."""
        self._events: collections.deque[
            tuple[datetime.timedelta, str, Kind]
        ] = collections.deque()
        self._counts: collections.Counter[tuple[str, Kind]] = (
            collections.Counter()
        )
        self._worker_ids: frozenset[str] = frozenset()
        self._is_changed = False

    def note(
        self, worker_id: str, kind: Kind, now: datetime.timedelta
    ) -> None:
        """Note an event of a worker."""
        self._events.append((now, worker_id, kind))
        self._counts[worker_id, kind] += 1
        self._is_changed = True

    def worker_ids(self, now: datetime.timedelta) -> frozenset[str]:
        """Return the workers that flap."""
        while self._events and now - self._events[0][0] > WINDOW:
            _, worker_id, kind = self._events.popleft()
            self._counts[worker_id, kind] -= 1
            if not self._counts[worker_id, kind]:
                del self._counts[worker_id, kind]
            self._is_changed = True
        if self._is_changed:
            self._is_changed = False
            self._worker_ids = frozenset(
                worker_id
                for (worker_id, _), count in self._counts.items()
                if count >= MIN_EVENTS
            )
        return self._worker_ids
