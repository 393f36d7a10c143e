"""Test that an instance without the jobs forwards its clients' calls."""

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

FAST = "b"
SLOW = "a"
LINK_BYTES_PER_S = 50_000  # the jobs' records take 16 s
JOBS = 400
PAYLOAD = "x" * 1500
READY_LIMIT_S = 10.0
# One time-out of a client, and one retry.
ANSWER_LIMIT_S = 6.0


def store_ended_job(target: platform.PlatformServer, job_id: str) -> None:
    """Store the records of a job that was accepted and has completed."""
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
        target.store.put(store.Stream.JOBS, kind.key(job_id), value)


class LoadingForwardsTest(unittest.IsolatedAsyncioTestCase):
    """Call an instance that takes long to load the jobs."""

    async def asyncSetUp(self):
        """Start a fast instance beside a store that holds many jobs."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), test_path.seconds(0.3)
        )
        await self.platform.listen()
        self.platform.configure(test_path.configuration(1, ["k1"]))
        self.platform.link_rates_by_client[SLOW] = LINK_BYTES_PER_S
        for number in range(JOBS):
            store_ended_job(self.platform, f"{number:016x}")
        self.cluster = cluster.Cluster(self.platform)
        self.session = aiohttp.ClientSession()
        await self.cluster.start(FAST)
        await self.wait_for(lambda: self.is_ready(FAST), READY_LIMIT_S)

    async def asyncTearDown(self):
        """Stop everything."""
        await self.session.close()
        await self.cluster.close()
        await self.platform.close()

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance's readiness probe succeeds."""
        return await self.cluster.is_ready(self.session, name)

    async def wait_for(self, condition, limit_s: float) -> None:
        """Wait until an asynchronous condition holds."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while not await condition():
            self.assertLess(loop.time(), until, "not in time")
            await asyncio.sleep(0.05)

    async def query(self, job_id: str) -> tuple[int, dict]:
        """Query a job's state at the slow instance."""
        url = self.cluster.url(SLOW, f"/scan/{job_id}")
        try:
            async with self.session.get(
                url, headers=test_path.KEY
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientConnectorError:
            return 0, {}  # not listening yet

    async def test_loading_instance_answers_through_a_peer(self):
        """A job that was accepted is known before the jobs are loaded."""
        await self.cluster.start(SLOW)
        answers = []

        async def is_answered() -> bool:
            answers.append(await self.query(f"{0:016x}"))
            return answers[-1][0] == 200

        await self.wait_for(is_answered, ANSWER_LIMIT_S)
        self.assertEqual(answers[-1][1], {"State": "completed"})
        self.assertEqual({code for code, _ in answers} - {0, 200, 503}, set())
        self.assertFalse(await self.is_ready(SLOW), "loaded too early")
