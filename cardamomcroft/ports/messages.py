"""Define the messages that cross the ports."""

import collections.abc
import dataclasses
import enum
import hashlib


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
    """Identify one gang member of one attempt.

    Attempt numbers grow and no two epochs share any, so that what a
    former owner left behind is never taken for a later attempt.
    """

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
    """Renew the leases of a set of tasks and forget settled ones.

    ``tasks`` replaces the set that the worker remembers. None renews
    that set, provided that its checksum is the given one.
    """

    token: int
    lease_s: float
    tasks: tuple[TaskId, ...] | None = ()
    checksum: str = ""
    forget: tuple[TaskId, ...] = ()


def checksum(tasks: collections.abc.Iterable[TaskId]) -> str:
    """Return a short digest of a set of tasks, in any order."""
    lines = sorted(
        f"{task.job_id}/{task.attempt}/{task.member}" for task in tasks
    )
    text = "\n".join(lines).encode()
    return hashlib.blake2b(text, digest_size=6).hexdigest()


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
    """Report what a worker holds.

    Where ``is_whole`` is false, exactly the renewed tasks run or stand in
    the report, and those that run are left out of it.
    """

    worker_id: str
    fence: int
    leaving: bool
    tasks: tuple[TaskReport, ...] = ()
    is_whole: bool = True


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
    """Confirm a command.

    A stop tells the seconds of work kept, or that it came after the end.
    """

    checkpoint_s: float = 0.0
    is_finished: bool = False
