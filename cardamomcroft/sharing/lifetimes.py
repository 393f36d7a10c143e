"""Bound how long capacity that is being freed stays reserved.

Load: gangs that preempt on several workers where stops take long. A
reservation that expires before the last stop is complete makes its gang
preempt again elsewhere, and leaves the capacity freed first to other work.
"""

import datetime

# After the longest stop: 0.3 s for the reports of the ends and the start
# orders; the rest covers rounds and an order that is repeated (after 0.25 s).
AFTER_STOP = datetime.timedelta(seconds=1)
# Also with short stops an order may have to be repeated.
MIN_LIFETIME = datetime.timedelta(seconds=1.5)


def reservation_lifetime(
    stop_bound: datetime.timedelta,
) -> datetime.timedelta:
    """Return how long a reservation lasts, given the longest stop."""
    return max(stop_bound + AFTER_STOP, MIN_LIFETIME)
