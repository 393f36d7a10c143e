"""Runs are given up on a worker that comes back with their ends."""

from tests.scheduling import harness


class GivenUpRunTest(harness.SchedulingTestCase):
    """A task ends on a worker that is cut off beyond its lease."""

    duration = harness.seconds(3)

    async def give_up(self) -> str:
        """Return a job whose only run has ended unheard and is given up."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(1)
        self.fleet.workers_by_id["w1"].is_cut = True
        cluster = self.nodes_by_name["a"].scheduler.cluster
        worker = cluster.workers_by_id["w1"]
        await self.wait_until(lambda: not worker.runs_by_task)
        self.assertFalse(self.fleet.running())
        return job_id

    async def test_end_counts_once_its_worker_is_back(self):
        """The task does not run again."""
        job_id = await self.give_up()
        self.fleet.workers_by_id["w1"].is_cut = False
        await self.wait_until(lambda: self.state(job_id) == "completed", 2)
        self.check_run_once(job_id)

    async def test_task_runs_elsewhere_while_its_worker_stays_away(self):
        """Nobody waits for an end that may never be heard."""
        job_id = await self.give_up()
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running(), 2)
        self.assertEqual([w for _, w in self.fleet.running()], ["w2"])
        await self.wait_until(lambda: self.state(job_id) == "completed", 5)
