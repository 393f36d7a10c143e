"""Nothing is concluded from what a part of a list does not name."""

from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import runs
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


class RunBesideAnEndTest(harness.SchedulingTestCase):
    """The end of a task arrives while another run of it is under way."""

    duration = harness.seconds(60)

    async def asyncSetUp(self):
        """Let a task's lease expire on a worker that is cut off."""
        await super().asyncSetUp()
        self.add_workers(1)
        self.start_node("a")
        # The second step, which no worker may run, keeps the job open.
        last = harness.make_step(after=(0,), required_label="none")
        self.job_id = self.submit(harness.make_step(), last)
        await self.wait_until(lambda: self.fleet.running())
        self.worker = self.fleet.workers_by_id["w1"]
        self.worker.is_cut = True
        (self.task,) = self.worker.runs_by_task
        self.worker.end(self.task, fleet.End.DONE)
        scheduler = self.nodes_by_name["a"].scheduler
        self.step = scheduler.cluster.jobs_by_id[self.job_id].steps_by_key[
            0, 0
        ]
        await self.wait_until(lambda: not self.step.runs_by_index)

    async def read_end(self) -> None:
        """Let the scheduler read the end on the first worker."""
        scheduler = self.nodes_by_name["a"].scheduler
        self.worker.is_cut = False
        worker = scheduler.cluster.workers_by_id["w1"]
        worker.has_inventory = False
        scheduler._poller.ensure_polling(worker)
        await self.wait_until(lambda: self.step.is_done)

    async def test_task_that_is_done_is_not_sent(self):
        """Its start waits for a record when the end is read."""
        journal = self.nodes_by_name["a"].scheduler.journal
        commit = journal.commit
        is_slow = True

        async def commit_late(keys=None):
            while is_slow and keys:
                await self.clock.sleep(harness.STEP)
            return await commit(keys)

        with mock.patch.object(journal, "commit", commit_late):
            self.add_workers(1)
            await self.wait_until(lambda: self.step.runs_by_index)
            (run,) = self.step.runs_by_index.values()
            self.assertIs(run.phase, runs.Phase.ASSIGNED)
            await self.read_end()
            is_slow = False
            await self.pass_time(2)
        self.assertEqual(
            [task for task, _ in self.fleet.running() if task == self.task],
            [],
        )
        self.assertEqual(self.fleet.workers_by_id["w2"].highest(self.task), 0)
        # A successor has nothing to ask the second worker for.
        ledger = self.nodes_by_name["a"].replica.ledger
        recorded = ledger.assignments_by_worker["w2"].runs_by_task
        self.assertNotIn(self.task, recorded)

    async def test_run_of_a_task_that_is_done_is_stopped(self):
        """It would take the room of other work until its end."""
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running())
        await self.read_end()
        await self.wait_until(
            lambda: self.task not in dict(self.fleet.running()), 2
        )
