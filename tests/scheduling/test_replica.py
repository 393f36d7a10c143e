"""Copies of the jobs' stream never go back."""

import datetime
import os
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger
from cardamomcroft.scheduling import metrics
from cardamomcroft.scheduling import replica
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

ZERO = datetime.timedelta()
JOB = "0" * 16


def progress(offset: int, state: str) -> store.Record:
    """Return a record of the job's state."""
    value = codec.encode_progress(codec.Progress(state, {}))
    return store.Record(offset, f"p/{JOB}", value)


class OverlapTest(unittest.TestCase):
    """Two reads of the same records end in either order."""

    def test_late_page_changes_nothing(self):
        """A shorter page that comes late does not undo a longer one."""
        copy = ledger.Ledger()
        records = (progress(0, "running"), progress(1, "completed"))
        copy.apply(store.Page(records, 2), ZERO)
        copy.apply(store.Page(records[:1], 1), ZERO)
        self.assertEqual(copy.progress_by_id[JOB].state, "completed")
        self.assertEqual(copy.end_offset, 2)


class RefreshTest(unittest.IsolatedAsyncioTestCase):
    """A state query reads what the copy lacks."""

    async def asyncSetUp(self):
        """Load a copy."""
        self.clock = clocks.FakeClock()
        self.service = standin_store.StoreService(self.clock)
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        log = events.Events(self.clock, "a", metrics.Metrics(), sink)
        client = self.service.client("a")
        self.copy = replica.Replica(client, self.clock, log)
        await self.finish(self.copy.update())

    async def finish(self, awaitable) -> float:
        """Let time pass until the call returns; return how long it took."""
        task = harness.asyncio.ensure_future(awaitable)
        began = self.clock.monotonic()
        while not task.done():
            await self.clock.advance(datetime.timedelta(milliseconds=5))
        return (self.clock.monotonic() - began).total_seconds()

    async def test_refresh_brings_new_records(self):
        """A record of this moment is seen."""
        await self.clock.advance(harness.seconds(0.2))
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(self.copy.refresh(harness.seconds(0.15)))
        self.assertIn(JOB, self.copy.ledger.progress_by_id)

    async def test_refresh_sees_what_was_acknowledged_just_before(self):
        """A read under way, sent before the record, is not enough."""
        earlier = harness.asyncio.ensure_future(
            self.copy.refresh(harness.seconds(1))
        )
        await self.clock.settle()
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(self.copy.refresh(harness.seconds(1)))
        self.assertIn(JOB, self.copy.ledger.progress_by_id)
        await self.finish(earlier)

    async def test_long_poll_does_not_age_the_copy(self):
        """It was sent earlier than a read that has ended meanwhile."""
        poll = harness.asyncio.ensure_future(
            self.copy.update(harness.seconds(1))
        )
        await self.clock.advance(harness.seconds(0.3))
        await self.finish(self.copy.refresh(harness.seconds(1)))
        fresh_at = self.copy.fresh_at
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(poll)
        self.assertGreaterEqual(self.copy.fresh_at, fresh_at)

    async def test_slow_store_does_not_delay_the_answer(self):
        """The copy answers when the store takes long."""
        await self.clock.advance(harness.seconds(0.2))
        self.service.faults.delay = harness.seconds(5)
        took = await self.finish(self.copy.refresh(harness.seconds(0.15)))
        self.assertLess(took, 0.2)
