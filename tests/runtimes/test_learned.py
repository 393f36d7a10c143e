"""Each use of the learned run times, under the load that it is for."""

import dataclasses
import datetime
import random
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.runtimes import learned
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import stragglers
from tests.scheduling import harness
from tests.scheduling import test_planning

NOW = test_planning.NOW
SECOND = datetime.timedelta(seconds=1)


def make_step(declared_s: float = 2.5, **fields: object) -> models.Step:
    """Return a step with a declared run time."""
    step = harness.make_step(**fields)
    return dataclasses.replace(step, estimate=harness.seconds(declared_s))


def teach(
    times: estimates.RunTimes,
    step: models.Step,
    times_s: list[float],
    priority: int = 0,
) -> None:
    """Let runs of the step's kind finish."""
    job = test_planning.make_job(step, priority=priority).job
    for time_s in times_s:
        times.observe(job, step, harness.seconds(time_s))


def urgent_times(count: int = 60) -> list[float]:
    """Return times with a median of 2.5 s, one in ten seven times as long."""
    source = random.Random(1)
    return [
        2.5 * source.lognormvariate(0, 0.4) * (7 if n % 10 == 0 else 1)
        for n in range(count)
    ]


def start_gang(
    job: runs.JobState, percent_rates: list[float], age_s: float
) -> list[runs.Run]:
    """Put a gang at work, each member on its own worker at its rate."""
    step = job.steps_by_key[0, 0]
    members = []
    for index, rate in enumerate(percent_rates):
        began_at = NOW - harness.seconds(age_s)
        run = runs.Run(
            step.key(index),
            1,
            f"w{index}",
            step,
            runs.Phase.AT_WORK,
            began_at,
        )
        run.record_percent(rate * 0.5, began_at + SECOND / 2)
        run.record_percent(rate * age_s, NOW)
        step.waiting.discard(index)
        step.runs_by_index[index] = run
        members.append(run)
    return members


class SlowTest(unittest.TestCase):
    """An urgent gang takes 11 s where the queue's mean is 2.5 s."""

    def setUp(self):
        """Learn the queue's times, most of them short."""
        step = make_step()
        self.times = learned.LearnedRunTimes()
        self.today = estimates.Durations()
        for times in (self.times, self.today):
            teach(times, step, urgent_times())
            teach(times, step, [2.5] * 3)
        self.gang = make_step(width=4, is_gang=True)

    def gang_runs(self, percent_rates: list[float], age_s: float = 2.0):
        """Return the members of a new gang at work."""
        job = test_planning.make_job(self.gang, priority=0)
        return start_gang(job, percent_rates, age_s)

    def test_gang_that_is_long_is_not_moved(self):
        """It was moved three times and took 24.5 s instead of 11 s."""
        members = self.gang_runs([100 / 11] * 4)
        moved = [stragglers.is_slow(m, self.today, NOW) for m in members]
        self.assertIn(True, moved)  # the load shows the fault
        for member in members:
            self.assertFalse(stragglers.is_slow(member, self.times, NOW))

    def test_member_on_a_slow_worker_is_moved(self):
        """One member takes 200 s, the others as long as usual."""
        members = self.gang_runs([40, 40, 40, 0.5])
        found = [stragglers.is_slow(m, self.times, NOW) for m in members]
        self.assertEqual(found, [False, False, False, True])

    def test_gang_is_moved_once(self):
        """Each of its members counted its own moves."""
        members = self.gang_runs([40, 40, 40, 0.5])
        members[3].step.moves_by_index[0] = 1
        self.assertFalse(stragglers.is_slow(members[3], self.times, NOW))

    def test_nothing_is_slow_before_runs_have_ended(self):
        """A declared time alone may be wrong by 90%."""
        members = self.gang_runs([0.5])
        fresh = learned.LearnedRunTimes()
        self.assertFalse(stragglers.is_slow(members[0], fresh, NOW))


class HoldTest(unittest.TestCase):
    """A worker is held until its run has ended in three of four cases."""

    def test_completion_is_the_upper_quartile(self):
        """By the mean, half of the holds expire before the run's end."""
        step = make_step(8.0, accelerators=8)
        job = test_planning.make_job(step, priority=1)
        worker = test_planning.make_worker("w1")
        test_planning.start(worker, job, 0.0)
        times = learned.LearnedRunTimes()
        source = random.Random(2)
        actual = [9 * source.lognormvariate(0, 0.5) for _ in range(80)]
        teach(times, step, actual, priority=1)
        ((left, _),) = holding.expected_completions(worker, times, NOW)
        covered = sum(time_s <= left / SECOND for time_s in actual) / 80
        self.assertAlmostEqual(covered, 0.75, delta=0.12)


