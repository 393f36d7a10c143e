"""Define the scheduler's interface to workers: orders and reports."""

import abc
import dataclasses
import datetime
import enum

# Several round trips between data centres; then a worker is not reached.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Identify a worker and the address on which it listens."""

    worker_id: str
    host_port: str


class OrderStatus(enum.Enum):
    """Classify the outcome of an order to a worker."""

    DONE = "done"
    STALE_TOKEN = "stale_token"
    STALE_RUN = "stale_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_incarnation"
    RESTARTED = "restarted"  # not sent: its incarnation has ended
    UNREACHED = "unreached"  # not sent: no connection to its incarnation
    INVALID = "invalid"
    NOT_RUN = "not_run"  # never reached the worker
    MAY_HAVE_RUN = "may_have_run"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Report an order's outcome and the worker's clock, if returned."""

    status: OrderStatus
    clock_ms: int | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order a worker to run a task under a lease."""

    task: str
    run: int
    payload: str
    deadline_ms: int  # on the worker's clock
    token: int
    checkpoint: str = ""
    ticket: str = ""
    born_ms: int = 0  # of the incarnation whose clock the deadline names


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """Renew a worker's lease and request its inventory."""

    token: int
    acknowledged_end: int  # the worker discards completions up to it
    deadline_ms: int | None  # None leaves the lease as it is
    wait: datetime.timedelta  # at most, for a completion to report
    born_ms: int = 0  # of the incarnation whose clock and ends it names

    @property
    def names_incarnation(self) -> bool:
        """Return whether another incarnation must not carry it out."""
        return self.deadline_ms is not None or self.acknowledged_end > 0


class End(enum.Enum):
    """Classify how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """Report a run in progress."""

    task: str
    run: int
    checkpoint: str
    percent: float
    gauge: float  # tail latency in ms if it serves, else cores in use


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedTask:
    """Report a completion; numbers increase within a worker incarnation."""

    number: int
    task: str
    run: int
    end: End
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """List the running and the completed runs of a worker."""

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...]
    finished: tuple[FinishedTask, ...]
    # If further ends may follow, a run in neither list may have ended.
    is_complete: bool = True
    is_renewed: bool = True  # else it was only asked for


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permit a step to run on a worker."""

    worker_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """List the workers that a step may run on."""

    tickets: tuple[Ticket, ...]
    valid: datetime.timedelta


class WorkerLink(abc.ABC):
    """Send orders to workers.

    A worker may restart under its id. What names an incarnation's clock or
    ends reaches that incarnation or none.
    """

    @abc.abstractmethod
    async def start(
        self, address: Address, order: StartOrder, timeout: datetime.timedelta
    ) -> OrderResult:
        """Start a task on the incarnation that the order names."""

    @abc.abstractmethod
    async def stop(
        self,
        address: Address,
        task: str,
        run: int,
        token: int,
        timeout: datetime.timedelta,
    ) -> OrderResult:
        """Stop a run and reject a start of it that arrives later."""

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
        """Limit a run to a percentage of its full speed."""

    @abc.abstractmethod
    async def renew_lease(
        self,
        address: Address,
        order: LeaseRenewal,
        timeout: datetime.timedelta,
    ) -> Inventory | OrderResult:
        """Renew the lease and return the inventory.

        Nothing is renewed or acknowledged unless the incarnation that the
        order names has answered on the same connection before. The time-out
        limits how long no data may arrive after the order's wait, not the
        transfer of an inventory that makes progress.
        """

    @abc.abstractmethod
    async def advise(
        self,
        step: str,
        worker_ids: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> Advice | None:
        """Return the workers that a step may run on, or None if unknown."""


class ServerState(enum.Enum):
    """Indicate whether a worker accepts new work."""

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
    version: str = ""  # of its software; empty if unknown
