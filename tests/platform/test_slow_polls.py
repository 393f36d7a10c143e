"""Test polls of workers whose answers share a slow link."""

import asyncio
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import worker_polling
from cardamomcroft.standin import cluster
from cardamomcroft.standin import links
from cardamomcroft.standin import platform
from tests.platform import test_path

WORKERS = 20
ENDS = 500  # a worker lists no more at once
LINK_BYTES_PER_S = 200_000  # all lists take 2.3 s
HEARD_LIMIT_S = 15.0  # on a busy machine


class SlowPollsTest(unittest.IsolatedAsyncioTestCase):
    """Start a scheduler that has to hear workers with long lists."""

    async def asyncSetUp(self):
        """Record workers of an earlier scheduler, whose tasks have ended."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), test_path.seconds(0.3)
        )
        await self.platform.listen()
        self.platform.configure(test_path.configuration(1, ["k1"]))
        for number in range(WORKERS):
            await self._add_worker(f"w{number}")
        self.cluster = cluster.Cluster(self.platform)

    async def asyncTearDown(self):
        """Stop everything."""
        await self.cluster.close()
        await self.platform.close()

    async def _add_worker(self, worker_id: str) -> None:
        address = await self.platform.listen_for_worker(worker_id, "r1")
        worker = self.platform.fleet.workers_by_id[worker_id]
        worker.end_count = ENDS
        worker.finished = [
            fleet.FinishedTask(
                number, f"{number:016x}.0.0.0", 1, fleet.End.DONE, ""
            )
            for number in range(1, ENDS + 1)
        ]
        record = codec.Assignment(address, worker.listing.born_ms, {})
        self.platform.store.put(
            store.Stream.JOBS,
            ledgers.Kind.ASSIGNMENT.key(worker_id),
            codec.encode_assignment(record),
        )

    def count_unheard(self) -> int:
        """Return how many workers' ends are not acknowledged."""
        return sum(
            bool(worker.finished)
            for worker in self.platform.fleet.workers_by_id.values()
        )

    async def check_all_are_heard(self, link) -> None:
        """Check that the scheduler acknowledges every worker's ends."""
        self.platform.shared_links_by_client[platform.WORKER_CLIENT] = link
        await self.cluster.start("a")
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self.count_unheard():
            self.assertLess(
                loop.time() - began,
                HEARD_LIMIT_S,
                f"{self.count_unheard()} of {WORKERS} workers not heard",
            )
            await asyncio.sleep(0.05)
        took_s = loop.time() - began
        self.assertGreater(took_s, worker_polling.POLL_TIMEOUT.total_seconds())

    async def test_lists_are_heard_over_a_fair_link(self):
        """Lists that arrive side by side are not given up."""
        await self.check_all_are_heard(links.FairLink(LINK_BYTES_PER_S))

    async def test_lists_are_heard_over_a_queue(self):
        """Lists that wait for the others are given time to begin."""
        link = links.QueueLink(LINK_BYTES_PER_S)
        try:
            await self.check_all_are_heard(link)
        finally:
            await link.drain()  # aiohttp's shutdown logs answers cut short
