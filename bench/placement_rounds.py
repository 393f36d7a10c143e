"""Time scheduling rounds on a synthetic state of 350 workers.

Usage: python -m bench.placement_rounds [placing]

Plans each round twice, with and without planning ahead, and prints the
processor milliseconds of both and the median of their ratios: for a quiet
state, for workers of three speeds, and for a release that goes on beside two
workers that flap. ``placing`` leaves out the searches for victims, which take
most of a round under overload.
"""

import dataclasses
import datetime
import random
import statistics
import sys
import time

from cardamomcroft.placement import history
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs

WORKERS = 350
JOBS = 400
ROUNDS = 20
WALL = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
NOW = datetime.timedelta(seconds=100)


def make_workers(rng: random.Random) -> dict[str, runs.Worker]:
    """Return workers in 20 racks, of which most are in use."""
    workers = {}
    for number in range(WORKERS):
        address = fleet.Address(f"w{number}", f"w{number}:80")
        worker = runs.Worker(address, 1)
        rack = f"r{number % 20}"
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
        )
        workers[worker.worker_id] = worker
    for number, worker in enumerate(workers.values()):
        for part in range(rng.randint(1, 5)):
            job = make_job(rng, f"{number:08x}{part:08x}", 1)
            step = job.steps_by_key[0, 0]
            run = runs.Run(
                step.key(0),
                1,
                worker.worker_id,
                step,
                runs.Phase.AT_WORK,
                NOW - datetime.timedelta(seconds=rng.uniform(0, 5)),
            )
            step.waiting.discard(0)
            step.runs_by_index[0] = run
            worker.runs_by_task[run.name] = run
    return workers


def make_job(
    rng: random.Random, job_id: str, width: int = 0, priority: int = 2
) -> runs.JobState:
    """Return a job of one step; a width of 0 stands for any."""
    demand = models.Demand(
        rng.choice((4_000, 8_000, 26_000)), 4_096, rng.randint(1, 4)
    )
    step = models.Step(
        width or rng.randint(1, 24),
        demand,
        datetime.timedelta(seconds=rng.uniform(1, 20)),
        is_gang=not width and rng.random() < 0.6,
        is_rack_local=rng.random() < 0.7,
    )
    queue = models.Queue(
        f"q{priority}",
        "svc",
        priority,
        4,
        3.0,
        datetime.timedelta(seconds=1),
    )
    account = f"acc{rng.randrange(10)}"
    job = models.Job(job_id, queue, account, "payload", (step,), None, WALL)
    waited = datetime.timedelta(seconds=rng.uniform(0, 3))
    return occurrences.make_job_state(job, None, NOW - waited)


def history_of_release(
    workers: dict[str, runs.Worker],
) -> history.History:
    """Return the history of a release and of workers that flap."""
    past = history.History()
    for number, worker in enumerate(workers.values()):
        version = "v2" if number % 2 else "v1"
        worker.listing = dataclasses.replace(worker.listing, version=version)
    past.observe(workers, NOW - datetime.timedelta(seconds=9))
    for number in range(0, 16, 2):
        worker = workers[f"w{number}"]
        worker.listing = dataclasses.replace(
            worker.listing, state=fleet.ServerState.DRAINING
        )
    for second in range(8):
        for worker_id in ("w301", "w302"):
            silent_since = NOW if second % 2 else None
            workers[worker_id].unreachable_since = silent_since
        past.observe(workers, NOW - datetime.timedelta(seconds=8 - second))
    for worker_id in ("w301", "w302"):
        workers[worker_id].unreachable_since = None
    return past


class ThreeSpeeds(estimates.Durations):
    """Run times of a fleet whose workers differ in speed."""

    def worker_speed(self, worker_id: str) -> float:
        """Return a worker's speed."""
        return (0.8, 1.0, 1.25)[int(worker_id[1:]) // 20 % 3]


def time_round(
    jobs: list[runs.JobState],
    workers: dict[str, runs.Worker],
    past: history.History | None,
    durations: estimates.RunTimes,
    now: datetime.timedelta,
) -> float:
    """Return the milliseconds of a round; without a past it is reactive."""
    began = time.process_time()
    changes = {}
    if past is not None:
        outlook = past.observe(workers, now)
        changes = {"plans_ahead": True, "outlook": outlook}
    planner = planning.Planner(
        planning.RoundInputs(
            jobs,
            workers,
            now,
            WALL,
            {},
            reservations.Reservations(),
            durations,
            headroom.Headroom(14),
            holding.Holds(),
            **changes,
        )
    )
    planner.plan()
    if past is not None:
        planner.avoidances()
    took = (time.process_time() - began) * 1_000
    for job in jobs:
        for step in job.steps_by_key.values():
            step.search_at = datetime.timedelta()
    return took


def main() -> None:
    """Time the rounds of each kind, both ways in turns."""
    if "placing" in sys.argv:
        planning.MAX_PREEMPTION_SEARCHES = 0
    for kind in ("quiet", "speeds", "release"):
        rng = random.Random(5)
        workers = make_workers(rng)
        jobs = [
            make_job(rng, f"{number:016x}", 0, number % 3)
            for number in range(JOBS)
        ]
        past = history.History()
        if kind == "release":
            past = history_of_release(workers)
        durations = (
            ThreeSpeeds() if kind == "speeds" else estimates.Durations()
        )
        pairs = []
        for number in range(ROUNDS):
            now = NOW + datetime.timedelta(milliseconds=number)
            pairs.append(
                [
                    time_round(jobs, workers, each, durations, now)
                    for each in (None, past)
                ]
            )
        reactive, ahead = (
            statistics.median(c) for c in zip(*pairs, strict=True)
        )
        ratio = statistics.median(b / a for a, b in pairs)
        print(
            f"{kind}: reactive {reactive:.1f} ms, ahead {ahead:.1f} ms,"
            f" median ratio {ratio:.3f}"
        )


if __name__ == "__main__":
    main()
