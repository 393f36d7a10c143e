"""Play scheduling rounds on a synthetic cluster, without nodes.

Load: urgent gangs, ordinary gangs and wide batch jobs on workers of eight
accelerators, as in the deployments with slow stops. The same seed gives the
same play.
"""

import dataclasses
import datetime
import hashlib
import random

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

WALL = datetime.datetime(2026, 12, 7, tzinfo=datetime.UTC)
ROUND = datetime.timedelta(milliseconds=100)
STOP = datetime.timedelta(milliseconds=700)
REPORT_PERIOD = datetime.timedelta(milliseconds=600)
WORKERS_PER_RACK = 8
ACCOUNTS = 10
QUEUES = (
    models.Queue("u", "svc", 0, 3, 1.5, datetime.timedelta(seconds=0.3)),
    models.Queue("o", "svc", 1, 3, 3.0, datetime.timedelta(seconds=1)),
    models.Queue("b", "svc", 2, 3, 3.0, datetime.timedelta(seconds=3)),
)
MEAN_RUN_S = (2.3, 10.0, 7.0)
MAX_WIDTH = (10, 24, 78)
MAX_ACCELERATORS = (8, 8, 1)
CORES = (7_500, 26_000, 5_600)
GUARANTEES = {f"a{n}": 40 for n in range(3)}


def _seconds(number: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=number)


def _make_worker(number: int) -> runs.Worker:
    rack = f"r{number // WORKERS_PER_RACK}"
    address = fleet.Address(f"w{number}", f"w{number}:80")
    worker = runs.Worker(address, 1)
    worker.listing = fleet.Listing(
        address,
        "svc",
        fleet.ServerState.READY,
        "dc",
        1,
        0,
        frozenset({rack}),
        rack,
        64_000,
        131_072,
        8,
        None,
    )
    return worker


class Play:
    """A cluster whose rounds are planned one after the other."""

    def __init__(
        self,
        seed: int,
        worker_count: int,
        job_count: int,
        **fields: object,
    ) -> None:
        """Create workers and waiting jobs; ``fields`` are round inputs."""
        self.rng = random.Random(seed)
        self.now = _seconds(1000)
        self.workers_by_id = {
            f"w{number}": _make_worker(number)
            for number in range(worker_count)
        }
        self.jobs: list[runs.JobState] = []
        self.run_s_by_job: dict[str, float] = {}
        self.reservations = reservations.Reservations()
        self.headroom = headroom.Headroom()
        self.holds = holding.Holds()
        self.durations = estimates.Durations()
        self._fields = fields
        self._stops_at: dict[runs.Run, datetime.timedelta] = {}
        self._decisions = hashlib.sha256()
        self.counts = {"starts": 0, "stops": 0}
        for _ in range(job_count):
            self.submit()

    def submit(self) -> None:
        """Submit a random job."""
        rng = self.rng
        kind = rng.choices((0, 1, 2), (5, 2, 1))[0]
        run_s = min(rng.expovariate(1 / MEAN_RUN_S[kind]) + 0.2, 40)
        width = rng.randint(1, MAX_WIDTH[kind])
        is_gang = rng.random() < 0.6
        step = models.Step(
            width,
            models.Demand(
                CORES[kind], 1_000, rng.randint(1, MAX_ACCELERATORS[kind])
            ),
            _seconds(run_s * rng.uniform(0.5, 1.9)),
            is_gang=is_gang,
            is_rack_local=is_gang and rng.random() < 0.7,
            is_checkpointing=rng.random() < 0.3,
        )
        job = models.Job(
            f"{len(self.run_s_by_job):016x}",
            QUEUES[kind],
            f"a{rng.randrange(ACCOUNTS)}",
            "",
            (step,),
            None,
            WALL,
        )
        self.run_s_by_job[job.job_id] = run_s
        self.jobs.append(occurrences.make_job_state(job, None, self.now))
        self.headroom.observe(job)

    def inputs(self) -> planning.RoundInputs:
        """Return the inputs of the next round."""
        return planning.RoundInputs(
            self.jobs,
            self.workers_by_id,
            self.now,
            WALL,
            GUARANTEES,
            self.reservations,
            self.durations,
            self.headroom,
            self.holds,
            **self._fields,
        )

    def step(self, arrivals: int = 1) -> None:
        """Plan one round, carry it out and pass time."""
        for _ in range(arrivals):
            self.submit()
        plan = planning.Planner(self.inputs()).plan()
        assert not plan.failures, plan.failures
        self._record(plan)
        self._carry_out(plan)
        self.now += ROUND
        self._end_runs()
        self._report()
        self.jobs = [
            job
            for job in self.jobs
            if not all(step.is_done for step in job.steps_by_key.values())
        ]

    def digest(self) -> str:
        """Return a digest of all decisions so far."""
        return self._decisions.hexdigest()[:16]

    def _record(self, plan: plans.Plan) -> None:
        self.counts["starts"] += len(plan.starts)
        self.counts["stops"] += len(plan.stops)
        decisions = (
            [(str(s.step.key(s.index)), s.worker_id) for s in plan.starts],
            [(s.run.name, s.reason) for s in plan.stops],
            sorted(
                (str(e.step.key(0)), e.worker_id, e.count, e.until)
                for e in self.reservations.all()
            ),
            sorted(self.holds.worker_ids()),
        )
        self._decisions.update(repr(decisions).encode())

    def _carry_out(self, plan: plans.Plan) -> None:
        for stop in plan.stops:
            stop.run.phase = runs.Phase.STOPPING
            self._stops_at[stop.run] = self.now + STOP
        for start in plan.starts:
            step, index = start.step, start.index
            run = runs.Run(
                step.key(index),
                step.count_run(index),
                start.worker_id,
                step,
                runs.Phase.AT_WORK,
                self.now,
            )
            step.waiting.discard(index)
            step.runs_by_index[index] = run
            self.workers_by_id[start.worker_id].runs_by_task[run.name] = run

    def _end_runs(self) -> None:
        for worker in self.workers_by_id.values():
            for run in list(worker.runs_by_task.values()):
                job = run.step.job.job
                run_s = self.run_s_by_job[job.job_id]
                if run.phase is runs.Phase.STOPPING:
                    if self._stops_at[run] <= self.now:
                        run.step.waiting.add(run.key.index)
                        self._detach(worker, run)
                elif self.now - run.began_at >= _seconds(run_s):
                    self.durations.observe(
                        job, run.step.model, self.now - run.began_at
                    )
                    run.step.done.add(run.key.index)
                    self._detach(worker, run)

    def _detach(self, worker: runs.Worker, run: runs.Run) -> None:
        del worker.runs_by_task[run.name]
        del run.step.runs_by_index[run.key.index]
        run.phase = runs.Phase.ENDED

    def _report(self) -> None:
        for worker in self.workers_by_id.values():
            for run in worker.runs_by_task.values():
                at = run.reported_at or run.began_at
                if self.now - at >= REPORT_PERIOD:
                    run_s = self.run_s_by_job[run.key.job_id]
                    worked_s = (self.now - run.began_at).total_seconds()
                    run.record_percent(int(worked_s / run_s * 100), self.now)


def copy_with(play: Play, **fields: object) -> planning.RoundInputs:
    """Return the inputs of the next round with some replaced."""
    return dataclasses.replace(play.inputs(), **fields)
