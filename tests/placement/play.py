"""Play loads against the planner in simulated time, without a network."""

import collections.abc
import dataclasses
import datetime
import itertools

from cardamomcroft.placement import failing
from cardamomcroft.placement import history
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_room
from cardamomcroft.scheduling import stragglers
from tests.scheduling import harness

WALL = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
TICK = harness.seconds(0.1)
STOP_BOUND = harness.seconds(0.9)


def make_step(
    width: int = 1, accelerators: int = 1, run_s: float = 2, **fields: object
) -> models.Step:
    """Return a step of tasks with four cores."""
    demand = models.Demand(4_000, 4_096, accelerators)
    return models.Step(width, demand, harness.seconds(run_s), **fields)


def make_worker(name: str, rack: str = "r1", version: str = "") -> runs.Worker:
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
        frozenset({"a", rack}),
        rack,
        64_000,
        131_072,
        8,
        None,
        version,
    )
    return worker


class FixedSpeeds(estimates.Durations):
    """Declared run times, and given speeds of workers."""

    def __init__(self, speeds_by_worker: dict[str, float]) -> None:
        """Let other workers have the speed 1."""
        super().__init__()
        self.speeds_by_worker = speeds_by_worker

    def worker_speed(self, worker_id: str) -> float:
        """Return a worker's speed."""
        return self.speeds_by_worker.get(worker_id, 1.0)


