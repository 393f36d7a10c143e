"""Workers are cut off beyond their leases while their tasks end."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import clients
from soak import faults
from soak import returns

LEASE_MS = 300
GIVEN_UP_AFTER_S = 0.5
RETURN_AFTER_S = 0.2


class ReturnsTest(unittest.IsolatedAsyncioTestCase):
    """Faults of four workers in two racks."""

    async def asyncSetUp(self):
        """Register the workers; look at them all the while."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), datetime.timedelta(seconds=1)
        )
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        self.addresses = [
            await self.platform.listen_for_worker(
                f"w{number}", f"r{number // 2}"
            )
            for number in range(4)
        ]
        self.present = self.platform.fleet.workers_by_id
        callers = mock.Mock()
        callers.submit = self.submit
        self.faults = faults.Faults(
            self.platform, [], callers, random.Random(1)
        )
        self.faults.holder = mock.Mock()
        self.faults._disrupt_process = self.disrupt
        self.cut_at_disruption: set[str] | None = None
        self.back: dict[str, list[fleet.End]] = {}
        self.enterContext(
            mock.patch.multiple(
                returns,
                TASK_TIMES_MS=(100, 200),
                GIVEN_UP_AFTER_S=GIVEN_UP_AFTER_S,
                RETURN_AFTER_S=(0.0, RETURN_AFTER_S),
                RETURN_AFTER_TAKEOVER_S=(0.1, RETURN_AFTER_S),
                HELD_S=(0.1, 0.2),
                SLOW_S=(0.9, 1.0),
            )
        )

    async def submit(self, job_id: str, body: dict) -> None:
        """Let the workers of the rack run the job's tasks."""
        duration = self.platform.fleet.durations_by_job[job_id]
        (phase,) = body["Phases"]
        step = models.Step(phase["Count"], models.Demand(10, 10), duration)
        self.platform.fleet.steps_by_job[job_id] = (step,)
        rack = [
            worker
            for worker in self.present.values()
            if worker.listing.rack == phase["Requirements"]
        ]
        for index in range(phase["Count"]):
            worker = rack[index % len(rack)]
            worker.lease_deadline_ms = worker.clock_ms() + LEASE_MS
            worker.runs_by_task[f"{job_id}.0.0.{index}"] = (
                standin_fleet.FakeRun(
                    1, self.platform.fleet.clock.monotonic(), step.demand, 0
                )
            )

    def cut_off(self) -> set[str]:
        """Return the workers that are cut off."""
        return {name for name, worker in self.present.items() if worker.is_cut}

    async def disrupt(self, *_) -> None:
        """Note which workers are cut off when the holder is disrupted."""
        self.cut_at_disruption = self.cut_off()

    async def inject(self, kind: str) -> set[str]:
        """Inject a fault until its end; return the workers cut off."""
        cut: set[str] = set()
        injecting = asyncio.ensure_future(self.faults.inject(kind))
        while not injecting.done():
            self.platform.fleet.advance()
            cut |= self.cut_off()
            for name in cut - self.cut_off():
                ends = [e.end for e in self.present[name].finished]
                self.back.setdefault(name, ends)
            await asyncio.sleep(0.01)
        await injecting
        self.assertFalse(self.cut_off())
        self.assertFalse([w for w in self.present.values() if w.refuse_starts])
        self.assertEqual(self.platform.links_by_worker, {})
        self.assertEqual(self.faults.counts["returned_with_ends"], 1)
        return cut

    async def test_worker_is_back_with_ends_and_an_expired_lease(self):
        """No process is disrupted."""
        (worker_id,) = await self.inject("worker_returns")
        self.assertEqual(set(self.back[worker_id]), {fleet.End.DONE})
        worker = self.present[worker_id]
        self.assertGreater(worker.clock_ms(), worker.lease_deadline_ms)
        self.assertIsNone(self.cut_at_disruption)

    async def test_rack_is_back_at_once(self):
        """Each of its workers has ends."""
        cut = await self.inject("rack_returns")
        self.assertIn(cut, ({"w0", "w1"}, {"w2", "w3"}))
        for ends in self.back.values():
            self.assertEqual(set(ends), {fleet.End.DONE})

    async def test_holder_is_disrupted_before_the_return(self):
        """After the leases have expired."""
        for kind in (
            "worker_returns_at_takeover",
            "rack_returns_at_takeover",
            "rack_returns_slowly_at_takeover",
        ):
            self.cut_at_disruption = None
            self.faults.counts.clear()
            cut = await self.inject(kind)
            self.assertEqual(self.cut_at_disruption, cut, kind)

    async def test_answers_take_seconds_over_a_slow_link(self):
        """They are as fast as before when the fault has ended."""
        injecting = asyncio.ensure_future(self.inject("rack_returns_slowly"))
        await asyncio.sleep(GIVEN_UP_AFTER_S + RETURN_AFTER_S + 0.1)
        worker_id = min(self.platform.links_by_worker)
        self.assertGreater(await self.poll(worker_id), 0.5)
        await injecting
        self.assertLess(await self.poll(worker_id), 0.5)

    async def poll(self, worker_id: str) -> float:
        """Return how long an inventory takes, in seconds."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        url = f"http://{self.addresses[int(worker_id[1:])]}/hold"
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                url,
                json={"FencingToken": 1, "LastSeen": 0},
                headers={"X-Expected-Instance": worker_id},
            ) as response,
        ):
            await response.read()
        return loop.time() - began

    def test_submission_is_bound_to_its_rack(self):
        """Only its workers may run the tasks."""
        (phase,) = clients.make_bound(3, "r1")["Phases"]
        self.assertEqual((phase["Count"], phase["Requirements"]), (3, "r1"))
