"""Draw the jobs and faults of a workload from a seed."""

import dataclasses
import enum

import numpy

from cardamomcroft.bench import workload as workloads
from cardamomcroft.settings import documents

HOUR_S = 3600.0
DAY_S = 86_400.0
IMPOSSIBLE_ACCELERATORS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One job with its arrival, its spec and its actual run time."""

    job_id: str
    at_s: float
    account: str
    caller: str
    kind: str
    spec: documents.JobSpec
    run_s: float
    is_flood: bool = False


class FaultKind(enum.Enum):
    """Kinds of faults that the bench injects."""

    LOSE = "lose"
    RETURN = "return"
    CANCEL = "cancel"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``worker`` is an index into the fleet."""

    at_s: float
    kind: FaultKind
    worker: int = -1
    wave: workloads.CancelWave | None = None
    cancel_seed: int = 0


class Generator:
    """Draws arrivals and faults, each kind from its own random stream.

    With separate streams the ordinary arrivals of a seed are the same with
    and without a flood.
    """

    def __init__(self, workload: workloads.Workload, seed: int) -> None:
        """Derive every random stream from the seed."""
        self._workload = workload
        self._seed = seed
        self._count = 0

    def _stream(self, *key: int) -> numpy.random.Generator:
        return numpy.random.default_rng([self._seed, *key])

    def arrivals(self) -> list[Arrival]:
        """Return every job in order of arrival."""
        found = []
        for index, name in enumerate(self._workload.kinds):
            found.extend(self._draw_ordinary(index, name))
        for index, flood in enumerate(self._workload.floods):
            found.extend(self._draw_flood(index, flood))
        found.sort(key=lambda arrival: (arrival.at_s, arrival.job_id))
        return found

    def _draw_ordinary(self, index: int, name: str) -> list[Arrival]:
        stream = self._stream(1, index)
        kind = self._workload.kinds[name]
        times = _poisson(
            stream, kind.arrivals_per_hour, 0.0, self._workload.hours
        )
        accounts = list(self._workload.accounts)
        shares = self._account_shares()
        found = []
        for number, at_s in enumerate(times):
            account = accounts[stream.choice(len(accounts), p=shares)]
            caller = self._draw_caller(stream, account)
            job_id = f"{name}-{number}"
            found.append(
                self._draw_arrival(stream, job_id, at_s, account, caller, name)
            )
        return found

    def _account_shares(self) -> numpy.ndarray:
        shares = numpy.array(
            [terms.share for terms in self._workload.accounts.values()]
        )
        return shares / shares.sum()

    def _draw_caller(
        self, stream: numpy.random.Generator, account: str
    ) -> str:
        weights = dict(self._workload.accounts[account].callers)
        for greedy in self._workload.greedy:
            if greedy.account == account:
                weights[greedy.caller] = (
                    weights.get(greedy.caller, 1.0) * greedy.factor
                )
        shares = numpy.array(list(weights.values()))
        chosen = stream.choice(len(shares), p=shares / shares.sum())
        return list(weights)[chosen]

    def _draw_flood(self, index: int, flood: workloads.Flood) -> list[Arrival]:
        stream = self._stream(2, index)
        times = _poisson(
            stream, flood.arrivals_per_hour, flood.from_hour, flood.to_hour
        )
        found = []
        for number, at_s in enumerate(times):
            account = flood.accounts[stream.integers(len(flood.accounts))]
            arrival = self._draw_arrival(
                stream,
                f"flood-{index}-{number}",
                at_s,
                account,
                flood.caller,
                flood.kind,
            )
            found.append(dataclasses.replace(arrival, is_flood=True))
        return found

    def _draw_arrival(
        self,
        stream: numpy.random.Generator,
        job_id: str,
        at_s: float,
        account: str,
        caller: str,
        name: str,
    ) -> Arrival:
        kind = self._workload.kinds[name]
        run_s = _log_normal(stream, kind.run_s)
        declared_s = run_s * _log_normal(stream, kind.declared)
        accelerators = _choose(stream, kind.accelerators)
        members = _choose(stream, kind.members)
        if stream.random() < self._workload.failures.impossible_share:
            accelerators = IMPOSSIBLE_ACCELERATORS
        spec = documents.JobSpec(
            name,
            members,
            accelerators,
            kind.cores,
            kind.memory_gb,
            kind.adjacency,
            kind.urgency,
            max(1.0, declared_s),
        )
        return Arrival(job_id, at_s, account, caller, name, spec, run_s)

    def faults(self, worker_count: int) -> list[Fault]:
        """Return every fault in order of time."""
        stream = self._stream(3)
        failures = self._workload.failures
        found = []
        per_hour = failures.worker_losses_per_day / 24
        for at_s in _poisson(stream, per_hour, 0.0, self._workload.hours):
            worker = int(stream.integers(worker_count))
            found.append(Fault(at_s, FaultKind.LOSE, worker))
            return_s = at_s + failures.repair_s
            found.append(Fault(return_s, FaultKind.RETURN, worker))
        for wave in self._workload.cancel_waves:
            cancel_seed = int(stream.integers(2**31))
            at_s = wave.at_hour * HOUR_S
            found.append(Fault(at_s, FaultKind.CANCEL, -1, wave, cancel_seed))
        found.sort(key=lambda fault: fault.at_s)
        return found

    def failing_workers(self, worker_count: int) -> frozenset[int]:
        """Return the indices of workers that fail every task they start."""
        stream = self._stream(4)
        count = self._workload.failures.failing_workers
        chosen = stream.choice(worker_count, size=count, replace=False)
        return frozenset(int(number) for number in chosen)


def _poisson(
    stream: numpy.random.Generator,
    per_hour: float,
    from_hour: float,
    to_hour: float,
) -> list[float]:
    mean = per_hour * (to_hour - from_hour)
    count = stream.poisson(mean) if mean > 0 else 0
    times = stream.uniform(from_hour * HOUR_S, to_hour * HOUR_S, count)
    return sorted(float(at_s) for at_s in times)


def _log_normal(
    stream: numpy.random.Generator, shape: workloads.LogNormal
) -> float:
    return float(stream.lognormal(numpy.log(shape.median), shape.sigma))


def _choose(stream: numpy.random.Generator, choice: workloads.Choice) -> int:
    weights = numpy.array(choice.weights)
    chosen = stream.choice(len(weights), p=weights / weights.sum())
    return choice.values[chosen]
