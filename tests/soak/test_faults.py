"""The soak's faults happen, end, and are seen as disturbances."""

import asyncio
import datetime
import random
import unittest
from unittest import mock

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import faults
from soak import worker_faults

WORKERS = 4


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Faults of four workers in two racks."""

    async def asyncSetUp(self):
        """Register the workers."""
        duration = datetime.timedelta(seconds=1)
        self.platform = platform.PlatformServer(clocks.SystemClock(), duration)
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        for number in range(WORKERS):
            await self.platform.listen_for_worker(
                f"w{number}", f"r{number // 2}"
            )
        self.faults = faults.Faults(
            self.platform, [], mock.Mock(), random.Random(1)
        )
        self.enterContext(
            mock.patch.object(worker_faults, "ENTRY_LIFE_S", 0.01)
        )
        self.enterContext(mock.patch.object(worker_faults, "MAX_FAULT_S", 0.3))

    async def test_worker_that_died_is_replaced_in_its_rack(self):
        """Its entry is removed first."""
        for kind in ("worker_dies", "worker_refuses"):
            before = set(self.platform.fleet.workers_by_id)
            await self.faults.inject(kind)
            (lost,) = before - set(self.platform.fleet.workers_by_id)
            await self.faults.finish()
            removal, listing = self.platform.store.records_by_stream[
                store.Stream.SERVERS
            ][-2:]
            self.assertEqual((removal.key, removal.value), (lost, None))
            self.assertIn(listing.key, self.platform.fleet.workers_by_id)
            racks = [
                worker.listing.rack
                for worker in self.platform.fleet.workers_by_id.values()
            ]
            self.assertEqual(sorted(racks), ["r0", "r0", "r1", "r1"])
        self.assertEqual(self.platform.fleet.injected["died"], 2)

    def run_on_submission(self, worker_id: str, count: int) -> None:
        """Let a worker run so many tasks of the next job at once."""
        worker = self.platform.fleet.workers_by_id[worker_id]
        worker.lease_deadline_ms = 10**9
        step = models.Step(
            count, models.Demand(10, 10), datetime.timedelta(seconds=1)
        )

        async def submit(job_id: str, body: dict) -> None:
            self.platform.fleet.steps_by_job[job_id] = (step,)
            for index in range(count):
                worker.runs_by_task[f"{job_id}.0.0.{index}"] = (
                    standin_fleet.FakeRun(1, worker.born_at, step.demand, 0)
                )

        self.faults._workers._callers.submit = submit

    async def test_crowded_worker_is_cut_while_its_tasks_end(self):
        """More of them end than one answer lists."""
        self.enterContext(mock.patch.object(worker_faults, "CROWD_CUT_S", 0.3))
        self.run_on_submission("w0", worker_faults.CROWD_OF_WORKER)
        worker = self.platform.fleet.workers_by_id["w0"]
        cut = asyncio.ensure_future(self.faults.inject("crowded_worker_cut"))
        await asyncio.sleep(0.1)
        self.platform.fleet.advance()
        self.assertTrue(worker.is_cut)
        self.assertGreater(len(worker.finished), standin_fleet.ENDS_PER_ANSWER)
        await cut
        self.assertFalse(worker.is_cut)
        self.assertEqual(self.faults.counts["ends_beyond_a_list"], 1)

    async def test_worker_with_a_task_of_the_wide_step_dies(self):
        """Another one follows in its rack."""
        self.run_on_submission("w1", 1)
        await self.faults.inject("worker_of_wide_step_dies")
        workers = self.platform.fleet.workers_by_id
        self.assertEqual(set(workers), {"w0", "w2", "w3"})
        await self.faults.finish()
        self.assertEqual(len(workers), WORKERS)

    async def test_half_of_the_workers_stay(self):
        """A further one dies once a lost one was replaced."""
        for _ in range(WORKERS):
            await self.faults.inject("worker_dies")
            workers = self.platform.fleet.workers_by_id
            self.assertGreaterEqual(len(workers), WORKERS // 2)

    async def test_replacements_of_workers_lost_together_have_own_ids(self):
        """A second worker under one id would take the first one's ends."""
        for letter in "ab":
            await self.platform.listen_for_worker(f"w2-{letter}", "r1")
        lost = iter(("w2-a", "w2-b"))
        with mock.patch.object(
            self.faults._rng, "choice", lambda _: next(lost)
        ):
            for _ in range(2):
                await self.faults.inject("worker_dies")
        await self.faults.finish()
        workers = self.platform.fleet.workers_by_id
        self.assertEqual(len(workers), WORKERS + 2)

    async def test_kinds_that_were_not_injected_are_missing(self):
        """A trial of a minute has to inject all."""
        self.assertEqual(
            self.faults.missing_kinds(), sorted(self.faults.kinds)
        )
        await self.faults.inject("worker_reborn")
        self.assertEqual(
            set(self.faults.missing_kinds()),
            self.faults.kinds.keys() - {"worker_reborn"},
        )

    async def test_short_fault_disturbs_once(self):
        """It begins and ends between two looks."""
        self.assertFalse(self.faults.take_disturbed())
        await self.faults.inject("worker_reborn")
        self.assertTrue(self.faults.take_disturbed())
        self.assertFalse(self.faults.take_disturbed())

    async def test_lasting_fault_disturbs_until_its_end(self):
        """It is seen once more after its end."""
        injecting = asyncio.ensure_future(self.faults.inject("store_down"))
        await asyncio.sleep(0)
        for _ in range(2):
            self.assertTrue(self.faults.take_disturbed())
        await injecting
        self.assertTrue(self.faults.take_disturbed())
        self.assertFalse(self.faults.take_disturbed())
