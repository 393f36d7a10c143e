"""Describe the workers' commands as the scheduler uses them."""

import abc
import dataclasses
import datetime
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Name a worker and where it listens."""

    worker_id: str
    host_port: str


class OrderStatus(enum.Enum):
    """Tell what a worker did with an order."""

    DONE = "done"
    STALE_TOKEN = "stale_token"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    INVALID = "invalid"
    NOT_RUN = "not_run"  # never reached the worker
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Report an order and the worker's clock in milliseconds, if told."""

    status: OrderStatus
    clock_ms: int | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask a worker to run a task under a lease."""

    task: str
    run: int
    payload: str
    deadline_ms: int  # on the worker's clock
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Extend a worker's lease and ask for its inventory."""

    token: int
    acknowledged_end: int
    deadline_ms: int | None
    wait: datetime.timedelta


class End(enum.Enum):
    """Tell how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """Report a run at work."""

    task: str
    run: int
    checkpoint: str
    percent: float
    gauge: float  # tail latency in ms if it serves, else cores in use


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedTask:
    """Report the end of a run; numbers count up in each incarnation."""

    number: int
    task: str
    run: int
    end: End
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """List what runs and what ended on a worker."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedTask, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Allow a step on a worker."""

    worker_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """List the workers that a step may run on."""

    tickets: tuple[Ticket, ...]
    valid: datetime.timedelta


class WorkerLink(abc.ABC):
    """Send orders to workers."""

    @abc.abstractmethod
    async def start(
        self, address: Address, order: StartOrder, timeout: datetime.timedelta
    ) -> OrderResult:
        """Start a task."""

    @abc.abstractmethod
    async def stop(
        self,
        address: Address,
        task: str,
        run: int,
        token: int,
        timeout: datetime.timedelta,
    ) -> OrderResult:
        """Stop a run and reject it if it arrives later."""

    @abc.abstractmethod
    async def pace(
        self,
        address: Address,
        task: str,
        run: int,
        percent: int,
        token: int,
        timeout: datetime.timedelta,
    ) -> OrderResult:
        """Let a run work at a share of its speed."""

    @abc.abstractmethod
    async def renew_lease(
        self,
        address: Address,
        order: LeaseRenewal,
        timeout: datetime.timedelta,
    ) -> Inventory | OrderResult:
        """Extend the lease and return the inventory."""

    @abc.abstractmethod
    async def advise(
        self, step: str, worker_ids: tuple[str, ...]
    ) -> Advice | None:
        """Ask which workers a step may run on; None if not answered."""


class ServerState(enum.Enum):
    """Tell whether a worker takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Describe a worker as it registered itself."""

    address: Address
    service: str
    state: ServerState
    data_centre: str
    born_ms: int
    clock_ms: int
    labels: frozenset[str]
    rack: str
    milli_cores: int
    memory_mb: int
    accelerators: int
    remaining: datetime.timedelta | None  # until a draining worker leaves
