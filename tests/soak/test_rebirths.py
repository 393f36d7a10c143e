"""Workers restart, start long tasks and are cut off beside a takeover."""

import asyncio
import datetime
import json
import random
import unittest
from unittest import mock

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import clients
from soak import faults
from soak import rebirths


class RebirthsTest(unittest.IsolatedAsyncioTestCase):
    """Faults of four workers in two racks."""

    async def asyncSetUp(self):
        """Register the workers; note what the faults do at each stage."""
        self.platform = platform.PlatformServer(
            clocks.SystemClock(), datetime.timedelta(seconds=1)
        )
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        for number in range(4):
            await self.platform.listen_for_worker(
                f"w{number}", f"r{number // 2}"
            )
        self.present = self.platform.fleet.workers_by_id
        callers = mock.Mock()
        callers.submit = self.submit
        self.faults = faults.Faults(
            self.platform, [], callers, random.Random(1)
        )
        self.faults.holder = mock.Mock()
        self.faults._disrupt_process = self.disrupt
        self.faults._workers._note = self.note
        self.durations: dict[str, datetime.timedelta] = {}
        self.at_disruption: dict[str, int] = {}
        self.refusing: list[str] = []
        self.listed_at_cut: list[tuple[str, int]] = []
        self.at_cut: dict[str, int] = {}
        self.enterContext(
            mock.patch.multiple(
                rebirths,
                AGAIN_AFTER_S=(0.05, 0.1),
                CUT_AFTER_S=(0.6, 0.7),
                CUT_S=0.3,
            )
        )

    async def submit(self, job_id: str, body: dict) -> None:
        """Let the first worker of the preferred rack run the job's tasks."""
        duration = self.platform.fleet.durations_by_job[job_id]
        self.durations[job_id] = duration
        (phase,) = body["Phases"]
        step = models.Step(phase["Count"], models.Demand(10, 10), duration)
        self.platform.fleet.steps_by_job[job_id] = (step,)
        worker = next(
            worker
            for worker in self.present.values()
            if worker.listing.rack == phase["Affinity"]
        )
        worker.lease_deadline_ms = 10**9
        for index in range(phase["Count"]):
            worker.runs_by_task[f"{job_id}.0.0.{index}"] = (
                standin_fleet.FakeRun(
                    1, self.platform.fleet.clock.monotonic(), step.demand, 0
                )
            )

    async def disrupt(self, *_) -> None:
        """Note the incarnations when the holder is disrupted."""
        self.assertFalse(self.cut_off())
        self.at_disruption = self.incarnations(self.present)
        self.refusing = [
            name for name, w in self.present.items() if w.refuse_starts
        ]

    def note(self, line: str) -> None:
        """Note the incarnations when workers are cut off."""
        if line.endswith("cut off"):
            self.assertTrue(self.at_disruption)
            self.listed_at_cut = self.listed()
            asyncio.get_running_loop().call_later(
                0.1, lambda: self.at_cut.update(self.cut_off())
            )

    def incarnations(self, names) -> dict[str, int]:
        """Return the numbers of workers' incarnations."""
        return {name: self.present[name].listing.born_ms for name in names}

    def cut_off(self) -> dict[str, int]:
        """Return the workers that are cut off."""
        return self.incarnations(
            name for name, worker in self.present.items() if worker.is_cut
        )

    def listed(self) -> list[tuple[str, int]]:
        """Return the incarnations whose entries were written."""
        records = self.platform.store.records_by_stream[store.Stream.SERVERS]
        return [(r.key, json.loads(r.value)["born"]) for r in records]

    async def inject(self, kind: str) -> str:
        """Inject a fault until its end; return its first worker."""
        await self.faults.inject(kind)
        self.assertFalse(self.cut_off())
        self.assertFalse([w for w in self.present.values() if w.refuse_starts])
        return min(self.at_cut)

    async def test_worker_restarts_and_is_cut_off_beside_a_takeover(self):
        """The holder is disrupted after the restart and before the cut."""
        worker_id = await self.inject("worker_reborn_at_takeover")
        self.assertEqual(self.at_disruption.pop(worker_id), 2)
        self.assertEqual(list(self.at_disruption.values()), [1, 1, 1])
        self.assertEqual(self.at_cut, {worker_id: 2})
        self.assertIn((worker_id, 2), self.listed())
        (neighbour,) = self.refusing
        self.assertEqual(
            self.present[neighbour].listing.rack,
            self.present[worker_id].listing.rack,
        )

    async def test_rack_restarts_and_is_cut_off_beside_a_takeover(self):
        """Its workers are cut off together."""
        first = await self.inject("rack_reborn_at_takeover")
        self.assertIn(self.at_cut, ({"w0": 2, "w1": 2}, {"w2": 2, "w3": 2}))
        self.assertEqual(sorted(self.at_disruption.values()), [1, 1, 2, 2])
        self.assertIn((first, 2), self.listed())
        self.assertEqual(self.refusing, [])

    async def test_worker_restarts_twice_before_it_is_cut_off(self):
        """Both restarts are within one lease."""
        worker_id = await self.inject("worker_reborn_twice")
        self.assertEqual(self.at_cut, {worker_id: 3})
        self.assertEqual(self.platform.fleet.injected["reborn"], 2)

    async def test_worker_is_cut_off_before_it_is_listed(self):
        """Its entry is written all the same."""
        worker_id = await self.inject("worker_reborn_unlisted")
        self.assertEqual(self.at_cut, {worker_id: 2})
        self.assertIn((worker_id, 1), self.listed_at_cut)
        self.assertNotIn((worker_id, 2), self.listed_at_cut)
        self.assertIn((worker_id, 2), self.listed())

    async def test_long_tasks_start_until_the_cut(self):
        """They are shortened afterwards, so that the trial ends soon."""
        await self.inject("worker_reborn_at_takeover")
        self.assertEqual(self.faults.counts["reborn_cut_at_work"], 1)
        self.assertGreater(len(self.durations), 3)
        self.assertGreaterEqual(
            min(self.durations.values()), datetime.timedelta(seconds=15)
        )
        durations = self.platform.fleet.durations_by_job
        self.assertEqual(
            {durations[job_id] for job_id in self.durations},
            {datetime.timedelta(milliseconds=clients.TASK_TIME_MS)},
        )


