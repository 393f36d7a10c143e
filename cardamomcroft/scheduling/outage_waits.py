"""Tell clients when to return while the store is away.

In an outage every submission is refused, and a client tries only a few times.
How long the outage lasts is not known; one that has lasted for some time will
probably last as long again. Waits that grow with its age let the last try come
after its end, and the spread keeps the clients from returning all at once.
"""

import datetime
import random

MIN_WAIT_S = 1
MAX_WAIT_S = 8  # a longer wait costs more than a refusal
SPREAD = (0.75, 1.25)  # of the outage's age


def retry_after_s(age: datetime.timedelta, rng: random.Random) -> int:
    """Return in how many seconds a client should return.

    ``age`` is the time for which this instance has lacked the store.
    """
    wait_s = round(age.total_seconds() * rng.uniform(*SPREAD))
    return min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S)
