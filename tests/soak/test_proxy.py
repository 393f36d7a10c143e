"""The soak's links treat connections according to their mode."""

import asyncio
import unittest

from soak import proxy


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link to a server that echoes each line."""

    async def asyncSetUp(self):
        """Start the server and open a link to it."""
        self.received: list[bytes] = []
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.link = proxy.Link(f"{host}:{port}")
        await self.link.open()

    async def asyncTearDown(self):
        """Close the link and the server."""
        await self.link.close()
        self.server.close()

    async def echo(self, reader, writer):
        """Echo lines until the client disconnects."""
        while line := await reader.readline():
            self.received.append(line)
            writer.write(line)
        writer.close()

    async def connect(self):
        """Return a connection through the link."""
        host, _, port = self.link.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def ask(self, connection, line: bytes) -> bytes | None:
        """Send a line and return the answer, or None without one."""
        reader, writer = connection
        writer.write(line)
        try:
            async with asyncio.timeout(0.3):
                return await reader.readline()
        except (TimeoutError, OSError):
            return None

    async def test_clear_link_forwards(self):
        """Data passes in both directions."""
        self.assertEqual(await self.ask(await self.connect(), b"a\n"), b"a\n")

    async def test_stale_connection_stays_silent(self):
        """New ones work meanwhile; the old one does not recover."""
        old = await self.connect()
        self.assertEqual(await self.ask(old, b"a\n"), b"a\n")
        self.link.set_mode(proxy.Mode.STALE)
        self.assertIsNone(await self.ask(old, b"b\n"))
        self.assertEqual(await self.ask(await self.connect(), b"c\n"), b"c\n")
        self.link.set_mode(proxy.Mode.CLEAR)
        self.assertIsNone(await self.ask(old, b"d\n"))

    async def test_request_with_lost_answer_arrives(self):
        """The server receives the request; the client gets no answer."""
        self.link.set_mode(proxy.Mode.NO_ANSWERS)
        self.assertIsNone(await self.ask(await self.connect(), b"a\n"))
        self.assertEqual(self.received, [b"a\n"])

    async def test_silent_link_forwards_nothing(self):
        """Its connections stay open."""
        connection = await self.connect()
        self.link.set_mode(proxy.Mode.SILENT)
        self.assertIsNone(await self.ask(connection, b"a\n"))
        self.assertEqual(self.received, [])
        self.assertFalse(connection[0].at_eof())

    async def test_refused_link_resets(self):
        """Open connections are reset, new ones closed at once."""
        connection = await self.connect()
        await self.ask(connection, b"a\n")
        self.link.set_mode(proxy.Mode.REFUSED)
        for reader, _ in (connection, await self.connect()):
            with self.assertRaises(ConnectionError):
                if await reader.read(1) == b"":
                    raise ConnectionResetError
