"""Urgent work starts in time when less urgent work fills all workers."""

from cardamomcroft.ports import fleet
from tests.scheduling import harness


class FloodTest(harness.SchedulingTestCase):
    """A flood of small long tasks fills the workers and queues."""

    duration = harness.seconds(60)

    async def asyncSetUp(self):
        """Submit twice as many tasks as the two racks have accelerators."""
        await super().asyncSetUp()
        self.add_workers(4)
        self.start_node("a")
        await self.wait_until(self.holder)
        flood = harness.make_queue(priority=2)
        for _ in range(4):
            self.submit(harness.make_step(width=16), queue=flood)
        await self.wait_until(lambda: len(self.fleet.running()) == 32)

    def running_of(self, job_id: str) -> int:
        """Count a job's tasks at work."""
        return sum(task.startswith(job_id) for task, _ in self.fleet.running())

    async def check_begins(self, step) -> str:
        """Check that all tasks start within the bound of guaranteed work."""
        self.nodes_by_name["a"].scheduler._guarantees = lambda: {"b": 24}
        urgent = harness.make_queue(priority=0)
        job_id = self.submit(step, queue=urgent, account="b")
        await self.wait_until(
            lambda: self.running_of(job_id) == step.width, 2.7
        )
        return job_id

    def stops(self) -> int:
        """Count the runs that were stopped."""
        return sum(
            interval.end is fleet.End.STOPPED
            for interval in self.fleet.intervals
        )

    async def test_whole_worker_is_freed_once(self):
        """Freed capacity is reserved for the task that needs a worker."""
        await self.check_begins(harness.make_step(accelerators=8))
        self.assertEqual(self.stops(), 8)

    async def test_gang_gets_capacity_for_all_members(self):
        """A gang preempts for all of its members or for none."""
        await self.check_begins(
            harness.make_step(width=3, accelerators=8, is_gang=True)
        )
        self.assertEqual(self.stops(), 24)

    async def test_rack_local_gang_stays_in_a_rack(self):
        """A rack-local gang preempts within one rack."""
        step = harness.make_step(
            width=2, accelerators=8, is_gang=True, is_rack_local=True
        )
        await self.check_begins(step)
        self.assertEqual(self.stops(), 16)

    async def time_to_begin(self, guaranteed: int = 24) -> float:
        """Return how long an urgent job with one large task waits."""
        urgent = harness.make_queue(priority=0)
        accounts = {"b": guaranteed}
        self.nodes_by_name["a"].scheduler._guarantees = lambda: accounts
        job_id = self.submit(
            harness.make_step(accelerators=8), queue=urgent, account="b"
        )
        return await self.wait_until(lambda: self.running_of(job_id) == 1, 2.7)

    async def test_young_work_is_stopped_at_once(self):
        """Little work is lost, so the urgent job does not wait."""
        self.assertLess(await self.time_to_begin(), 0.6)

    async def test_urgent_work_beyond_its_guarantee_stops_young_work(self):
        """Little work is lost, and the urgent job would be late."""
        self.assertLess(await self.time_to_begin(guaranteed=0), 0.6)

    async def test_urgent_work_beyond_its_guarantee_spares_old_work(self):
        """Too much work would be lost for a job that only borrows."""
        await self.pass_time(20)
        urgent = harness.make_queue(priority=0)
        self.submit(harness.make_step(accelerators=8), queue=urgent)
        await self.pass_time(4)
        self.assertEqual(self.stops(), 0)

    async def test_old_work_gets_time_to_end(self):
        """Much work would be lost, so the job first waits for runs to end."""
        await self.pass_time(20)
        self.assertGreater(await self.time_to_begin(), 0.8)

    async def test_spread_limit_holds(self):
        """Preemption for a step respects its spread limit."""
        step = harness.make_step(width=4, accelerators=4, spread_limit=1)
        job_id = await self.check_begins(step)
        workers = {
            worker_id
            for task, worker_id in self.fleet.running()
            if task.startswith(job_id)
        }
        self.assertEqual(len(workers), 4)


class LastingWorkTest(harness.SchedulingTestCase):
    """Work of another account that lasts fills all workers."""

    async def asyncSetUp(self):
        """Start a node with three workers and a guarantee for one."""
        await super().asyncSetUp()
        self.add_workers(3)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.nodes_by_name["a"].scheduler._guarantees = lambda: {"b": 8}

    async def fill(self, **fields: object) -> str:
        """Fill the workers with two steps that last."""
        step = harness.make_step(
            width=3, accelerators=4, is_lasting=True, **fields
        )
        job_id = self.submit(step, step)
        self.fleet.lasting_job_ids.add(job_id)
        await self.wait_until(lambda: len(self.fleet.running()) == 6)
        await self.pass_time(4)
        return job_id

    def running_of(self, job_id: str) -> int:
        """Count a job's tasks at work."""
        return sum(task.startswith(job_id) for task, _ in self.fleet.running())

    async def check_reclaims(self) -> None:
        """Check that a guaranteed job begins within its bound."""
        reclaiming = self.submit(
            harness.make_step(accelerators=8),
            queue=harness.make_queue(priority=0),
            account="b",
        )
        await self.wait_until(lambda: self.running_of(reclaiming) == 1, 2.7)

    async def test_guaranteed_job_begins_beside_lasting_work(self):
        """It stops what it needs, and no more."""
        lasting = await self.fill()
        await self.check_reclaims()
        self.assertEqual(self.running_of(lasting), 4)

    async def test_disruption_budgets_hold(self):
        """Each step may lack one task, and both lie on one worker."""
        lasting = await self.fill(max_unavailable=1, spread_limit=1)
        await self.check_reclaims()
        steps = {task.split(".")[2] for task, _ in self.fleet.running()}
        self.assertEqual(steps, {"0", "1"})
        for step in steps:
            self.assertEqual(self.running_of(f"{lasting}.0.{step}."), 2)

    async def test_work_without_a_budget_left_is_not_stopped(self):
        """None of its tasks may be unavailable."""
        lasting = await self.fill(max_unavailable=0)
        self.submit(
            harness.make_step(accelerators=8),
            queue=harness.make_queue(priority=0),
            account="b",
        )
        await self.pass_time(4)
        self.assertEqual(self.running_of(lasting), 6)

    async def test_urgent_work_beyond_a_guarantee_leaves_lasting_work(self):
        """It only borrows."""
        lasting = await self.fill()
        self.submit(
            harness.make_step(accelerators=8),
            queue=harness.make_queue(priority=0),
            account="c",
        )
        await self.pass_time(4)
        self.assertEqual(self.running_of(lasting), 6)

    async def test_other_work_is_stopped_first(self):
        """Old work that ends by itself goes before work that lasts."""
        step = harness.make_step(width=2, accelerators=8, is_lasting=True)
        lasting = self.submit(step)
        self.fleet.lasting_job_ids.add(lasting)
        await self.wait_until(lambda: self.running_of(lasting) == 2)
        other = self.submit(harness.make_step(accelerators=8))
        self.fleet.durations_by_job[other] = harness.seconds(60)
        await self.wait_until(lambda: self.running_of(other) == 1)
        await self.pass_time(20)
        await self.check_reclaims()
        self.assertEqual(self.running_of(lasting), 2)
