"""Jobs, events and results of a simulation by the policy bench."""

import dataclasses
import datetime

from cardamomcroft.bench import arrivals
from cardamomcroft.bench import workload as workloads
from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.ports import base as ports

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class EngineClock(ports.Clock):
    """Clock that shows the simulated time of the engine."""

    def __init__(self) -> None:
        """Start the simulated time at zero."""
        self.elapsed_s = 0.0

    def now(self) -> datetime.datetime:
        """Return the simulated date and time."""
        return START + datetime.timedelta(seconds=self.elapsed_s)

    def monotonic(self) -> datetime.timedelta:
        """Return the simulated time since the start."""
        return datetime.timedelta(seconds=self.elapsed_s)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Raise an error, since the engine runs no coroutines."""
        raise NotImplementedError


@dataclasses.dataclass(slots=True)
class JobRun:
    """State of one job during the simulation."""

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
    """Work that the policy did in all decision rounds."""

    rounds: int = 0
    cells: int = 0
    jobs: int = 0
    max_round_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of a simulation, from which the report is made."""

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
    """Event: the given attempt of a gang ends."""

    run: JobRun
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointEnd:
    """Event: a reclaimed gang has completed its checkpoint."""

    run: JobRun
    attempt: int
    requested_s: float


def waiting_job(run: JobRun) -> base.WaitingJob:
    """Return a queued job in the form that policies take."""
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
    """Return a started job in the form that policies take."""
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
