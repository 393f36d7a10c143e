"""Let tasks that fail soon after each start rest before the next one."""

import dataclasses
import datetime

# A task that lasts may be without a run for 6 s (protocol), and its next
# start takes a part of that.
FIRST_REST = datetime.timedelta(milliseconds=500)
MAX_REST = datetime.timedelta(seconds=4)
# After a longer life a failure counts as a first one.
SOUND_LIFE = datetime.timedelta(seconds=10)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class _Failures:
    """Failures of one task in a row, each soon after its start."""

    count: int = 0
    last_run: int = 0


class Rests:
    """The tasks of a step that lasts which rest, by index."""

    def __init__(self) -> None:
        """Let no task rest."""
        self._failures_by_index: dict[int, _Failures] = {}
        self._until_by_index: dict[int, datetime.timedelta] = {}

    def record_failure(
        self,
        index: int,
        run: int,
        lived: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Count a failed run once; return until when its task rests.

        After its first failure a task starts again at once.
        """
        known = self._failures_by_index.setdefault(index, _Failures())
        if run <= known.last_run:
            return self._until_by_index.get(index, now)
        known.last_run = run
        known.count = 1 if lived >= SOUND_LIFE else known.count + 1
        rest = _ZERO
        if known.count > 1:
            doublings = min(known.count - 2, 8)
            rest = min(FIRST_REST * 2**doublings, MAX_REST)
            self._until_by_index[index] = now + rest
        return now + rest

    def indexes(self, now: datetime.timedelta) -> set[int]:
        """Return the tasks that rest."""
        ended = [
            n for n, until in self._until_by_index.items() if until <= now
        ]
        for index in ended:
            del self._until_by_index[index]
        return set(self._until_by_index)

    def count(self, now: datetime.timedelta) -> int:
        """Return how many tasks rest."""
        return len(self.indexes(now)) if self._until_by_index else 0
