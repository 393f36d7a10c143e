"""Turn unexpected errors of calls to peers into failures."""

import expression
import structlog

from cardamomcroft.peers import base
from cardamomcroft.ports import base as ports
from cardamomcroft.ports import verdict


class GuardedPeers(base.PeerClient):
    """Call peers; a call that raises counts as unanswered."""

    def __init__(self, peers: base.PeerClient, metrics: ports.Metrics) -> None:
        """Guard the calls of a client."""
        self._peers = peers
        self._metrics = metrics
        self._logger = structlog.get_logger()

    async def _call(self, operation: str, address: str, *arguments):
        try:
            return await getattr(self._peers, operation)(address, *arguments)
        except Exception as error:
            self._logger.exception(
                "peer_call_raised", operation=operation, address=address
            )
            self._metrics.increment("peers.call_failed")
            return expression.Error(
                verdict.may_have_run(verdict.Reason.REMOTE, repr(error))
            )

    async def exchange(self, address, digest):
        """Send this instance's digest and return the peer's."""
        return await self._call("exchange", address, digest)

    async def read_log(self, address, offset, limit):
        """Return records that the peer has applied, from the offset on."""
        return await self._call("read_log", address, offset, limit)

    async def snapshot(self, address):
        """Return the peer's encoded state."""
        return await self._call("snapshot", address)
