"""Compare workers by the run times of the tasks of one step.

Load: workers of which some are 0.8 or 1.25 times as fast as others. Tasks of
a step differ by up to 30% from each other, so that single runs say little.
"""

import collections.abc
import dataclasses
import math
import statistics

import immutables

from cardamomcroft.ports import fleet

MIN_RUNS = 3  # of a step, to have a median
# Steps before a worker's or a kind's ratio counts at all. Tasks of a step
# differ by 30%, so that four steps would show a difference where none is.
MIN_STEPS = 5
# Steps that the worker's kind, or no difference, counts for.
PRIOR_STEPS = 4.0
DECAY = 0.98  # per step, so that about the last fifty count
MAX_WORKERS = 3_000  # twice the two-year size, half a megabyte

WorkerKind = tuple[object, ...]


def kind_of(listing: fleet.Listing | None) -> WorkerKind:
    """Return a worker's labels without its rack, and its capacity."""
    if listing is None:
        return ()
    return (
        listing.labels - {listing.rack},
        listing.milli_cores,
        listing.memory_mb,
        listing.accelerators,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Ratio:
    """Mean logarithm of run times over their steps' medians."""

    total: float = 0.0
    steps: float = 0.0

    def add(self, log_ratio: float) -> "Ratio":
        """Return the ratio with that of one more step."""
        return Ratio(self.total * DECAY + log_ratio, self.steps * DECAY + 1)

    def shrunk(self, prior: float = 0.0) -> float:
        """Return the mean, moved towards the prior while uncertain."""
        if self.steps < MIN_STEPS * DECAY**MIN_STEPS:
            return prior
        return (self.total + prior * PRIOR_STEPS) / (self.steps + PRIOR_STEPS)


_Known = tuple[WorkerKind, Ratio]


@dataclasses.dataclass(frozen=True, slots=True)
class Speeds:
    """Ratios by worker and by kind of worker."""

    by_worker: immutables.Map[str, tuple[WorkerKind, Ratio]] = (
        dataclasses.field(default_factory=immutables.Map)
    )
    by_kind: immutables.Map[WorkerKind, Ratio] = dataclasses.field(
        default_factory=immutables.Map
    )

    def observe(
        self,
        times_s: collections.abc.Iterable[tuple[str, float]],
        kind_of: collections.abc.Callable[[str], WorkerKind],
    ) -> "Speeds":
        """Return the speeds with the run times of one step by worker."""
        logs: dict[str, list[float]] = {}
        for worker_id, time_s in times_s:
            logs.setdefault(worker_id, []).append(math.log(time_s))
        every = [value for values in logs.values() for value in values]
        if len(every) < MIN_RUNS or len(logs) < 2:
            return self
        middle = statistics.median(every)
        found = self
        ratios_by_kind: dict[WorkerKind, list[float]] = {}
        for worker_id, values in logs.items():
            # A run that takes seven times as long is no sign of its worker.
            ratio = min(max(statistics.median(values) - middle, -1.0), 1.0)
            kind = kind_of(worker_id)
            ratios_by_kind.setdefault(kind, []).append(ratio)
            found = found._add(worker_id, kind, ratio)
        if len(ratios_by_kind) < 2:
            return found  # the step compares no kinds
        by_kind = found.by_kind
        for kind, ratios in ratios_by_kind.items():
            known = by_kind.get(kind, Ratio())
            by_kind = by_kind.set(kind, known.add(statistics.mean(ratios)))
        return Speeds(found.by_worker, by_kind)

    def _add(
        self, worker_id: str, kind: WorkerKind, log_ratio: float
    ) -> "Speeds":
        known_kind, known = self.by_worker.get(worker_id, (kind, Ratio()))
        if known_kind != kind:
            known = Ratio()
        by_worker = self.by_worker.set(worker_id, (kind, known.add(log_ratio)))
        if len(by_worker) > MAX_WORKERS:
            by_worker = by_worker.delete(
                min(by_worker, key=lambda name: by_worker[name][1].steps)
            )
        return Speeds(by_worker, self.by_kind)

    def speed(self, worker_id: str, kind: WorkerKind) -> float:
        """Return how fast a worker is; 1 is usual, 1.25 is faster."""
        prior = self.by_kind.get(kind, Ratio()).shrunk()
        known_kind, known = self.by_worker.get(worker_id, (kind, Ratio()))
        if known_kind != kind:
            known = Ratio()
        return math.exp(-known.shrunk(prior))
