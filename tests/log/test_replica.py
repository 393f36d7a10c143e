"""Test what a replica that has read only a part of the log shows."""

import asyncio
import datetime
import unittest

import expression
import structlog.testing

from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.membership import members
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.ports import verdict
from cardamomcroft.standin import log
from cardamomcroft.state import fold
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from tests import harness

NO_WAIT = datetime.timedelta()
SELF_LEASE = harness.seconds(5)


class SlowLog(log.StandinLog):
    """A log whose pages take ``transfer`` to arrive; reads can be cut."""

    transfer = datetime.timedelta()
    readable_end = 1_000_000
    lose_each = 1_000_000
    reads = 0

    async def read(
        self, offset: int, limit: int, wait: datetime.timedelta
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Return records from the offset on, up to the readable end."""
        self.reads += 1
        if offset >= self.readable_end or self.reads % self.lose_each == 0:
            return self._unavailable()
        page = await super().read(offset, limit, wait)
        if self.transfer:
            await self._clock.sleep(self.transfer)
        return page


class PartialStateTest(unittest.IsolatedAsyncioTestCase):
    """Read a log page by page."""

    async def asyncSetUp(self) -> None:
        """Follow an empty log with one replica."""
        self.enterContext(structlog.testing.capture_logs())
        self.clock = clocks.FakeClock()
        self.log = SlowLog(self.clock)
        self.replica = replicas.Replica(
            self.log,
            self.clock,
            metrics.MemoryMetrics(),
            harness.seconds(2),
        )
        membership = members.Membership(
            "entry-1",
            harness.REGION,
            self.clock,
            harness.seconds(3),
            harness.seconds(20),
        )
        membership.add_seed("entry-2", "entry-2:1")  # never answers
        self.freshness = freshnesses.Freshness(
            self.replica, membership, self.clock, SELF_LEASE
        )

    def record(self, number: int, body: records.Body) -> records.Record:
        """Return a record that is valid at each offset of the test."""
        return records.Record(
            f"record-{number}", "entry-2", self.clock.now(), 100_000, body
        )

    async def append_claims(self, count: int) -> None:
        """Append claims; only the last one is in force at the end."""
        for number in range(count):
            body = records.SchedulerClaimed(
                harness.REGION, number - 1, f"entry-2@{number}"
            )
            await self.log.append([records.encode(self.record(number, body))])

    async def test_first_of_several_pages_is_not_the_present_state(self):
        await self.append_claims(replicas.MAX_PAGE_RECORDS + 1)
        self.assertTrue(await self.replica.poll(NO_WAIT))
        self.assertLess(self.replica.state.applied + 1, self.log.end)
        self.assertFalse(self.replica.caught_up)
        self.assertFalse(self.freshness.is_fresh())
        self.assertTrue(await self.replica.poll(NO_WAIT))
        self.assertEqual(self.replica.state.applied + 1, self.log.end)
        self.assertTrue(self.replica.caught_up)
        self.assertTrue(self.freshness.is_fresh())

    async def test_snapshot_in_the_log_is_not_the_present_state(self):
        state = models.State()
        for number in range(10):
            body = records.RecordVoided(f"other-{number}")
            record = self.record(number, body)
            await self.log.append([records.encode(record)])
            state, _ = fold.fold(state, number, record)
        for number, chunk in enumerate(snapshots.chunks(state, "s"), 10):
            await self.log.append([records.encode(self.record(number, chunk))])
        self.log.retention = 5
        await self.append_claims(1)
        self.assertGreater(self.log.first, 0)
        self.assertTrue(await self.replica.poll(NO_WAIT))
        self.assertEqual(9, self.replica.state.applied)
        self.assertFalse(self.replica.caught_up)
        self.assertFalse(self.freshness.is_fresh())
        self.assertTrue(await self.replica.poll(NO_WAIT))
        self.assertIn(harness.REGION, self.replica.state.claims)
        self.assertTrue(self.freshness.is_fresh())

    async def test_search_for_a_snapshot_goes_on_after_a_lost_page(self):
        """With every third read lost, three pages never come in a row."""
        state = models.State(applied=9)
        (chunk,) = snapshots.chunks(state, "s")
        await self.append_claims(10)
        for number in range(10, 4 * replicas.MAX_PAGE_RECORDS):
            body = chunk if number == 10 else records.RecordVoided(f"{number}")
            await self.log.append([records.encode(self.record(number, body))])
        self.log.retention = self.log.end - 5
        await self.append_claims(1)
        self.log.lose_each = 3
        for _ in range(20):
            await self.replica.poll(NO_WAIT)
        self.assertGreater(self.log.injected["log_down"], 0)
        self.assertEqual(self.replica.state.applied + 1, self.log.end)

    async def test_two_searches_at_once_both_find_the_snapshot(self):
        """A query refreshes the replica while it follows the log."""
        state = models.State(applied=9)
        for number, chunk in enumerate(snapshots.chunks(state, "s")):
            await self.log.append([records.encode(self.record(number, chunk))])
        for number in range(10, 3 * replicas.MAX_PAGE_RECORDS):
            body = records.RecordVoided(f"{number}")
            await self.log.append([records.encode(self.record(number, body))])
        self.log.transfer = harness.seconds(1)
        search = snapshots.LogSearch(replicas.MAX_PAGE_RECORDS)
        first = asyncio.ensure_future(search.run(self.log, 0))
        await self.clock.advance(harness.seconds(0.5))
        second = asyncio.ensure_future(search.run(self.log, 0))
        await self.clock.advance(harness.seconds(20))
        self.assertEqual(9, (await first).ok.applied)
        self.assertTrue((await second).is_ok())

    async def test_page_is_only_as_fresh_as_its_request(self):
        """A claim made during a slow transfer is not in the page."""
        await self.append_claims(1)
        self.log.transfer = SELF_LEASE + harness.seconds(1)
        await self.clock.advance(harness.seconds(1))
        reader = asyncio.ensure_future(self.replica.poll(NO_WAIT))
        await self.clock.advance(self.log.transfer)
        self.assertTrue(await reader)
        self.assertFalse(self.freshness.is_fresh())


class LoadingInstanceTest(harness.ClusterCase):
    """Start an instance that cannot read the log to its end."""

    async def test_no_result_is_forgotten_while_the_log_is_loaded(self):
        """The new instance knows the fleet but not yet the job."""
        self.cluster.log = SlowLog(self.cluster.clock)
        await self.cluster.ready()
        filler = [
            records.encode(
                records.Record(
                    f"filler-{number}",
                    "entry-1",
                    self.cluster.clock.now(),
                    100_000,
                    records.RecordVoided(f"other-{number}"),
                )
            )
            for number in range(2 * replicas.MAX_PAGE_RECORDS)
        ]
        await self.cluster.log.append(filler)
        await self.cluster.advance(1)
        job_id = await self.cluster.submit(run_s=4.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        await self.cluster.stop()
        await self.cluster.advance(5)
        self.cluster.log.readable_end = replicas.MAX_PAGE_RECORDS + 1
        node = await self.cluster.start_node("entry-1")
        await self.cluster.advance(5)
        self.assert_injected("log_down")
        self.assertNotIn(job_id, node.replica.state.jobs)
        self.cluster.log.readable_end = 1_000_000
        await self.cluster.until(lambda: job_id in node.replica.state.jobs)
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(1, len(self.cluster.runs(job_id)))