class Play:
    """Workers that run what the planner decides."""

    def __init__(
        self,
        workers: list[runs.Worker],
        plans_ahead: bool = True,
        has_outlook: bool = True,
        speeds_by_worker: dict[str, float] | None = None,
    ) -> None:
        """Start with idle workers; without an outlook nothing is expected."""
        self.now = harness.seconds(100)
        self.workers_by_id = {worker.worker_id: worker for worker in workers}
        self.jobs: list[runs.JobState] = []
        self.plans_ahead = plans_ahead
        self.history = history.History() if has_outlook else None
        self.reservations = reservations.Reservations()
        self.headroom = headroom.Headroom()
        self.holds = holding.Holds()
        self.durations = FixedSpeeds(speeds_by_worker or {})
        # What the planner knows of them.
        self.known_times: estimates.RunTimes = self.durations
        self.wasted = 0.0  # core-seconds
        self.stops = 0
        self.started: list[plans.Start] = []
        self.ended_at: dict[str, datetime.timedelta] = {}
        self.first_started_at: dict[str, datetime.timedelta] = {}
        self.failing_gangs = failing.FailingGangs()
        self.failing: set[str] = set()  # jobs whose gangs fail at once
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a number for a job or a run."""
        return next(self._numbers)

    def submit(
        self, *steps: models.Step, priority: int = 1, attempts: int = 4
    ) -> runs.JobState:
        """Accept a job."""
        job = models.Job(
            f"{self.next_number():016x}",
            harness.make_queue(priority, attempts),
            "acc",
            "payload",
            steps,
            None,
            WALL,
        )
        state = occurrences.make_job_state(job, None, self.now)
        self.jobs.append(state)
        self.headroom.observe(job)
        return state

    def run(
        self,
        seconds: float,
        script: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Pass time; the script runs before each round."""
        until = self.now + harness.seconds(seconds)
        while self.now < until:
            self.now += TICK
            if script is not None:
                script()
            self._end_runs()
            self._move_runs()
            self.plan()

    def plan(self) -> plans.Plan:
        """Plan a round and carry it out."""
        outlook = outlooks.NOTHING_EXPECTED
        if self.history is not None:
            outlook = self.history.observe(self.workers_by_id, self.now)
        inputs = planning.RoundInputs(
            [job for job in self.jobs if not job.final_state],
            self.workers_by_id,
            self.now,
            WALL,
            {},
            self.reservations,
            self.known_times,
            self.headroom,
            self.holds,
            plans_ahead=self.plans_ahead,
            preemption_lead=STOP_BOUND + harness.seconds(0.3),
            outlook=outlook,
            failing=self.failing_gangs,
        )
        plan = planning.Planner(inputs).plan()
        if plan.failures:
            raise AssertionError(plan.failures)
        for stop in plan.stops:
            self.stop(stop.run)
        numbers = {}
        for start in plan.starts:
            if start.step not in numbers:
                numbers[start.step] = self.next_number()
            self.start(start, numbers[start.step])
        return plan

    def room(self) -> standing_room.Room:
        """Return the room that the last round has left."""
        return standing_room.Room(
            standing_room.RoomInputs(
                self.workers_by_id,
                self.now,
                self.reservations,
                self.headroom,
                self.durations,
                self._holders,
            )
        )

    def _holders(self) -> list[standing_room.Holder]:
        return [
            (step, held)
            for job in self.jobs
            for step in job.steps_by_key.values()
            if step.waiting and (held := self.holds.of(step))
        ]

    def start(self, start: plans.Start, number: int) -> None:
        step, index = start.step, start.index
        run = runs.Run(
            step.key(index),
            number,
            start.worker_id,
            step,
            runs.Phase.AT_WORK,
            self.now,
        )
        step.waiting.discard(index)
        step.runs_by_index[index] = run
        self.workers_by_id[run.worker_id].runs_by_task[run.name] = run
        step.job.is_start_recorded = True
        self.started.append(start)
        job_id = step.job.job.job_id
        self.first_started_at.setdefault(job_id, self.now)

    def stop(self, run: runs.Run) -> None:
        """Stop a run, with its gang; what it did is lost."""
        is_gang = run.step.model.is_gang
        members = run.step.runs_by_index.values() if is_gang else (run,)
        for member in list(members):
            self.stops += 1
            self._detach(member, is_wasted=True)

    def _detach(self, run: runs.Run, is_wasted: bool) -> None:
        ran = (self.now - run.began_at).total_seconds()
        if is_wasted:
            cores = preempting.core_equivalent(run.step.model.demand)
            self.wasted += ran * cores
        run.phase = runs.Phase.ENDED
        run.step.runs_by_index.pop(run.key.index, None)
        worker = self.workers_by_id.get(run.worker_id)
        if worker is not None:
            worker.runs_by_task.pop(run.name, None)
        if run.key.index not in run.step.done:
            run.step.waiting.add(run.key.index)

    def _end_runs(self) -> None:
        for job in self.jobs:
            for step in job.steps_by_key.values():
                self._end_runs_of(job, step)

    def _end_runs_of(self, job: runs.JobState, step: runs.StepState) -> None:
        speeds = self.durations.worker_speed
        members = list(step.runs_by_index.values())
        if job.job.job_id in self.failing and any(
            self.now - run.began_at >= step.model.estimate / 2
            for run in members
        ):
            self._fail(job, step, members)
            return
        ended = [
            run
            for run in members
            if self.now - run.began_at
            >= step.model.estimate / speeds(run.worker_id)
        ]
        if step.model.is_gang and len(ended) < step.model.width:
            return
        for run in ended:
            step.done.add(run.key.index)
            self._detach(run, is_wasted=False)
        if ended and all(s.is_done for s in job.steps_by_key.values()):
            job.final_state = "completed"
            self.ended_at[job.job.job_id] = self.now

    def _fail(
        self,
        job: runs.JobState,
        step: runs.StepState,
        members: list[runs.Run],
    ) -> None:
        """Let a gang fail by itself, as ``record_failure`` counts it."""
        count, _, *counted = step.failures_by_index.get(0, (0, 0))
        number = members[0].number
        step.failures_by_index[0] = (count + 1, number, *counted, number)
        for run in members:
            self._detach(run, is_wasted=True)
        if count + 1 >= job.job.queue.max_attempts:
            job.final_state = "failed"
            self.ended_at[job.job.job_id] = self.now

    def _move_runs(self) -> None:
        workers = self.workers_by_id.values()
        for run, _ in stragglers.runs_to_move(
            workers, self.durations, self.now
        ):
            if run.phase is runs.Phase.AT_WORK:
                self.stop(run)

    def relist(self, worker: runs.Worker, **changes: object) -> None:
        """Change a worker's entry."""
        worker.listing = dataclasses.replace(worker.listing, **changes)
        worker.listed_at = self.now

    def drain(self, worker: runs.Worker, remaining_s: float) -> None:
        """Let a worker announce that it leaves."""
        self.relist(
            worker,
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(remaining_s),
        )

    def lose(self, worker: runs.Worker) -> None:
        """End a worker with its runs."""
        for run in list(worker.runs_by_task.values()):
            self.stop(run)

    def replace(self, worker: runs.Worker, version: str) -> None:
        """Let a worker come back with another version."""
        self.lose(worker)
        worker.born_ms += 1
        self.relist(
            worker,
            state=fleet.ServerState.READY,
            remaining=None,
            version=version,
            born_ms=worker.born_ms,
        )

    def waits(self, jobs: list[runs.JobState]) -> list[float]:
        """Return how long the jobs waited for their first start."""
        return [
            (
                self.first_started_at.get(job.job.job_id, self.now)
                - job.accepted_at
            ).total_seconds()
            for job in jobs
        ]

    def took(self, jobs: list[runs.JobState]) -> list[float]:
        """Return how long the jobs took, at least."""
        return [
            (
                self.ended_at.get(job.job.job_id, self.now) - job.accepted_at
            ).total_seconds()
            for job in jobs
        ]


def occupy(play: Play, worker: runs.Worker, job: runs.JobState) -> None:
    """Put a job's only task at work on a worker."""
    step = job.steps_by_key[0, 0]
    start = plans.Start(step, 0, worker.worker_id)
    play.start(start, play.next_number())
