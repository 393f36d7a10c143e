"""Test the path of a call over HTTP: submit, run, query, cancel, refuse."""

import asyncio
import contextlib
import datetime
import unittest

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.standin import cluster
from cardamomcroft.standin import platform
from cardamomcroft.standin import store as standin_store

NAMES = ("a", "b")
KEY = {"Api-Key": "k1", "Host": platform.HOST_NAME}
JOB = "00000000000000aa"


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


def configuration(version: int, keys: list[str]) -> dict:
    """Return a configuration with one queue and one account."""
    account = {"Name": "t", "ApiKeys": keys, "Guaranteed": {"Gpu": 8}}
    routes = [platform.make_route("q", "/scan/")]
    return {"Version": version, "Routes": routes, "Tenants": [account]}


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Two instances, two workers and a store on loopback."""

    async def asyncSetUp(self):
        """Start everything and wait until clients are served."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), seconds(0.3)
        )
        await self.platform.listen()
        self.platform.configure(configuration(1, ["k1"]))
        for worker_id in ("w1", "w2"):
            self.platform.add_worker(worker_id)
        self.cluster = cluster.Cluster(self.platform)
        for name in NAMES:
            await self.cluster.start(name)
        self.session = aiohttp.ClientSession()
        for name in NAMES:
            await self.wait_for(lambda n=name: self.is_ready(n))

    async def asyncTearDown(self):
        """Stop everything."""
        await self.session.close()
        await self.cluster.close()
        await self.platform.close()

    async def wait_for(self, condition, limit: float = 10) -> None:
        """Wait until an asynchronous condition holds."""
        until = asyncio.get_running_loop().time() + limit
        while not await condition():
            self.assertLess(asyncio.get_running_loop().time(), until)
            await asyncio.sleep(0.02)

    async def is_ready(self, name: str) -> bool:
        """Return whether the readiness probe succeeds."""
        return await self.cluster.is_ready(self.session, name)

    async def call(
        self, method: str, path: str, body=None, headers=KEY, instance=0
    ) -> tuple[int, dict]:
        """Call an instance as a client does."""
        url = self.cluster.url(NAMES[instance], path)
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as response:
            return response.status, await response.json()

    async def call_until_served(
        self, method: str, path: str, body=None
    ) -> dict:
        """Call the first instance again while it answers 503, as clients do.

        If the machine stalls for a second, a peer seems unreachable.
        """
        answers = []

        async def is_served() -> bool:
            answers.append(await self.call(method, path, body))
            return answers[-1][0] != 503

        await self.wait_for(is_served)
        self.assertEqual(answers[-1][0], 200)
        return answers[-1][1]

    async def is_completed(self, job_id: str, instance: int) -> bool:
        """Return whether an instance reports a job as completed."""
        status, data = await self.call(
            "GET", f"/scan/{job_id}", instance=instance
        )
        self.assertEqual(status, 200)
        return data["State"] == "completed"

    async def test_job_runs_and_every_instance_shows_it(self):
        """A job accepted at one instance completes and the other shows it."""
        body = {
            "Spec": "text",
            "Phases": [
                {"Count": 3, "Cpu": 500, "MemMb": 100, "Gpu": 1, "Gang": True},
                {"Count": 2, "Cpu": 500, "MemMb": 100, "After": [0]},
            ],
        }
        for instance in (0, 1):  # the second is a repeat
            status, _ = await self.call(
                "POST", f"/scan/{JOB}", body, instance=instance
            )
            self.assertEqual(status, 200)
        await self.wait_for(lambda: self.is_completed(JOB, 1))
        done = [i.task for i in self.platform.fleet.intervals]
        self.assertEqual(len(done), 5)
        self.assertEqual(len(set(done)), 5)
        _, data = await self.call("GET", "/scan/")
        self.assertEqual(data, {"Pending": 0})

    async def test_refusals_are_truthful(self):
        """Unknown keys, queues and jobs and invalid bodies are refused."""
        body = {"Phases": [{"Count": 1}]}
        path = f"/scan/{JOB}"
        wrong_key = KEY | {"Api-Key": "no"}
        status, _ = await self.call("POST", path, body, wrong_key)
        self.assertEqual(status, 401)
        status, _ = await self.call("POST", f"/other/{JOB}", body)
        self.assertEqual(status, 404)
        status, _ = await self.call("GET", path)
        self.assertEqual(status, 410)
        status, _ = await self.call("DELETE", path)
        self.assertEqual(status, 410)
        status, _ = await self.call("POST", path, {"Phases": []})
        self.assertEqual(status, 400)
        self.platform.store.faults.is_down = True
        status, _ = await self.call("POST", path, body)
        self.assertEqual(status, 503)

    async def test_submission_too_large_to_store_is_refused_for_good(self):
        """The client is told the limit instead of to come again."""
        phases = [{"Count": 1, "Cpu": 500, "MemMb": 100}]
        path = f"/scan/{JOB}"
        for size in (standin_store.MAX_RECORD_BYTES, 1_500_000):
            body = {"Spec": "x" * size, "Phases": phases}
            status, data = await self.call("POST", path, body)
            self.assertEqual(status, 413)
            self.assertRegex(data["error"], r"over the limit of \d+ bytes")
        status, _ = await self.call("GET", path)
        self.assertEqual(status, 410)
        self.assertEqual(self.platform.store.injected, {})
        body = {"Spec": "x" * 250_000, "Phases": phases}
        status, _ = await self.call("POST", path, body)
        self.assertEqual(status, 200)

    async def test_revoked_key_is_refused_everywhere(self):
        """Both instances apply a new configuration within its bound."""
        self.platform.configure(configuration(2, ["k2"]))

        async def is_refused() -> bool:
            statuses = [
                (await self.call("GET", "/scan/", instance=n))[0]
                for n in (0, 1)
            ]
            return statuses == [401, 401]

        await self.wait_for(is_refused, 2)

    async def test_revoked_key_is_refused_after_a_restart(self):
        """A new process never serves by a configuration of before."""
        self.platform.configure(configuration(2, ["k2"]))
        name = NAMES[0]
        self.cluster.tasks_by_name[name].cancel()
        await asyncio.gather(
            self.cluster.tasks_by_name[name], return_exceptions=True
        )
        await self.cluster.start(name)
        statuses = set()

        async def is_ready() -> bool:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                statuses.add((await self.call("GET", "/scan/"))[0])
            return await self.is_ready(name)

        await self.wait_for(is_ready)
        statuses.add((await self.call("GET", "/scan/"))[0])
        self.assertIn(401, statuses)
        self.assertLessEqual(statuses, {401, 503})

    async def test_cancelled_job_is_shown_as_such(self):
        """A cancellation is acknowledged and its tasks stop."""
        self.platform.fleet.duration = seconds(30)
        body = {"Phases": [{"Count": 2, "Cpu": 500, "MemMb": 100}]}
        await self.call("POST", f"/scan/{JOB}", body)

        async def is_running() -> bool:
            return len(self.platform.fleet.running()) == 2

        await self.wait_for(is_running)
        status, _ = await self.call("DELETE", f"/scan/{JOB}", instance=1)
        self.assertEqual(status, 200)
        _, data = await self.call("GET", f"/scan/{JOB}", instance=1)
        self.assertEqual(data["State"], "cancelled")

        async def is_gone() -> bool:
            return not self.platform.fleet.running()

        await self.wait_for(is_gone, 3)

    async def is_known(self, instance: int) -> bool:
        """Return whether an instance knows its peer."""
        process = self.cluster.processes_by_name[NAMES[instance]]
        return len(process.known_peers()) == len(NAMES)

    async def test_instance_without_the_store_forwards(self):
        """Its clients submit, query and cancel jobs through its peer."""
        await self.wait_for(lambda: self.is_known(0))
        self.platform.store.faults.refused_clients.add("a")
        body = {"Phases": [{"Count": 1, "Cpu": 500, "MemMb": 100}]}
        for number in range(4):
            job_id = f"{number:016x}"
            await self.call_until_served("POST", f"/scan/{job_id}", body)
            state = ""
            while state != "completed":
                data = await self.call_until_served("GET", f"/scan/{job_id}")
                state = data["State"]
        await self.call_until_served("DELETE", f"/scan/{job_id}")
        self.platform.configure(configuration(2, ["k2"]))

        async def is_refused() -> bool:
            return (await self.call("GET", "/scan/"))[0] == 401

        await self.wait_for(is_refused, 2)
        self.assertGreater(self.platform.store.injected["refused"], 0)

    async def test_outage_for_all_is_answered_at_once(self):
        """Without any access to the store, calls fail fast and run nothing."""
        await self.wait_for(lambda: self.is_known(0))
        self.platform.store.faults.is_down = True
        body = {"Phases": [{"Count": 1, "Cpu": 500, "MemMb": 100}]}
        began = asyncio.get_running_loop().time()
        for number in range(3):
            status, _ = await self.call("POST", f"/scan/{number:016x}", body)
            self.assertEqual(status, 503)
        self.assertLess(asyncio.get_running_loop().time() - began, 1)
        self.platform.store.faults.is_down = False
        await self.wait_for(lambda: self.is_ready("a"))
        await asyncio.sleep(1)
        self.assertEqual(self.platform.fleet.intervals, [])

    async def test_flood_is_told_when_to_return(self):
        """Jobs that would begin too late get a Retry-After and never run."""
        self.platform.fleet.duration = seconds(30)
        phase = {"Count": 200, "Cpu": 500, "MemMb": 100, "Gpu": 8}
        body = {"Phases": [phase | {"EstimateMs": 1000}]}
        status, _ = await self.call("POST", f"/scan/{JOB}", body)
        self.assertEqual(status, 200)  # the workers have free capacity
        late = "00000000000000bb"

        async def is_refused() -> bool:
            # The job accepted first stays accepted.
            self.assertEqual(
                (await self.call("POST", f"/scan/{JOB}", body))[0], 200
            )
            url = self.cluster.url("b", f"/scan/{late}")
            async with self.session.post(
                url, json=body, headers=KEY
            ) as response:
                self.after_s = int(response.headers.get("Retry-After", 0))
                return response.status == 503

        status, _ = await self.call("GET", f"/scan/{late}")
        self.assertEqual(status, 410)
        await asyncio.sleep(2)
        self.assertTrue(await is_refused())
        self.assertGreater(self.after_s, 60 // 2)
        status, _ = await self.call("GET", f"/scan/{late}")
        self.assertEqual(status, 410)

    async def test_stale_copy_denies_no_job(self):
        """An accepted job is never reported unknown during an outage."""
        body = {"Phases": [{"Count": 1, "Cpu": 500, "MemMb": 100}]}
        self.platform.fleet.duration = seconds(30)
        for number in range(5):
            job_id = f"{number:016x}"
            status, _ = await self.call(
                "POST", f"/scan/{job_id}", body, instance=1
            )
            self.assertEqual(status, 200)
            self.platform.store.faults.is_down = True
            status, _ = await self.call("GET", f"/scan/{job_id}")
            self.assertEqual(status, 503)
            self.platform.store.faults.is_down = False
            await self.wait_for(lambda: self.is_ready("a"))

    async def test_metrics_are_served(self):
        """The metrics address returns counters and gauges as text."""
        address = self.cluster.settings_by_name["a"].metrics_address
        url = f"http://{address}/metrics"
        async with self.session.get(url) as response:
            text = await response.text()
        self.assertIn("cardamomcroft_is_scheduler", text)
        self.assertIn('event="configuration_in_force"', text)

    async def test_job_that_stands_is_in_the_metrics(self):
        """The scheduler's gauge names the reason why no task of it runs."""
        body = {"Phases": [{"Count": 1, "Cpu": 900_000, "MemMb": 100}]}
        status, _ = await self.call("POST", f"/scan/{JOB}", body)
        self.assertEqual(status, 200)
        wanted = 'cardamomcroft_standing_jobs{reason="no_worker"} 1.0'

        async def is_shown() -> bool:
            texts = []
            for settings in self.cluster.settings_by_name.values():
                url = f"http://{settings.metrics_address}/metrics"
                async with self.session.get(url) as response:
                    texts.append(await response.text())
            return sum(wanted in text for text in texts) == 1

        await self.wait_for(is_shown)

    async def test_planned_stop_answers_what_it_has_read(self):
        """A leaving instance is not ready but still answers calls."""
        self.cluster.processes_by_name["a"].leave()

        async def is_out() -> bool:
            return not await self.is_ready("a")

        await self.wait_for(is_out, 1)
        status, answer = await self.call("GET", "/scan/")
        self.assertEqual(status, 200, answer)
        await asyncio.wait_for(self.cluster.tasks_by_name["a"], 6)
