"""Test calls to the store over silent and slow connections."""

import asyncio
import contextlib
import datetime
import unittest
from unittest import mock

import aiohttp

from cardamomcroft.platform import store as platform_store
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import metrics

WAIT = datetime.timedelta(seconds=0.5)
TIMEOUT = datetime.timedelta(seconds=0.3)
STALL_S = 2.0  # of a busy machine
UPLOAD_BYTES = 400_000
UPLOAD_BYTES_PER_S = 250_000
APPEND_TIMEOUT = datetime.timedelta(seconds=0.5)
PERIOD_S = 0.02  # between two pieces of a transfer


class ConnectionTestCase(unittest.IsolatedAsyncioTestCase):
    """Call a store whose connections behave as ``serve`` does."""

    async def asyncSetUp(self):
        """Listen for calls."""
        self.calls = 0
        self.serving: list[asyncio.Task] = []
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
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
        await asyncio.gather(*self.serving)

    async def accept(self, reader, writer) -> None:
        """Serve a call until the connection is closed."""
        self.calls += 1
        self.serving.append(asyncio.current_task())
        with contextlib.suppress(ConnectionError):
            await self.serve(reader, writer)
            await reader.read()
        writer.close()

    async def serve(self, reader, writer) -> None:
        """Leave the call without an answer."""

    async def time(self, awaitable) -> tuple[object, float]:
        """Return a call's result and its duration in seconds."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        return await awaitable, loop.time() - began


class SilentStoreTest(ConnectionTestCase):
    """Read from a store that accepts a call and never answers."""

    async def test_long_poll_ends_after_its_wait_and_time_out(self):
        """The read fails no sooner than the store might have answered."""
        page, took_s = await self.time(
            self.store.read(store.Stream.INSTANCES, 0, WAIT, TIMEOUT)
        )
        self.assertIsInstance(page, store.ReadFailure)
        self.assertIs(page.status, store.ReadStatus.UNAVAILABLE)
        self.assertEqual(self.calls, 1)
        self.assertGreater(took_s, WAIT.total_seconds())
        self.assertLess(took_s, (WAIT + TIMEOUT).total_seconds() + STALL_S)


class ClosedConnectionTest(ConnectionTestCase):
    """The connection closes between two reads of an answer."""

    async def test_read_fails_as_if_unanswered(self):
        """The library's RuntimeError is a failed call, not a crash."""
        closed = RuntimeError("Connection closed.")
        with mock.patch.object(
            aiohttp.ClientSession, "request", autospec=True
        ) as request:
            request.side_effect = closed
            page = await self.store.read(store.Stream.JOBS, 0, WAIT, TIMEOUT)
            result = await self.store.append(
                store.Stream.JOBS, [store.Entry("a", b"")], TIMEOUT
            )
        self.assertIs(page.status, store.ReadStatus.UNAVAILABLE)
        self.assertIn("Connection closed", page.detail)
        self.assertIs(result.status, store.AppendStatus.MAY_HAVE_RUN)


class TricklingStoreTest(ConnectionTestCase):
    """Read a page of which a byte arrives now and then."""

    async def serve(self, reader, writer) -> None:
        """Send a large page byte by byte."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
        while not writer.is_closing():
            writer.write(b" ")
            await asyncio.sleep(PERIOD_S)

    async def test_page_below_the_minimum_rate_is_given_up(self):
        """The read ends although data keep arriving."""
        size = round(0.2 * platform_store.MIN_BYTES_PER_S)
        with mock.patch.object(platform_store, "MAX_PAGE_BYTES", size):
            page, took_s = await self.time(
                self.store.newest(store.Stream.JOBS, "", TIMEOUT)
            )
        self.assertIsInstance(page, store.ReadFailure)
        self.assertEqual(self.calls, 1)
        self.assertGreater(took_s, TIMEOUT.total_seconds())
        self.assertLess(took_s, TIMEOUT.total_seconds() + 0.2 + STALL_S)


class SlowUploadTest(ConnectionTestCase):
    """Append over a link that carries the body slowly."""

    async def serve(self, reader, writer) -> None:
        """Take the body at the rate of the link, then answer."""
        await reader.readuntil(b"\r\n\r\n")
        left = UPLOAD_BYTES
        while left > 0:
            size = round(UPLOAD_BYTES_PER_S * PERIOD_S)
            left -= len(await reader.read(size))
            await asyncio.sleep(PERIOD_S)
        body = b'{"Offset":0,"EndOffset":1}'
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def test_large_append_gets_the_time_of_its_transfer(self):
        """The time-out for the answer does not run out during the upload."""
        entry = store.Entry("a", b"x" * UPLOAD_BYTES)
        result, took_s = await self.time(
            self.store.append(store.Stream.JOBS, [entry], APPEND_TIMEOUT)
        )
        self.assertIs(result.status, store.AppendStatus.APPENDED)
        self.assertEqual(self.calls, 1)
        self.assertGreater(took_s, APPEND_TIMEOUT.total_seconds())


class EmptyPageTest(ConnectionTestCase):
    """A page of the newest records has none, and says that more follow."""

    async def serve(self, reader, writer) -> None:
        """Answer with an empty page."""
        await reader.readuntil(b"\r\n\r\n")
        body = b'{"items":[],"HasMore":true,"EndOffset":7}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % len(body) + body)
        await writer.drain()

    async def test_empty_page_is_not_taken_for_the_end_of_the_list(self):
        """What it does not name would count as deleted."""
        page = await self.store.newest(store.Stream.JOBS, "", TIMEOUT)
        self.assertIsInstance(page, store.ReadFailure)
