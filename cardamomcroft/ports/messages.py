"""Define the messages that cross the ports."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Carry consecutive records; ``first`` is the oldest offset kept."""

    first: int
    start: int
    payloads: tuple[str, ...]


class InstanceState(enum.Enum):
    """Tell whether an instance takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """Describe one entry of the platform's instance list."""

    instance_id: str
    state: InstanceState
    region: str = ""
    data_centre: str = ""
    peer_address: str = ""
    http_address: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Name ``size`` aligned units of a worker from ``start`` on."""

    start: int
    size: int


class TaskPhase(enum.Enum):
    """Name the phases of a gang member on its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Identify one gang member of one attempt."""

    job_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Ask for units of a worker; ``token`` is the fencing token."""

    task: TaskId
    token: int
    cell: Cell
    hold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a held task under a lease of ``lease_s`` seconds."""

    task: TaskId
    token: int
    lease_s: float
    payload: str
    run_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a task, after a checkpoint where asked for."""

    task: TaskId
    token: int
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renew leases and let the worker forget settled tasks."""

    token: int
    lease_s: float
    tasks: tuple[TaskId, ...] = ()
    forget: tuple[TaskId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """Report a task as its worker sees it."""

    task: TaskId
    token: int
    cell: Cell
    phase: TaskPhase
    detail: str = ""
    checkpoint_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """Report everything that a worker holds."""

    worker_id: str
    fence: int
    leaving: bool
    tasks: tuple[TaskReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a request; ``deadline_s`` is the time left to answer."""

    request_id: str
    account: str
    body: str
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Carry the whole answer to the request it names."""

    request_id: str
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Confirm a command; a stop tells the seconds of work kept."""

    checkpoint_s: float = 0.0
