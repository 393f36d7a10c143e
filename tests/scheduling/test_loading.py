"""Loads of the newest records end, however slow or long they are."""

import asyncio
import datetime
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import loading
from cardamomcroft.standin import store as standin_store

TIMEOUT = datetime.timedelta(seconds=1)
KEYS = tuple("abcdef")


class LoadTest(unittest.IsolatedAsyncioTestCase):
    """Load six records in pages of two."""

    async def asyncSetUp(self):
        """Create a store with the records."""
        self.clock = clocks.FakeClock()
        self.service = standin_store.StoreService(self.clock)
        self.service.page_records = 2
        for key in KEYS:
            self.service.put(store.Stream.JOBS, key, b"1")
        client = self.service.client("a")
        self.load = loading.Load(client, store.Stream.JOBS, TIMEOUT)

    async def proceed(self) -> store.Page | store.ReadFailure:
        """Go on with the load."""
        task = asyncio.ensure_future(self.load.proceed())
        while not task.done():
            await self.clock.advance(standin_store.ROUND_TRIP)
        return task.result()

    async def load_one_page(self) -> None:
        """Let the store refuse the calls after the first page."""
        task = asyncio.ensure_future(self.load.proceed())
        while not self.load.record_count:
            await self.clock.advance(standin_store.ROUND_TRIP)
        self.service.faults.is_down = True
        while not task.done():
            await self.clock.advance(standin_store.ROUND_TRIP)
        self.assertIsInstance(task.result(), store.ReadFailure)
        self.assertGreater(self.service.injected["refused"], 0)
        self.service.faults.is_down = False

    async def test_failed_page_keeps_the_pages_received(self):
        """A page that fails is asked for again, and no page before it."""
        client, asked = self.service.client("a"), []

        class FailingOnce(standin_store.StoreClient):
            async def newest(self, stream, after, timeout):
                asked.append(after)
                if len(asked) == 2:
                    return store.ReadFailure(store.ReadStatus.UNAVAILABLE)
                return await client.newest(stream, after, timeout)

        source = FailingOnce(self.service, "a")
        self.load = loading.Load(source, store.Stream.JOBS, TIMEOUT)
        self.assertIsInstance(await self.proceed(), store.ReadFailure)
        self.assertEqual(self.load.record_count, 2)
        await self.proceed()
        self.assertEqual(asked, ["", "b", "b", "d"])

    async def test_failure_keeps_the_pages_received(self):
        """A load continues after its last page instead of starting again."""
        await self.load_one_page()
        self.assertEqual(self.load.record_count, 2)
        self.service.records_by_stream[store.Stream.JOBS][0] = store.Record(
            0, "a", b"asked for again"
        )
        page = await self.proceed()
        self.assertEqual([record.key for record in page.records], [*KEYS])
        self.assertEqual(page.records[0].value, b"1")

    async def test_changes_during_a_load_are_not_missed(self):
        """Keys changed, deleted or added behind the load are up to date."""
        await self.load_one_page()
        self.service.put(store.Stream.JOBS, "a", None)
        self.service.put(store.Stream.JOBS, "b", b"2")
        self.service.put(store.Stream.JOBS, "aa", b"3")
        page = await self.proceed()
        values_by_key = {r.key: r.value for r in page.records}
        self.assertEqual(
            values_by_key,
            {key: b"1" for key in "cdef"} | {"b": b"2", "aa": b"3"},
        )
        self.assertEqual(page.end_offset, len(KEYS) + 3)

    async def test_load_that_fell_out_of_the_history_starts_again(self):
        """Pages are dropped when the changes since them are gone."""
        await self.load_one_page()
        self.service.put(store.Stream.JOBS, "a", None)
        self.service.faults.expire_reads = 1
        failure = await self.proceed()
        self.assertIs(failure.status, store.ReadStatus.EXPIRED)
        self.assertEqual(self.load.record_count, 0)
        page = await self.proceed()
        self.assertEqual([r.key for r in page.records], [*KEYS[1:]])
