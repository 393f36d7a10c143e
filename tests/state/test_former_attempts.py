"""Check how results of a settled attempt are folded."""

import dataclasses
import json
import unittest

from cardamomcroft.jobs import former
from cardamomcroft.log import records
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents
from cardamomcroft.state import fold
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from cardamomcroft.workers import renewer
from tests import harness
from tests.state import test_fold

JOB = "job-1"
EPOCH = 2
PLACEMENTS = tuple(
    records.Placement(worker_id, messages.Cell(0, 4), "", f"{worker_id}@1")
    for worker_id in ("w1", "w2")
)
ACCOUNT = records.SettingsChanged(
    "root",
    (
        records.Edit(
            test_fold.ACCOUNT_PATH,
            -1,
            test_fold.change(-1).edits[0].content,
        ),
    ),
)
SUBMITTED = records.JobSubmitted(
    JOB,
    harness.ACCOUNT,
    "counter",
    "key",
    harness.REGION,
    documents.JobSpec("scan", members=2),
)
CLAIMED = records.SchedulerClaimed(harness.REGION, -1, "entry-1@1")


def end(attempt, member, kind=records.EndKind.FINISHED):
    """Return a record body of a member's end."""
    task = messages.TaskId(JOB, attempt, member)
    worker_id = PLACEMENTS[member].worker_id
    return records.TasksEnded(worker_id, (records.TaskEnd(task, kind),))


SETTLED = (
    ACCOUNT,
    SUBMITTED,
    CLAIMED,
    records.GangStarted(JOB, 1, EPOCH, PLACEMENTS),
    end(1, 0),
    end(1, 1, records.EndKind.LOST),
    records.AttemptSettled(JOB, 1, EPOCH, "worker unreachable"),
)


def fold_bodies(bodies, version=lambda record: record):
    """Return the states after each body, folded as of a version."""
    state, states = models.State(), []
    for offset, body in enumerate(bodies):
        one = version(test_fold.record(f"r{offset}", body))
        state, _ = fold.fold(state, offset, one)
        states.append(state)
    return states


def as_of_earlier(record):
    """Return a record as the version before ``results_of`` decodes it."""
    data = json.loads(records.encode(record))
    data["body"].pop("results_of", None)
    return records.decode(json.dumps(data)).ok


def without_former(job):
    """Return what instances of both versions know of a job."""
    return dataclasses.replace(job, former=None, results_of=0)


class FormerAttemptTest(unittest.TestCase):
    """Settle an attempt of a gang of which one member was lost."""

    def settled(self, *more):
        """Return the job after the settlement and more records."""
        return fold_bodies((*SETTLED, *more))[-1].jobs[JOB]

    def test_settled_job_keeps_its_former_attempt(self):
        job = self.settled()
        self.assertEqual(
            models.FormerAttempt(1, PLACEMENTS, frozenset({0})), job.former
        )

    def test_snapshot_keeps_the_former_attempt(self):
        state = fold_bodies(SETTLED)[-1]
        loaded = snapshots.decode(snapshots.encode(state))
        self.assertIsNotNone(loaded.jobs[JOB].former)
        self.assertEqual(state.jobs[JOB], loaded.jobs[JOB])

    def test_failed_launch_keeps_the_former_attempt(self):
        failed = records.AttemptSettled(JOB, 2, EPOCH, "start failed")
        job = self.settled(failed)
        self.assertEqual((2, 1), (job.attempt, job.former.attempt))

    def test_next_attempt_drops_the_former_one(self):
        started = records.GangStarted(JOB, 2, EPOCH, PLACEMENTS)
        self.assertIsNone(self.settled(started).former)

    def test_cancelled_and_failed_jobs_keep_none(self):
        cancelled = records.JobCancelled(JOB, "tester")
        settled = records.AttemptSettled(JOB, 1, EPOCH, "cancelled")
        job = self.settled(cancelled, settled)
        self.assertEqual(models.Phase.CANCELLED, job.phase)
        self.assertIsNone(job.former)
        blamed = [
            records.AttemptSettled(JOB, attempt, EPOCH, "failed", True)
            for attempt in range(2, 2 + SUBMITTED.spec.max_attempts)
        ]
        job = self.settled(*blamed)
        self.assertEqual(models.Phase.FAILED, job.phase)
        self.assertIsNone(job.former)

    def test_results_without_their_ends_leave_the_former_attempt(self):
        """Their owner ended between the two records."""
        started, *_ = former.result_records(self.settled(), 2, EPOCH)
        settled = records.AttemptSettled(JOB, 2, EPOCH, "task missing")
        job = self.settled(started, settled)
        self.assertEqual((2, 1), (job.attempt, job.former.attempt))

    def test_worker_keeps_a_result_until_the_next_attempt(self):
        task = messages.TaskId(JOB, 1, 1)
        report = messages.TaskReport(
            task, EPOCH, PLACEMENTS[1].cell, messages.TaskPhase.FINISHED
        )
        ended = renewer.EndedTask(report, harness.seconds(0))
        failed = records.AttemptSettled(JOB, 2, EPOCH, "start failed")
        results, *_ = former.result_records(self.settled(), 2, EPOCH)
        for more in ((), (failed,), (results,)):
            job = self.settled(*more)
            self.assertFalse(renewer.is_settled(job, ended, None))
        started = records.GangStarted(JOB, 2, EPOCH, PLACEMENTS)
        job = self.settled(started)
        self.assertTrue(renewer.is_settled(job, ended, None))


class MixedVersionsTest(unittest.TestCase):
    """Fold the records of results with an instance of another version."""

    def assert_alike(self, *bodies):
        """Fail unless both versions see the same jobs; return the last."""
        new = fold_bodies(bodies)
        old = fold_bodies(bodies, as_of_earlier)
        for before, after in zip(old, new, strict=True):
            self.assertEqual(before.tasks_by_worker, after.tasks_by_worker)
            self.assertEqual(
                [without_former(job) for job in before.jobs.values()],
                [without_former(job) for job in after.jobs.values()],
            )
        return new[-1].jobs[JOB]

    def test_versions_fold_results_alike(self):
        job = fold_bodies(SETTLED)[-1].jobs[JOB]
        results = former.result_records(job, 2, EPOCH)
        job = self.assert_alike(*SETTLED, *results)
        self.assertEqual(models.Phase.COMPLETED, job.phase)
        self.assertEqual(1, job.results_of)

    def test_versions_fold_results_beside_a_cancellation_alike(self):
        job = fold_bodies(SETTLED)[-1].jobs[JOB]
        results = former.result_records(job, 2, EPOCH)
        cancelled = records.JobCancelled(JOB, "tester")
        settled = records.AttemptSettled(JOB, 1, EPOCH, "cancelled")
        job = self.assert_alike(*SETTLED, cancelled, settled, *results)
        self.assertEqual(models.Phase.CANCELLED, job.phase)

    def test_versions_fold_a_late_end_alike(self):
        job = self.assert_alike(*SETTLED, end(1, 1))
        self.assertEqual(models.Phase.QUEUED, job.phase)
