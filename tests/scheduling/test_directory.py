"""Entries of other writers do not disturb the directory."""

import asyncio
import os
import unittest

from cardamomcroft.platform import workers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import directory
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import metrics
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

VALID = (
    b'{"Service":"s","Address":"h:1","Zone":"z","Labels":["k","r"],'
    b'"State":"ready","ClockMs":1,"Capacity":{"Cpu":1},"born":1,'
    b'"RemainingMs":%d}'
)
MALFORMED = (
    b"[" * 100_000,
    b"[]",
    b"5",
    b"\xff\xfe",
    b'{"Service":"s"}',
    VALID.replace(b'"ready"', b"{}") % 1,
    VALID.replace(b'["k","r"]', b"7") % 1,
)


class MalformedEntryTest(unittest.IsolatedAsyncioTestCase):
    """Follow a stream with malformed entries among valid ones."""

    async def asyncSetUp(self):
        """Start the directory."""
        self.clock = clocks.FakeClock()
        self.store = standin_store.StoreService(self.clock)
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        log = events.Events(self.clock, "a", metrics.Metrics(), sink)
        self.decode = workers.decode_listing
        self.directory = directory.Directory(
            self.store.client("a"),
            self.clock,
            log,
            lambda record: self.decode(record),
        )
        self.task = asyncio.ensure_future(self.directory.run())

    async def asyncTearDown(self):
        """Stop the directory."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    async def put(self, worker_id: str, value: bytes) -> None:
        """Store an entry and let the directory read it."""
        self.store.put(store.Stream.SERVERS, worker_id, value)
        await self.clock.advance(harness.seconds(0.3))

    async def test_valid_entries_hold_beside_malformed_ones(self):
        """A malformed entry names no worker and stops nothing."""
        await self.put("w1", VALID % 1)
        for number, value in enumerate(MALFORMED):
            await self.put(f"bad{number}", value)
            await self.put("w1", value)
        await self.put("w2", VALID % 10**30)
        self.assertEqual(set(self.directory.listings_by_id), {"w1", "w2"})
        self.assertFalse(self.task.done())

    async def test_unexpected_error_of_the_decoder_is_survived(self):
        """The last valid entry stays."""
        await self.put("w1", VALID % 1)
        self.decode = {}.__getitem__
        await self.put("w1", VALID % 2)
        self.assertEqual(set(self.directory.listings_by_id), {"w1"})
        self.assertFalse(self.task.done())
