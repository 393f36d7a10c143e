"""Harm a link from outside: a TCP proxy on loopback."""

import asyncio
import enum

READ_BYTES = 65_536


class Mode(enum.Enum):
    """Say what happens to what crosses the link."""

    CLEAR = "clear"
    DELAYED = "delayed"
    REFUSED = "refused"  # new connections are closed, open ones reset
    SILENT = "silent"  # nothing crosses, nothing is closed
    NO_ANSWERS = "no_answers"  # requests arrive, answers are lost
    STALE = "stale"  # open connections are silent, new ones work


class Link:
    """Carry connections from one address to another."""

    def __init__(self, target: str) -> None:
        """Take the HOST:PORT behind the link."""
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

    def harm(self, mode: Mode) -> None:
        """Change what happens from now on."""
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
            back_reader, back = await asyncio.open_connection(host, int(port))
            self._writers.add(back)
            try:
                await asyncio.gather(
                    self._pump(reader, back, False, writer),
                    self._pump(back_reader, writer, True, writer),
                )
            finally:
                self._writers.discard(back)
                back.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass  # the link's ends come and go; clients see it
        finally:
            self._writers.discard(writer)
            writer.transport.abort()
            self._tasks.discard(task)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
        front: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if self._swallows(is_answer, front):
                continue
            if self.mode is Mode.DELAYED:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        writer.transport.abort()

    def _swallows(self, is_answer: bool, front: asyncio.StreamWriter) -> bool:
        """Tell whether bytes are lost; a connection with a gap is dead."""
        if front in self._stale:
            return True
        lost = self.mode is Mode.SILENT or (
            self.mode is Mode.NO_ANSWERS and is_answer
        )
        if lost:
            self._stale.add(front)
        return lost

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
