"""Compare results of the policy bench with the required bounds."""

import collections
import dataclasses
import pathlib
import statistics
import typing

from cardamomcroft.bench import workload as workloads
from cardamomcroft.policy import registry

MAX_URGENT_START_S = 1.1
MIN_OTHERS_KEPT = 0.95
MAX_SMALL_OVER_LARGE = 1.0
BASELINES = ("fifo", "quota")
DEPLOYMENTS = ("guild", "rehoming")
URGENT_COMPLETION_DEPLOYMENT = "guild"  # urgent quotes must complete sooner

Result = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """A bound that does not hold, with the value found."""

    workload: str
    bound: str
    wanted: str
    found: float

    def __str__(self) -> str:
        """Return the shortfall on one line."""
        return (
            f"SHORT {self.workload}: {self.bound}: wanted {self.wanted}, "
            f"found {self.found:.4g}"
        )


def known_red(file: pathlib.Path) -> frozenset[tuple[str, str]]:
    """Return the (workload, bound) of each line ``RED policy | … | …``."""
    if not file.exists():
        return frozenset()
    rows = [
        [field.strip() for field in line.split("|")]
        for line in file.read_text(encoding="utf-8").splitlines()
        if line.startswith("RED policy")
    ]
    return frozenset((row[1], row[2]) for row in rows)


def check(results: list[Result]) -> list[Shortfall]:
    """Return every bound that the current policy does not meet."""
    by_key: dict[tuple[str, str], list[Result]] = collections.defaultdict(list)
    for result in results:
        by_key[result["workload"], result["policy"]].append(result)
    shortfalls = []
    for (workload, policy), runs in sorted(by_key.items()):
        if policy != registry.CURRENT:
            continue
        shortfalls.extend(_check_limits(workload, runs))
        for baseline in BASELINES:
            others = by_key.get((workload, baseline))
            if others and workload in DEPLOYMENTS:
                shortfalls.extend(
                    _check_baseline(workload, runs, baseline, others)
                )
    return shortfalls


def _check_limits(workload: str, runs: list[Result]) -> list[Shortfall]:
    found = []
    violations = sum(sum(run["violations"].values()) for run in runs)
    if violations:
        found.append(Shortfall(workload, "violations", "0", violations))
    checkpoint_s = workloads.load(workload).ok.checkpoint_s
    limit_s = MAX_URGENT_START_S + checkpoint_s
    worst = max(run["urgent_start_s"]["p99"] for run in runs)
    if worst > limit_s:
        found.append(
            Shortfall(workload, "urgent_start_s p99", f"<= {limit_s}", worst)
        )
    kept = [run["others_kept"] for run in runs]
    if None not in kept and min(kept) < MIN_OTHERS_KEPT:
        found.append(
            Shortfall(
                workload, "others_kept", f">= {MIN_OTHERS_KEPT}", min(kept)
            )
        )
    ratio = median(runs, "small_over_large_p95")
    if ratio is not None and ratio > MAX_SMALL_OVER_LARGE:
        found.append(
            Shortfall(
                workload,
                "small_over_large_p95",
                f"<= {MAX_SMALL_OVER_LARGE}",
                ratio,
            )
        )
    return found


def _check_baseline(
    workload: str, runs: list[Result], baseline: str, others: list[Result]
) -> list[Shortfall]:
    found = []
    measures = [
        ("mean completion", _mean_completion),
        ("fragmentation", _fragmentation),
    ]
    if workload == URGENT_COMPLETION_DEPLOYMENT:
        measures.append(("urgent completion", _urgent_completion))
    for name, measure in measures:
        ours = statistics.median(map(measure, runs))
        theirs = statistics.median(map(measure, others))
        if ours >= theirs:
            ratio = ours / theirs if theirs else float("inf")
            bound = f"{name} over {baseline}"
            found.append(Shortfall(workload, bound, "< 1", ratio))
    return found


def _mean_completion(run: Result) -> float:
    return run["completion_s"]["mean"]


def _urgent_completion(run: Result) -> float:
    return run["completion_s"]["by_class"]["urgent"]["mean"]


def _fragmentation(run: Result) -> float:
    return run["fragmentation"]


def median(runs: list[Result], key: str) -> float | None:
    """Return the median of a measure over the seeds that have it."""
    values = [run[key] for run in runs if run[key] is not None]
    return statistics.median(values) if values else None
