"""Define the input and output of a scheduling policy."""

import abc
import collections.abc
import dataclasses
import datetime

from cardamomcroft.log import records
from cardamomcroft.policy import estimates
from cardamomcroft.settings import documents

NO_ESTIMATES = estimates.Estimates()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """Describe a worker that a policy may use."""

    worker_id: str
    data_centre: str
    rack: str
    accelerators: int
    cores: int
    memory_gb: int
    usable: bool = True

    @property
    def units(self) -> int:
        """Return the number of units, the smallest cells, of the worker."""
        return self.accelerators or documents.UNITS_PER_CPU_ONLY_WORKER


@dataclasses.dataclass(frozen=True, slots=True)
class AccountView:
    """Describe an account's weight, guarantee and caller weights."""

    account: str
    weight: float
    guarantee: tuple[documents.Guarantee, ...] = ()
    caller_weights: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """Describe a queued job; ``order`` is its offset in the log."""

    job_id: str
    account: str
    caller: str
    spec: documents.JobSpec
    submitted_at: datetime.datetime
    order: int
    checkpoint_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunningGang:
    """Describe a gang that occupies cells."""

    job_id: str
    account: str
    caller: str
    spec: documents.JobSpec
    placements: tuple[records.Placement, ...]
    started_at: datetime.datetime
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class GangStart:
    """Start a job on these cells."""

    job_id: str
    placements: tuple[records.Placement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Collect everything that a decision may depend on."""

    now: datetime.datetime
    workers: tuple[WorkerView, ...]
    accounts: collections.abc.Mapping[str, AccountView]
    waiting: collections.abc.Sequence[WaitingJob]
    running: tuple[RunningGang, ...]
    run_times: estimates.Estimates = NO_ESTIMATES
    plans: tuple[GangStart, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GangStop:
    """Stop a gang after a checkpoint, to reclaim its cells."""

    job_id: str
    beneficiary: str


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """List the gangs to start and to stop, with counts of the search.

    ``plans`` are starts that wait for cells being reclaimed. The caller
    passes them back in the next view.
    """

    starts: tuple[GangStart, ...] = ()
    stops: tuple[GangStop, ...] = ()
    plans: tuple[GangStart, ...] = ()
    cells_examined: int = 0
    jobs_examined: int = 0


class Policy(abc.ABC):
    """Decide which gangs run where."""

    name: str

    @abc.abstractmethod
    def decide(self, view: View) -> Decision:
        """Return the next starts and stops."""

    @abc.abstractmethod
    def infeasibility_reason(
        self,
        spec: documents.JobSpec,
        account: AccountView,
        workers: collections.abc.Sequence[WorkerView],
    ) -> str | None:
        """Return why the job can never run, or None if it can."""
