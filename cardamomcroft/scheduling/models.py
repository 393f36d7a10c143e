"""Define queues, jobs, steps and what they demand of a worker."""

import dataclasses
import datetime
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Amounts of processors, memory and accelerators."""

    milli_cores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: "Demand") -> "Demand":
        return Demand(
            self.milli_cores + other.milli_cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Demand") -> "Demand":
        """Return the difference, which may be negative."""
        return Demand(
            self.milli_cores - other.milli_cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Demand":
        """Return the demand of ``count`` tasks."""
        return Demand(
            self.milli_cores * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits(self, capacity: "Demand") -> bool:
        """Return whether the demand fits into the capacity."""
        return (
            self.milli_cores <= capacity.milli_cores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceTerms:
    """Timing of the placement advice service."""

    decision: datetime.timedelta
    period: datetime.timedelta
    valid: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """The terms under which a queue's jobs run."""

    name: str
    service: str
    priority: int  # 0 is most urgent
    max_attempts: int
    slack_factor: float
    target_latency: datetime.timedelta
    advice: AdviceTerms | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A set of identical tasks."""

    width: int
    demand: Demand
    estimate: datetime.timedelta
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_local: bool = False
    is_checkpointing: bool = False
    is_lasting: bool = False
    is_filling: bool = False
    is_speculative: bool = False
    required_label: str = ""
    data_rack: str = ""
    spread_limit: int = 0  # maximum tasks per worker; 0 is no limit
    image: str = ""
    tail_target: datetime.timedelta | None = None
    max_unavailable: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Timetable:
    """Repeat a job's steps at fixed times of day."""

    first_due: datetime.datetime
    interval: datetime.timedelta
    count: int

    def due(self, occurrence: int) -> datetime.datetime:
        """Return when an occurrence may begin."""
        return self.first_due + self.interval * occurrence

    def due_count(self, wall: datetime.datetime) -> int:
        """Return how many occurrences may have begun."""
        if wall < self.first_due:
            return 0
        if not self.interval:
            return self.count
        return min((wall - self.first_due) // self.interval + 1, self.count)


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """An accepted submission."""

    job_id: str
    queue: Queue
    account: str
    payload: str
    steps: tuple[Step, ...]
    timetable: Timetable | None
    submitted_at: datetime.datetime

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return self.timetable.count if self.timetable else 1

    @property
    def is_lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.is_lasting for step in self.steps)


class TaskKey(typing.NamedTuple):
    """Key of one task of one occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        """Return the task name that worker calls use."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, name: str) -> "TaskKey":
        """Parse a task name; raise ValueError if it is malformed."""
        job_id, occurrence, step, index = name.rsplit(".", 3)
        return cls(job_id, int(occurrence), int(step), int(index))
