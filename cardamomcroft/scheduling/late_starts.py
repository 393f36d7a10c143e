"""Track how long a worker may carry out starts that got no answer."""

import datetime

# An order without an answer may be carried out so much later (protocol).
LATE_START_BOUND = datetime.timedelta(seconds=12)
_ZERO = datetime.timedelta()


class LateStarts:
    """Bound the time in which a start may act without having been answered.

    What refuses it, the worker's memory of a stop or of a later run, ends with
    its incarnation. So the worker is polled until then: the poll shows a
    restart, and its token refuses the start in the new incarnation.
    """

    def __init__(self) -> None:
        """Create it for a worker that has answered every start."""
        self._possible_until = _ZERO
        self._known_until = _ZERO

    def record_lost(self, now: datetime.timedelta) -> None:
        """Note that a start got no answer."""
        self._known_until = now + LATE_START_BOUND
        self.expect(now)

    def expect(self, now: datetime.timedelta) -> None:
        """Note that a start of a predecessor may have got no answer."""
        self._possible_until = now + LATE_START_BOUND

    def are_possible(self, now: datetime.timedelta) -> bool:
        """Return whether a start may still be carried out late."""
        return now < self._possible_until

    def are_known(self, now: datetime.timedelta) -> bool:
        """Return whether one of them certainly got no answer."""
        return now < self._known_until
