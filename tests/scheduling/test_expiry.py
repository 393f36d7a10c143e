"""Records of ended jobs are dropped, so the job stream stays bounded."""

import unittest

from cardamomcroft.ports import store
from cardamomcroft.scheduling import expiry
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness

RETENTION_S = harness.PARAMETERS.retention.total_seconds()


class ExpiryTest(harness.SchedulingTestCase):
    """Two nodes with ended and running jobs."""

    async def asyncSetUp(self):
        """Start two nodes."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.start_node("a")
        self.start_node("b")
        await self.wait_until(self.holder)

    def kept_keys(self) -> set[str]:
        """Return the jobs' keys that the store still has a value for."""
        newest = {}
        for record in self.store.records_by_stream[store.Stream.JOBS]:
            newest[record.key] = record.value
        return {key for key, value in newest.items() if value}

    async def test_ended_jobs_are_dropped_after_the_retention(self):
        """All records of an ended job go after the retention, not earlier."""
        completed = self.submit(harness.make_step())
        cancelled = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.cancel(cancelled)
        await self.wait_until(lambda: self.state(completed) == "completed")
        await self.pass_time(RETENTION_S - 3)
        self.assertEqual(self.state(completed), "completed")
        self.assertEqual(self.state(cancelled), "cancelled")
        await self.pass_time(5)
        for job_id in (completed, cancelled):
            self.assertIsNone(self.state(job_id))
            for kind in ledgers.Kind:
                self.assertNotIn(kind.key(job_id), self.kept_keys())

    async def test_successor_drops_what_it_inherits(self):
        """A successor drops inherited ended jobs and keeps running ones."""
        ended = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(ended) == "completed")
        self.kill(self.holder())
        await self.wait_until(self.holder)
        await self.pass_time(RETENTION_S - 1)
        lasting = self.submit(harness.make_step(is_lasting=True))
        await self.pass_time(4)
        self.assertIsNone(self.state(ended))
        self.assertEqual(self.state(lasting), "running")

    async def end_job_and_lose_its_submission(self) -> str:
        """End a job and delete its submission, as before a crash."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.cancel(job_id)
        await self.wait_until(lambda: self.state(job_id) == "cancelled")
        await self.wait_until(lambda: not self.fleet.running())
        key = ledgers.Kind.SUBMISSION.key(job_id)
        self.store.put(store.Stream.JOBS, key, None)
        await self.pass_time(1)
        return job_id

    async def check_leftovers_are_dropped(self, job_id: str) -> None:
        """Check that no record of a job stays and that no task starts."""
        started = len(self.fleet.intervals)
        self.assertIn(ledgers.Kind.PROGRESS.key(job_id), self.kept_keys())
        self.assertIn(ledgers.Kind.CANCELLATION.key(job_id), self.kept_keys())
        await self.wait_until(self.holder)
        await self.pass_time(RETENTION_S + 2)
        for kind in ledgers.JOB_KINDS:
            self.assertNotIn(kind.key(job_id), self.kept_keys())
        self.assertEqual(len(self.fleet.intervals), started)
        self.assertEqual(self.fleet.running(), [])

    async def test_submission_is_deleted_before_what_keeps_its_job_ended(self):
        """A crash between two deletions leaves no submission behind."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        await self.pass_time(RETENTION_S + 2)
        deleted = [
            record.key
            for record in self.store.records_by_stream[store.Stream.JOBS]
            if record.value is None
        ]
        self.assertEqual(deleted[0], ledgers.Kind.SUBMISSION.key(job_id))
        self.assertEqual(len(deleted), len(ledgers.JOB_KINDS))

    async def test_follower_drops_leftovers_of_a_crashed_deletion(self):
        """A successor that saw the submission go drops the other records."""
        job_id = await self.end_job_and_lose_its_submission()
        self.kill(self.holder())
        await self.check_leftovers_are_dropped(job_id)

    async def test_new_instance_drops_leftovers_of_a_crashed_deletion(self):
        """A successor that never saw the submission does so too."""
        job_id = await self.end_job_and_lose_its_submission()
        for name in ("a", "b"):
            self.kill(name)
        self.start_node("c")
        await self.check_leftovers_are_dropped(job_id)

    async def test_late_submission_finds_its_cancellation(self):
        """A cancellation that precedes its submission is not lost."""
        job_id = f"{9:016x}"
        self.cancel(job_id)
        await self.pass_time(1)
        self.kill(self.holder())
        await self.wait_until(self.holder)
        await self.pass_time(5)
        while self.submit(harness.make_step()) != job_id:
            pass
        await self.pass_time(2)
        self.assertEqual(self.state(job_id), "cancelled")
        started = {i.task.split(".")[0] for i in self.fleet.intervals}
        started |= {task.split(".")[0] for task, _ in self.fleet.running()}
        self.assertNotIn(job_id, started)

    async def test_invented_ids_are_dropped_after_the_retention(self):
        """Cancellations without a submission do not pile up."""
        job_ids = [f"{number:016x}" for number in range(100, 103)]
        for job_id in job_ids:
            self.cancel(job_id)
        await self.pass_time(RETENTION_S - 2)
        self.cancel(job_ids[0])  # this one counts from here on
        # Version 0.3.0 names neither an account nor a time.
        key = ledgers.Kind.CANCELLATION.key("old")
        self.store.put(store.Stream.JOBS, key, b"1")
        await self.pass_time(4)
        kept = {ledgers.Kind.CANCELLATION.key(job_ids[0]), key}
        self.assertEqual(self.kept_keys() - {ledgers.CLAIM_KEY}, kept)
        await self.pass_time(RETENTION_S)
        self.assertEqual(self.kept_keys(), {ledgers.CLAIM_KEY})
        ledger = self.nodes_by_name["a"].replica.ledger
        self.assertEqual(
            (len(ledger.unmatched), ledger.cancelled_ids), (0, set())
        )

    async def test_takeovers_do_not_extend_the_retention(self):
        """Series of takeovers do not fill the bound of unknown ids."""
        self.cancel("100")
        for _ in range(3):
            await self.pass_time(RETENTION_S / 4)
            name = self.holder()
            self.kill(name)
            self.start_node(name)
            await self.wait_until(self.holder)
        await self.pass_time(RETENTION_S / 4 + 2)
        self.assertNotIn(
            ledgers.Kind.CANCELLATION.key("100"), self.kept_keys()
        )

    async def test_job_submitted_again_after_its_cancelling_never_runs(self):
        """It remains one job, and its records go as those of others."""
        job_id = f"{9:016x}"
        self.cancel(job_id)
        await self.pass_time(1)
        while self.submit(harness.make_step()) != job_id:
            pass
        await self.pass_time(2)
        self.assertEqual(self.state(job_id), "cancelled")
        started = {i.task.split(".")[0] for i in self.fleet.intervals}
        self.assertNotIn(job_id, started)
        await self.pass_time(RETENTION_S + 2)
        for kind in ledgers.JOB_KINDS:
            self.assertNotIn(kind.key(job_id), self.kept_keys())


class LatestTimeTest(unittest.TestCase):
    """An id that is recorded again."""

    def test_latest_time_counts(self):
        """It is due once, after the retention from its latest time."""
        clock = harness.clocks.FakeClock()
        records = expiry.Expiry(harness.seconds(10))
        now = clock.now()
        records.record_ended("x", now)
        records.record_ended("x", now + harness.seconds(5))
        records.record_ended("x", now + harness.seconds(2))
        self.assertEqual(records.pop_due(now + harness.seconds(12)), [])
        self.assertEqual(records.pop_due(now + harness.seconds(15)), ["x"])
        self.assertEqual(records.pop_due(now + harness.seconds(60)), [])
