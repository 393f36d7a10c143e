"""An urgent step preempts at once, or waits for runs that end in time."""

import dataclasses
import unittest

from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import deciding
from tests.scheduling import harness
from tests.scheduling import test_planning
from tests.sharing import load_harness
from tests.sharing import rounds

TERMS = deciding.Terms(rounds.LEAD, rounds.RECLAIM)
CHOICE = preempting.Choice(1.0, "w1", ())


class DecideTest(unittest.TestCase):
    """Which limits the searches for capacity get."""

    def decide(
        self, found: list[bool], waited_s: float, **fields: object
    ) -> list[deciding.Limits]:
        """Return the limits of the searches, given what they find."""
        case = deciding.Case(
            harness.seconds(waited_s), False, 50.0, rounds.LEAD
        )
        asked: list[deciding.Limits] = []

        def search(limits):
            asked.append(limits)
            return [CHOICE] if found[len(asked) - 1] else []

        case = dataclasses.replace(case, **fields)
        deciding.decide(case, TERMS, search, search)
        return asked

    def test_job_without_guarantee_keeps_its_limit(self):
        """It is searched for once, with ends within the lead time."""
        limits = deciding.Limits(50.0, rounds.LEAD)
        self.assertEqual(self.decide([False], 0), [limits])

    def test_guaranteed_job_has_no_limit_if_waiting_cannot_serve(self):
        """From the first moment, however little it has waited."""
        asked = self.decide([False, False, True], 0, is_guaranteed=True)
        self.assertEqual(asked[-1].max_cost, float("inf"))
        self.assertEqual(len(asked), 3)

    def test_guaranteed_job_waits_if_that_serves_it(self):
        """Ends up to two thirds of its bound count, and nothing stops."""
        asked = self.decide([False, True], 0.2, is_guaranteed=True)
        self.assertEqual(len(asked), 2)
        self.assertEqual(asked[-1].max_cost, 0)
        latest = harness.seconds(3.4) * 2 / 3 - harness.seconds(0.2)
        self.assertLessEqual(asked[-1].horizon, latest)
        self.assertGreater(asked[-1].horizon, latest - deciding.HORIZON_STEP)

    def test_guaranteed_job_stops_waiting_in_time(self):
        """At its last moment forecasts count no more."""
        asked = self.decide([True], 1.1, is_guaranteed=True)
        self.assertEqual(asked, [deciding.Limits(float("inf"), None)])
        left = TERMS.reclaim - TERMS.latest_stop - TERMS.lead
        self.assertGreater(left, harness.seconds(1))

    def test_failed_forecast_is_not_trusted_again(self):
        """A forecast that moves on with the clock ends the wait."""
        lead, until = rounds.LEAD, rounds.NOW
        self.assertEqual(deciding.horizon(None, lead, until), lead)
        for after_s, expected in (
            (-2, lead),
            (-0.5, harness.seconds(0.5)),
            (0, None),
            (3.5, None),
            (3.6, lead),
        ):
            now = until + harness.seconds(after_s)
            self.assertEqual(deciding.horizon(until, lead, now), expected)


