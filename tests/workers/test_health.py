"""Quarantine of workers on which several jobs fail."""

import unittest

from cardamomcroft.log import records
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.state import models
from cardamomcroft.workers import avoidance
from cardamomcroft.workers import health as healths

WORKERS = [f"w{number}" for number in range(24)]


class QuarantineLimitTest(unittest.TestCase):
    """Jobs that can never succeed come one after the other."""

    def setUp(self):
        """Know of no failure."""
        self.clock = clocks.FakeClock()
        self.health = healths.Health(self.clock)

    def fail(self, worker_id: str, job_id: str) -> None:
        """Record a task of a job that failed on a worker."""
        end = records.TaskEnd(
            messages.TaskId(job_id, 1, 0), records.EndKind.FAILED
        )
        ended = records.TasksEnded(worker_id, (end,))
        record = records.Record(job_id, "a", self.clock.now(), 0, ended)
        self.health.observe(record, models.Applied(0, True))

    def test_failing_jobs_leave_most_workers_usable(self):
        """Guard against a region without usable workers."""
        for number in range(48):
            self.fail(WORKERS[number % 24], f"j{number}")
        alone = [w for w in WORKERS if not self.health.is_usable(w)]
        self.assertEqual(alone, WORKERS, "the jobs quarantine no worker")
        unusable = self.health.unusable(WORKERS)
        self.assertEqual(len(unusable), avoidance.max_avoided(24))

    def test_spoiled_workers_stay_in_quarantine(self):
        """As long as they are few."""
        for worker_id in WORKERS[:3]:
            self.fail(worker_id, f"a{worker_id}")
            self.fail(worker_id, f"b{worker_id}")
        self.assertEqual(self.health.unusable(WORKERS), set(WORKERS[:3]))

    def test_only_worker_is_never_in_quarantine(self):
        """The work has to run somewhere."""
        self.fail("w1", "a")
        self.fail("w1", "b")
        self.assertEqual(self.health.unusable(["w1"]), set())


if __name__ == "__main__":
    unittest.main()
