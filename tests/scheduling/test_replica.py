"""Replicas of the job stream never return to older records."""

import asyncio
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
    """Two reads of the same records may end in either order."""

    def test_late_page_is_ignored(self):
        """A shorter page that arrives late does not undo a longer one."""
        copy = ledger.Ledger()
        records = (progress(0, "running"), progress(1, "completed"))
        copy.apply(store.Page(records, 2), ZERO)
        copy.apply(store.Page(records[:1], 1), ZERO)
        self.assertEqual(copy.progress_by_id[JOB].state, "completed")
        self.assertEqual(copy.end_offset, 2)

    def test_old_records_of_instances_are_ignored(self):
        """Records that version 0.3.0 kept in this stream harm nothing."""
        copy = ledger.Ledger()
        peer = codec.encode_peer(codec.Peer("x:1", "dc", 0.0))
        records = (
            store.Record(0, "i/gone", peer),
            store.Record(1, "i/gone", None),
            progress(2, "running"),
            store.Record(3, "i/here", peer),
        )
        self.assertEqual(copy.apply(store.Page(records, 4), ZERO), [])
        self.assertEqual(copy.progress_by_id[JOB].state, "running")
        self.assertEqual(copy.end_offset, 4)
        self.assertEqual(len(copy.assignments_by_worker), 0)


class SlowLoads(store.Store):
    """Deliver each page of newest records only when it is released."""

    def __init__(self, target: store.Store) -> None:
        """Delay the pages of another store."""
        self._target = target
        self.held: list[asyncio.Event] = []

    async def append(self, *arguments, **options) -> store.Appended:
        """Append without a delay."""
        return await self._target.append(*arguments, **options)

    async def read(self, *arguments) -> store.Page | store.ReadFailure:
        """Read without a delay."""
        return await self._target.read(*arguments)

    async def newest(self, *arguments) -> store.Page | store.ReadFailure:
        """Take the page now and deliver it at its release."""
        page = await self._target.newest(*arguments)
        released = asyncio.Event()
        self.held.append(released)
        await released.wait()
        return page


class ReplicaTestCase(unittest.IsolatedAsyncioTestCase):
    """Run replicas of a fake store by a fake clock."""

    async def asyncSetUp(self):
        """Create the store."""
        self.clock = clocks.FakeClock()
        self.service = standin_store.StoreService(self.clock)
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        self.log = events.Events(self.clock, "a", metrics.Metrics(), sink)

    async def finish(self, awaitable) -> float:
        """Advance the clock until the call returns; return the seconds."""
        task = asyncio.ensure_future(awaitable)
        began = self.clock.monotonic()
        while not task.done():
            await self.clock.advance(datetime.timedelta(milliseconds=5))
        return (self.clock.monotonic() - began).total_seconds()

    def put_progress(self, job_id: str) -> None:
        """Append a record of a job."""
        key = ledger.Kind.PROGRESS.key(job_id)
        self.service.put(store.Stream.JOBS, key, progress(0, "x").value)


class LoadTest(ReplicaTestCase):
    """Records appended while a copy is loaded are not missed."""

    async def test_overlapping_loads_leave_no_gap(self):
        """A load that ends last does not hide records read before."""
        slow = SlowLoads(self.service.client("a"))
        copy = replica.Replica(slow, self.clock, self.log)
        loads = [asyncio.ensure_future(copy.update()) for _ in range(2)]
        await self.clock.advance(harness.seconds(0.1))
        slow.held[0].set()
        await self.finish(asyncio.shield(loads[0]))
        self.put_progress("a")
        await self.finish(copy.update())
        self.put_progress("b")
        read = asyncio.ensure_future(copy.update())
        await self.clock.settle()
        for released in slow.held:
            released.set()
        await self.finish(asyncio.gather(read, *loads))
        await self.finish(copy.update())
        self.assertEqual(set(copy.ledger.progress_by_id), {"a", "b"})

    async def test_page_short_of_the_end_is_not_fresh(self):
        """A job beyond the page that was read is not taken for unknown."""
        copy = replica.Replica(self.service.client("a"), self.clock, self.log)
        await self.finish(copy.update())
        self.service.page_records = 2
        for number in range(5):
            self.put_progress(str(number))
        fresh_at = copy.fresh_at
        await self.finish(copy.update())
        self.assertEqual(copy.fresh_at, fresh_at)
        await self.finish(copy.refresh(harness.seconds(1)))
        self.assertGreater(copy.fresh_at, fresh_at)
        self.assertEqual(len(copy.ledger.progress_by_id), 5)


