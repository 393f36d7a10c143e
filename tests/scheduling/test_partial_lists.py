"""Nothing is concluded from what a part of a list does not name."""

from tests.scheduling import harness


class EndsInPartsTest(harness.SchedulingTestCase):
    """A worker has more ends than it lists in one answer."""

    WIDTH = 40

    async def asyncSetUp(self):
        """Run all tasks on one worker and cut it off until they are done."""
        await super().asyncSetUp()
        self.fleet.ends_per_answer = 2
        self.add_workers(1, accelerators=self.WIDTH)
        self.start_node("a")
        self.job_id = self.submit(harness.make_step(self.WIDTH))
        await self.wait_until(lambda: len(self.fleet.running()) == self.WIDTH)
        self.worker = self.fleet.workers_by_id["w1"]
        self.worker.is_cut = True
        await self.wait_until(lambda: len(self.worker.finished) == self.WIDTH)

    async def check_completes_once(self) -> None:
        """Assert that the job completes and no task has run again."""
        self.worker.is_cut = False
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        await self.pass_time(1)
        self.check_run_once(self.job_id)
        self.assertEqual(self.fleet.running(), [])
        self.assertEqual(len(self.fleet.intervals), self.WIDTH)

    async def test_tasks_whose_ends_come_later_do_not_run_again(self):
        """They were taken for absent (review/3)."""
        await self.check_completes_once()

    async def test_successor_waits_for_the_whole_list(self):
        """Its first inventory of the worker is a part."""
        self.kill("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.check_completes_once()
