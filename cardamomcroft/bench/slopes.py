"""Fit lines to the costs of control and of decisions."""

import dataclasses
import datetime
import json
import pathlib
import time
import typing

import cyclopts
import numpy

from cardamomcroft.bench import control
from cardamomcroft.bench import population as populations
from cardamomcroft.cli import running
from cardamomcroft.daemon import logs
from cardamomcroft.policy import base
from cardamomcroft.policy import registry
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance

app = cyclopts.App(name="bench slopes", help="Fit slopes of costs.")

BASE_SIZE = populations.Size(
    workers=200, accelerators=400, tasks=1000, instances=14, regions=1
)
SLOPE_SIZES = {
    "workers": (100, 200, 400, 800),
    "tasks": (500, 2000, 4000, 6000),
    "instances": (7, 14, 28, 84),
    "accounts": (4, 36, 100, 200),
    "settings": (20, 200, 500, 1000),
    "waiting": (10, 100, 300, 1000),
}
SLOPE_METRICS = ("core_share", "bytes_per_s", "state_bytes", "rss_bytes")


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Line fitted to a measure at several sizes."""

    slope: float
    base: float
    residual_share: float


def fit_line(sizes: list[float], values: list[float]) -> Fit:
    """Return the least-squares line.

    The residual share is the largest residual over the largest absolute
    value.
    """
    slope, base = numpy.polyfit(sizes, values, 1)
    line = slope * numpy.asarray(sizes) + base
    max_residual = float(numpy.abs(line - numpy.asarray(values)).max())
    max_magnitude = max(max(map(abs, values)), 1e-12)
    return Fit(
        float(slope), float(base), round(max_residual / max_magnitude, 3)
    )


def slopes(timing: instance.Timing) -> dict[str, typing.Any]:
    """Return the slope of each role's cost against each size."""
    found: dict[str, typing.Any] = {}
    for dimension, sizes in SLOPE_SIZES.items():
        reports = [
            control.measure(
                dataclasses.replace(BASE_SIZE, **{dimension: size}), timing
            )
            for size in sizes
        ]
        found[dimension] = {"sizes": sizes} | {
            role: _fit_role(sizes, [_costs_of(one, role) for one in reports])
            for role in (*reports[0]["nodes"], "node", "round")
        }
    return found


def _costs_of(report: dict[str, typing.Any], role: str) -> dict[str, float]:
    if role == "round":
        return {"round_s": report["round_s"]}
    return report["node"] if role == "node" else report["nodes"][role]


def _fit_role(
    sizes: tuple[int, ...], costs: list[dict[str, float]]
) -> dict[str, typing.Any]:
    fits = {}
    for name in ("round_s", *SLOPE_METRICS):
        values = [cost.get(name, 0.0) for cost in costs]
        if any(values):
            fits[name] = dataclasses.asdict(fit_line(list(sizes), values))
    return fits


ROUND_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
ROUND_WAITING = (100, 1000, 10_000, 100_000)
ROUND_WORKERS = (24, 100, 400, 1400)
ROUND_REPEATS = 3


def full_view(worker_count: int, waiting_count: int) -> base.View:
    """Return a view of a fleet with long queues of mixed jobs."""
    workers = tuple(
        base.WorkerView(f"w{number}", f"d{number % 12}", "r1", 8, 64, 128)
        for number in range(worker_count)
    )
    accounts = {
        f"a{number}": base.AccountView(
            f"a{number}",
            1.0,
            (documents.Guarantee(8, max(1, worker_count // 72)),),
        )
        for number in range(36)
    }
    urgencies = tuple(documents.Urgency)
    waiting = tuple(
        base.WaitingJob(
            f"j{number}",
            f"a{number % 36}",
            f"c{number % 5}",
            documents.JobSpec(
                "k",
                1 + number % 4,
                1 << number % 4,
                urgency=urgencies[number % 3],
            ),
            ROUND_START,
            number,
        )
        for number in range(waiting_count)
    )
    return base.View(ROUND_START, workers, accounts, waiting, ())


def time_round(view: base.View) -> dict[str, float]:
    """Return the shortest time and the counts of one decision."""
    policy = registry.by_name()[registry.CURRENT]
    best_s = float("inf")
    for _ in range(ROUND_REPEATS):
        began = time.perf_counter()
        decision = policy.decide(view)
        best_s = min(best_s, time.perf_counter() - began)
    return {
        "round_s": round(best_s, 5),
        "cells": decision.cells_examined,
        "jobs": decision.jobs_examined,
        "starts": len(decision.starts),
    }


def round_slopes() -> dict[str, typing.Any]:
    """Return the cost of a decision by waiting jobs and by workers."""
    found: dict[str, typing.Any] = {}
    for name, sizes, make in (
        ("waiting", ROUND_WAITING, lambda size: full_view(1400, size)),
        ("workers", ROUND_WORKERS, lambda size: full_view(size, 1000)),
    ):
        rounds = [time_round(make(size)) for size in sizes]
        fit = fit_line(list(sizes), [one["round_s"] for one in rounds])
        found[name] = {
            "sizes": sizes,
            "rounds": rounds,
            "fit": dataclasses.asdict(fit),
        }
    return found


@app.default
def main(
    *, timing: pathlib.Path | None = None, only_rounds: bool = False
) -> None:
    """Print the fits as one JSON object.

    Parameters
    ----------
    timing
        A YAML file with periods and limits.
    only_rounds
        Leave out the slopes of control.
    """
    logs.configure(instance.Logging(level="error"))
    found = {"rounds": round_slopes()}
    if not only_rounds:
        found["control"] = slopes(instance.load_timing(timing))
    print(json.dumps(found, indent=1))


if __name__ == "__main__":
    running.run(app)
