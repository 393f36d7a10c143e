"""Steps of thousands of tasks are served like others."""

import asyncio
import dataclasses
import tracemalloc
import unittest
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import node as nodes
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import stragglers
from tests.scheduling import harness
from tests.scheduling import test_planning


class RunNumbersTest(harness.SchedulingTestCase):
    """A step has more tasks than a term has run numbers, few here."""

    WIDTH = 24

    async def test_successor_starts_tasks_under_higher_numbers(self):
        """A worker refuses a number that is not above the last one."""
        patch = mock.patch.object(nodes, "RUN_NUMBERS_PER_TERM", 10)
        patch.start()
        self.addCleanup(patch.stop)
        self.add_workers(1, accelerators=self.WIDTH)
        self.start_node("a")
        job_id = self.submit(harness.make_step(self.WIDTH))
        await self.wait_until(lambda: len(self.fleet.running()) == self.WIDTH)
        worker = self.fleet.workers_by_id["w1"]
        self.kill("a")
        for task in list(worker.runs_by_task)[-4:]:
            worker.end(task, fleet.End.FAILED)
        start = self.fleet.start
        outcomes = set()

        async def record_outcome(address, order, timeout):
            result = await start(address, order, timeout)
            outcomes.add(result.status)
            return result

        with mock.patch.object(self.fleet, "start", record_outcome):
            self.start_node("b")
            await self.wait_until(lambda: self.state(job_id) == "completed")
        self.assertEqual(outcomes, {fleet.OrderStatus.DONE})


class WideStepTest(unittest.TestCase):
    """A step of 20,000 tasks."""

    WIDTH = 20_000
    MAX_END_BYTES = 100_000  # twenty times the record of the job

    def test_round_starts_some_of_its_tasks(self):
        """A round that planned thousands of starts stopped the loop."""
        small = dataclasses.replace(
            harness.make_step(self.WIDTH), demand=models.Demand(1)
        )
        job = test_planning.make_job(small)
        worker = test_planning.make_worker("w1")
        inputs = test_planning.make_inputs([job], [worker])
        plan = planning.Planner(inputs).plan()
        indexes = [start.index for start in plan.starts]
        self.assertEqual(indexes, list(range(planning.MAX_STARTS_OF_STEP)))
        self.assertEqual(
            (plan.stops, inputs.holds.of(job.steps_by_key[0, 0])), ([], [])
        )

    def test_record_of_an_end_copies_no_other_ends(self):
        """Each end took memory and time for each task done (review)."""
        job = test_planning.make_job(harness.make_step(self.WIDTH))
        job.is_start_recorded = True
        step = job.steps_by_key[0, 0]
        for index in range(self.WIDTH - 1):
            step.waiting.discard(index)
            step.done.add(index)
        tracemalloc.start()
        try:
            value = codec.encode_progress(job.progress(0.0))
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, self.MAX_END_BYTES)
        found = codec.decode_progress(value).steps_by_key[0, 0].done
        self.assertEqual(found, set(range(self.WIDTH - 1)))


class CrowdTest(harness.SchedulingTestCase):
    """A job of thousands of small tasks; each order takes processor time."""

    duration = harness.seconds(600)
    ORDER_TIME = harness.seconds(0.005)

    async def test_other_job_begins_before_the_crowd_is_at_work(self):
        """Its starts do not queue behind thousands of others (soak)."""
        start = self.fleet.start
        processor = asyncio.Lock()

        async def start_slowly(address, order, timeout):
            async with processor:
                await self.clock.sleep(self.ORDER_TIME)
            return await start(address, order, timeout)

        patch = mock.patch.object(self.fleet, "start", start_slowly)
        patch.start()
        self.addCleanup(patch.stop)
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)
        tiny = dataclasses.replace(
            harness.make_step(2000), demand=models.Demand(10)
        )
        self.submit(tiny)
        job_id = self.submit(harness.make_step(2))  # in the same round
        await self.wait_until(
            lambda: any(t.startswith(job_id) for t, _ in self.fleet.running()),
            1.5,
        )
        self.assertLess(len(self.fleet.running()), 2000)


class JudgedRunsTest(harness.SchedulingTestCase):
    """Hundreds of runs are at work."""

    duration = harness.seconds(60)

    async def test_run_is_judged_once_for_each_report(self):
        """Each round judged all runs, whatever was new of them."""
        self.add_workers(2, accelerators=100)
        self.start_node("a")
        self.submit(harness.make_step(100))
        await self.wait_until(lambda: len(self.fleet.running()) == 100)
        reports = judged = 0
        renew = self.fleet.renew_lease

        async def count_reports(*arguments):
            nonlocal reports
            result = await renew(*arguments)
            reports += len(result.running)
            return result

        def count_judged(*arguments):
            nonlocal judged
            judged += 1
            return False

        with (
            mock.patch.object(self.fleet, "renew_lease", count_reports),
            mock.patch.object(stragglers, "is_slow", count_judged),
        ):
            await self.pass_time(10)
        self.assertGreater(reports, 0)
        self.assertLessEqual(judged, reports + 100)
