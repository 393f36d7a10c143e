"""Compare declared, mean and learned run times on a replayed workload.

Run from the top of the repository: python -m bench.run_times [FILE]

FILE has one JSON list a line: queue, account, declared and actual seconds and,
optionally, the job. Without it, workloads are generated for each seed.
"""

import argparse
import collections.abc
import dataclasses
import datetime
import json
import math
import pathlib
import random
import statistics
import sys

from cardamomcroft.runtimes import learned
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models

# Queue, mean tasks per job and median run time of the plan's two deployments.
QUEUES = (
    (("urgent", 5.4, 2.1), ("ordinary", 13, 9.4), ("batch", 39, 8.1)),
    (("urgent", 5.4, 2.5), ("ordinary", 13, 11.0), ("batch", 39, 6.1)),
)
SPREADS = (0.3, 0.5)  # standard deviation of the logarithm between jobs
TASK_SPREAD = 0.1  # within a job: 30% between the extremes
LONG_SHARE, LONG_FACTOR = 0.03, 7
MAX_DECLARED_ERROR = 0.9
ACCOUNTS = 10
JOBS = 600
WARM_UP_JOBS = 30  # before the errors count
UPPER = 0.9
_SECOND = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A finished run."""

    queue: str
    account: str
    declared_s: float
    actual_s: float
    job: str


def generate(deployment: int, spread: float, seed: int) -> list[Row]:
    """Return the runs of jobs of three queues."""
    source = random.Random(f"{deployment} {spread} {seed}")
    rows = []
    for number in range(JOBS):
        queue, width, median_s = source.choice(QUEUES[deployment])
        usual_s = median_s * source.lognormvariate(0, spread)
        declared_s = usual_s * (
            1 + source.uniform(-MAX_DECLARED_ERROR, MAX_DECLARED_ERROR)
        )
        account = f"account {source.randrange(ACCOUNTS)}"
        for _ in range(max(1, round(source.expovariate(1 / width)))):
            actual_s = usual_s * source.lognormvariate(0, TASK_SPREAD)
            if source.random() < LONG_SHARE:
                actual_s *= LONG_FACTOR
            rows.append(Row(queue, account, declared_s, actual_s, str(number)))
    return rows


def read(path: pathlib.Path) -> list[Row]:
    """Return the runs that a file lists; each is a job unless it says so."""
    rows = []
    for number, line in enumerate(path.read_text().splitlines()):
        queue, account, declared_s, actual_s, *job = json.loads(line)
        name = str(job[0]) if job else f"line {number}"
        rows.append(Row(queue, account, declared_s, actual_s, name))
    return rows


def _jobs(rows: list[Row]) -> collections.abc.Iterator[list[Row]]:
    by_job: dict[str, list[Row]] = {}
    for row in rows:
        by_job.setdefault(row.job, []).append(row)
    yield from by_job.values()


def _model(rows: list[Row]) -> tuple[models.Job, models.Step]:
    first = rows[0]
    queue = models.Queue(first.queue, "", 1, 1, 1.0, _SECOND)
    declared = first.declared_s * _SECOND
    step = models.Step(len(rows), models.Demand(), declared)
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    job = models.Job(first.job, queue, first.account, "", (step,), None, now)
    return job, step


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Errors by method, and the share of runs within the 90% quantile."""

    errors_by_method: dict[str, list[float]]
    covered: list[bool]


def replay(rows: list[Row]) -> Result:
    """Estimate each job before its runs are observed."""
    mean, times = estimates.Durations(), learned.LearnedRunTimes()
    errors: dict[str, list[float]] = {
        "declared": [],
        "mean": [],
        "learned": [],
    }
    covered = []
    for number, runs in enumerate(_jobs(rows)):
        job, step = _model(runs)
        expected = {
            "declared": step.estimate,
            "mean": mean.expected(job, step),
            "learned": times.expected(job, step),
        }
        upper = times.quantile(job, step, UPPER) / _SECOND
        for row in runs:
            if number >= WARM_UP_JOBS:
                for method, value in expected.items():
                    expected_s = max(value / _SECOND, 0.001)
                    errors[method].append(
                        abs(math.log(row.actual_s / expected_s))
                    )
                covered.append(row.actual_s <= upper)
            for predictor in (mean, times):
                predictor.observe(job, step, row.actual_s * _SECOND)
    return Result(errors, covered)


def _describe(result: Result) -> list[str]:
    cells = []
    for method in ("declared", "mean", "learned"):
        errors = result.errors_by_method[method]
        middle = statistics.median(errors)
        upper = statistics.quantiles(errors, n=10)[-1]
        cells.append(f"{middle:.2f} / {upper:.2f}")
    share = statistics.mean(result.covered)
    return [*cells, f"{share:.1%}", str(len(result.covered))]


def _print(name: str, result: Result) -> None:
    print("| " + " | ".join([name, *_describe(result)]) + " |")


def main() -> None:
    """Print a table of the errors."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=pathlib.Path)
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    print(
        "| workload | declared | mean (today) | learned"
        " | runs within the 90% quantile | runs |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    if arguments.file:
        rows = read(arguments.file)
        if len({row.job for row in rows}) <= WARM_UP_JOBS + 1:
            sys.exit(
                f"{arguments.file}: more than {WARM_UP_JOBS + 1} jobs"
                " are needed"
            )
        _print(arguments.file.name, replay(rows))
        return
    for deployment in range(len(QUEUES)):
        for spread in SPREADS:
            for seed in range(1, arguments.seeds + 1):
                name = f"{deployment + 1}, spread {spread}, seed {seed}"
                _print(name, replay(generate(deployment, spread, seed)))


if __name__ == "__main__":
    main()
