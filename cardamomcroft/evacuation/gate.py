"""Decide whether starts may be sent, and to which data centres.

Load: an instance was frozen, was cut off from the store or has just become
the holder, and an evacuation was acknowledged that it has not read.
"""

import collections.abc
import datetime

from cardamomcroft.evacuation import evacuations as evacuation_sets

# A start that is sent just before the gate closes: two time-outs of its order
# (1.1 s) and its transmission.
SENDING_TIME = datetime.timedelta(seconds=1.5)
Age = collections.abc.Callable[[], datetime.timedelta | None]


class Gate:
    """Permission to send starts, by the evacuations and the age of a view."""

    def __init__(
        self,
        evacuations: evacuation_sets.Evacuations | None = None,
        age: Age = lambda: None,
        bound: datetime.timedelta | None = None,
    ) -> None:
        """Require a view young enough for evacuations to obey ``bound``.

        Without a bound the ``age`` of the view does not matter.
        """
        self.evacuations = evacuations
        self._age = age
        self._max_age = None if bound is None else bound - SENDING_TIME

    @property
    def is_open(self) -> bool:
        """Return whether starts may be sent to data centres not evacuated."""
        if self._max_age is None:
            return True
        age = self._age()
        return age is not None and age < self._max_age

    def is_evacuated(self, data_centre: str | None) -> bool:
        """Return whether no start may be sent to a data centre."""
        if self.evacuations is None:
            return False
        return data_centre in self.evacuations.offsets_by_data_centre
