"""Decisions of a single round, without nodes or a clock."""

import collections
import dataclasses
import datetime
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import planning
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


def make_job(*steps: models.Step, priority: int = 1) -> runs.JobState:
    """Return a job that was accepted a second ago."""
    queue = harness.make_queue(priority)
    job = models.Job("0" * 16, queue, "acc", "payload", steps, None, WALL)
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
