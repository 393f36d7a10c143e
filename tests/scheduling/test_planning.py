"""Decisions of a single round, without nodes or a clock."""

import collections
import dataclasses
import datetime
import itertools
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from tests.scheduling import harness

WALL = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
NOW = datetime.timedelta(seconds=100)


def make_worker(name: str, accelerators: int = 8) -> runs.Worker:
    """Return an idle worker."""
    address = fleet.Address(name, f"{name}:80")
    worker = runs.Worker(address, 1)
    worker.listing = fleet.Listing(
        address,
        "svc",
        fleet.ServerState.READY,
        "dc",
        1,
        0,
        frozenset({"a", "r1"}),
        "r1",
        64_000,
        131_072,
        accelerators,
        None,
    )
    return worker


def make_job(
    *steps: models.Step, priority: int = 1, number: int = 0
) -> runs.JobState:
    """Return a job that was accepted a second ago."""
    queue = harness.make_queue(priority)
    job = models.Job(
        f"{number:016x}", queue, "acc", "payload", steps, None, WALL
    )
    accepted_at = NOW - harness.seconds(1)
    return occurrences.make_job_state(job, None, accepted_at)


def make_inputs(
    jobs: list[runs.JobState],
    workers: list[runs.Worker],
    reserved: reservations.Reservations | None = None,
) -> planning.RoundInputs:
    """Return the inputs of a round."""
    return planning.RoundInputs(
        jobs,
        {worker.worker_id: worker for worker in workers},
        NOW,
        WALL,
        {},
        reserved or reservations.Reservations(),
        estimates.Durations(),
        headroom.Headroom(),
        holding.Holds(),
    )


class SpreadTest(unittest.TestCase):
    """Steps with a spread limit."""

    def test_reservations_count_towards_spread_limit(self):
        """Reserved and newly placed tasks together respect the limit."""
        job = make_job(harness.make_step(width=6, spread_limit=2))
        step = job.steps_by_key[0, 0]
        reserved = reservations.Reservations()
        reserved.add(step, ["w1"], NOW)
        reserved.add(step, ["w1"], NOW)
        workers = [make_worker("w1"), make_worker("w2"), make_worker("w3")]
        plan = planning.Planner(make_inputs([job], workers, reserved)).plan()
        counts = collections.Counter(s.worker_id for s in plan.starts)
        self.assertEqual(counts, {"w1": 2, "w2": 2, "w3": 2})
        indexes = [start.index for start in plan.starts]
        self.assertEqual(sorted(indexes), list(range(6)))


def start(worker: runs.Worker, job: runs.JobState, age_s: float) -> None:
    """Put a job's only task at work on a worker."""
    step = job.steps_by_key[0, 0]
    run = runs.Run(
        step.key(0),
        1,
        worker.worker_id,
        step,
        runs.Phase.AT_WORK,
        NOW - harness.seconds(age_s),
    )
    step.waiting.clear()
    step.runs_by_index[0] = run
    worker.runs_by_task[run.name] = run


class EqualDemandTest(unittest.TestCase):
    """Steps of the same demand that may run on different workers.

    More than half of the room is in use, so nobody may use what is kept.
    """

    def check_starts(
        self, earlier: runs.JobState, later: runs.JobState, worker: runs.Worker
    ) -> None:
        """Check that a job starts although an earlier one can't."""
        full = make_worker("w2")
        start(full, make_job(harness.make_step(accelerators=8)), 5)
        inputs = make_inputs([earlier, later], [worker, full])
        plan = planning.Planner(inputs).plan()
        started = [start.step.job for start in plan.starts]
        self.assertEqual(started, [later])

    def test_spread_limit_of_another_job_blocks_nobody(self):
        """A job stood beside a free worker that another may not use more."""
        worker = make_worker("w1")
        spread = make_job(harness.make_step(width=2, spread_limit=1))
        start(worker, spread, 5)
        spread.steps_by_key[0, 0].waiting.add(1)
        for limit in (0, 1):
            with self.subTest(limit=limit):
                step = harness.make_step(spread_limit=limit)
                later = make_job(step, number=1)
                self.check_starts(spread, later, worker)

    def test_filling_step_needs_no_cores(self):
        """It stood as one of the same demand that needs cores did not fit."""
        worker = make_worker("w1")
        start(worker, make_job(harness.make_step()), 5)
        step = harness.make_step()
        cores = worker.listing.milli_cores
        demand = dataclasses.replace(step.demand, milli_cores=cores)
        step = dataclasses.replace(step, demand=demand)
        filling = dataclasses.replace(step, is_filling=True)
        self.check_starts(make_job(step), make_job(filling), worker)


