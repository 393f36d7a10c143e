"""Size the headroom by the rate at which urgent jobs arrive.

Load: bursts of urgent jobs alongside long work. An urgent job that finds no
free capacity starts only after a stop, which takes longer than it may wait.
The headroom therefore covers what urgent jobs are expected to ask for until
capacity freed by a stop can follow.
"""

import collections
import datetime

# A shorter window follows single jobs, a longer one misses the begin of a
# burst: urgent jobs come several a second, and bursts last some seconds.
WINDOW = datetime.timedelta(seconds=5)
# Arrivals of one slot are added up, which bounds the memory of a burst.
SLOT = datetime.timedelta(milliseconds=250)
# Urgent jobs of mean size that fit the headroom beside the rate: a gang needs
# its accelerators at one time and mostly in one rack.
SPARE_JOBS = 1.5
# Of all accelerators: beyond it, idle capacity costs more of the value of
# other work than urgent work gains (four times the value per job, a tenth of
# the work).
MAX_SHARE = 0.25
_ZERO = datetime.timedelta()


class ArrivalRate:
    """The accelerators per second that urgent jobs asked for lately."""

    def __init__(self) -> None:
        self._wanted_by_slot: collections.Counter[int] = collections.Counter()

    def observe(self, accelerators: int, at: datetime.timedelta) -> None:
        """Count an urgent job accepted at a time, which may be past."""
        self._wanted_by_slot[at // SLOT] += accelerators
        self._forget(at)

    def per_second(self, now: datetime.timedelta) -> float:
        """Return the mean over the window before now."""
        self._forget(now)
        first, last = (now - WINDOW) // SLOT, now // SLOT
        wanted = sum(
            accelerators
            for slot, accelerators in self._wanted_by_slot.items()
            if first < slot <= last
        )
        return wanted / WINDOW.total_seconds()

    def _forget(self, now: datetime.timedelta) -> None:
        """Forget the slots before the window that ends now.

        A successor admits jobs in any order of age, so the window counts from
        the newest slot seen.
        """
        newest = max([now // SLOT, *self._wanted_by_slot])
        first = newest - WINDOW // SLOT
        for slot in [s for s in self._wanted_by_slot if s <= first]:
            del self._wanted_by_slot[slot]


def headroom_wanted(
    rate: float, mean_job: float, lead: datetime.timedelta, total: int
) -> float:
    """Return the accelerators to keep idle for urgent jobs to come.

    ``rate`` is in accelerators per second, ``mean_job`` in accelerators, and
    ``lead`` the time from a stop order to the start in its place.
    """
    expected = rate * max(lead, _ZERO).total_seconds()
    return min(expected + mean_job * SPARE_JOBS, total * MAX_SHARE)
