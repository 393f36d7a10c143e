"""Count the bytes that cross a TCP connection."""

import asyncio
import contextlib

from cardamomcroft.ports import addresses

READ_BYTES = 65_536


class CountingRelay:
    """TCP relay to a target that counts the bytes of each direction."""

    def __init__(self, listen: str, target: str) -> None:
        """Relay connections to ``listen`` on to ``target``."""
        self.bytes_out = 0
        self.bytes_in = 0
        self._listen = addresses.split_address(listen)
        self._target = addresses.split_address(target)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the running loop."""
        self._server = await asyncio.start_server(self._serve, *self._listen)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                *self._target
            )
            await asyncio.gather(
                self._pump(reader, target_writer, True),
                self._pump(target_reader, writer, False),
            )
        writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outbound: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if is_outbound:
                self.bytes_out += len(data)
            else:
                self.bytes_in += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()

    @property
    def total(self) -> int:
        """Return the bytes relayed in both directions."""
        return self.bytes_out + self.bytes_in
