"""Tie connections to the incarnations of the workers that they reach."""

import collections.abc
import contextlib
import contextvars
import weakref

import aiohttp
from aiohttp import client_proto


class UngreetedError(Exception):
    """Report that the connection of a call has not been greeted yet."""


class Call:
    """Track the connection of one call to a worker."""

    def __init__(
        self,
        worker_id: str,
        born_ms: int | None = None,
        greets: "Call | None" = None,
        is_greeting: bool = False,
    ) -> None:
        """Require a connection to an incarnation, or to any if it is None.

        It must have been greeted, unless the call is a greeting. That may use
        the connection that the call ``greets`` has found.
        """
        self.worker_id = worker_id
        self.born_ms = born_ms
        self.greets = greets
        self.is_greeting = is_greeting or greets is not None
        self.connection: aiohttp.connector.Connection | None = None
        self.protocol: client_proto.ResponseHandler | None = None

    @property
    def is_ungreeted(self) -> bool:
        """Return whether the call has found only a connection to greet."""
        return not self.is_greeting and self.connection is not None


_current_call: contextvars.ContextVar[Call | None] = contextvars.ContextVar(
    "current_call", default=None
)


@contextlib.contextmanager
def calling(call: Call) -> collections.abc.Iterator[None]:
    """Let the connector choose connections for a call."""
    token = _current_call.set(call)
    try:
        yield
    finally:
        _current_call.reset(token)


class WorkerConnector(aiohttp.TCPConnector):
    """Reuse connections, each for the incarnation that answered on it.

    A connection ends with the process that accepted it, so whatever is sent
    on it can reach no later incarnation at the same address.
    """

    def __init__(self, keep_alive_s: float) -> None:
        """Keep idle connections for so long, without limiting their number."""
        super().__init__(limit=0, keepalive_timeout=keep_alive_s)
        # A stand-in may serve several workers on one connection.
        self._born_ms_by_worker: weakref.WeakKeyDictionary[
            client_proto.ResponseHandler, dict[str, int]
        ] = weakref.WeakKeyDictionary()
        # What is sent on them may arrive seconds after it was given up.
        self._silent: weakref.WeakSet[client_proto.ResponseHandler] = (
            weakref.WeakSet()
        )

    def note_silence(self, worker_id: str) -> None:
        """Use no open connection to a worker that left a call unanswered."""
        for protocol, born_ms in self._born_ms_by_worker.items():
            if worker_id in born_ms:
                self._silent.add(protocol)

    def note_answer(self, call: Call, born_ms: int) -> None:
        """Record which incarnation answered on a call's connection."""
        self._silent.discard(call.protocol)
        born_ms_by_worker = self._born_ms_by_worker.setdefault(
            call.protocol, {}
        )
        born_ms_by_worker[call.worker_id] = born_ms

    async def connect(
        self, req, traces, timeout
    ) -> aiohttp.connector.Connection:
        """Return a connection for the current call.

        Raise UngreetedError if no incarnation has answered on it: one that is
        left in the pool like that would be in the way of other calls.
        """
        call = _current_call.get()
        if call is None:
            return await super().connect(req, traces, timeout)
        while True:
            connection = call.greets and call.greets.connection
            if connection is None:
                connection = await super().connect(req, traces, timeout)
            call.protocol = connection.protocol
            if connection.protocol in self._silent and not call.greets:
                connection.close()
                continue
            if call.is_greeting:
                return connection
            known = self._born_ms_by_worker.get(connection.protocol, {})
            born_ms = known.get(call.worker_id)
            if born_ms is None:
                call.connection = connection
                raise UngreetedError
            if call.born_ms in (None, born_ms):
                return connection
            connection.close()  # of another incarnation, which has ended
