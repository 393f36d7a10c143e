"""Of several stored attempts of a submission the first one counts."""

from unittest import mock

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from tests.scheduling import harness


class RepeatedSubmissionTest(harness.SchedulingTestCase):
    """A late attempt carries other settings of the queue."""

    async def asyncSetUp(self):
        """Start a node."""
        await super().asyncSetUp()
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)

    def submit_again(self, job_id: str, queue: models.Queue) -> None:
        """Store a later attempt."""
        job = models.Job(
            job_id,
            queue,
            "a",
            "payload",
            self.fleet.steps_by_job[job_id],
            None,
            self.clock.now(),
        )
        key = ledgers.Kind.SUBMISSION.key(job_id)
        self.store.put(store.Stream.JOBS, key, codec.encode_job(job))

    def submission_count(self, job_id: str) -> int:
        """Return how many records of the submission are in the store."""
        key = ledgers.Kind.SUBMISSION.key(job_id)
        records = self.store.records_by_stream[store.Stream.JOBS]
        return sum(record.key == key for record in records)

    async def test_successor_uses_the_first_attempt(self):
        """A changed configuration does not reach an accepted job."""
        first = harness.make_queue(priority=1, attempts=3)
        lasting = harness.make_step(is_lasting=True)
        job_id = self.submit(lasting, queue=first)
        await self.pass_time(1)
        late = harness.make_queue(priority=0, attempts=1)
        self.submit_again(job_id, late)
        await self.pass_time(1)
        self.kill("a")
        node = self.start_node("b")
        await self.wait_until(self.holder)
        await self.pass_time(1)
        self.assertEqual(node.replica.ledger.jobs_by_id[job_id].queue, first)
        self.assertEqual(
            node.scheduler.cluster.jobs_by_id[job_id].job.queue, first
        )
        self.assertEqual(self.submission_count(job_id), 3)

    async def test_equal_attempts_cost_no_append(self):
        """A retry of one instance repeats the same record."""
        job_id = self.submit(harness.make_step(is_lasting=True))
        await self.pass_time(1)
        key = ledgers.Kind.SUBMISSION.key(job_id)
        records = self.store.records_by_stream[store.Stream.JOBS]
        value = next(r.value for r in records if r.key == key)
        self.store.put(store.Stream.JOBS, key, value)
        await self.pass_time(1)
        self.assertEqual(self.submission_count(job_id), 2)

    async def test_attempts_around_the_end_of_the_job_restart_nothing(self):
        """Its end may not have been read back by the scheduler."""
        journal = self.nodes_by_name["a"].scheduler.journal
        append = journal._store.append

        async def append_slowly(*arguments, **options):
            await self.clock.sleep(harness.seconds(0.25))
            return await append(*arguments, **options)

        patch = mock.patch.object(journal._store, "append", append_slowly)
        patch.start()
        self.addCleanup(patch.stop)
        job_id = self.submit(harness.make_step())
        for number in range(90):
            await self.pass_time(harness.STEP.total_seconds())
            queue = harness.make_queue(attempts=4 + number)
            self.submit_again(job_id, queue)
        self.assertEqual(self.state(job_id), "completed")
        self.assertEqual(len(self.fleet.intervals), 1)
        self.assertEqual(self.fleet.running(), [])

    async def test_attempt_that_no_scheduler_saw_is_overwritten(self):
        """A follower that saw both stores the first when it takes over."""
        self.start_node("b")
        await self.pass_time(1)
        first = harness.make_queue(attempts=3)
        job_id = self.submit(harness.make_step(is_lasting=True), queue=first)
        await self.pass_time(0.5)
        self.kill("a")
        self.submit_again(job_id, harness.make_queue(attempts=1))
        await self.wait_until(lambda: self.holder() == "b")
        await self.pass_time(1)
        self.kill("b")
        node = self.start_node("c")
        await self.wait_until(self.holder)
        self.assertEqual(node.replica.ledger.jobs_by_id[job_id].queue, first)

    async def test_attempt_after_the_end_of_the_job_restarts_nothing(self):
        """Nor is it stored again: the job's state counts."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        await self.pass_time(1)
        self.submit_again(job_id, harness.make_queue(priority=0))
        await self.pass_time(3)
        self.check_run_once(job_id)
        self.assertEqual(self.submission_count(job_id), 2)