class HolderTest(ReplicaTestCase):
    """A load shows whether the scheduler has been alive meanwhile."""

    async def load_again(self, records: int) -> float:
        """Return how long ago the holder was seen, after a new load."""
        copy = replica.Replica(self.service.client("a"), self.clock, self.log)
        claim = codec.encode_claim(codec.Claim("b 1", 0, 1))
        self.service.put(store.Stream.JOBS, ledger.CLAIM_KEY, claim)
        await self.finish(copy.update())
        await self.clock.advance(harness.seconds(10))
        for _ in range(records):
            self.service.put(store.Stream.JOBS, ledger.CLAIM_KEY, claim)
        self.service.faults.expire_reads = 1
        await self.finish(copy.update())
        self.assertEqual(self.service.injected["expired"], 1)
        seen_ago = self.clock.monotonic() - copy.ledger.holder_seen_at
        return seen_ago.total_seconds()

    async def test_load_takes_no_role_from_a_live_holder(self):
        """Renewals that the copy has missed count as seen now."""
        self.assertLess(await self.load_again(records=1), 1)

    async def test_load_gives_a_lost_holder_no_more_time(self):
        """Its last record was seen before."""
        self.assertGreater(await self.load_again(records=0), 9)


class RefreshTest(ReplicaTestCase):
    """A refresh reads the records that the copy lacks."""

    async def asyncSetUp(self):
        """Load a copy from the fake store."""
        await super().asyncSetUp()
        client = self.service.client("a")
        self.copy = replica.Replica(client, self.clock, self.log)
        await self.finish(self.copy.update())

    async def test_refresh_reads_new_records(self):
        """A record appended just before the refresh is read."""
        await self.clock.advance(harness.seconds(0.2))
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(self.copy.refresh(harness.seconds(0.15)))
        self.assertIn(JOB, self.copy.ledger.progress_by_id)

    async def test_refresh_sees_what_was_acknowledged_just_before(self):
        """A read under way, sent before the record, does not suffice."""
        earlier = asyncio.ensure_future(self.copy.refresh(harness.seconds(1)))
        await self.clock.settle()
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(self.copy.refresh(harness.seconds(1)))
        self.assertIn(JOB, self.copy.ledger.progress_by_id)
        await self.finish(earlier)

    async def test_long_poll_does_not_age_the_copy(self):
        """A long poll that ends after a later read keeps that read's time."""
        poll = asyncio.ensure_future(self.copy.update(harness.seconds(1)))
        await self.clock.advance(harness.seconds(0.3))
        await self.finish(self.copy.refresh(harness.seconds(1)))
        fresh_at = self.copy.fresh_at
        self.service.put(store.Stream.JOBS, f"p/{JOB}", progress(0, "x").value)
        await self.finish(poll)
        self.assertGreaterEqual(self.copy.fresh_at, fresh_at)

    async def test_slow_store_does_not_delay_the_answer(self):
        """A refresh returns at its time-out when the store is slow."""
        await self.clock.advance(harness.seconds(0.2))
        self.service.faults.delay = harness.seconds(5)
        took = await self.finish(self.copy.refresh(harness.seconds(0.15)))
        self.assertLess(took, 0.2)
