"""Serve and call peers over Thrift."""

import dataclasses
import datetime
import importlib.resources

import expression
import structlog
import thriftpy2

from cardamomcroft.membership import digests
from cardamomcroft.peers import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import rpc
from cardamomcroft.ports import verdict

LIST_FIELDS = ("leaving_workers", "facts")

IDL = importlib.resources.files("cardamomcroft.peers") / "peer.thrift"
WIRE = thriftpy2.load(str(IDL), module_name="cardamomcroft_peer_thrift")


def digest_to_wire(digest: digests.Digest) -> object:
    """Convert a digest to its Thrift struct."""
    fields = {
        field.name: getattr(digest, field.name)
        for field in dataclasses.fields(digest)
    }
    for name in LIST_FIELDS:
        fields[name] = list(fields[name])
    return WIRE.Digest(**fields)


def digest_from_wire(wire: object) -> digests.Digest:
    """Convert a Thrift struct to a digest."""
    fields = {
        field.name: getattr(wire, field.name)
        for field in dataclasses.fields(digests.Digest)
    }
    for name in LIST_FIELDS:
        fields[name] = tuple(fields[name] or ())
    return digests.Digest(**fields)


class _Dispatcher:
    """Adapt a handler to the Thrift service."""

    def __init__(self, handler: base.PeerHandler) -> None:
        self._handler = handler

    async def exchange(self, digest):
        answer = self._handler.exchange(digest_from_wire(digest))
        return digest_to_wire(answer)

    async def read_log(self, offset, limit):
        page = self._handler.read_log(offset, limit)
        return WIRE.LogPage(page.first, page.start, list(page.payloads))

    async def snapshot(self):
        return self._handler.snapshot()


class PeerServer(rpc.Server):
    """Serve the calls of peers and log those that fail."""

    def __init__(self, address: str, handler: base.PeerHandler) -> None:
        """Prepare to serve on the address; start() begins to listen."""
        logger = structlog.get_logger()
        super().__init__(
            address,
            WIRE.Peer,
            _Dispatcher(handler),
            lambda error: logger.warning(
                "peer_call_failed", detail=repr(error)
            ),
        )


class RpcPeers(base.PeerClient):
    """Call peers over Thrift; a call that fails may have run."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        """Start without connections; calls fail after the timeout."""
        self._pool = rpc.Pool(WIRE.Peer, timeout)

    async def _call(self, call, address: str, operation: str, *arguments):
        try:
            return expression.Ok(await call(address, operation, *arguments))
        except rpc.CALL_ERRORS as error:
            return expression.Error(
                verdict.may_have_run(
                    verdict.Reason.UNAVAILABLE, f"peer {address}: {error!r}"
                )
            )

    async def exchange(self, address, digest):
        """Send this instance's digest and return the peer's."""
        answer = await self._call(
            self._pool.call, address, "exchange", digest_to_wire(digest)
        )
        return answer.map(digest_from_wire)

    async def read_log(self, address, offset, limit):
        """Return records that the peer has applied, from the offset on."""
        answer = await self._call(
            self._pool.call_growing, address, "read_log", offset, limit
        )
        return answer.map(
            lambda wire: messages.LogPage(
                wire.first, wire.start, tuple(wire.payloads or ())
            )
        )

    async def snapshot(self, address):
        """Return the peer's encoded state."""
        return await self._call(self._pool.call_growing, address, "snapshot")

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.close()