class EmptyRackTest(unittest.TestCase):
    """Gangs that want one rack, and how many tasks a rack could take."""

    def check_starts(self, *jobs: runs.JobState) -> None:
        """Check that the last job starts, on four workers of two racks."""
        workers = [make_worker(f"w{n}") for n in range(4)]
        for number, worker in enumerate(workers):
            rack = f"r{number % 2}"
            worker.listing = dataclasses.replace(worker.listing, rack=rack)
        plan = planning.Planner(make_inputs(list(jobs), workers)).plan()
        started = collections.Counter(
            start.step.job is jobs[-1] for start in plan.starts
        )
        width = jobs[-1].steps_by_key[0, 0].model.width
        self.assertEqual(started, {True: width})

    def test_gang_whose_spread_no_rack_allows_spans_racks(self):
        """It waited for twice its estimate for a rack that never comes."""
        step = harness.make_step(
            width=3, spread_limit=1, is_gang=True, is_rack_local=True
        )
        self.check_starts(make_job(step))

    def test_cores_count_for_a_gang_after_a_filling_one(self):
        """Only the filling one, of the same demand, fits an empty rack."""
        step = dataclasses.replace(
            harness.make_step(width=3, is_gang=True, is_rack_local=True),
            demand=models.Demand(40_000, 60_000, 0),
        )
        filling = dataclasses.replace(step, is_filling=True, width=9)
        self.check_starts(make_job(filling), make_job(step, number=1))


class VictimTest(unittest.TestCase):
    """An account reclaims its guarantee by preemption."""

    def test_urgent_work_of_others_is_preempted_last(self):
        """A long run stops first, although a young urgent one loses less."""
        borrowed = make_job(harness.make_step(accelerators=8), priority=0)
        long_work = make_job(harness.make_step(accelerators=8), priority=1)
        workers = [make_worker("w1"), make_worker("w2")]
        start(workers[0], borrowed, 0.5)
        start(workers[1], long_work, 6)
        owner = make_job(harness.make_step(accelerators=8), priority=0)
        owner.job = dataclasses.replace(owner.job, account="owner")
        inputs = make_inputs([owner, borrowed, long_work], workers)
        inputs = dataclasses.replace(
            inputs, accelerators_by_account={"owner": 8}
        )
        plan = planning.Planner(inputs).plan()
        self.assertEqual([stop.run.worker_id for stop in plan.stops], ["w2"])


