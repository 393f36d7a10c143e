"""Test that a long poll over a silent connection ends."""

import asyncio
import datetime
import unittest

import aiohttp

from cardamomcroft.platform import store as platform_store
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import metrics

WAIT = datetime.timedelta(seconds=0.5)
TIMEOUT = datetime.timedelta(seconds=0.3)
STALL_S = 2.0  # of a busy machine


class SilentStoreTest(unittest.IsolatedAsyncioTestCase):
    """Read from a store that accepts a call and never answers."""

    async def asyncSetUp(self):
        """Listen without answering."""
        self.calls = 0
        self.server = await asyncio.start_server(self.ignore, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.session = aiohttp.ClientSession()
        self.store = platform_store.HttpStore(
            f"{host}:{port}",
            self.session,
            clocks.SystemClock(),
            metrics.Metrics(),
        )

    async def asyncTearDown(self):
        """Stop everything."""
        await self.session.close()
        self.server.close()
        await self.server.wait_closed()

    async def ignore(self, reader, writer) -> None:
        """Read a call until its sender gives up."""
        self.calls += 1
        await reader.read()
        writer.close()

    async def test_long_poll_ends_after_its_wait_and_time_out(self):
        """The read fails no sooner than the store might have answered."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        page = await self.store.read(store.Stream.INSTANCES, 0, WAIT, TIMEOUT)
        took_s = loop.time() - began
        self.assertIsInstance(page, store.ReadFailure)
        self.assertIs(page.status, store.ReadStatus.UNAVAILABLE)
        self.assertEqual(self.calls, 1)
        self.assertGreater(took_s, WAIT.total_seconds())
        self.assertLess(took_s, (WAIT + TIMEOUT).total_seconds() + STALL_S)
