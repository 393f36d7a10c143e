"""Hold the jobs, events and counts of the policy bench."""

import dataclasses
import datetime

from cardamomcroft.bench import arrivals
from cardamomcroft.bench import workload as workloads
from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.ports import base as ports

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class EngineClock(ports.Clock):
    """Show the engine's time to the parts that ask for it."""

    def __init__(self) -> None:
        """Start at zero."""
        self.elapsed_s = 0.0

    def now(self) -> datetime.datetime:
        """Return the time reached."""
        return START + datetime.timedelta(seconds=self.elapsed_s)

    def monotonic(self) -> datetime.timedelta:
        """Return the time advanced so far."""
        return datetime.timedelta(seconds=self.elapsed_s)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Refuse: the engine has no coroutines."""
        raise NotImplementedError


@dataclasses.dataclass(slots=True)
class JobRun:
    """Follow one job through the bench."""

    arrival: arrivals.Arrival
    order: int
    is_entitled: bool = False
    attempt: int = 0
    failures: int = 0
    saved_work_s: float = 0.0
    started_s: float | None = None
    first_start_s: float | None = None
    ended_s: float | None = None
    outcome: str = ""
    placements: tuple[records.Placement, ...] = ()
    is_stopping: bool = False
    spans: list[tuple[float, float]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class DecisionCosts:
    """Count the work of the decisions."""

    rounds: int = 0
    cells: int = 0
    jobs: int = 0
    max_round_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold everything that a report needs."""

    workload: workloads.Workload
    runs: tuple[JobRun, ...]
    capacity: int
    fragmentation: float
    work_lost_s: float
    reclaim_s: tuple[float, ...]
    costs: DecisionCosts
    violations: dict[str, int]
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Let a gang's current attempt end."""

    run: JobRun
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointEnd:
    """Let a reclaimed gang's checkpoint be done."""

    run: JobRun
    attempt: int
    requested_s: float


def waiting_job(run: JobRun) -> base.WaitingJob:
    """Return a queued run as policies see it."""
    arrival = run.arrival
    return base.WaitingJob(
        arrival.job_id,
        arrival.account,
        arrival.caller,
        arrival.spec,
        START + datetime.timedelta(seconds=arrival.at_s),
        run.order,
        run.saved_work_s,
    )


def running_gang(run: JobRun, now: datetime.datetime) -> base.RunningGang:
    """Return a started run as policies see it."""
    started_at = START + datetime.timedelta(seconds=run.started_s)
    return base.RunningGang(
        run.arrival.job_id,
        run.arrival.account,
        run.arrival.caller,
        run.arrival.spec,
        run.placements,
        min(started_at, now),
        run.is_stopping,
    )


def make_workers(
    workload: workloads.Workload,
) -> tuple[base.WorkerView, ...]:
    """Return the workers of every pool."""
    workers = []
    for number, pool in enumerate(workload.pools):
        for centre in range(pool.data_centres):
            for rack in range(pool.racks):
                for index in range(pool.workers):
                    rack_id = f"p{number}r{rack}"
                    workers.append(
                        base.WorkerView(
                            f"d{centre}{rack_id}w{index}",
                            f"d{centre}",
                            rack_id,
                            pool.accelerators,
                            pool.cores,
                            pool.memory_gb,
                        )
                    )
    return tuple(workers)
