"""Avoid workers that leave calls without an answer."""

import dataclasses
import datetime

from cardamomcroft.ports import base

MAX_DOUBLINGS = 10
# Beyond this part of the workers avoidance tells nothing: what fails is
# elsewhere, and the work has to run somewhere.
MAX_AVOIDED_SHARE = 1 / 3


def max_avoided(workers: int) -> int:
    """Return how many of so many workers may be avoided at once."""
    if workers < 2:
        return 0
    return max(int(workers * MAX_AVOIDED_SHARE), 1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Silence:
    missed_answers: int
    avoided_until: datetime.timedelta


class Avoidance:
    """Avoid a silent worker longer after each silence, up to a limit."""

    def __init__(
        self,
        clock: base.Clock,
        initial: datetime.timedelta,
        limit: datetime.timedelta,
    ) -> None:
        """Avoid no worker at first, later for ``initial`` to ``limit``."""
        self._clock = clock
        self._initial = initial
        self._limit = limit
        self._silences: dict[str, _Silence] = {}

    def record_missed(self, worker_id: str) -> None:
        """Avoid the worker, for twice as long as the last time.

        Calls that fail while it is avoided already belong to one silence.
        """
        if self.is_avoided(worker_id):
            return
        silence = self._silences.get(worker_id)
        missed = silence.missed_answers if silence else 0
        duration = min(self._initial * 2**missed, self._limit)
        self._silences[worker_id] = _Silence(
            min(missed + 1, MAX_DOUBLINGS), self._clock.monotonic() + duration
        )

    def record_answered(self, worker_id: str) -> None:
        """End the avoidance of the worker and reset its length."""
        self._silences.pop(worker_id, None)

    def is_avoided(self, worker_id: str) -> bool:
        """Return whether the worker left a call without an answer lately."""
        silence = self._silences.get(worker_id)
        if silence is None:
            return False
        return self._clock.monotonic() < silence.avoided_until