class RoundTest(unittest.TestCase):
    """Single rounds beside runs whose ends are known."""

    def setUp(self):
        """Create two racks of two workers, full of long work."""
        self.workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
        for worker, rack in zip(self.workers, "aabb", strict=True):
            worker.listing = dataclasses.replace(worker.listing, rack=rack)
        self.jobs: list[runs.JobState] = []

    def fill(self, numbers: list[int], age_s, left_s, **fields) -> list:
        """Fill workers with one job's tasks."""
        step = harness.make_step(len(numbers), 8, **fields)
        job = rounds.make_job(len(self.jobs) + 1, step)
        self.jobs.append(job)
        workers = [self.workers[number] for number in numbers]
        return rounds.put_at_work(job, workers, age_s, left_s)

    def submit(self, width: int, **fields) -> runs.StepState:
        """Submit an urgent rack-local gang."""
        step = harness.make_step(width, 8, is_gang=True, is_rack_local=True)
        job = rounds.make_job(99, step, priority=0, **fields)
        self.jobs.append(job)
        return job.steps_by_key[0, 0]

    def plan(self, **fields):
        """Plan one round."""
        return rounds.plan(
            rounds.make_inputs(self.jobs, self.workers, **fields)
        )

    def test_gang_waits_for_a_rack(self):
        """Both workers of a rack become free sooner than by a stop."""
        self.fill([0, 1], 3, 20)
        self.fill([2, 3], 5, 0.8)
        step = self.submit(2)
        self.assertEqual(self.plan().stops, [])
        self.assertEqual(sorted(step.awaited), ["w2", "w3"])

    def test_gang_does_not_wait_for_two_racks(self):
        """What becomes free lies in different racks."""
        self.fill([0], 1, 20)
        self.fill([1], 5, 0.8)
        self.fill([2], 1, 20)
        self.fill([3], 5, 0.8)
        self.submit(2)
        stops = self.plan().stops
        # The run that ends in time is awaited, the other one stops.
        self.assertEqual(len(stops), 1)
        self.assertIn(stops[0].run.worker_id, ("w0", "w2"))

    def test_members_of_a_gang_end_together(self):
        """A gang's slowest member decides when its capacity is free."""
        members = self.fill([2, 3], 1, 5, is_gang=True)
        members[0].percent = 95.0
        self.fill([0, 1], 1, 30)
        self.submit(1)
        self.assertEqual(len(self.plan().stops), 1)

    def test_late_end_is_no_reason_to_wait(self):
        """A stop is sooner, so the step preempts in its first round."""
        self.fill([0, 1, 2, 3], 1, 2)
        self.submit(2)
        self.assertEqual(len(self.plan().stops), 2)

    def test_single_estimate_is_no_forecast(self):
        """A declared time of 2 s does not say that a run ends within it."""
        self.fill([0, 1, 2, 3], 1, None)
        self.submit(2)
        self.assertEqual(len(self.plan().stops), 2)

    def test_second_step_does_not_wait_for_the_same_runs(self):
        """What the first one awaits is taken, also between searches."""
        self.fill([0, 1], 1, 20)
        self.fill([2, 3], 5, 0.8)
        first = self.submit(2, waited_s=0.2)
        self.plan()
        step = harness.make_step(2, 8, is_gang=True, is_rack_local=True)
        self.jobs.append(rounds.make_job(100, step, 0, waited_s=0))
        stops = self.plan().stops
        self.assertEqual(sorted(first.awaited), ["w2", "w3"])
        self.assertEqual({s.run.worker_id for s in stops}, {"w0", "w1"})

    def test_capacity_being_freed_for_others_is_not_awaited(self):
        """The runs that end are reserved for another step."""
        self.fill([0, 1], 1, 20)
        self.fill([2, 3], 5, 0.8)
        other = self.submit(2)
        inputs = rounds.make_inputs(self.jobs, self.workers)
        inputs.reservations.add(other, ["w2", "w3"], rounds.NOW)
        step = harness.make_step(2, 8, is_gang=True, is_rack_local=True)
        self.jobs.append(rounds.make_job(100, step, 0))
        stops = rounds.plan(inputs).stops
        self.assertEqual({s.run.worker_id for s in stops}, {"w0", "w1"})

    def test_start_ends_the_wait(self):
        """A wait that succeeded is no reason to distrust the next."""
        self.fill([0, 1], 1, 20)
        members = self.fill([2, 3], 5, 0.8)
        step = self.submit(2)
        self.plan()
        for run in members:
            run.phase = runs.Phase.ENDED
            del self.workers[int(run.worker_id[1:])].runs_by_task[run.name]
        later = rounds.NOW + harness.seconds(0.8)
        self.assertEqual(len(self.plan(now=later).starts), 2)
        self.assertEqual(step.awaited, ())
        self.assertIsNone(step.awaits_until)

    def test_awaited_run_that_slows_down_ends_the_wait(self):
        """The step preempts as soon as its forecast fails."""
        self.fill([0, 1], 1, 20)
        members = self.fill([2, 3], 5, 0.8)
        self.submit(2)
        self.assertEqual(self.plan().stops, [])
        members[0].percent = 20.0
        later = rounds.NOW + harness.seconds(0.3)
        self.assertEqual(len(self.plan(now=later).stops), 2)

    def test_reactive_planning_stops_what_ends_soon(self):
        """Where scheduling does not plan ahead nothing is awaited."""
        self.fill([0, 1, 2, 3], 2, 0.5)
        step = self.submit(2)
        plan = self.plan(plans_ahead=False)
        self.assertEqual(len(plan.stops), 2)
        self.assertEqual(step.awaited, ())


class WaitOrPreemptTest(load_harness.LoadTestCase):
    """Urgent gangs come to workers full of work of all ages."""

    worker_count = 12
    rack_count = 3

    async def play(self, plans_ahead: bool) -> load_harness.Outcome:
        """Play ten urgent gangs, one each second."""
        await self.begin(plans_ahead)
        for number in range(60):
            step = harness.make_step(4, 4, is_gang=True, is_rack_local=True)
            self.submit_for(step, 3 + number % 5 * 2, priority=2)
            await self.play_on(0.1)
        urgent = harness.make_step(3, 4, is_gang=True, is_rack_local=True)
        for _ in range(10):
            self.submit_for(urgent, 1.5, priority=0)
            await self.play_on(1)
        await self.play_on(2)
        return self.outcome()

    async def test_gangs_begin_sooner(self):
        """Waiting 0.9 s and preempting then was the slowest way."""
        today = await self.play(plans_ahead=False)
        ahead = await self.play(plans_ahead=True)
        self.assertLess(ahead.mean_wait_s, today.mean_wait_s)
        self.assertLess(ahead.stopped_core_s, today.stopped_core_s)


class ReclaimTest(load_harness.LoadTestCase):
    """Guaranteed work starts within its bound, whatever the forecasts say."""

    worker_count = 6
    rack_count = 2

    async def reclaim(
        self, run_s: float, age_s: float, hangs: bool = False
    ) -> float:
        """Return the wait of a guaranteed gang beside work of an age."""
        await self.begin(plans_ahead=True)
        self.fleet.stop_time = load_harness.STOP_BOUND
        self.submit_for(harness.make_step(width=48), run_s, priority=2)
        await self.play_on(age_s)
        self.guarantee({"b": 16})
        gang = harness.make_step(2, 8, is_gang=True, is_rack_local=True)
        job_id = self.submit_for(gang, 2, priority=0, account="b")
        await self.play_on(0.2)
        scheduler = self.nodes_by_name["a"].scheduler
        step = scheduler.cluster.jobs_by_id[job_id].steps_by_key[0, 0]
        self.assertEqual(bool(step.awaited), hangs)
        for worker in self.fleet.workers_by_id.values():
            worker.hangs = hangs
        await self.play_on(3.4)
        return max(self.outcome().waits_s)

    async def test_old_work_is_stopped_at_once(self):
        """Its cost exceeds any limit; the guarantee has none."""
        self.assertLess(await self.reclaim(90, 40), 1.4)

    async def test_hanging_work_is_stopped_in_time(self):
        """Runs that are awaited and hang do not break the bound."""
        self.assertLess(await self.reclaim(9, 8.2, hangs=True), 3.0)
