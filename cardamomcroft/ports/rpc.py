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
MAX_CONNECTIONS = 8  # to each peer; a change takes 250 ms in a slow store
# Of the time-out. The rest is left to the call itself, so that its end shows
# whether the peer answers.
MAX_WAIT_SHARE = 0.5

CALL_ERRORS = (
    OSError,
    EOFError,
    TTransportException,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


class UnreachedError(ConnectionError):
    """Report a call that was never sent."""


class BusyError(UnreachedError):
    """Report a call that was never sent, for want of a free connection.

    It tells nothing about the peer.
    """


Reporter = collections.abc.Callable[[Exception], None]


def _protocol(stream) -> tuple:
    factory = thrift_transport.TAsyncBufferedTransportFactory()
    transport = factory.get_transport(stream)
    protocols = thrift_protocol.TAsyncBinaryProtocolFactory()
    return transport, protocols.get_protocol(transport)


class _HandlerError(Exception):
    """Mark an error of the handler, which is reported already."""


class _ReportingHandler:
    """Report a handler's errors, among them those in CALL_ERRORS."""

    def __init__(self, handler, report: Reporter) -> None:
        self._handler = handler
        self._report = report

    def __getattr__(self, operation: str):
        method = getattr(self._handler, operation)

        async def call(*arguments):
            try:
                return await method(*arguments)
            except Exception as error:
                self._report(error)
                raise _HandlerError from error

        return call


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
        self._processor = thrift_processor.TAsyncProcessor(
            service, _ReportingHandler(handler, report)
        )
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
        except _HandlerError:
            pass  # reported where it was raised
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


class _Connections:
    """The idle connections to a peer and the places for further calls."""

    def __init__(self) -> None:
        self.places = asyncio.Semaphore(MAX_CONNECTIONS)
        self._idle: list[thrift_client.TAsyncClient] = []

    def take(self) -> thrift_client.TAsyncClient | None:
        return self._idle.pop() if self._idle else None

    def give_back(self, client: thrift_client.TAsyncClient) -> None:
        self._idle.append(client)

    def close_idle(self) -> None:
        while client := self.take():
            client.close()


class Pool:
    """Call a service over pooled connections, one call at a time each."""

    def __init__(self, service, timeout: datetime.timedelta) -> None:
        """Connect on demand; a call fails after the time-out."""
        self._service = service
        self._timeout = timeout.total_seconds()
        self._by_address: dict[str, _Connections] = {}

    async def _connect(
        self, address: str, limit: asyncio.Timeout | None = None
    ) -> thrift_client.TAsyncClient:
        host, port = addresses.split_address(address)
        stream = _ClientSocket(host, port, limit)
        transport, protocol = _protocol(stream)
        await transport.open()
        return thrift_client.TAsyncClient(self._service, protocol)

    async def call(self, address: str, operation: str, *arguments):
        """Return the answer.

        Raise BusyError or another UnreachedError if the call was not sent,
        one of CALL_ERRORS if it may have been.
        """
        connections = self._by_address.setdefault(address, _Connections())
        began_at = asyncio.get_running_loop().time()
        await self._take_place(address, connections)
        client = None
        is_answered = False
        try:
            async with asyncio.timeout_at(began_at + self._timeout):
                client = connections.take() or await self._connect(address)
                answer = await getattr(client, operation)(*arguments)
            is_answered = True
            connections.give_back(client)
            return answer
        except CALL_ERRORS as error:
            connections.close_idle()  # lost as well if the peer restarted
            if client is not None:
                raise
            raise UnreachedError(f"{address}: {error!r}") from error
        finally:
            if client is not None and not is_answered:
                client.close()
            connections.places.release()

    async def _take_place(
        self, address: str, connections: _Connections
    ) -> None:
        try:
            async with asyncio.timeout(self._timeout * MAX_WAIT_SHARE):
                await connections.places.acquire()
        except TimeoutError as error:
            raise BusyError(f"{address}: {error!r}") from error

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
        for connections in self._by_address.values():
            connections.close_idle()
