"""Connect instances within one process, with injected link faults."""

import collections

import expression

from cardamomcroft.peers import base
from cardamomcroft.ports import verdict


class LocalNetwork:
    """The instances' handlers by address and the links cut between them."""

    def __init__(self) -> None:
        """Start without instances and without cut links."""
        self.handlers: dict[str, base.PeerHandler] = {}
        self.cut: set[frozenset[str]] = set()
        self.injected: collections.Counter[str] = collections.Counter()

    def client(self, address: str) -> "LocalPeers":
        """Return the client of the instance at the address."""
        return LocalPeers(self, address)


class LocalPeers(base.PeerClient):
    """Call the peers' handlers directly, unless the link is cut."""

    def __init__(self, network: LocalNetwork, address: str) -> None:
        """Call from the instance at the address."""
        self._network = network
        self._address = address

    def _handler(self, address: str) -> base.PeerHandler | None:
        if frozenset({address, self._address}) in self._network.cut:
            self._network.injected["peer_link_cut"] += 1
            return None
        return self._network.handlers.get(address)

    def _call(self, address: str, operation: str, *arguments):
        handler = self._handler(address)
        if handler is None:
            return expression.Error(
                verdict.not_run(verdict.Reason.UNAVAILABLE, "no connection")
            )
        return expression.Ok(getattr(handler, operation)(*arguments))

    async def exchange(self, address, digest):
        """Send this instance's digest and return the peer's."""
        return self._call(address, "exchange", digest)

    async def read_log(self, address, offset, limit):
        """Return records that the peer has applied, from the offset on."""
        return self._call(address, "read_log", offset, limit)

    async def snapshot(self, address):
        """Return the peer's encoded state."""
        return self._call(address, "snapshot")
