"""Tell whether this instance may act on what it knows."""

import datetime

from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.ports import base


class Freshness:
    """Validate the state against the log or against every peer."""

    def __init__(
        self,
        replica: replicas.Replica,
        membership: members.Membership,
        clock: base.Clock,
        limit: datetime.timedelta,
    ) -> None:
        """Remember the self-lease."""
        self._replica = replica
        self._membership = membership
        self._clock = clock
        self._limit = limit

    def is_fresh(self) -> bool:
        """Tell whether nothing newer can be in force unseen.

        Either the log answered within the self-lease, or no log answers
        and each regional instance said within it that it has seen no
        newer claim: a claim needs an instance that reaches the log.
        """
        confirmed_at = self._replica.confirmed_at
        now = self._clock.monotonic()
        if confirmed_at is not None and now - confirmed_at <= self._limit:
            return True
        if not self._replica.caught_up:
            return False
        return self._membership.all_answered(self._limit)
