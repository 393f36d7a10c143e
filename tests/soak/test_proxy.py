"""The soak's links do the harm that they are told to."""

import asyncio
import unittest

from soak import proxy


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A server that answers each line with itself."""

    async def asyncSetUp(self):
        """Start the server and a link to it."""
        self.received: list[bytes] = []
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.link = proxy.Link(f"{host}:{port}")
        await self.link.open()

    async def asyncTearDown(self):
        """Close everything."""
        await self.link.close()
        self.server.close()

    async def echo(self, reader, writer):
        """Answer until the caller hangs up."""
        while line := await reader.readline():
            self.received.append(line)
            writer.write(line)
        writer.close()

    async def connect(self):
        """Return a connection through the link."""
        host, _, port = self.link.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    async def ask(self, connection, line: bytes) -> bytes | None:
        """Return the answer; None if none comes."""
        reader, writer = connection
        writer.write(line)
        try:
            async with asyncio.timeout(0.3):
                return await reader.readline()
        except (TimeoutError, OSError):
            return None

    async def test_clear_link_carries(self):
        """Both ways."""
        self.assertEqual(await self.ask(await self.connect(), b"a\n"), b"a\n")

    async def test_stale_connection_stays_silent(self):
        """New ones work meanwhile, and the old one never again."""
        old = await self.connect()
        self.assertEqual(await self.ask(old, b"a\n"), b"a\n")
        self.link.harm(proxy.Mode.STALE)
        self.assertIsNone(await self.ask(old, b"b\n"))
        self.assertEqual(await self.ask(await self.connect(), b"c\n"), b"c\n")
        self.link.harm(proxy.Mode.CLEAR)
        self.assertIsNone(await self.ask(old, b"d\n"))

    async def test_lost_answer_has_its_effect(self):
        """The request arrives, the answer does not."""
        self.link.harm(proxy.Mode.NO_ANSWERS)
        self.assertIsNone(await self.ask(await self.connect(), b"a\n"))
        self.assertEqual(self.received, [b"a\n"])

    async def test_silent_link_carries_nothing(self):
        """And closes nothing."""
        connection = await self.connect()
        self.link.harm(proxy.Mode.SILENT)
        self.assertIsNone(await self.ask(connection, b"a\n"))
        self.assertEqual(self.received, [])
        self.assertFalse(connection[0].at_eof())

    async def test_refused_link_resets(self):
        """Open connections end, new ones are closed at once."""
        connection = await self.connect()
        await self.ask(connection, b"a\n")
        self.link.harm(proxy.Mode.REFUSED)
        for reader, _ in (connection, await self.connect()):
            with self.assertRaises(ConnectionError):
                if await reader.read(1) == b"":
                    raise ConnectionResetError
