"""A record that the store can never take stops no other."""

from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness


class FailingWideJobTest(harness.SchedulingTestCase):
    """The record of a job's failed tasks is over a limit, small here."""

    LIMIT = 450
    WIDTH = 40

    async def asyncSetUp(self):
        """Fail each task once, until the record is held back."""
        await super().asyncSetUp()
        for module in (codec, standin_store):
            patch = mock.patch.object(module, "MAX_RECORD_BYTES", self.LIMIT)
            patch.start()
            self.addCleanup(patch.stop)
        self.add_workers(8, accelerators=5)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.job_id = self.submit(harness.make_step(self.WIDTH))
        self.fleet.durations_by_job[self.job_id] = harness.seconds(60)
        await self.wait_until(lambda: len(self.fleet.running()) == self.WIDTH)
        for task, worker_id in self.fleet.running():
            self.fleet.workers_by_id[worker_id].end(task, fleet.End.FAILED)
        await self.pass_time(1)

    def check_held_back(self) -> None:
        """Assert that the record of the job's progress is held back."""
        key = ledgers.Kind.PROGRESS.key(self.job_id)
        journal = self.nodes_by_name["a"].scheduler.journal
        self.assertTrue(journal.is_held(key))

    async def end_most_tasks(self) -> None:
        """End 30 of the 40 tasks of the job."""
        await self.wait_until(
            lambda: len(self.fleet.running()) == self.WIDTH, 60
        )
        for task, worker_id in self.fleet.running()[:30]:
            self.fleet.workers_by_id[worker_id].end(task, fleet.End.DONE)

    def done(self) -> list[str]:
        """Return the job's tasks that workers have done."""
        return [
            interval.task
            for interval in self.fleet.intervals
            if interval.end is fleet.End.DONE
            and interval.task.startswith(self.job_id)
        ]

    async def test_other_jobs_run_and_end_beside_it(self):
        """Their records become durable under the same scheduler."""
        other = self.submit(harness.make_step(), queue=harness.make_queue(0))
        await self.wait_until(lambda: self.state(other) == "completed", 30)
        self.check_run_once(other)
        self.assertEqual(self.holder(), "a")
        self.check_held_back()
        self.assertNotIn("too_large", self.store.injected)

    async def test_ends_of_other_jobs_are_acknowledged(self):
        """A worker without ends of the job may discard its own."""
        await self.wait_until(
            lambda: len(self.fleet.running()) == self.WIDTH, 60
        )
        self.add_workers(1)
        other = self.submit(harness.make_step(1, accelerators=8))
        await self.wait_until(lambda: self.state(other) == "completed", 30)
        worker = self.fleet.workers_by_id["w9"]
        await self.wait_until(lambda: not worker.finished, 3)
        self.check_run_once(other)
        self.check_held_back()

    async def test_ends_that_are_not_recorded_stay_on_the_workers(self):
        """No end is acknowledged; the job's end makes all durable."""
        await self.end_most_tasks()
        await self.pass_time(2)
        kept = [
            finished.task
            for worker in self.fleet.workers_by_id.values()
            for finished in worker.finished
            if finished.end is fleet.End.DONE
        ]
        self.assertEqual(sorted(kept), sorted(self.done()))
        self.check_held_back()
        self.fleet.durations_by_job[self.job_id] = harness.seconds(1)
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        await self.pass_time(2)
        for worker in self.fleet.workers_by_id.values():
            self.assertEqual(worker.finished, [])
        self.check_run_once(self.job_id)

    async def test_successor_runs_no_task_again_whose_end_it_lacks(self):
        """It asks the worker first, which it does not reach at once."""
        await self.end_most_tasks()
        await self.pass_time(1)
        # Others start on the same workers, which renews their records.
        other = self.submit(harness.make_step(4), queue=harness.make_queue(0))
        await self.wait_until(lambda: self.state(other) == "running", 30)
        self.check_held_back()
        self.kill("a")
        workers = list(self.fleet.workers_by_id.values())
        for worker in workers:
            worker.is_cut = True
        self.add_workers(2, accelerators=40)
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.pass_time(2)
        self.assertGreater(self.fleet.injected["unreachable"], 0)
        self.fleet.durations_by_job[self.job_id] = harness.seconds(1)
        for worker in workers:
            worker.is_cut = False
        await self.wait_until(
            lambda: self.state(self.job_id) == "completed", 60
        )
        self.check_run_once(self.job_id)


class FullWorkerTest(harness.SchedulingTestCase):
    """A worker's record has room for a few runs, by a small limit."""

    async def test_starts_beyond_a_full_record_wait(self):
        """What fits runs; the rest follows and holds no other job back."""
        for module in (codec, standin_store):
            patch = mock.patch.object(module, "MAX_RECORD_BYTES", 250)
            patch.start()
            self.addCleanup(patch.stop)
        self.add_workers(1, accelerators=12)
        self.start_node("a")
        await self.wait_until(self.holder)
        jobs = [self.submit(harness.make_step(4)) for _ in range(3)]
        await self.wait_until(lambda: self.fleet.running())
        for job_id in jobs:
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed", 30
            )
            self.check_run_once(job_id)
        self.assertNotIn("too_large", self.store.injected)

    async def test_starts_are_planned_again_when_a_record_outgrows_later(self):
        """Starts that were never sent do not keep their places."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        journal = self.nodes_by_name["a"].scheduler.journal
        key = ledgers.Kind.ASSIGNMENT.key("w1")
        commit = journal.commit
        outgrown = []

        async def commit_later(keys=None):
            if keys and key in keys and not outgrown:
                outgrown.append(key)
                journal.stage(key, b"x" * codec.MAX_RECORD_BYTES)
            return await commit(keys)

        with mock.patch.object(journal, "commit", commit_later):
            job_id = self.submit(harness.make_step(4))
            await self.wait_until(lambda: self.state(job_id) == "completed")
        self.assertEqual(outgrown, [key])
        self.check_run_once(job_id)
