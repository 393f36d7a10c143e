"""The cost of a stop decides which runs are stopped for urgent work."""

import unittest

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import run_ends
from cardamomcroft.sharing import victims
from tests.scheduling import harness
from tests.scheduling import test_planning
from tests.sharing import load_harness
from tests.sharing import rounds


def make_costs() -> victims.VictimCosts:
    """Return the costs of a round."""
    ends = run_ends.RunEnds(estimates.Durations(), rounds.NOW)
    return victims.VictimCosts(ends, rounds.LEAD, rounds.NOW)


class CostTest(unittest.TestCase):
    """What a stop costs."""

    def put(self, age_s: float, left_s: float | None, **fields) -> runs.Run:
        """Return the first run of a job at work."""
        job = rounds.make_job(1, harness.make_step(accelerators=8, **fields))
        worker = test_planning.make_worker("w1")
        return rounds.put_at_work(job, [worker], age_s, left_s)[0]

    def test_each_stop_doubles_the_cost(self):
        """Without it the same job is stopped again and again."""
        run = self.put(5, None)
        costs = make_costs()
        weights = []
        for _ in range(4):
            weights.append(costs.weigh([run], 10.0))
            victims.count_stop(run)
        self.assertEqual(weights, [10, 20, 40, 80])
        self.assertTrue(costs.is_exempt([run]))

    def test_work_nearly_done_costs_more(self):
        """Of equal losses, the run that is about to end costs more."""
        costs = make_costs()
        young = costs.weigh([self.put(4, 36)], 10.0)
        old = costs.weigh([self.put(36, 4)], 10.0)
        self.assertAlmostEqual(young, 11, delta=0.1)
        self.assertAlmostEqual(old, 19, delta=0.1)

    def test_outlasted_estimate_is_no_end(self):
        """A run over its estimate may be stopped: it may take for ever."""
        self.assertFalse(make_costs().ends_within_lead(self.put(5, None)))

    def test_work_that_lasts_never_ends(self):
        """It frees no capacity by itself."""
        run = self.put(5, 0.5, is_lasting=True)
        self.assertIsNone(make_costs().left(run))

    def test_inherited_run_counts_by_its_number(self):
        """A successor knows of earlier stops only by run numbers."""
        run = self.put(5, None)
        run.number, run.is_inherited = 20_004, True
        self.assertEqual(victims.stop_count(run), 3)
        run.step.failures_by_index[0] = (20_001, 20_002)
        self.assertEqual(victims.stop_count(run), 1)
        run.number = 20_090
        self.assertFalse(make_costs().is_exempt([run]))
        victims.count_stop(run)
        run.is_inherited = False
        self.assertTrue(make_costs().is_exempt([run]))


class VictimTest(unittest.TestCase):
    """Rounds in which urgent work stops one of two runs."""

    def setUp(self):
        """Create two workers."""
        self.workers = [test_planning.make_worker(f"w{n}") for n in (1, 2)]
        self.jobs: list[runs.JobState] = []
        self.guarantees: dict[str, int] = {}

    def fill(self, number: int, age_s: float, left_s: float) -> runs.Run:
        """Fill a worker with a run."""
        job = rounds.make_job(number, harness.make_step(accelerators=8))
        self.jobs.append(job)
        worker = self.workers[number - 1]
        return rounds.put_at_work(job, [worker], age_s, left_s)[0]

    def stopped(self, **fields) -> list[str]:
        """Return the workers on which an urgent job stops a run."""
        step = harness.make_step(accelerators=8)
        job = rounds.make_job(9, step, 0, "owner", **fields)
        inputs = rounds.make_inputs(
            [*self.jobs, job],
            self.workers,
            accelerators_by_account=self.guarantees,
        )
        return [stop.run.worker_id for stop in rounds.plan(inputs).stops]

    def test_job_stopped_before_is_spared(self):
        """The older run loses more, but was not stopped before."""
        young = self.fill(1, 1, 20)
        self.fill(2, 3, 20)
        self.assertEqual(self.stopped(), ["w1"])
        for _ in range(2):
            victims.count_stop(young)
        self.assertEqual(self.stopped(), ["w2"])

    def test_job_stopped_four_times_yields_to_guarantees_only(self):
        """Even if nothing else could be stopped."""
        for number in (1, 2):
            run = self.fill(number, 1, 20)
            for _ in range(victims.MAX_STOPS):
                victims.count_stop(run)
        self.assertEqual(self.stopped(), [])
        self.guarantees = {"owner": 8}
        self.assertEqual(len(self.stopped()), 1)

    def test_run_that_ends_in_time_is_no_victim(self):
        """It has done least, and would be the cheapest."""
        self.fill(1, 0.5, 0.5)
        self.fill(2, 3, 20)
        for run in self.jobs[0].runs:
            run.first_reported_at -= harness.seconds(1)
            run.first_percent = 0.0
            run.percent = 90.0
        self.assertEqual(self.stopped(), [])


class RepeatedBurstTest(load_harness.LoadTestCase):
    """Bursts of urgent work come again and again beside long gangs."""

    worker_count = 8
    rack_count = 2

    async def play(self, plans_ahead: bool) -> int:
        """Return how often the gang stopped most often was stopped."""
        await self.begin(plans_ahead)
        long_gang = harness.make_step(4, 2, is_gang=True)
        jobs = [self.submit_for(long_gang, 40, priority=2) for _ in range(16)]
        urgent = harness.make_step(2, 8, is_gang=True, is_rack_local=True)
        for _ in range(20):
            await self.play_on(2)
            self.submit_for(urgent, 1, priority=0)
        await self.play_on(2)
        return max(self.gang_stops(job_id) for job_id in jobs)

    def gang_stops(self, job_id: str) -> int:
        """Count the runs of a gang that were stopped."""
        return len(
            {
                interval.run
                for interval in self.fleet.intervals
                if interval.task.startswith(job_id)
                and interval.end is load_harness.fleet.End.STOPPED
            }
        )

    async def test_no_job_pays_for_all(self):
        """The job that began last was always the cheapest to stop."""
        today = await self.play(plans_ahead=False)
        ahead = await self.play(plans_ahead=True)
        self.assertGreater(today, 10)
        self.assertLessEqual(ahead, victims.MAX_STOPS)
