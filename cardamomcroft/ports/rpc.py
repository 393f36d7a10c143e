"""Serve and call Thrift services with thriftpy2 on asyncio."""

import asyncio
import collections.abc
import datetime

from thriftpy2.contrib.aio import client as thrift_client
from thriftpy2.contrib.aio import processor as thrift_processor
from thriftpy2.contrib.aio import protocol as thrift_protocol
from thriftpy2.contrib.aio import socket as thrift_socket
from thriftpy2.contrib.aio import transport as thrift_transport
from thriftpy2.transport import TTransportException

from cardamomcroft.ports import addresses
from cardamomcroft.ports import progress

CONNECT_TIMEOUT_MS = 500
IDLE_TIMEOUT_MS = 60_000

CALL_ERRORS = (
    OSError,
    EOFError,
    TTransportException,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


class UnreachedError(ConnectionError):
    """Report a call that was never sent."""


Reporter = collections.abc.Callable[[Exception], None]


def _protocol(stream) -> tuple:
    factory = thrift_transport.TAsyncBufferedTransportFactory()
    transport = factory.get_transport(stream)
    protocols = thrift_protocol.TAsyncBinaryProtocolFactory()
    return transport, protocols.get_protocol(transport)


class Server:
    """Serve the calls of a Thrift service."""

    def __init__(
        self, address: str, service, handler, report: Reporter
    ) -> None:
        """Serve with the handler's methods; report unexpected errors."""
        host, port = addresses.split_address(address)
        self._socket = thrift_socket.TAsyncServerSocket(
            host, port, client_timeout=None
        )
        self._processor = thrift_processor.TAsyncProcessor(service, handler)
        self._report = report
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen for connections on the running event loop."""
        self._socket.listen()
        self._server = await self._socket.accept(self._serve)

    async def _serve(self, stream) -> None:
        task = asyncio.current_task()
        self._connections.add(task)
        transport, protocol = _protocol(stream)
        try:
            while True:
                await self._processor.process(protocol, protocol)
        except (*CALL_ERRORS, asyncio.CancelledError):
            pass  # the caller disconnected, or this instance stops
        except Exception as error:
            self._report(error)
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


class _ClientSocket(thrift_socket.TAsyncSocket):
    """Connect to a server; extend a call's time limit as data arrive."""

    def __init__(
        self, host: str, port: int, limit: asyncio.Timeout | None
    ) -> None:
        super().__init__(
            host,
            port,
            socket_timeout=IDLE_TIMEOUT_MS,
            connect_timeout=CONNECT_TIMEOUT_MS,
        )
        self._limit = limit
        self._progress: progress.Progress | None = None

    async def open(self) -> None:
        await super().open()
        # thriftpy2 applies the connection's time-out to each read as well.
        self.connect_timeout = self.socket_timeout

    async def read(self, sz: int) -> bytes:
        data = await super().read(sz)
        if self._limit is not None:
            if self._progress is None:
                self._progress = progress.Progress(self._limit)
            self._progress.add(len(data))
        return data


class Pool:
    """Call a service over pooled connections, one call at a time each."""

    def __init__(self, service, timeout: datetime.timedelta) -> None:
        """Connect on demand; a call fails after the time-out."""
        self._service = service
        self._timeout = timeout.total_seconds()
        self._clients: dict[str, thrift_client.TAsyncClient] = {}
        self._locks: dict[str, asyncio.Lock] = {}

    async def _connect(
        self, address: str, limit: asyncio.Timeout | None = None
    ) -> thrift_client.TAsyncClient:
        host, port = addresses.split_address(address)
        stream = _ClientSocket(host, port, limit)
        transport, protocol = _protocol(stream)
        await transport.open()
        return thrift_client.TAsyncClient(self._service, protocol)

    async def call(self, address: str, operation: str, *arguments):
        """Return the answer; raise UnreachedError or one of CALL_ERRORS."""
        lock = self._locks.setdefault(address, asyncio.Lock())
        is_sent = False
        try:
            async with asyncio.timeout(self._timeout), lock:
                client = self._clients.pop(address, None)
                if client is None:
                    client = await self._connect(address)
                is_sent = True
                answer = await getattr(client, operation)(*arguments)
                # A failed or cancelled call leaves its client out of the pool.
                self._clients[address] = client
                return answer
        except CALL_ERRORS as error:
            if is_sent:
                raise
            raise UnreachedError(f"{address}: {error!r}") from error

    async def call_growing(self, address: str, operation: str, *arguments):
        """Return an answer whose size depends on the data.

        It has to begin within the time-out and then to make progress. The
        call has a connection of its own, so that others needn't wait for it.
        """
        client = None
        try:
            async with asyncio.timeout(self._timeout) as limit:
                client = await self._connect(address, limit)
                return await getattr(client, operation)(*arguments)
        except CALL_ERRORS as error:
            if client is not None:
                raise
            raise UnreachedError(f"{address}: {error!r}") from error
        finally:
            if client is not None:
                client.close()

    def close(self) -> None:
        """Close every pooled connection."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