class KeptRoomTest(unittest.TestCase):
    """Headroom for urgent jobs, and workers held for large tasks."""

    def setUp(self):
        """Keep holds and headroom over rounds, as a scheduler does."""
        self.now = NOW
        self.workers = [make_worker(f"w{n:02}") for n in range(24)]
        self.jobs: list[runs.JobState] = []
        self.holds = holding.Holds()
        # As after urgent jobs of 14 accelerators: three workers.
        self.headroom = headroom.Headroom(14)
        self.numbers = itertools.count(1)

    def add_job(self, *steps: models.Step) -> runs.StepState:
        """Add a job that is not urgent; return its first step."""
        job = make_job(*steps)
        job_id = f"{next(self.numbers):016x}"
        job.job = dataclasses.replace(job.job, job_id=job_id)
        self.jobs.append(job)
        return job.steps_by_key[0, 0]

    def occupy(
        self, worker: runs.Worker, accelerators: int, age_s: float
    ) -> runs.StepState:
        """Put a task of another job at work on a worker."""
        demand = harness.make_step(accelerators=accelerators)
        step = self.add_job(demand)
        start(worker, step.job, age_s)
        return step

    def vacate(self, worker: runs.Worker, step: runs.StepState) -> None:
        """End a job's task on a worker."""
        del worker.runs_by_task[step.runs_by_index[0].name]
        self.jobs.remove(step.job)

    def plan(self) -> plans.Plan:
        """Return the plan of the next round."""
        self.now += harness.seconds(0.1)
        inputs = make_inputs(self.jobs, self.workers)
        return planning.Planner(
            dataclasses.replace(
                inputs,
                now=self.now,
                holds=self.holds,
                headroom=self.headroom,
            )
        ).plan()

    def starts_of(self, step: runs.StepState) -> set[str]:
        """Return where the next round starts a step."""
        return {s.worker_id for s in self.plan().starts if s.step is step}

    def test_held_workers_do_not_become_headroom(self):
        """Else nothing starts on them, and they are held again and again."""
        occupied = {
            worker.worker_id: self.occupy(worker, 6, 0)
            for worker in self.workers[5:]
        }
        ending = [self.occupy(w, 6, 1.5) for w in self.workers[3:5]]
        gang = self.add_job(
            harness.make_step(width=2, accelerators=8, is_gang=True)
        )
        self.assertEqual(self.starts_of(gang), set())
        self.assertEqual(self.holds.of(gang), ["w03", "w04"])
        # The headroom finds no emptier worker than the held ones.
        for worker in self.workers[:3]:
            self.occupy(worker, 2, 0)
        for worker, step in zip(self.workers[3:5], ending, strict=True):
            self.vacate(worker, step)
        self.assertEqual(self.starts_of(gang), {"w03", "w04"})
        self.assertEqual(len(occupied), 19)

    def test_headroom_is_not_held_for_less_urgent_tasks(self):
        """They may not start there, so other workers have to be freed."""
        for worker in self.workers[3:]:
            self.occupy(worker, 6, 1.5)
        gang = self.add_job(
            harness.make_step(width=2, accelerators=8, is_gang=True)
        )
        self.plan()
        self.assertEqual(len(self.holds.of(gang)), 2)
        self.assertTrue({"w00", "w01", "w02"}.isdisjoint(self.holds.of(gang)))

    def test_headroom_yields_while_most_room_is_free(self):
        """A job without a run does not wait beside idle workers."""
        for worker in self.workers[3:]:
            self.occupy(worker, 3, 0)
        gang = self.add_job(
            harness.make_step(width=2, accelerators=8, is_gang=True)
        )
        self.assertEqual(len(self.starts_of(gang)), 2)

    def test_headroom_yields_to_a_job_whose_runs_are_in_doubt(self):
        """It stood for their leases, as nothing of it is at work for sure."""
        for worker in self.workers[4:]:
            self.occupy(worker, 3, 0)
        step = self.add_job(harness.make_step(width=4, accelerators=8))
        lost = self.workers[0]
        start(lost, step.job, 5)
        step.waiting.update(range(1, 4))
        self.assertEqual(self.starts_of(step), set())
        lost.unreachable_since = self.now
        self.assertEqual(self.starts_of(step), {"w01", "w02", "w03"})
        lost.unreachable_since = None
        for phase in (
            runs.Phase.UNCERTAIN,
            runs.Phase.INHERITED,
            runs.Phase.STOPPING,
        ):
            with self.subTest(phase=phase):
                step.runs_by_index[0].phase = phase
                self.assertEqual(len(self.starts_of(step)), 3)

    def test_holds_yield_while_most_room_is_free(self):
        """Nor beside workers that are held for another job."""
        self.headroom = headroom.Headroom()
        for worker in self.workers[3:]:
            self.occupy(worker, 2, 1.5)
        wide = self.add_job(
            harness.make_step(width=4, accelerators=8, is_gang=True)
        )
        gang = self.add_job(
            harness.make_step(width=2, accelerators=8, is_gang=True)
        )
        plan = self.plan()
        self.assertEqual(len(self.holds.of(wide)), 4)
        started = {s.worker_id for s in plan.starts if s.step is gang}
        self.assertEqual(len(started), 2)
        self.assertTrue(started & set(self.holds.of(wide)))

    def test_wide_step_leaves_the_headroom(self):
        """Its own starts bring more than half of the room into use."""
        flood = self.add_job(harness.make_step(width=120, accelerators=2))
        started = self.starts_of(flood)
        self.assertEqual(len(started), 21)

    def test_job_that_begins_elsewhere_leaves_the_headroom(self):
        """It has something running without it."""
        for worker in self.workers[4:]:
            self.occupy(worker, 3, 0)
        step = self.add_job(harness.make_step(width=4, accelerators=8))
        self.assertEqual(self.starts_of(step), {"w03"})

    def test_job_at_work_leaves_the_headroom(self):
        """Only a job that stands still uses it."""
        for worker in self.workers[3:]:
            self.occupy(worker, 3, 0)
        step = self.add_job(harness.make_step(width=1, accelerators=3))
        start(self.workers[3], step.job, 0)
        more = occurrences.make_job_state(
            dataclasses.replace(
                step.job.job,
                steps=(
                    step.model,
                    harness.make_step(width=2, accelerators=8, is_gang=True),
                ),
            ),
            None,
            NOW - harness.seconds(1),
        )
        self.jobs.append(more)
        start(self.workers[4], more, 0)
        self.assertEqual(self.starts_of(more.steps_by_key[0, 1]), set())


