"""Fold what is known to have happened ahead of the log."""

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.state import fold
from cardamomcroft.state import models

FACTS_LIMIT = 64  # records that a digest carries


class Overlay:
    """Add this instance's pending work, and in an outage its peers'."""

    def __init__(
        self,
        replica: replicas.Replica,
        appender: appenders.Appender,
        membership: members.Membership,
    ) -> None:
        """Take the parts it reads."""
        self._replica = replica
        self._appender = appender
        self._membership = membership

    def pending(self) -> tuple[records.Record, ...]:
        """Return the records that the log does not show yet."""
        own = self._appender.pending_facts()
        if self._replica.reachable:
            return own
        return own + tuple(
            decoded.ok
            for fact in self._membership.facts()
            if (decoded := records.decode(fact)).is_ok()
        )

    def state(self) -> models.State:
        """Return the state with the pending records folded in."""
        return fold.fold_all(self._replica.state, self.pending())

    def facts(self) -> tuple[str, ...]:
        """Return the ends of tasks that peers should know in an outage."""
        if self._replica.reachable:
            return ()
        ends = [
            records.encode(record)
            for record in self._appender.pending_facts()
            if isinstance(record.body, records.TasksEnded)
        ]
        return tuple(ends[:FACTS_LIMIT])
