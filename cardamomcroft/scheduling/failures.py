"""Log what could not be done for single jobs, at a bounded rate."""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.scheduling import events

WINDOW = datetime.timedelta(seconds=1)  # one line of a kind for each job


class FailureLog:
    """Log failures that rounds repeat many times a second."""

    def __init__(self, clock: base.Clock, log: events.Events) -> None:
        """Write to ``log``."""
        self._clock = clock
        self._log = log
        self._logged: set[tuple[str, str]] = set()
        self._window_ends = clock.monotonic()

    def report(self, event: str, job_id: str, error: str) -> None:
        """Log a failure unless this window has a line on it."""
        now = self._clock.monotonic()
        if now >= self._window_ends:
            self._logged.clear()
            self._window_ends = now + WINDOW
        if (event, job_id) not in self._logged:
            self._logged.add((event, job_id))
            self._log.emit(event, job_id=job_id, error=error)
