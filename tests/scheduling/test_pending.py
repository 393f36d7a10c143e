"""Jobs count as pending until a worker has begun one of their tasks."""

from tests.scheduling import harness

QUEUE = harness.make_queue()
JOBS = 8


class PendingTest(harness.SchedulingTestCase):
    """A queue of jobs on one worker."""

    duration = harness.seconds(5)

    async def asyncSetUp(self):
        """Start an instance that schedules and one that answers queries."""
        await super().asyncSetUp()
        self.add_workers(1)
        for name in ("a", "b"):
            self.start_node(name)
        await self.wait_until(self.holder)
        await self.pass_time(0.5)

    def pending(self) -> list[int]:
        """Return the number that each instance shows."""
        return [
            node.replica.ledger.pending(QUEUE.name)
            for node in self.nodes_by_name.values()
        ]

    async def test_jobs_whose_starts_are_refused_are_pending(self):
        """Their starts were recorded and sent, and nothing has begun."""
        worker = self.fleet.workers_by_id["w1"]
        worker.refuse_starts = 10_000
        for _ in range(JOBS):
            self.submit(harness.make_step(), queue=QUEUE)
        await self.pass_time(3)
        self.assertLess(worker.refuse_starts, 10_000)
        self.assertEqual(self.pending(), [JOBS, JOBS])
        worker.refuse_starts = 0
        await self.wait_until(lambda: len(self.fleet.running()) == JOBS)
        await self.pass_time(1)
        self.assertEqual(self.pending(), [0, 0])

    async def test_job_whose_start_was_not_answered_is_not_pending(self):
        """An inventory shows that it has begun."""
        self.fleet.workers_by_id["w1"].lose_start_answers = 2
        job_id = self.submit(harness.make_step(), queue=QUEUE)
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(2.5)
        self.assertEqual(self.state(job_id), "running")
        self.assertEqual(self.pending(), [0, 0])

    async def test_job_that_began_before_a_takeover_is_not_pending(self):
        """Its scheduler may have died before it recorded that."""
        name = self.holder()
        job_id = self.submit(harness.make_step(), queue=QUEUE)
        await self.wait_until(lambda: self.fleet.running())
        self.kill(name)
        await self.wait_until(self.holder)
        await self.pass_time(1)
        self.assertEqual(self.state(job_id), "running")
