"""Test records whose result a replica does not see or sees late."""

import asyncio
import datetime
import unittest

import expression

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.ports import verdict
from cardamomcroft.standin import log
from cardamomcroft.state import models
from tests import harness

NO_WAIT = datetime.timedelta()


class PendingRecordTest(unittest.IsolatedAsyncioTestCase):
    """Read the log only at times while a record is pending."""

    def make_replica(self) -> replicas.Replica:
        """Return a replica that only reads when told to."""
        return replicas.Replica(
            self.log, self.clock, metrics.MemoryMetrics(), harness.seconds(2)
        )

    async def asyncSetUp(self) -> None:
        """Start an appender on an empty log."""
        self.clock = clocks.FakeClock()
        self.log = log.StandinLog(self.clock)
        self.replica = self.make_replica()
        await self.replica.poll(NO_WAIT)
        self.appender = appenders.Appender(
            "entry-1",
            self.log,
            self.replica,
            self.clock,
            metrics.MemoryMetrics(),
        )
        self.running = asyncio.ensure_future(self.appender.run())

    async def asyncTearDown(self) -> None:
        """Stop the appender."""
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)

    async def test_accepted_record_is_not_reported_as_rejected(self):
        body = records.SchedulerClaimed(harness.REGION, -1, "entry-1@0")
        confirming = asyncio.ensure_future(
            self.appender.confirm(
                body, appenders.Priority.OPERATOR, harness.seconds(5)
            )
        )
        await self.clock.advance(harness.seconds(1))
        peer = self.make_replica()
        await peer.poll(NO_WAIT)
        self.assertIn(harness.REGION, peer.state.claims)
        self.assertTrue(self.replica.load(peer.state))
        await self.replica.poll(NO_WAIT)
        await self.clock.advance(harness.seconds(2))
        self.assertEqual(2, self.log.end)  # sent again
        await self.replica.poll(NO_WAIT)
        await self.clock.advance(harness.seconds(3))
        outcome = await confirming
        self.assertTrue(outcome.is_error())
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, outcome.error.verdict)

    async def test_record_is_not_sent_again_while_the_log_cannot_be_read(self):
        """Copies would fill the log's retention within minutes."""
        body = records.SchedulerClaimed(harness.REGION, -1, "entry-1@0")
        applied = self.appender.submit(body, appenders.Priority.OPERATOR)
        await self.clock.advance(harness.seconds(60))
        self.assertEqual(1, self.log.end)
        await self.replica.poll(NO_WAIT)
        self.assertTrue((await applied).accepted)

    async def test_record_that_the_log_lost_is_sent_again(self):
        body = records.SchedulerClaimed(harness.REGION, -1, "entry-1@0")
        applied = self.appender.submit(body, appenders.Priority.OPERATOR)
        await self.clock.advance(harness.seconds(1))
        self.log.payloads.clear()
        await self.replica.poll(NO_WAIT)
        await self.clock.advance(harness.seconds(5))
        self.assertEqual(1, self.log.end)
        await self.replica.poll(NO_WAIT)
        self.assertTrue((await applied).accepted)


class CutOffLog(base.PlatformLog):
    """Lose every answer to a read once a page holds the start of a gang."""

    def __init__(self, inner: log.StandinLog) -> None:
        """Read and append through another log."""
        self._inner = inner
        self.lost_pages = 0
        self.is_restored = False

    async def append(self, payloads):
        """Append all payloads in order and return the first offset."""
        return await self._inner.append(payloads)

    async def read(self, offset, limit, wait):
        """Return records from the offset on, or lose them."""
        page = await self._inner.read(offset, limit, wait)
        if not self.is_restored and self._is_cut(page.ok):
            self.lost_pages += 1
            return expression.Error(
                verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
            )
        return page

    def _is_cut(self, page: messages.LogPage) -> bool:
        return self.lost_pages > 0 or any(
            "GangStarted" in payload for payload in page.payloads
        )


class SkippedStartTest(harness.ClusterCase):
    """Cut the owner off from the log right after it started a gang."""

    async def test_recorded_gang_is_not_stopped_as_refused(self):
        await self.cluster.ready()
        owner = self.cluster.owner
        cut_off = CutOffLog(self.cluster.log)
        owner.replica._log = cut_off
        await self.cluster.advance(3)
        job_id = await self.cluster.submit(run_s=20.0)
        await self.cluster.until(lambda: cut_off.lost_pages, 10)
        for node in self.cluster.nodes.values():
            node.exchange._recent_records._payloads.clear()
        await self.cluster.until(
            lambda: (
                owner.replica.state.jobs[job_id].phase is models.Phase.RUNNING
            ),
            10,
        )
        cut_off.is_restored = True
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertGreater(cut_off.lost_pages, 0)
        self.assertEqual(1, self.cluster.job(job_id).starts)
        self.assertEqual(1, len(self.cluster.runs(job_id)))
