"""Define the messages of the platform and of the workers."""

import collections.abc
import dataclasses
import enum
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Carry consecutive records; ``first`` is the oldest retained offset."""

    first: int
    start: int
    payloads: tuple[str, ...]


class InstanceState(enum.Enum):
    """Indicate whether an instance accepts new work."""

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
    """Identify ``size`` aligned units of a worker from ``start`` on."""

    start: int
    size: int


class TaskPhase(enum.Enum):
    """List the phases of a gang member on its worker."""

    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskId:
    """Identify one gang member of one attempt.

    Attempt numbers increase and no two epochs share any, so that a task
    of a former owner is never taken for one of a later attempt.
    """

    job_id: str
    attempt: int
    member: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reserve:
    """Reserve units of a worker; ``token`` is the fencing token."""

    task: TaskId
    token: int
    cell: Cell
    hold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start a reserved task under a lease of ``lease_s`` seconds.

    Another incarnation of the worker than the one named refuses it; none is
    named if the reservation was answered without one.
    """

    task: TaskId
    token: int
    lease_s: float
    payload: str
    run_s: float
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Stop a task, after a checkpoint if ``checkpoint`` is set.

    An incarnation that has not replaced the named one refuses it, as the
    task may run on there.
    """

    task: TaskId
    token: int
    checkpoint: bool = False
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Renew:
    """Renew the leases of a set of tasks and forget settled ones.

    ``tasks`` replaces the set stored on the worker. None renews the
    stored set, provided that its checksum equals ``checksum``.
    """

    token: int
    lease_s: float
    tasks: tuple[TaskId, ...] | None = ()
    checksum: str = ""
    forget: tuple[TaskId, ...] = ()


def checksum(tasks: collections.abc.Iterable[TaskId]) -> str:
    """Return a short digest of a set of tasks, whatever their order."""
    lines = sorted(
        f"{task.job_id}/{task.attempt}/{task.member}" for task in tasks
    )
    text = "\n".join(lines).encode()
    return hashlib.blake2b(text, digest_size=6).hexdigest()


def has_replaced(incarnation: str, former: str) -> bool:
    """Return whether an incarnation shows that a former one has ended.

    An incarnation is ``ADDRESS@NUMBER``: the address that the process alone
    listens on, empty if it can't say, and a number of its own.
    """
    address = incarnation.rpartition("@")[0]
    is_same = bool(address) and address == former.rpartition("@")[0]
    return is_same and incarnation != former


@dataclasses.dataclass(frozen=True, slots=True)
class TaskReport:
    """Report the state of a task on its worker."""

    task: TaskId
    token: int
    cell: Cell
    phase: TaskPhase
    detail: str = ""
    checkpoint_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inventory:
    """Report the tasks on a worker.

    If ``is_whole`` is false, running tasks are omitted: only renewed tasks
    run, and each renewed task that isn't reported is running. ``age_s`` is
    the time on the worker's steady clock since its process began.
    """

    worker_id: str
    fence: int
    leaving: bool
    tasks: tuple[TaskReport, ...] = ()
    is_whole: bool = True
    incarnation: str = ""
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a request; ``deadline_s`` is the remaining time."""

    request_id: str
    account: str
    body: str
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Carry the complete answer to the request with this id."""

    request_id: str
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Confirm a command.

    After a stop, ``checkpoint_s`` is the work saved, in seconds, and
    ``is_finished`` is set if the task had finished before. After a
    reservation, ``incarnation`` and ``age_s`` are as in an inventory.
    """

    checkpoint_s: float = 0.0
    is_finished: bool = False
    incarnation: str = ""
    age_s: float = 0.0
