"""A gang does not start again because one worker refuses its member."""

from cardamomcroft.ports import fleet
from tests.scheduling import harness


class RefusedMemberTest(harness.SchedulingTestCase):
    """A gang of four members, each of which needs a whole worker."""

    async def asyncSetUp(self):
        """Start five workers, of which the first refuses a start."""
        await super().asyncSetUp()
        self.add_workers(5)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.step = harness.make_step(width=4, accelerators=8, is_gang=True)

    def refuse(self, worker_id: str, count: int = 1) -> None:
        """Let a worker refuse the next starts."""
        self.fleet.workers_by_id[worker_id].refuse_starts = count

    def ends(self) -> set[fleet.End]:
        """Return how the runs have ended."""
        return {interval.end for interval in self.fleet.intervals}

    async def test_refused_member_starts_elsewhere(self):
        """The other members wait for it; all share one run number."""
        self.refuse("w1")
        job_id = self.submit(self.step)
        took = await self.wait_until(
            lambda: self.state(job_id) == "completed", 6
        )
        self.assertEqual(self.fleet.injected["start_unhealthy"], 1)
        self.check_run_once(job_id)
        self.assertEqual(self.ends(), {fleet.End.DONE})
        self.assertEqual({i.run for i in self.fleet.intervals}, {1})
        self.assertLess(took, 2 + 0.7)

    async def test_gang_without_another_worker_stops(self):
        """Its members keep their capacity idle for a second only."""
        for number in range(1, 6):
            self.refuse(f"w{number}", 2)
        job_id = self.submit(self.step)
        await self.pass_time(1.7)
        self.assertNotIn(fleet.End.GANG_INCOMPLETE, self.ends())
        self.assertEqual(self.fleet.running(), [])
        await self.wait_until(lambda: self.state(job_id) == "completed", 20)
        self.check_run_once(job_id)
        self.assertNotIn(fleet.End.GANG_INCOMPLETE, self.ends())

    async def test_busy_fleet(self):
        """A gang that waits for its member is stopped as a whole in time."""
        self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: len(self.fleet.running()) == 1)
        free = {f"w{n}" for n in range(1, 6)} - {
            worker_id for _, worker_id in self.fleet.running()
        }
        self.refuse(min(free))
        job_id = self.submit(self.step)
        await self.wait_until(lambda: self.state(job_id) == "completed", 20)
        self.check_run_once(job_id)
        self.assertEqual(self.fleet.injected["start_unhealthy"], 1)
        self.assertNotIn(fleet.End.GANG_INCOMPLETE, self.ends())

    async def test_takeover_while_a_member_is_missing(self):
        """A successor runs the gang whole, each member once."""
        self.start_node("b")
        for seed in range(6):
            self.refuse(f"w{seed % 5 + 1}")
            job_id = self.submit(self.step)
            await self.pass_time(0.05 * seed)
            holder = self.holder()
            self.kill(holder)
            self.start_node(holder, seed=seed + 1)
            await self.wait_until(
                lambda job_id=job_id: self.state(job_id) == "completed", 40
            )
            self.check_run_once(job_id)

    async def test_worker_that_refuses_again_is_avoided_longer(self):
        """Healthy workers come first while one refuses."""
        self.refuse("w1", 50)
        for _ in range(12):
            job_id = self.submit(harness.make_step(accelerators=8))
            await self.wait_until(
                lambda job_id=job_id: self.state(job_id) == "completed", 6
            )
        self.assertLessEqual(self.fleet.injected["start_unhealthy"], 2)
