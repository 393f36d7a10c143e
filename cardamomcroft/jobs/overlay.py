"""Fold completed work into the state before the log confirms it."""

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.state import fold
from cardamomcroft.state import models

MAX_FACTS_PER_DIGEST = 64  # records


class Overlay:
    """Add this instance's pending records, and peers' in a log outage."""

    def __init__(
        self,
        replica: replicas.Replica,
        appender: appenders.Appender,
        membership: members.Membership,
    ) -> None:
        """Combine the replica with records of the appender and of peers."""
        self._replica = replica
        self._appender = appender
        self._membership = membership

    def pending(self) -> tuple[records.Record, ...]:
        """Return the records of work done that the log has not confirmed."""
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
        return fold.fold_pending(self._replica.state, self.pending())

    def facts(self) -> tuple[str, ...]:
        """Return the encoded task completions to share in a log outage."""
        if self._replica.reachable:
            return ()
        ends = [
            records.encode(record)
            for record in self._appender.pending_facts()
            if isinstance(record.body, records.TasksEnded)
        ]
        return tuple(ends[:MAX_FACTS_PER_DIGEST])
