"""Define and load the workload files of the policy bench."""

import dataclasses
import importlib.resources
import os
import pathlib

import expression

from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Pool of identical workers; ``workers`` is their number per rack."""

    data_centres: int
    racks: int
    workers: int
    accelerators: int
    cores: int
    memory_gb: int


@dataclasses.dataclass(frozen=True, slots=True)
class AccountTerms:
    """Terms of an account; ``callers`` holds shares of its arrivals."""

    weight: float
    share: float
    callers: dict[str, float]
    guarantee: tuple[documents.Guarantee, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Discrete distribution of values with relative weights."""

    values: tuple[int, ...]
    weights: tuple[float, ...]

    def __post_init__(self) -> None:
        """Check that each value has a weight."""
        if len(self.values) != len(self.weights) or not self.values:
            raise ValueError(
                "values and weights must be non-empty and equally long"
            )


@dataclasses.dataclass(frozen=True, slots=True)
class LogNormal:
    """Log-normal distribution with a median and a sigma."""

    median: float
    sigma: float = 0.0

    def __post_init__(self) -> None:
        """Check the ranges."""
        if self.median <= 0 or self.sigma < 0:
            raise ValueError("median must be above 0 and sigma not negative")


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Kind of job; ``declared`` is the factor of the declared run time."""

    urgency: documents.Urgency
    arrivals_per_hour: float
    run_s: LogNormal
    members: Choice = Choice((1,), (1.0,))
    accelerators: Choice = Choice((1,), (1.0,))
    cores: int = 1
    memory_gb: int = 1
    adjacency: documents.Adjacency = documents.Adjacency.REGION
    declared: LogNormal = LogNormal(1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """Extra arrivals of one kind from some accounts in a window."""

    kind: str
    from_hour: float
    to_hour: float
    arrivals_per_hour: float
    accounts: tuple[str, ...]
    caller: str = "flood"


@dataclasses.dataclass(frozen=True, slots=True)
class Greedy:
    """Caller whose weight in its account's arrivals is multiplied."""

    account: str
    caller: str
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failures:
    """Worker failures, and the share of jobs too large for any worker."""

    worker_losses_per_day: float = 0.0
    repair_s: float = 1800.0
    failing_workers: int = 0
    impossible_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWave:
    """Cancellation of a share of the active jobs of a kind at once."""

    at_hour: float
    kind: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Fleet, accounts, arrivals and failures of one simulation."""

    name: str
    hours: float
    pools: tuple[Pool, ...]
    accounts: dict[str, AccountTerms]
    kinds: dict[str, Kind]
    floods: tuple[Flood, ...] = ()
    greedy: tuple[Greedy, ...] = ()
    failures: Failures = Failures()
    cancel_waves: tuple[CancelWave, ...] = ()
    checkpoint_s: float = 2.0
    launch_s: float = 0.05
    description: str = ""

    def __post_init__(self) -> None:
        """Check that floods and cancel waves name known kinds and accounts."""
        for flood in self.floods:
            if flood.kind not in self.kinds:
                raise ValueError(f"floods: no kind {flood.kind!r}")
            for account in flood.accounts:
                if account not in self.accounts:
                    raise ValueError(f"floods: no account {account!r}")
        for wave in self.cancel_waves:
            if wave.kind not in self.kinds:
                raise ValueError(f"cancel_waves: no kind {wave.kind!r}")

    def without_floods(self) -> "Workload":
        """Return the same workload with ordinary arrivals only."""
        return dataclasses.replace(self, floods=())


def names() -> tuple[str, ...]:
    """Return the names of the shipped workloads."""
    folder = importlib.resources.files("cardamomcroft.bench") / "workloads"
    return tuple(
        sorted(
            file.name.removesuffix(".yaml")
            for file in folder.iterdir()
            if file.name.endswith(".yaml")
        )
    )


def load(name: str) -> expression.Result[Workload, parsing.Problems]:
    """Load a shipped workload by name, or any other by its file path."""
    if name in names():
        folder = importlib.resources.files("cardamomcroft.bench")
        file = folder / "workloads" / f"{name}.yaml"
    else:
        file = pathlib.Path(name)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = parsing.Problem(os.fspath(name), "", str(error))
        return expression.Error((problem,))
    return parsing.parse_yaml(name, text).bind(
        lambda data: parsing.structure(name, data, Workload)
    )
