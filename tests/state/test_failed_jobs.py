"""Check which failures on workers the state keeps."""

import unittest

from cardamomcroft.log import records
from cardamomcroft.state import jobs
from cardamomcroft.state import snapshots
from tests.state import test_former_attempts as former


class FailedJobsTest(unittest.TestCase):
    """Let a member of a gang fail on a worker."""

    FAILED = (
        *former.SETTLED[:4],
        former.end(1, 0, records.EndKind.FAILED),
    )

    def test_snapshot_keeps_failures(self):
        state = former.fold_bodies(self.FAILED)[-1]
        self.assertEqual({"w1": {former.JOB}}, dict(state.failed_jobs))
        loaded = snapshots.decode(snapshots.encode(state))
        self.assertEqual(state.failed_jobs, loaded.failed_jobs)
        self.assertEqual(state.jobs, loaded.jobs)

    def test_finished_task_ends_the_failures_of_its_worker(self):
        settled = records.AttemptSettled(former.JOB, 1, former.EPOCH, "")
        started = records.GangStarted(
            former.JOB, 2, former.EPOCH, former.PLACEMENTS
        )
        bodies = (*self.FAILED, settled, started, former.end(2, 0))
        state = former.fold_bodies(bodies)[-1]
        self.assertEqual({}, dict(state.failed_jobs))
        job = state.jobs[former.JOB]
        self.assertEqual({"w1"}, job.failed_workers)

    def test_failures_of_a_job_that_is_dropped_are_forgotten(self):
        state = former.fold_bodies(self.FAILED)[-1]
        job = state.jobs[former.JOB]
        left = jobs._forget_failures(state.failed_jobs, job)
        self.assertEqual({}, dict(left))
