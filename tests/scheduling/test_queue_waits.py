"""Floods: jobs that would begin too late are refused with a time to return."""

import dataclasses
import unittest

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import queue_waits
from tests.scheduling import harness
from tests.scheduling import test_planning


def make_jobs(count: int, priority: int, width: int = 4) -> list:
    """Return waiting jobs of 2 s tasks that take whole workers."""
    step = harness.make_step(width=width, accelerators=8)
    return [
        test_planning.make_job(step, priority=priority) for _ in range(count)
    ]


def waits(jobs: list) -> dict[str, int]:
    """Return the expected waits with four workers of eight accelerators."""
    workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
    return queue_waits.expected_waits(
        jobs, workers, estimates.Durations(), test_planning.NOW
    )


class WaitTest(unittest.TestCase):
    """Each waiting job fills all workers for 2 s."""

    def test_idle_service_has_no_wait(self):
        """Nothing is refused while workers have room."""
        self.assertEqual(waits([]), {})

    def test_waiting_work_is_worked_off_in_turn(self):
        """Five jobs wait for ten seconds in all."""
        self.assertEqual(waits(make_jobs(5, priority=1)), {"q1": 10_000})

    def test_less_urgent_work_delays_nobody(self):
        """An urgent job goes before a flood of batch work."""
        found = waits(make_jobs(20, priority=2) + make_jobs(1, priority=0))
        self.assertEqual(found, {"q2": 42_000, "q0": 2_000})

    def test_useless_work_delays_nobody(self):
        """What ends too late to be of use goes last."""
        jobs = make_jobs(5, priority=1)
        for job in jobs:
            job.accepted_at -= harness.seconds(60)
        self.assertEqual(waits(jobs), {})

    def test_placed_work_is_not_waited_for_twice(self):
        """Only tasks that wait for a start count."""
        jobs = make_jobs(2, priority=1)
        for step in jobs[0].steps_by_key.values():
            step.waiting.clear()
        self.assertEqual(waits(jobs), {"q1": 2_000})


class RefusalTest(unittest.TestCase):
    """The objective is 7 s, of use up to 21 s; the work takes 2 s."""

    def setUp(self):
        """Take a job that waits for its start."""
        self.job = make_jobs(1, priority=1)[0].job

    def test_useful_work_is_accepted(self):
        """Late but of use to its caller."""
        for wait_s in (0, 1, 18.9):
            wait = harness.seconds(wait_s)
            self.assertIsNone(queue_waits.retry_after_s(self.job, wait))

    def test_useless_work_is_told_when_to_return(self):
        """Not before the backlog is short enough."""
        after = queue_waits.retry_after_s(self.job, harness.seconds(25))
        self.assertEqual(after, 7)  # 25 s less 19 s of spare time, rounded up

    def test_retry_is_bounded(self):
        """Nobody is sent away for an hour."""
        after = queue_waits.retry_after_s(self.job, harness.seconds(10_000))
        self.assertEqual(after, queue_waits.MAX_RETRY_S)

    def test_lasting_work_is_never_too_late(self):
        """It has no objective that could be missed."""
        step = dataclasses.replace(self.job.steps[0], is_lasting=True)
        lasting = dataclasses.replace(self.job, steps=(step,))
        wait = harness.seconds(10_000)
        self.assertIsNone(queue_waits.retry_after_s(lasting, wait))
