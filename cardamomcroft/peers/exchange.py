"""Exchange digests with peers and catch up on log records from them."""

import asyncio
import collections
import datetime

import structlog

from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import digests
from cardamomcroft.membership import members
from cardamomcroft.peers import base
from cardamomcroft.ports import base as ports
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.state import models
from cardamomcroft.state import snapshots

MAX_BUFFERED_RECORDS = 512  # for peers that cannot reach the log
MAX_PAGE_RECORDS = 200
WATCHER_COUNT = 3  # instances next in rank that monitor the scheduler


class RecordBuffer:
    """Buffer the latest applied records for peers."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Buffer the records that the replica applies from now on."""
        self._replica = replica
        self._payloads: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=MAX_BUFFERED_RECORDS
        )
        replica.observe(self._add)

    def _add(self, record: records.Record, applied: models.Applied) -> None:
        self._payloads.append((applied.offset, records.encode(record)))

    def page(self, offset: int, limit: int) -> messages.LogPage:
        """Return consecutive buffered records from the offset on."""
        rows = [row for row in self._payloads if row[0] >= offset][:limit]
        first = self._payloads[0][0] if self._payloads else offset
        if not rows or rows[0][0] != offset:
            return messages.LogPage(first, offset, ())
        payloads = []
        for index, (found, payload) in enumerate(rows):
            if found != offset + index:
                break
            payloads.append(payload)
        return messages.LogPage(first, offset, tuple(payloads))


class Exchange(base.PeerHandler):
    """Exchange digests and serve the peers' calls."""

    def __init__(
        self,
        make_digest,
        membership: members.Membership,
        replica: replicas.Replica,
        peers: base.PeerClient,
        clock: ports.Clock,
        period: datetime.timedelta,
        fanout: int,
    ) -> None:
        """Exchange with ``fanout`` peers in each period, and at changes."""
        self._make_digest = make_digest
        self._membership = membership
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._period = period
        self._fanout = fanout
        self._next_index = 0
        self._recent_records = RecordBuffer(replica)
        self._encoded_state: models.State | None = None
        self._encoded_snapshot = ""
        self._logger = structlog.get_logger()

    def exchange(self, digest: digests.Digest) -> digests.Digest:
        """Record a peer's digest and return this instance's."""
        self._membership.record_digest(digest)
        return self._make_digest(digest.instance_id)

    def read_log(self, offset: int, limit: int) -> messages.LogPage:
        """Return records applied here, from the offset on."""
        return self._recent_records.page(offset, min(limit, MAX_PAGE_RECORDS))

    def snapshot(self) -> str:
        """Return this instance's encoded state.

        Encoding can take longer than a peer waits; the peer's next try then
        gets the result.
        """
        state = self._replica.state
        if state is not self._encoded_state:
            self._encoded_snapshot = snapshots.encode(state)
            self._encoded_state = state
        return self._encoded_snapshot

    async def run(self) -> None:
        """Exchange digests until cancelled."""
        while True:
            await self.step()
            changed = self._membership.has_updates
            await clocks.within(self._clock, self._period, changed.wait())
            if changed.is_set():
                changed.clear()
                await self.announce()

    async def step(self) -> None:
        """Exchange with the peers that are due and catch up if behind.

        Without the log, every peer is due: only their digests together
        show that nothing newer is in force.
        """
        if self._replica.reachable:
            due = self._next_round_robin() | self._watch_scheduler()
        else:
            due = set(self._reachable_ids())
        await asyncio.gather(*map(self._exchange_with, sorted(due)))
        if not self._replica.reachable:
            await self._catch_up()

    async def announce(self) -> None:
        """Send every peer a digest at once, after a change here."""
        await asyncio.gather(*map(self._exchange_with, self._reachable_ids()))

    def _reachable_ids(self) -> list[str]:
        return sorted(
            member.instance_id
            for member in self._membership.regional()
            if member.peer_address
        )

    def _next_round_robin(self) -> set[str]:
        """Return the next peers in round-robin order."""
        ids = self._reachable_ids()
        count = min(self._fanout, len(ids))
        chosen = {
            ids[(self._next_index + index) % len(ids)]
            for index in range(count)
        }
        self._next_index += count
        return chosen

    def _watch_scheduler(self) -> set[str]:
        """Monitor the region's scheduler if ranked to; return its id."""
        membership = self._membership
        claim = self._replica.state.claims.get(membership.region)
        if claim is None:
            return set()
        holder, _, _ = claim.incarnation.partition("@")
        live = tuple(
            instance_id
            for instance_id in membership.live_ids(membership.region)
            if instance_id != holder
        )
        order = members.rank(membership.region, live)
        is_watching = membership.instance_id in order[:WATCHER_COUNT]
        if holder not in membership.by_id or not is_watching:
            membership.watch(holder if is_watching else "")
            return set()
        membership.watch(holder)
        return {holder}

    async def _exchange_with(self, instance_id: str) -> None:
        member = self._membership.by_id.get(instance_id)
        if member is None:
            return
        answer = await self._peers.exchange(
            member.peer_address, self._make_digest(instance_id)
        )
        if answer.is_ok():
            self._membership.record_digest(answer.ok)
        else:
            self._membership.record_failed_exchange(instance_id)

    async def _catch_up(self) -> None:
        """Read on from the best copy; count as complete beside a complete one.

        Every copy is a beginning of the log. One that is as long as all
        complete ones holds what they hold: in an outage, no records newer
        than the peers' can be known.
        """
        known = [
            member
            for member in self._membership.by_id.values()
            if member.digest is not None
            and self._membership.is_live(member.instance_id)
        ]
        if not known:
            return
        complete = [
            member.digest.applied
            for member in known
            if member.digest.caught_up
        ]
        best = max(known, key=lambda member: member.digest.applied)
        if best.digest.applied > self._replica.state.applied:
            await self._read_from(best.peer_address)
        if complete and self._replica.state.applied >= max(complete):
            self._replica.caught_up = True

    async def _read_from(self, address: str) -> None:
        """Read records that a peer has applied and this instance has not."""
        offset = self._replica.state.applied + 1
        page = await self._peers.read_log(address, offset, MAX_PAGE_RECORDS)
        if page.is_ok() and page.ok.payloads:
            self._replica.apply_page(page.ok)
        else:
            await self.load_snapshot(address)

    async def load_snapshot(self, address: str) -> bool:
        """Load a peer's whole state; return whether it was newer."""
        text = await self._peers.snapshot(address)
        if text.is_error():
            return False
        try:
            state = snapshots.decode(text.ok)
        except (ValueError, KeyError) as error:
            self._logger.error("snapshot_damaged", detail=str(error))
            return False
        self._logger.info("snapshot_loaded", applied=state.applied)
        return self._replica.load(state)
