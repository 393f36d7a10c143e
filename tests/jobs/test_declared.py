"""Check that a new owner submits no declared job a second time."""

import datetime
import itertools
import types
import unittest
from unittest import mock

from cardamomcroft.jobs import declared
from cardamomcroft.log import records
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import fold
from cardamomcroft.state import jobs
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from tests import harness

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
PATH = "teams/shops/jobs/nightly"
SPEC = documents.JobSpec("scan")
MAX_FINAL_JOBS = 10


class RecordingAppender:
    """Record the bodies submitted."""

    def __init__(self) -> None:
        """Start without a body."""
        self.bodies: list[records.Body] = []

    def submit(self, body, priority) -> None:
        """Record a body."""
        self.bodies.append(body)


class DeclaredJobsTest(unittest.TestCase):
    """Fold the end of a declared job, and then of many other jobs."""

    def setUp(self):
        """Keep few ended jobs; declare a job under an account."""
        limit = mock.patch.object(jobs, "MAX_FINAL_JOBS", MAX_FINAL_JOBS)
        limit.start()
        self.addCleanup(limit.stop)
        self.state = models.State()
        self.offsets = itertools.count()
        self.change("teams/shops/accounts/north", harness.account_document())
        self.declare(SPEC)
        self.fold(records.SchedulerClaimed(harness.REGION, -1, "a@1"))

    def fold(self, body: records.Body) -> None:
        """Fold a record that is accepted."""
        offset = next(self.offsets)
        record = records.Record(f"r{offset}", "a@1", NOW, 10_000, body)
        self.state, applied = fold.fold(self.state, offset, record)
        self.assertTrue(applied.accepted, applied.reason)

    def change(self, path: str, document, revision: int = -1) -> None:
        """Replace a document."""
        content = parsing.to_json(document)
        edit = records.Edit(path, revision, content)
        self.fold(records.SettingsChanged("root", (edit,)))

    def declare(self, spec: documents.JobSpec, revision: int = -1) -> None:
        """Declare the job."""
        document = documents.DeclaredJob("north", "counter", spec)
        self.change(PATH, document, revision)

    def run_job(self, body: records.JobSubmitted) -> None:
        """Submit a job and cancel it."""
        self.fold(body)
        self.fold(records.JobCancelled(body.job_id, "me"))
        token = self.state.claims[harness.REGION].epoch
        settled = records.AttemptSettled(body.job_id, 0, token, "cancelled")
        self.fold(settled)
        self.assertTrue(self.state.jobs[body.job_id].phase.is_final)

    def run_others(self, count: int) -> None:
        """Let other jobs end."""
        for _ in range(count):
            name = f"j{next(self.offsets)}"
            self.run_job(
                records.JobSubmitted(
                    name,
                    harness.ACCOUNT,
                    "counter",
                    name,
                    harness.REGION,
                    SPEC,
                )
            )

    def due(self) -> list[records.Body]:
        """Return what a new owner submits."""
        appender = RecordingAppender()
        dependencies = types.SimpleNamespace(
            region=harness.REGION, appender=appender
        )
        declared.DeclaredJobs(dependencies).submit(self.state)
        return appender.bodies

    def test_declared_job_is_not_due_after_many_others(self):
        """It ended, whether or not its status is still kept."""
        (body,) = self.due()
        self.run_job(body)
        self.run_others(MAX_FINAL_JOBS * 2)
        self.assertEqual([], self.due())
        self.state = snapshots.decode(snapshots.encode(self.state))
        self.assertEqual([], self.due())

    def test_ended_jobs_are_dropped_nevertheless(self):
        """Other jobs, and those of earlier declarations, are not kept."""
        (body,) = self.due()
        self.run_job(body)
        revision = self.state.settings[PATH].revision
        self.declare(documents.JobSpec("scan", run_s=2.0), revision)
        self.run_others(MAX_FINAL_JOBS * 2)
        self.assertNotIn(body.job_id, self.state.jobs)
        self.assertLessEqual(len(self.state.final_jobs), MAX_FINAL_JOBS)

    def test_many_declared_jobs_leave_room_for_others(self):
        """A caller's key keeps its job although all places are declared."""
        for number in range(MAX_FINAL_JOBS + 1):
            document = documents.DeclaredJob("north", "counter", SPEC)
            self.change(f"{PATH}-{number}", document)
        for body in self.due():
            self.run_job(body)
        self.run_others(MAX_FINAL_JOBS)
        others = [
            job_id
            for job_id in self.state.jobs
            if not job_id.startswith("declared-")
        ]
        self.assertEqual(len(others), MAX_FINAL_JOBS)
        self.run_others(MAX_FINAL_JOBS)
        self.assertLessEqual(
            len(self.state.final_jobs), 2 * MAX_FINAL_JOBS + 2
        )