class DrainTest(unittest.TestCase):
    """A worker leaves in 6 s; its run's queue declares 2 s, takes 9 s."""

    def outlasts(self, times: estimates.RunTimes, age_s: float) -> bool:
        """Return whether a run of this age would outlast the worker."""
        step = make_step(2.0)
        teach(times, step, [9.0, 8.0, 10.0, 9.5, 8.5, 9.0], priority=1)
        job = test_planning.make_job(step, priority=1)
        worker = test_planning.make_worker("w1")
        test_planning.start(worker, job, age_s)
        listing = dataclasses.replace(
            worker.listing,
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(6),
        )
        (run,) = worker.runs_by_task.values()
        return stragglers.outlasts_worker(run, listing, NOW, times, NOW)

    def test_learned_time_decides(self):
        """A run of 9 s must move at once, one that is nearly done not."""
        self.assertTrue(self.outlasts(learned.LearnedRunTimes(), 0.5))
        self.assertFalse(self.outlasts(learned.LearnedRunTimes(), 7.5))


class OrderTest(unittest.TestCase):
    """Two accounts declare 2 s; the jobs of one take 12 s."""

    def test_job_with_less_slack_goes_first(self):
        """With equal declared times the objectives were equal."""
        step = make_step(2.0)
        times = learned.LearnedRunTimes()
        short = test_planning.make_job(step)
        long = test_planning.make_job(step)
        long.job = dataclasses.replace(long.job, account="long")
        for _ in range(15):
            times.observe(short.job, step, harness.seconds(2))
            times.observe(long.job, step, harness.seconds(12))
        for state in (short, long):
            ordering.refresh_objective(state, NOW, times)
        self.assertAlmostEqual(short.objective / SECOND, 7, delta=2)
        self.assertGreater(long.objective / SECOND, 25)
        keys = [
            ordering.sort_key(state, NOW, frozenset(), times)
            for state in (short, long)
        ]
        self.assertLess(keys[0], keys[1])


class ForecastTest(unittest.TestCase):
    """Waiting jobs declare 2 s and take 8 s."""

    def test_wait_counts_what_the_jobs_will_take(self):
        """By declared times, jobs were accepted that could not end."""
        step = make_step(2.0, width=4, accelerators=8)
        times = learned.LearnedRunTimes()
        teach(times, step, [8.0] * 40, priority=1)
        jobs = [test_planning.make_job(step, priority=1) for _ in range(5)]
        workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
        found = queue_waits.expected_waits(
            jobs, workers, times, NOW, test_planning.WALL
        )
        self.assertAlmostEqual(found["q1"] / 1000, 40, delta=8)

    def test_refusal_uses_the_instance_s_copy(self):
        """A job that takes 8 s has a longer objective than declared."""
        step = make_step(2.0)
        job = test_planning.make_job(step, priority=1).job
        times = learned.LearnedRunTimes()
        teach(times, step, [8.0] * 40, priority=1)
        wait = harness.seconds(25)
        self.assertEqual(queue_waits.retry_after_s(job, wait), 7)
        self.assertIsNone(queue_waits.retry_after_s(job, wait, times))
        unknown = learned.LearnedRunTimes()
        self.assertEqual(queue_waits.retry_after_s(job, wait, unknown), 7)


