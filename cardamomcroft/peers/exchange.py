"""Exchange digests with peers and catch up through them."""

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
from cardamomcroft.ports import messages
from cardamomcroft.state import models
from cardamomcroft.state import snapshots

RELAY_RECORDS = 512  # folded records kept for peers that lost the log
RELAY_LIMIT = 200


class Relay:
    """Keep the latest folded records for peers."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Watch the replica."""
        self._replica = replica
        self._payloads: collections.deque[tuple[int, str]] = collections.deque(
            maxlen=RELAY_RECORDS
        )
        replica.observe(self._keep)

    def _keep(self, record: records.Record, applied: models.Applied) -> None:
        self._payloads.append((applied.offset, records.encode(record)))

    def page(self, offset: int, limit: int) -> messages.LogPage:
        """Return consecutive kept records from the offset on."""
        kept = [row for row in self._payloads if row[0] >= offset][:limit]
        first = self._payloads[0][0] if self._payloads else offset
        if not kept or kept[0][0] != offset:
            return messages.LogPage(first, offset, ())
        payloads = []
        for index, (found, payload) in enumerate(kept):
            if found != offset + index:
                break
            payloads.append(payload)
        return messages.LogPage(first, offset, tuple(payloads))


class Exchange(base.PeerHandler):
    """Send and answer digests."""

    def __init__(
        self,
        make_digest,
        membership: members.Membership,
        replica: replicas.Replica,
        peers: base.PeerClient,
        clock: ports.Clock,
        period: datetime.timedelta,
    ) -> None:
        """Take the parts that digests are made of."""
        self._make_digest = make_digest
        self._membership = membership
        self._replica = replica
        self._peers = peers
        self._clock = clock
        self._period = period
        self._relay = Relay(replica)
        self._logger = structlog.get_logger()

    def exchange(self, digest: digests.Digest) -> digests.Digest:
        """Take a digest and give one."""
        self._membership.hear(digest)
        return self._make_digest()

    def read_log(self, offset: int, limit: int) -> messages.LogPage:
        """Return records folded here."""
        return self._relay.page(offset, min(limit, RELAY_LIMIT))

    def snapshot(self) -> str:
        """Return the encoded state."""
        return snapshots.encode(self._replica.state)

    async def run(self) -> None:
        """Exchange digests until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self._period)

    async def step(self) -> None:
        """Exchange with every peer and catch up where behind."""
        addresses = [
            member.peer_address
            for member in self._membership.by_id.values()
            if member.peer_address
        ]
        await asyncio.gather(*map(self._exchange_with, addresses))
        if not self._replica.reachable:
            await self._catch_up()

    async def announce(self) -> None:
        """Tell every peer at once about a change here."""
        await self.step()

    async def _exchange_with(self, address: str) -> None:
        answer = await self._peers.exchange(address, self._make_digest())
        if answer.is_ok():
            self._membership.hear(answer.ok)

    async def _catch_up(self) -> None:
        """Read what a peer has folded beyond this instance."""
        ahead = [
            member
            for member in self._membership.by_id.values()
            if member.digest is not None
            and self._membership.is_live(member.instance_id)
            and member.digest.applied > self._replica.state.applied
        ]
        if not ahead:
            return
        best = max(ahead, key=lambda member: member.digest.applied)
        offset = self._replica.state.applied + 1
        page = await self._peers.read_log(
            best.peer_address, offset, RELAY_LIMIT
        )
        if page.is_ok() and page.ok.payloads:
            self._replica.apply_page(page.ok)
            return
        await self.load_snapshot(best.peer_address)

    async def load_snapshot(self, address: str) -> bool:
        """Take the whole state of a peer."""
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
