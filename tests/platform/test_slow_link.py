"""Test instances whose link to the store is slow but steady."""

import asyncio
import datetime
import unittest

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.standin import cluster
from cardamomcroft.standin import platform
from tests.platform import test_path
from tests.scheduling import harness

SLOW = "a"
LINK_BYTES_PER_S = 300_000
JOBS = 400  # their records fill two pages of 0.4 MB or more each
PAYLOAD = "x" * 1000
READY_LIMIT_S = 15.0
VERY_SLOW_BYTES_PER_S = 30_000  # too slow for a load to end
CLIENT_TIMEOUT_S = 3.0


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Start an instance whose pages take longer than a time-out."""

    async def asyncSetUp(self):
        """Fill the store as a day leaves it behind."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), test_path.seconds(0.3)
        )
        await self.platform.listen()
        self.platform.configure(test_path.configuration(1, ["k1"]))
        self.platform.link_rates_by_client[SLOW] = LINK_BYTES_PER_S
        for number in range(JOBS):
            self._store_ended_job(f"{number:016x}")
        self.cluster = cluster.Cluster(self.platform)
        self.session = aiohttp.ClientSession()

    async def asyncTearDown(self):
        """Stop everything."""
        await self.session.close()
        await self.cluster.close()
        await self.platform.close()

    def _store_ended_job(self, job_id: str) -> None:
        now = datetime.datetime.now(datetime.UTC)
        job = models.Job(
            job_id,
            harness.make_queue(),
            "t",
            PAYLOAD,
            (harness.make_step(),),
            None,
            now,
        )
        progress = codec.Progress("completed", {}, now.timestamp())
        for kind, value in (
            (ledgers.Kind.SUBMISSION, codec.encode_job(job)),
            (ledgers.Kind.PROGRESS, codec.encode_progress(progress)),
        ):
            self.platform.store.put(store.Stream.JOBS, kind.key(job_id), value)

    async def wait_until_ready(self, name: str, limit_s: float) -> None:
        """Wait until an instance's readiness probe succeeds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while not await self.cluster.is_ready(self.session, name):
            self.assertLess(loop.time(), until, "instance is not ready")
            await asyncio.sleep(0.05)

    async def test_accepted_jobs_are_loaded_over_a_slow_link(self):
        """A restarted instance shows a job that was accepted before."""
        await self.cluster.start(SLOW)
        await self.wait_until_ready(SLOW, READY_LIMIT_S)
        for number in (0, JOBS - 1):  # of the first and of the last page
            url = self.cluster.url(SLOW, f"/scan/{number:016x}")
            async with self.session.get(url, headers=test_path.KEY) as answer:
                self.assertEqual(answer.status, 200)
                self.assertEqual(await answer.json(), {"State": "completed"})

    async def test_calls_are_answered_in_time_during_a_load(self):
        """A load that takes longer than clients wait holds up no call."""
        self.platform.link_rates_by_client[SLOW] = VERY_SLOW_BYTES_PER_S
        await self.cluster.start(SLOW)
        loop = asyncio.get_running_loop()
        url = self.cluster.url(SLOW, f"/scan/{JOBS:016x}")
        statuses_by_method = {}
        for method in ("DELETE", "GET"):
            status = None
            while status is None:
                began = loop.time()
                status = await self.call_when_up(method, url)
                self.assertLess(loop.time() - began, CLIENT_TIMEOUT_S)
            statuses_by_method[method] = status
        self.assertFalse(await self.cluster.is_ready(self.session, SLOW))
        self.assertEqual(statuses_by_method, {"DELETE": 200, "GET": 503})

    async def call_when_up(self, method: str, url: str) -> int | None:
        """Return a call's status; None until the configuration is loaded."""
        try:
            async with self.session.request(
                method, url, headers=test_path.KEY
            ) as response:
                text = await response.text()
                if "configuration" in text:
                    return None
                return response.status
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(0.05)
            return None