class EvidenceTest(unittest.TestCase):
    """Evidence that must not mislead."""

    def run_on(
        self, worker_id: str, job: runs.JobState, index: int = 0
    ) -> runs.Run:
        """Return a run at work."""
        step = job.steps_by_key[0, 0]
        return runs.Run(
            step.key(index), 1, worker_id, step, runs.Phase.AT_WORK, NOW
        )

    def test_worker_that_ends_everything_at_once_changes_little(self):
        """It gets nine of ten starts, as it is always free."""
        times = learned.LearnedRunTimes()
        step = make_step(9.0)
        source = random.Random(3)
        for number in range(600):
            job = test_planning.make_job(step, priority=1)
            is_bad = number % 10 != 0
            name = "bad" if is_bad else f"w{source.randrange(12)}"
            actual = 0.01 if is_bad else 9 * source.lognormvariate(0, 0.3)
            run = self.run_on(name, job)
            times.observe_run(run, harness.seconds(actual))
        found = times.expected(job.job, step) / SECOND
        self.assertGreater(found, 5)

    def test_wide_step_counts_as_one_run(self):
        """Forty tasks of one long job are not forty jobs."""
        times = learned.LearnedRunTimes()
        step = make_step(0.0)
        teach(times, step, [3.0] * 10, priority=1)
        wide = make_step(0.0, width=40)
        job = test_planning.make_job(wide, priority=1).job
        for _ in range(40):
            times.observe(job, wide, harness.seconds(30))
        self.assertLess(times.expected(job, step) / SECOND, 5)

    def test_job_stopped_again_and_again_counts_little(self):
        """The runs of one job were stopped 164 times."""
        times = learned.LearnedRunTimes()
        step = make_step(0.0)
        teach(times, step, [3.0] * 20, priority=1)
        job = test_planning.make_job(step, priority=1)
        run = self.run_on("w1", job)
        for _ in range(164):
            run.step.count_run(0)
            times.observe_stopped(run, harness.seconds(20))
        self.assertLess(times.expected(job.job, step) / SECOND, 5)

    def test_runs_that_say_nothing_are_left_out(self):
        """A hung, resumed, remote or inherited run has another time."""
        times = learned.LearnedRunTimes()
        job = test_planning.make_job(make_step(3.0), priority=1)
        for field in ("is_resumed", "is_remote", "is_inherited"):
            run = self.run_on("w1", job)
            setattr(run, field, True)
            times.observe_stopped(run, harness.seconds(20))
        run = self.run_on("w1", job)
        run.stop_reason = stragglers.STALLED
        times.observe_stopped(run, harness.seconds(20))
        self.assertEqual(len(times.known.by_key), 0)

    def test_clock_that_jumps_back_breaks_nothing(self):
        """A negative run time is no evidence."""
        times = learned.LearnedRunTimes()
        job = test_planning.make_job(make_step(3.0), priority=1)
        run = self.run_on("w1", job)
        times.observe_run(run, harness.seconds(-50))
        times.observe_stopped(run, harness.seconds(-50))
        self.assertEqual(len(times.known.by_key), 0)
        expected = times.expected(job.job, run.step.model)
        self.assertEqual(expected, run.step.model.estimate)

    def test_percentages_that_go_backward_are_ignored(self):
        """The time that others took decides then."""
        times = learned.LearnedRunTimes()
        step = make_step(3.0)
        teach(times, step, [9.0] * 20, priority=1)
        job = test_planning.make_job(step, priority=1)
        run = self.run_on("w1", job)
        run.record_percent(80, NOW + SECOND)
        run.record_percent(10, NOW + 3 * SECOND)
        left = times.remaining(run, NOW + 3 * SECOND) / SECOND
        self.assertAlmostEqual(left, 6, delta=1.5)

    def test_estimates_follow_new_evidence(self):
        """Cached estimates would hide a change."""
        times = learned.LearnedRunTimes()
        step = make_step(0.0)
        job = test_planning.make_job(step, priority=1).job
        teach(times, step, [9.0] * 60, priority=1)
        self.assertAlmostEqual(times.expected(job, step) / SECOND, 9, delta=1)
        teach(times, step, [2.0] * 10, priority=1)
        self.assertLess(times.expected(job, step) / SECOND, 3)

    def test_workers_are_compared_within_a_step(self):
        """A slow worker shows whatever the steps' own times are."""
        times = learned.LearnedRunTimes()
        source = random.Random(5)
        for _ in range(40):
            job = test_planning.make_job(make_step(3.0, width=6))
            level = source.uniform(1, 50)
            for index in range(6):
                run = self.run_on(f"w{index}", job, index)
                factor = 1.25 if index == 0 else 1.0
                actual = level * factor * source.uniform(0.9, 1.1)
                times.observe_run(run, harness.seconds(actual))
        self.assertAlmostEqual(times.worker_speed("w0"), 0.8, delta=0.06)
        self.assertAlmostEqual(times.worker_speed("w1"), 1.0, delta=0.06)


if __name__ == "__main__":
    unittest.main()
