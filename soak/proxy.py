"""A TCP proxy on loopback that disturbs the connections through it."""

import asyncio
import enum

READ_BYTES = 65_536


class Mode(enum.Enum):
    """How a link treats the connections through it."""

    CLEAR = "clear"
    DELAYED = "delayed"
    REFUSED = "refused"  # new connections are closed, open ones reset
    SILENT = "silent"  # no data passes, no connection is closed
    NO_ANSWERS = "no_answers"  # requests pass, answers are lost
    STALE = "stale"  # open connections pass no data, new ones work


class Link:
    """A proxy that forwards connections to one address."""

    def __init__(self, target: str) -> None:
        """Create a link that forwards to ``target``, a HOST:PORT."""
        self._target = target
        self.mode = Mode.CLEAR
        self.delay_s = 0.05
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._stale: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def set_mode(self, mode: Mode) -> None:
        """Set how the link treats connections from now on."""
        self.mode = mode
        if mode is Mode.STALE:
            self._stale = set(self._writers)
        if mode is Mode.REFUSED:
            self.reset()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            if self.mode is Mode.REFUSED:
                return
            host, _, port = self._target.rpartition(":")
            backend_reader, backend_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(backend_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, backend_writer, False, writer),
                    self._pump(backend_reader, writer, True, writer),
                )
            finally:
                self._writers.discard(backend_writer)
                backend_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass  # either end may close at any time; the client notices
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            self._tasks.discard(task)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._discards(is_answer, client_writer):
                continue
            if self.mode is Mode.DELAYED:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()

    def _discards(
        self, is_answer: bool, client_writer: asyncio.StreamWriter
    ) -> bool:
        """Return whether to discard data.

        Once data was discarded, the connection passes none any more, so that
        no stream continues after a gap.
        """
        if client_writer in self._stale:
            return True
        lost = self.mode is Mode.SILENT or (
            self.mode is Mode.NO_ANSWERS and is_answer
        )
        if lost:
            self._stale.add(client_writer)
        return lost

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