class SignatureTest(unittest.TestCase):
    """Steps that are not tried, as a like one found no room."""

    def test_gang_that_may_span_racks_is_tried_after_one_that_may_not(self):
        """Four workers of two racks are free, two of each."""
        workers = [make_worker(f"w{n}") for n in range(6)]
        for number, worker in enumerate(workers):
            rack = f"r{number % 2}"
            worker.listing = dataclasses.replace(worker.listing, rack=rack)
        for worker in workers[4:]:
            start(worker, make_job(harness.make_step(accelerators=8)), 0)
        local, spanning = (
            make_job(
                harness.make_step(
                    width=3,
                    accelerators=8,
                    is_gang=True,
                    is_rack_local=is_local,
                )
            )
            for is_local in (True, False)
        )
        jobs = [local, spanning]
        plan = planning.Planner(make_inputs(jobs, workers)).plan()
        started = collections.Counter(
            s.step.job is spanning for s in plan.starts
        )
        self.assertEqual(started, {True: 3})

    def test_urgent_job_is_tried_after_a_late_one_that_is_not(self):
        """Only the less urgent one must leave the headroom."""
        workers = [make_worker(f"w{n:02}") for n in range(24)]
        for worker in workers[3:]:
            start(worker, make_job(harness.make_step(accelerators=6)), 0)
        step = harness.make_step(width=2, accelerators=8, is_gang=True)
        first, urgent = make_job(step, priority=1), make_job(step, priority=0)
        # An urgent job past its final deadline comes after all others.
        urgent.accepted_at = NOW - harness.seconds(60)
        inputs = dataclasses.replace(
            make_inputs([first, urgent], workers),
            headroom=headroom.Headroom(14),
        )
        plan = planning.Planner(inputs).plan()
        started = [s.step.job is urgent for s in plan.starts]
        self.assertEqual(started, [True, True])
