"""An evacuation takes effect over HTTP, and shows in the metrics."""

import asyncio
import dataclasses
import datetime
import unittest
from unittest import mock

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.standin import cluster
from cardamomcroft.standin import platform

KEY = {"Api-Key": "k1", "Host": platform.HOST_NAME}
BOUND = datetime.timedelta(seconds=5)
METRIC = "cardamomcroft_evacuated_data_centres"


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    """One instance, and a worker in each of two data centres."""

    async def asyncSetUp(self):
        """Start everything, with the bound in the settings."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), datetime.timedelta(seconds=0.2)
        )
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        for data_centre in ("east", "west"):
            await self.platform.listen_for_worker(
                f"w-{data_centre}", "r1", data_centre
            )
        self.platform.configure(
            {
                "Version": 1,
                "Routes": [platform.make_route("q", "/scan/")],
                "Tenants": [{"Name": "t", "ApiKeys": ["k1"]}],
            }
        )
        make_settings = cluster.make_settings

        def with_bound(*arguments):
            settings = make_settings(*arguments)
            return dataclasses.replace(settings, evacuation_bound=BOUND)

        self.enterContext(
            mock.patch.object(cluster, "make_settings", with_bound)
        )
        self.cluster = cluster.Cluster(self.platform)
        await self.cluster.start("a")
        self.addAsyncCleanup(self.cluster.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        await self.wait_for(lambda: self.cluster.is_ready(self.session, "a"))

    async def wait_for(self, condition, limit_s: float = 10) -> None:
        """Wait until an asynchronous condition holds."""
        until = asyncio.get_running_loop().time() + limit_s
        while not await condition():
            self.assertLess(asyncio.get_running_loop().time(), until)
            await asyncio.sleep(0.02)

    async def count_evacuated(self) -> float:
        """Return the metric's value."""
        address = self.cluster.settings_by_name["a"].metrics_address
        async with self.session.get(f"http://{address}/metrics") as response:
            lines = (await response.text()).splitlines()
        (line,) = [line for line in lines if line.startswith(METRIC)]
        return float(line.split()[1])

    async def has_count(self, count: int) -> bool:
        """Return whether so many data centres are evacuated."""
        return await self.count_evacuated() == count

    async def run_job(self, job_id: str) -> set[str]:
        """Run a job that needs a whole worker; return where it ran."""
        before = len(self.platform.fleet.received_starts)
        body = {"Phases": [{"Count": 1, "Cpu": 500, "MemMb": 10, "Gpu": 8}]}
        url = self.cluster.url("a", f"/scan/{job_id}")

        async def is_accepted() -> bool:
            call = self.session.post(url, json=body, headers=KEY)
            async with call as response:
                return response.status == 200

        async def is_completed() -> bool:
            async with self.session.get(url, headers=KEY) as response:
                return (await response.json()).get("State") == "completed"

        await self.wait_for(is_accepted)
        await self.wait_for(is_completed)
        starts = self.platform.fleet.received_starts[before:]
        return {start.data_centre for start in starts}

    async def test_evacuation_begins_and_ends(self):
        """The operator's key must be read from the stream as it is stored."""
        self.platform.evacuate("east")
        await self.wait_for(lambda: self.has_count(1), 3)
        for number in range(3):
            self.assertEqual(
                await self.run_job(f"{number + 1:016x}"), {"west"}
            )
        self.platform.end_evacuation("east")
        await self.wait_for(lambda: self.has_count(0), 3)
        self.platform.evacuate("west")
        await self.wait_for(lambda: self.has_count(1), 3)
        await asyncio.sleep(0.5)  # both records have been read by then
        self.assertEqual(await self.run_job(f"{9:016x}"), {"east"})
