"""Define the documents that operators declare under paths."""

import dataclasses
import datetime
import enum

UNITS_PER_CPU_ONLY_WORKER = 32  # cells of a worker without accelerators


class Urgency(enum.Enum):
    """List the classes of urgency, the most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class Adjacency(enum.Enum):
    """Limit how far apart the members of a gang may run."""

    WORKER = "worker"
    RACK = "rack"
    DATA_CENTRE = "data_centre"
    REGION = "region"


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


def _is_power_of_two(number: int) -> bool:
    return number > 0 and number & (number - 1) == 0


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """Declare a worker and the capacity of its backend server."""

    address: str
    accelerators: int
    cores: int
    memory_gb: int
    slots: int = 8
    connections: int = 64

    def __post_init__(self) -> None:
        """Check the ranges."""
        _require(
            self.accelerators == 0 or _is_power_of_two(self.accelerators),
            f"accelerators must be 0 or a power of two, "
            f"found {self.accelerators}",
        )
        for name in ("cores", "memory_gb", "slots", "connections"):
            _require(
                getattr(self, name) > 0,
                f"{name} must be above 0, found {getattr(self, name)}",
            )

    @property
    def units(self) -> int:
        """Return the number of units, the smallest cells, of the worker."""
        return self.accelerators or UNITS_PER_CPU_ONLY_WORKER


@dataclasses.dataclass(frozen=True, slots=True)
class Rack:
    """Declare the workers of a rack."""

    workers: dict[str, Worker]


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """Declare a data centre of the fleet."""

    region: str
    racks: dict[str, Rack]


@dataclasses.dataclass(frozen=True, slots=True)
class Principal:
    """Declare the holder of a bearer token by its SHA-256 in hex."""

    token_sha256: str
    weight: float = 1.0

    def __post_init__(self) -> None:
        """Check the digest and the weight."""
        digits = set(self.token_sha256) <= set("0123456789abcdef")
        _require(
            len(self.token_sha256) == 64 and digits,
            "token_sha256 must be 64 lower-case hex digits",
        )
        _require(self.weight > 0, "weight must be above 0")


@dataclasses.dataclass(frozen=True, slots=True)
class Operators:
    """Declare the operators of a team."""

    operators: dict[str, Principal]


@dataclasses.dataclass(frozen=True, slots=True)
class Guarantee:
    """Guarantee ``count`` cells of adjacent accelerators."""

    accelerators: int
    count: int

    def __post_init__(self) -> None:
        """Check the cell size and the count."""
        _require(
            _is_power_of_two(self.accelerators),
            f"accelerators must be a power of two, found {self.accelerators}",
        )
        _require(self.count > 0, f"count must be above 0, found {self.count}")


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limit the concurrent and the queued requests of an account."""

    concurrent_requests: int = 32
    queued_requests: int = 128

    def __post_init__(self) -> None:
        """Check the ranges."""
        _require(self.concurrent_requests > 0, "must be above 0")
        _require(self.queued_requests >= 0, "must not be below 0")


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Declare a client account, its guarantee and its callers."""

    region: str
    guarantee: tuple[Guarantee, ...] = ()
    weight: float = 1.0
    ends_at: datetime.datetime | None = None
    callers: dict[str, Principal] = dataclasses.field(default_factory=dict)
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        """Check the weight."""
        _require(self.weight > 0, "weight must be above 0")


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Declare a gang; each member has these amounts for ``run_s`` seconds."""

    kind: str
    members: int = 1
    accelerators: int = 1
    cores: int = 1
    memory_gb: int = 1
    adjacency: Adjacency = Adjacency.REGION
    urgency: Urgency = Urgency.NORMAL
    run_s: float = 60.0
    payload: str = ""
    max_attempts: int = 3

    def __post_init__(self) -> None:
        """Check the ranges."""
        _require(
            1 <= self.members <= 1024,
            f"members must be from 1 to 1024, found {self.members}",
        )
        for name in ("accelerators", "cores", "memory_gb"):
            _require(
                getattr(self, name) >= 0,
                f"{name} must not be below 0, found {getattr(self, name)}",
            )
        _require(self.run_s > 0, f"run_s must be above 0, found {self.run_s}")
        _require(
            1 <= self.max_attempts <= 10,
            f"max_attempts must be from 1 to 10, found {self.max_attempts}",
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DeclaredJob:
    """Declare a job under its team's path."""

    account: str
    caller: str
    job: JobSpec


Document = DataCentre | Operators | Account | DeclaredJob


def document_type(path: str) -> type | None:
    """Return the type of the document declared at a path, if any."""
    match path.split("/"):
        case ["fleet", name] if name:
            return DataCentre
        case ["teams", team, "operators"] if team:
            return Operators
        case ["teams", team, "accounts", name] if team and name:
            return Account
        case ["teams", team, "jobs", name] if team and name:
            return DeclaredJob
    return None