class HolderTest(unittest.IsolatedAsyncioTestCase):
    """The fault waits for its own takeover and keeps others away."""

    async def asyncSetUp(self):
        """Create faults of two instances."""
        self.instances = [mock.Mock(), mock.Mock()]
        for number, instance in enumerate(self.instances):
            instance.name = f"entry-{number}"
        target = platform.PlatformServer(
            clocks.SystemClock(), datetime.timedelta(seconds=1)
        )
        self.faults = faults.Faults(
            target, self.instances, mock.Mock(), random.Random(1)
        )
        self.disrupted: list = []

    async def note(self, instance) -> None:
        """Note an instance that is disrupted."""
        self.disrupted.append(instance)

    async def test_holder_is_killed_frozen_or_stopped(self):
        """The seed draws which."""
        drawn = set()

        async def note(_, disrupt) -> None:
            drawn.add(disrupt)

        self.faults._disrupt_process = note
        for _ in range(20):
            await self.faults._disrupt_holder()
        self.assertEqual(
            drawn,
            {
                self.faults._kill_one,
                self.faults._freeze_long,
                self.faults._stop_one,
            },
        )

    async def test_no_other_instance_is_disrupted_before_the_holder(self):
        """Afterwards faults hit them again."""
        first, second = self.instances
        await self.faults._keep_processes()
        await self.faults._disrupt_process(second, self.note)
        self.assertEqual(self.disrupted, [])
        self.faults.holder = lambda: first
        for name in ("_kill_one", "_freeze_long", "_stop_one"):
            disrupt = mock.AsyncMock(side_effect=self.note)
            disrupt.__name__ = name
            setattr(self.faults, name, disrupt)
        await self.faults._disrupt_holder()
        await self.faults._disrupt_process(second, self.note)
        self.assertEqual(self.disrupted, [first, second])

    async def test_fault_waits_for_a_disruption_under_way(self):
        """It would be a takeover just before."""
        self.faults._disrupted.add("entry-1")
        keeping = asyncio.ensure_future(self.faults._keep_processes())
        await asyncio.sleep(0.15)
        self.assertFalse(keeping.done())
        self.faults._disrupted.clear()
        await keeping
        self.assertEqual(self.faults._disrupted, {"entry-0", "entry-1"})

    async def test_instances_are_released_when_the_fault_ends_early(self):
        """No worker had a long task."""

        async def end_early(kind, prepare, disrupt_holder) -> None:
            await prepare()

        self.faults._workers.restart_and_cut = end_early
        await self.faults.inject("worker_reborn_twice")
        self.assertEqual(self.faults._disrupted, set())
