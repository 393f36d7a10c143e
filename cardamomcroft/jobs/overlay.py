"""Fold completed work into the state before the log confirms it."""

import dataclasses

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.state import fold
from cardamomcroft.state import models

# In one exchange with every peer, whose digests and answers pass a link of
# 2 Mbit/s within the time-out of 1 s.
MAX_FACT_BYTES_PER_ROUND = 125_000


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
        self._last_shared_ids: dict[str, str] = {}
        self._decoded: dict[str, records.Record] = {}

    def pending(self) -> tuple[records.Record, ...]:
        """Return the records of work done that the log has not confirmed."""
        own = self._appender.pending_facts()
        if self._replica.reachable:
            return own
        return own + self._peers_records()

    def _peers_records(self) -> tuple[records.Record, ...]:
        known, self._decoded = self._decoded, {}
        for fact in self._membership.facts():
            if fact in known:
                self._decoded[fact] = known[fact]
            elif (decoded := records.decode(fact)).is_ok():
                self._decoded[fact] = decoded.ok
        return tuple(self._decoded.values())

    def state(self) -> models.State:
        """Return the state with the pending records folded in."""
        return fold.fold_pending(self._replica.state, self.pending())

    def facts(self, peer_id: str) -> tuple[str, ...]:
        """Return encoded task completions to share with a peer in an outage.

        Each digest to a peer goes on where the one before ended, so that all
        arrive although one digest holds few.
        """
        if self._replica.reachable:
            self._last_shared_ids.clear()
            return ()
        ends = [
            record
            for record in self._appender.pending_facts()
            if isinstance(record.body, records.TasksEnded)
        ]
        exchanges = 2 * max(1, len(self._membership.regional()))
        shared = _first_that_fit(
            _after(ends, self._last_shared_ids.get(peer_id, "")),
            MAX_FACT_BYTES_PER_ROUND // exchanges,
        )
        if shared:
            self._last_shared_ids[peer_id] = list(shared)[-1]
        return tuple(shared.values())


def _after(ends: list[records.Record], record_id: str) -> list[records.Record]:
    """Return the records in turn, beginning after the given one."""
    for index, record in enumerate(ends, 1):
        if record.record_id == record_id:
            return ends[index:] + ends[:index]
    return ends


def _first_that_fit(
    ends: list[records.Record], max_bytes: int
) -> dict[str, str]:
    """Return encoded records by id, at least one of them."""
    shared: dict[str, str] = {}
    size = 0
    for record in ends:
        # Receivers ignore the validity; a retry of the append changes it.
        fact = records.encode(dataclasses.replace(record, valid_until=0))
        size += len(fact)
        if shared and size > max_bytes:
            break
        shared[record.record_id] = fact
    return shared
