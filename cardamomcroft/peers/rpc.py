"""Serve and call peers with thriftpy2 on the running loop."""

import asyncio
import dataclasses
import datetime
import importlib.resources

import expression
import structlog
import thriftpy2
from thriftpy2.contrib.aio import client as thrift_client
from thriftpy2.contrib.aio import processor as thrift_processor
from thriftpy2.contrib.aio import protocol as thrift_protocol
from thriftpy2.contrib.aio import socket as thrift_socket
from thriftpy2.contrib.aio import transport as thrift_transport
from thriftpy2.transport import TTransportException

from cardamomcroft.membership import digests
from cardamomcroft.peers import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import instance

CONNECT_TIMEOUT_MS = 500
LIST_FIELDS = ("leaving_workers", "facts")
IDLE_TIMEOUT_MS = 60_000

_IDL = importlib.resources.files("cardamomcroft.peers") / "peer.thrift"
WIRE = thriftpy2.load(str(_IDL), module_name="cardamomcroft_peer_thrift")

_CALL_ERRORS = (
    OSError,
    EOFError,
    TTransportException,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


def digest_to_wire(digest: digests.Digest) -> object:
    """Convert a digest to its thrift struct."""
    fields = {
        field.name: getattr(digest, field.name)
        for field in dataclasses.fields(digest)
    }
    for name in LIST_FIELDS:
        fields[name] = list(fields[name])
    return WIRE.Digest(**fields)


def digest_from_wire(wire: object) -> digests.Digest:
    """Convert a thrift struct to a digest."""
    fields = {
        field.name: getattr(wire, field.name)
        for field in dataclasses.fields(digests.Digest)
    }
    for name in LIST_FIELDS:
        fields[name] = tuple(fields[name] or ())
    return digests.Digest(**fields)


class _Dispatcher:
    """Adapt a handler to the generated service."""

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


class PeerServer:
    """Listen for peers."""

    def __init__(self, address: str, handler: base.PeerHandler) -> None:
        """Prepare to listen on the address."""
        host, port = instance.split_address(address)
        self._socket = thrift_socket.TAsyncServerSocket(
            host, port, client_timeout=None
        )
        self._processor = thrift_processor.TAsyncProcessor(
            WIRE.Peer, _Dispatcher(handler)
        )
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()
        self._logger = structlog.get_logger()

    async def start(self) -> None:
        """Listen on the running loop."""
        self._socket.listen()
        self._server = await self._socket.accept(self._serve)

    async def _serve(self, stream) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        transport = (
            thrift_transport.TAsyncBufferedTransportFactory().get_transport(
                stream
            )
        )
        protocol = thrift_protocol.TAsyncBinaryProtocolFactory().get_protocol(
            transport
        )
        try:
            while True:
                await self._processor.process(protocol, protocol)
        except (*_CALL_ERRORS, asyncio.CancelledError):
            pass
        except Exception as error:
            self._logger.warning("peer_call_failed", detail=repr(error))
        finally:
            self._connections.discard(task)
            transport.close()

    async def stop(self) -> None:
        """Close the listener and the connections."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._connections):
            task.cancel()


class RpcPeers(base.PeerClient):
    """Call peers over kept connections, one call at a time each."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        """Start without connections."""
        self._timeout = timeout.total_seconds()
        self._clients: dict[str, thrift_client.TAsyncClient] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def _connect(self, address: str) -> thrift_client.TAsyncClient:
        host, port = instance.split_address(address)
        stream = thrift_socket.TAsyncSocket(
            host,
            port,
            socket_timeout=IDLE_TIMEOUT_MS,
            connect_timeout=CONNECT_TIMEOUT_MS,
        )
        transport = (
            thrift_transport.TAsyncBufferedTransportFactory().get_transport(
                stream
            )
        )
        protocol = thrift_protocol.TAsyncBinaryProtocolFactory().get_protocol(
            transport
        )
        await transport.open()
        return thrift_client.TAsyncClient(WIRE.Peer, protocol)

    async def _call(self, address: str, operation: str, *arguments):
        lock = self._locks.setdefault(address, asyncio.Lock())
        try:
            async with asyncio.timeout(self._timeout), lock:
                client = self._clients.pop(address, None)
                if client is None:
                    client = await self._connect(address)
                answer = await getattr(client, operation)(*arguments)
                # A call cut short leaves its client out of the pool.
                self._clients[address] = client
                return expression.Ok(answer)
        except _CALL_ERRORS as error:
            return expression.Error(
                verdict.may_have_run(
                    verdict.Reason.UNAVAILABLE, f"peer {address}: {error!r}"
                )
            )

    async def exchange(self, address, digest):
        """Give a digest and take one."""
        answer = await self._call(address, "exchange", digest_to_wire(digest))
        return answer.map(digest_from_wire)

    async def read_log(self, address, offset, limit):
        """Read records that the peer has folded."""
        answer = await self._call(address, "read_log", offset, limit)
        return answer.map(
            lambda wire: messages.LogPage(
                wire.first, wire.start, tuple(wire.payloads or ())
            )
        )

    async def snapshot(self, address):
        """Return the peer's encoded state."""
        return await self._call(address, "snapshot")

    def close(self) -> None:
        """Close every kept connection."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
