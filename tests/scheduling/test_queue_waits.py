"""Expected waits, and refusal of jobs that would start too late."""

import dataclasses
import datetime
import unittest

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
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
        jobs,
        workers,
        estimates.Durations(),
        test_planning.NOW,
        test_planning.WALL,
    )


class WaitTest(unittest.TestCase):
    """Each waiting job fills all workers for 2 s."""

    def test_idle_service_has_no_wait(self):
        """An idle service has no wait, so it refuses nothing."""
        self.assertEqual(waits([]), {})

    def test_waiting_work_is_worked_off_in_turn(self):
        """Five queued jobs of 2 s each make a wait of ten seconds."""
        self.assertEqual(waits(make_jobs(5, priority=1)), {"q1": 10_000})

    def test_less_urgent_work_delays_nobody(self):
        """An urgent job does not wait for a flood of batch work."""
        found = waits(make_jobs(20, priority=2) + make_jobs(1, priority=0))
        self.assertEqual(found, {"q2": 42_000, "q0": 2_000})

    def test_work_past_its_final_deadline_delays_nobody(self):
        """Jobs past their final deadline are ordered last."""
        jobs = make_jobs(5, priority=1)
        for job in jobs:
            job.accepted_at -= harness.seconds(60)
        self.assertEqual(waits(jobs), {})

    def test_placed_work_is_not_waited_for_twice(self):
        """Only waiting tasks add to the wait."""
        jobs = make_jobs(2, priority=1)
        for step in jobs[0].steps_by_key.values():
            step.waiting.clear()
        self.assertEqual(waits(jobs), {"q1": 2_000})


class TimetableTest(unittest.TestCase):
    """A job fills all workers for 2 s at each hour of a month."""

    def waits(self, hours: int) -> dict[str, int]:
        """Return the waits when the first hours have passed."""
        hour = datetime.timedelta(hours=1)
        first_due = test_planning.WALL - hour * hours + hour / 2
        timetable = models.Timetable(first_due, hour, 720)
        (job,) = make_jobs(1, priority=1)
        declared = dataclasses.replace(job.job, timetable=timetable)
        state = occurrences.make_job_state(declared, None, job.accepted_at)
        occurrences.open_due(state, test_planning.WALL)
        return waits([state])

    def test_occurrences_that_are_not_due_delay_nobody(self):
        """They were counted as waiting, so that others were refused."""
        self.assertEqual(self.waits(0), {})
        self.assertEqual(self.waits(3), {"q1": 6_000})

    def test_occurrences_that_are_due_count_though_not_open(self):
        """A backlog counts as a whole."""
        due = 2 * occurrences.MAX_IDLE_OCCURRENCES
        self.assertEqual(self.waits(due), {"q1": due * 2_000})


class RefusalTest(unittest.TestCase):
    """Objective 7 s, final deadline 21 s, run time 2 s."""

    def setUp(self):
        """Create the job to submit."""
        self.job = make_jobs(1, priority=1)[0].job

    def test_work_within_its_final_deadline_is_accepted(self):
        """A late job within its final deadline is accepted."""
        for wait_s in (0, 1, 18.9):
            wait = harness.seconds(wait_s)
            self.assertIsNone(queue_waits.retry_after_s(self.job, wait))

    def test_late_work_is_told_when_to_return(self):
        """The retry time leaves the backlog time to become short enough."""
        after = queue_waits.retry_after_s(self.job, harness.seconds(25))
        self.assertEqual(after, 7)  # 25 s less 19 s of spare time, rounded up

    def test_retry_is_bounded(self):
        """Even a long wait gives a bounded retry time."""
        after = queue_waits.retry_after_s(self.job, harness.seconds(10_000))
        self.assertEqual(after, queue_waits.MAX_RETRY_S)

    def test_lasting_work_is_never_too_late(self):
        """Lasting work has no objective that could be missed."""
        step = dataclasses.replace(self.job.steps[0], is_lasting=True)
        lasting = dataclasses.replace(self.job, steps=(step,))
        wait = harness.seconds(10_000)
        self.assertIsNone(queue_waits.retry_after_s(lasting, wait))
