"""Steps of thousands of tasks are served like others."""

from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import node as nodes
from tests.scheduling import harness


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
