"""Test calls over HTTP on links that are slow or broken."""

import asyncio
import contextlib
import datetime
import unittest

from aiohttp import web

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import http
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.ports import verdict
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import loopback
from cardamomcroft.standin import service
from cardamomcroft.state import snapshots
from tests import harness

CALL_TIMEOUT = datetime.timedelta(seconds=1)
NO_WAIT = datetime.timedelta()
LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
SLICES_PER_S = 20
LIMIT_S = 8
SNAPSHOT_CHUNKS = 17  # 832 KB, a state of the two-year size
LISTED = 84 + 1407  # instances and workers of the two-year size


class SlowLink:
    """Send the bodies of answers at a limited rate."""

    def __init__(self) -> None:
        """Set the rate of the link, which does not stall."""
        self.bytes_per_s = LINK_BYTES_PER_S
        self.stalls_after_bytes = 100_000_000
        self.slices = 0

    @web.middleware
    async def throttle(self, request: web.Request, handler):
        """Receive the request and send the answer slice by slice."""
        size = max(1, self.bytes_per_s // SLICES_PER_S)
        body = bytearray()
        while part := await request.content.read(size):
            body += part
            self.slices += 1
            await asyncio.sleep(1 / SLICES_PER_S)
        request.content.unread_data(bytes(body))
        answer = await handler(request)
        body = answer.body
        throttled = web.StreamResponse(status=answer.status)
        if "ETag" in answer.headers:
            throttled.headers["ETag"] = answer.headers["ETag"]
        throttled.content_type = "application/json"
        throttled.content_length = len(body)
        await throttled.prepare(request)
        with contextlib.suppress(ConnectionResetError):  # given up
            await self._send(throttled, body)
        return throttled

    async def _send(self, answer: web.StreamResponse, body: bytes) -> None:
        size = max(1, self.bytes_per_s // SLICES_PER_S)
        for start in range(0, len(body), size):
            if start >= self.stalls_after_bytes:
                await asyncio.Event().wait()
            await answer.write(body[start : start + size])
            self.slices += 1
            await asyncio.sleep(1 / SLICES_PER_S)


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Read a log behind a slow link."""

    async def asyncSetUp(self) -> None:
        """Serve a log that holds a snapshot of the two-year size."""
        clock = clocks.SystemClock()
        self.log = log.StandinLog(clock)
        for index in range(SNAPSHOT_CHUNKS):
            chunk = records.SnapshotChunk(
                "s", 0, index, 100, "x" * snapshots.CHUNK_CHARACTERS
            )
            self.log.payloads.append(
                records.encode(
                    records.Record(
                        f"record-{index}", "entry-2", clock.now(), 9999, chunk
                    )
                )
            )
        self.link = SlowLink()
        self.runners = []
        self.client = http.HttpClient(CALL_TIMEOUT)
        address = await self.serve(service.log_app(self.log))
        self.http_log = http.HttpLog(address, self.client)
        self.replica = replicas.Replica(
            self.http_log,
            clock,
            metrics.MemoryMetrics(),
            harness.seconds(2),
        )

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        await self.client.close()
        for runner in self.runners:
            await runner.cleanup()

    async def serve(self, app: web.Application) -> str:
        """Serve an app behind the link and return its base address."""
        app.middlewares.append(self.link.throttle)
        (address,) = loopback.free_addresses(1)
        self.runners.append(await service.serve(app, address))
        return f"http://{address}"

    async def test_log_is_loaded_over_a_slow_but_steady_link(self):
        self.assertTrue(await self.replica.poll(NO_WAIT))
        self.assertTrue(self.replica.caught_up)
        self.assertEqual(SNAPSHOT_CHUNKS - 1, self.replica.state.applied)
        took_s = self.link.slices / SLICES_PER_S
        self.assertGreater(took_s, 2 * CALL_TIMEOUT.total_seconds())

    async def test_large_record_holds_up_no_others_over_a_slow_link(self):
        """A record that is never abandoned has to arrive at some time."""
        appender = appenders.Appender(
            "entry-1",
            self.http_log,
            self.replica,
            clocks.SystemClock(),
            metrics.MemoryMetrics(),
        )
        before = self.log.end
        for answer in ("x" * 2 * LINK_BYTES_PER_S, "y"):
            appender.submit(
                records.RequestEnded("r", verdict.Verdict.RAN, answer),
                appenders.Priority.BOOKKEEPING,
            )
        appending = asyncio.ensure_future(appender.run())
        for _ in range(LIMIT_S * SLICES_PER_S):
            if self.log.end >= before + 2:
                break
            await asyncio.sleep(1 / SLICES_PER_S)
        appending.cancel()
        await asyncio.gather(appending, return_exceptions=True)
        self.assertEqual(before + 2, self.log.end)
        self.assertGreater(
            self.link.slices / SLICES_PER_S, CALL_TIMEOUT.total_seconds()
        )

    async def test_list_is_read_over_a_slow_but_steady_link(self):
        listed = instances.StandinInstances(clocks.SystemClock())
        for number in range(LISTED):
            listed.put(
                messages.ListedInstance(
                    f"i-{number:017x}",
                    messages.InstanceState.LIVE,
                    harness.REGION,
                    "dahab",
                    "10.0.0.1:9000",
                    "10.0.0.1:8000",
                )
            )
        address = await self.serve(service.instances_app(listed))
        entries = await http.HttpInstances(address, self.client).instances()
        self.assertTrue(entries.is_ok())
        self.assertEqual(LISTED, len(entries.ok))
        took_s = self.link.slices / SLICES_PER_S
        self.assertGreater(took_s, CALL_TIMEOUT.total_seconds())

    async def test_page_that_stalls_is_given_up(self):
        self.link.stalls_after_bytes = LINK_BYTES_PER_S // 2
        await self.assert_given_up(within_s=5.0)

    async def test_page_that_trickles_is_given_up(self):
        self.link.bytes_per_s = SLICES_PER_S
        await self.assert_given_up(within_s=3.0)

    async def assert_given_up(self, within_s: float) -> None:
        """Read a page and check that it fails in time."""
        page = await asyncio.wait_for(
            self.http_log.read(0, 500, NO_WAIT), within_s
        )
        self.assertIs(verdict.Reason.TIMEOUT, page.error.reason)
        self.assertGreater(self.link.slices, 0)
