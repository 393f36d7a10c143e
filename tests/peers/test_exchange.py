"""Test what instances serve to their peers and load from them."""

import datetime
import random
import unittest

import expression
from thriftpy2 import utils

from cardamomcroft.daemon import node as nodes
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import digests
from cardamomcroft.peers import base
from cardamomcroft.peers import rpc
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.ports import verdict
from cardamomcroft.settings import instance
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import workers
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from tests import harness

LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
PEERS = 27  # the region's at the two-year size
FACTS = 100
ENDS = 8  # a worker's accelerators


class SnapshotTest(harness.ClusterCase):
    """Serve snapshots to peers that cannot read the log."""

    async def test_peers_that_try_again_do_not_wait_for_the_encoding(self):
        """Encoding takes longer than a time-out at the two-year size."""
        await self.cluster.ready()
        exchange = self.cluster.node().exchange
        first = exchange.snapshot()
        self.assertIs(first, exchange.snapshot())
        job_id = await self.cluster.submit(run_s=1.0)
        newer = snapshots.decode(exchange.snapshot())
        self.assertIn(job_id, newer.jobs)


class PartialLog(log.StandinLog):
    """A log that can be read up to an offset only, in whole pages."""

    readable_end = 1_000_000

    async def read(
        self, offset: int, limit: int, wait: datetime.timedelta
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Return records from the offset on, up to the readable end."""
        if offset >= self.readable_end:
            return self._unavailable()
        return await super().read(offset, limit, wait)


class CatchUpTest(harness.ClusterCase):
    """Start instances in an outage of the log for all."""

    async def asyncSetUp(self) -> None:
        """Serve a log that can be lost in the middle of a load."""
        await super().asyncSetUp()
        self.cluster.log = PartialLog(self.cluster.clock)
        await self.cluster.ready()

    async def fill(self, end: int) -> None:
        """Append records without an effect up to an offset."""
        first = self.cluster.log.end
        await self.cluster.log.append(
            [
                records.encode(
                    records.Record(
                        f"filler-{number}",
                        "entry-1",
                        self.cluster.clock.now(),
                        100_000,
                        records.RecordVoided(f"other-{number}"),
                    )
                )
                for number in range(first, end)
            ]
        )
        await self.cluster.advance(1)

    async def lose_log_after(self, offset: int) -> None:
        """Let nobody read beyond the offset from now on."""
        self.cluster.log.readable_end = offset
        await self.cluster.advance(5)

    async def start_beside_partial_copy(self) -> None:
        """Restart all; the first reads one page, the others none."""
        await self.cluster.stop()
        await self.cluster.advance(5)
        await self.cluster.start_node("entry-1")
        await self.cluster.advance(1)
        await self.lose_log_after(0)
        self.assert_injected("log_down")
        await self.cluster.start(["entry-2", "entry-3"])
        await self.cluster.advance(5)

    async def test_partial_copy_of_a_peer_forgets_no_result(self):
        """A forgotten result makes the job run once more."""
        await self.fill(2 * replicas.MAX_PAGE_RECORDS)
        job_id = await self.cluster.submit(run_s=4.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.cluster.log.readable_end = replicas.MAX_PAGE_RECORDS
        await self.start_beside_partial_copy()
        for node in self.cluster.nodes.values():
            self.assertEqual(
                replicas.MAX_PAGE_RECORDS - 1, node.replica.state.applied
            )
            self.assertNotIn(job_id, node.replica.state.jobs)
        self.cluster.log.readable_end = 1_000_000
        await self.cluster.until(
            lambda: job_id in self.cluster.node().replica.state.jobs
        )
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(1, len(self.cluster.runs(job_id)))

    async def test_partial_copy_of_a_peer_does_not_count_as_complete(self):
        """Else valid tokens are refused for good with 401."""
        await self.fill(2 * replicas.MAX_PAGE_RECORDS)
        self.cluster.log.readable_end = replicas.MAX_PAGE_RECORDS
        await self.start_beside_partial_copy()
        for node in self.cluster.nodes.values():
            self.assertEqual(
                replicas.MAX_PAGE_RECORDS - 1, node.replica.state.applied
            )
            self.assertFalse(node.replica.caught_up)
            self.assertFalse(node.freshness.is_fresh())

    async def test_complete_copy_of_a_peer_is_served_in_an_outage(self):
        await self.cluster.kill("entry-2", delist=False)
        await self.lose_log_after(0)
        await self.cluster.start_node("entry-2")
        await self.cluster.advance(5)
        self.assert_injected("log_down")
        node = self.cluster.node("entry-2")
        self.assertEqual("serving", node.lifecycle.state)
        self.assertTrue(node.freshness.is_fresh())

    async def test_copy_as_long_as_a_complete_one_is_served_in_an_outage(self):
        """Its last page was full, so that it does not show the end."""
        await self.fill(replicas.MAX_PAGE_RECORDS)
        await self.cluster.kill("entry-2", delist=False)
        await self.lose_log_after(replicas.MAX_PAGE_RECORDS)
        await self.cluster.start_node("entry-2")
        await self.cluster.advance(5)
        self.assert_injected("log_down")
        self.assertEqual(
            "serving", self.cluster.node("entry-2").lifecycle.state
        )


class SlowLinkPeers(base.PeerClient):
    """Lose exchanges of one round that don't pass a slow link in time."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        """Start a round, in which all calls are made at once."""
        self.passed = 0
        self._may_pass = LINK_BYTES_PER_S * timeout.total_seconds()
        self.answer = lambda digest: digest

    async def exchange(self, address, digest):
        """Return the answer unless the link has carried too much."""
        answer = self.answer(digest)
        for sent in (digest, answer):
            self.passed += len(utils.serialize(rpc.digest_to_wire(sent)))
        if self.passed > self._may_pass:
            return expression.Error(
                verdict.may_have_run(verdict.Reason.TIMEOUT, address)
            )
        return expression.Ok(answer)

    async def read_log(self, address, offset, limit):
        """Fail, as no peer is ahead."""
        raise AssertionError("unexpected call")

    async def snapshot(self, address):
        """Fail, as no peer is ahead."""
        raise AssertionError("unexpected call")


class OutageOnSlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Exchange digests with all peers over one link, without the log."""

    async def asyncSetUp(self) -> None:
        """Let the peers have as much to share as the instance."""
        clock = clocks.FakeClock()
        settings = instance.InstanceSettings(
            "entry-0",
            "dahab",
            harness.REGION,
            "127.0.0.1:1",
            "127.0.0.1:2",
            instance.Platform("", ""),
        )
        self.peers = SlowLinkPeers(settings.timing.duration("call_timeout"))
        ports = nodes.Ports(
            log.StandinLog(clock),
            instances.StandinInstances(clock),
            workers.StandinWorkers(clock),
            self.peers,
            clock,
            metrics.MemoryMetrics(),
        )
        self.node = nodes.Node(settings, ports, random.Random(1))
        self.peers.answer = self.node.exchange.exchange

    async def test_facts_to_share_make_no_peer_count_as_dead(self):
        for number in range(1, PEERS + 1):
            self.node.membership.record_digest(self.digest(f"entry-{number}"))
        for number in range(FACTS):
            self.node.appender.submit(
                self.worker_lost(number), appenders.Priority.BOOKKEEPING
            )
        await self.node.exchange.step()
        failed = [
            member.instance_id
            for member in self.node.membership.by_id.values()
            if member.last_failure_at is not None
        ]
        self.assertEqual([], failed)
        self.assertGreater(self.peers.passed, LINK_BYTES_PER_S // 4)

    def digest(self, instance_id: str) -> digests.Digest:
        """Return the digest of a peer without the log."""
        return digests.Digest(
            instance_id,
            f"{instance_id}@0",
            harness.REGION,
            "dahab",
            -1,
            -1,
            False,
            False,
            peer_address=f"{instance_id}:1",
        )

    def worker_lost(self, number: int) -> records.TasksEnded:
        """Return the end of a worker full of tasks."""
        return records.TasksEnded(
            f"worker-{number}",
            tuple(
                records.TaskEnd(
                    messages.TaskId(f"{number:032x}", 1, member),
                    records.EndKind.LOST,
                    "worker unreachable",
                )
                for member in range(ENDS)
            ),
        )
