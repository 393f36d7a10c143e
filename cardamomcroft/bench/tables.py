"""Write the policy bench's tables and plots."""

import collections
import json
import pathlib
import statistics
import typing

import matplotlib
from matplotlib import pyplot

from cardamomcroft.bench import bounds
from cardamomcroft.cli import output

matplotlib.use("Agg")

Result = dict[str, typing.Any]

COLUMNS = (
    "workload",
    "policy",
    "completion_mean",
    "completion_p95",
    "slowdown_p95",
    "urgent_start_p99",
    "small_over_large",
    "fragmentation",
    "others_kept",
    "work_lost_s",
    "violations",
)


def _median_and_worst(values: list[float | None], is_lower_worse: bool) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "-"
    worst = min(known) if is_lower_worse else max(known)
    return f"{statistics.median(known):.4g}/{worst:.4g}"


def rows(results: list[Result]) -> list[dict[str, str]]:
    """Return a row for each workload and policy, median/worst of seeds."""
    by_key = collections.defaultdict(list)
    for result in results:
        by_key[result["workload"], result["policy"]].append(result)
    found = []
    for (workload, policy), runs in by_key.items():
        values = {
            "completion_mean": [run["completion_s"]["mean"] for run in runs],
            "completion_p95": [run["completion_s"]["p95"] for run in runs],
            "slowdown_p95": [run["slowdown"]["p95"] for run in runs],
            "urgent_start_p99": [run["urgent_start_s"]["p99"] for run in runs],
            "small_over_large": [run["small_over_large_p95"] for run in runs],
            "fragmentation": [run["fragmentation"] for run in runs],
            "others_kept": [run["others_kept"] for run in runs],
            "work_lost_s": [run["work_lost_s"] for run in runs],
            "violations": [sum(run["violations"].values()) for run in runs],
        }
        row = {"workload": workload, "policy": policy}
        for column, numbers in values.items():
            row[column] = _median_and_worst(numbers, column == "others_kept")
        found.append(row)
    return found


def render(results: list[Result]) -> str:
    """Return the table as text, each cell median/worst over seeds."""
    return "\n".join(output.table(rows(results), COLUMNS))


def write(
    results: list[Result],
    shortfalls: list[bounds.Shortfall],
    directory: pathlib.Path,
) -> None:
    """Write the table, the raw results and a plot for each measure."""
    directory.mkdir(parents=True, exist_ok=True)
    lines = [render(results), "", *map(str, shortfalls)]
    (directory / "table.txt").write_text(
        "\n".join(lines) + "\n", encoding="utf-8"
    )
    (directory / "results.json").write_text(
        json.dumps(results, indent=1) + "\n", encoding="utf-8"
    )
    for key, name in (
        ("completion_s", "completion"),
        ("slowdown", "slowdown"),
    ):
        _plot(results, key, directory / f"{name}.png")


def _plot(results: list[Result], key: str, file: pathlib.Path) -> None:
    by_policy = collections.defaultdict(lambda: collections.defaultdict(list))
    for result in results:
        means = by_policy[result["policy"]][result["workload"]]
        means.append(result[key]["mean"])
    names = sorted({result["workload"] for result in results})
    figure, axes = pyplot.subplots(figsize=(12, 5))
    width = 0.8 / max(1, len(by_policy))
    for number, (policy, by_workload) in enumerate(by_policy.items()):
        heights = [
            statistics.median(by_workload[name]) if name in by_workload else 0
            for name in names
        ]
        positions = [index + number * width for index in range(len(names))]
        axes.bar(positions, heights, width, label=policy)
    axes.set_xticks(range(len(names)), names, rotation=60, ha="right")
    axes.set_ylabel(f"mean {key}, median of seeds")
    axes.set_yscale("log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file)
    pyplot.close(figure)
