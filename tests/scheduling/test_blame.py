"""Whose fault failed runs are."""

import unittest

from cardamomcroft.scheduling import blame

WORKERS = [f"w{number}" for number in range(24)]


class BlameTest(unittest.TestCase):
    """Steps fail on workers, which run nothing else meanwhile."""

    def setUp(self):
        """Know of no failure."""
        self.blame = blame.Blame()

    def fail(self, worker_id: str, job_id: str, count: int = 1) -> None:
        """Record failures of a job's first step."""
        for _ in range(count):
            self.blame.record_failure(worker_id, (job_id, 0))

    def test_each_failure_of_a_spoiled_worker_counts(self):
        """As long as the steps fail nowhere else."""
        for number in range(3):
            self.fail("w1", f"j{number}")
        self.assertEqual(self.blame.weight("w1"), 3)

    def test_job_that_fails_everywhere_speaks_against_no_worker(self):
        """However often it fails."""
        for _ in range(100):
            for worker_id in WORKERS:
                self.fail(worker_id, "j")
        self.assertLess(max(map(self.blame.weight, WORKERS)), 0.1)

    def test_several_such_jobs_beside_others_that_succeed(self):
        """Their workers are sound."""
        for number in range(10):
            for worker_id in WORKERS:
                self.blame.record_success(worker_id)
                self.fail(worker_id, f"j{number}", 5)
        self.assertLess(max(map(self.blame.weight, WORKERS)), 1)

    def test_spoiled_worker_beside_a_job_that_fails_everywhere(self):
        """Its failures of other jobs are told apart."""
        for worker_id in WORKERS:
            self.fail(worker_id, "bad", 3)
        self.fail("w1", "a")
        self.fail("w1", "b")
        self.assertGreaterEqual(self.blame.weight("w1"), 2)
        self.assertLess(self.blame.weight("w2"), 1)

    def test_spoiled_rack_fails_several_steps(self):
        """Steps that fail on the same workers only are not to blame."""
        for number in range(3):
            for worker_id in WORKERS[:6]:
                self.fail(worker_id, f"j{number}", 2)
        for worker_id in WORKERS[:6]:
            self.assertGreaterEqual(self.blame.weight(worker_id), 2)

    def test_one_step_on_two_workers(self):
        """Nothing else has failed there, so the step is to blame."""
        self.fail("w1", "j", 5)
        self.assertEqual(self.blame.weight("w1"), 5)
        self.fail("w2", "j")
        self.assertLess(self.blame.weight("w1"), 1)
        self.assertTrue(self.blame.has_failed("w1"))

    def test_success_clears_a_worker(self):
        """It can run tasks."""
        self.fail("w1", "j", 5)
        self.blame.record_success("w1")
        self.assertEqual(self.blame.weight("w1"), 0)

    def test_memory_is_bounded(self):
        """The oldest steps are forgotten."""
        for number in range(blame.MAX_STEPS + 10):
            self.fail("w1", f"j{number}")
        self.assertEqual(self.blame.weight("w1"), blame.MAX_STEPS)


if __name__ == "__main__":
    unittest.main()
