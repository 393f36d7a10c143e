"""Check whether this instance's state is recent enough to act on."""

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
        """Treat state confirmed within ``limit``, the self-lease, as fresh."""
        self._replica = replica
        self._membership = membership
        self._clock = clock
        self._limit = limit

    def is_fresh(self) -> bool:
        """Return whether no newer claim can be in force unknown to this one.

        Either the log answered within the self-lease, or it does not answer
        and every regional instance sent a digest without a newer claim
        within that time: only an instance that reaches the log can claim.
        """
        confirmed_at = self._replica.confirmed_at
        now = self._clock.monotonic()
        if confirmed_at is not None and now - confirmed_at <= self._limit:
            return True
        if not self._replica.caught_up:
            return False
        return self._membership.all_answered(self._limit)

    def is_complete_as_of(
        self, at: datetime.timedelta, call_limit: datetime.timedelta
    ) -> bool:
        """Return whether every record that an instance read by then is here.

        Either the log's end was read since, or every regional instance sent
        a digest since without a newer record. A digest that arrives within
        ``call_limit`` may have been made before.
        """
        confirmed_at = self._replica.confirmed_at
        if confirmed_at is not None and confirmed_at >= at:
            return True
        return self._replica.caught_up and self._membership.none_ahead(
            self._replica.state.applied, at + call_limit
        )
