"""Run scheduling policies on simulated workloads and report results."""

import dataclasses
import json
import pathlib
import sys
import typing

import cyclopts

from cardamomcroft.bench import bounds
from cardamomcroft.bench import engine
from cardamomcroft.bench import report
from cardamomcroft.bench import runs
from cardamomcroft.bench import tables
from cardamomcroft.bench import workload as workloads
from cardamomcroft.cli import client
from cardamomcroft.cli import running
from cardamomcroft.policy import registry

CHECK_PERIOD_ROUNDS = 5  # between checks of the invariants
LARGE_FLEET_CHECK_PERIOD_ROUNDS = 25
LARGE_FLEET_WORKERS = 200  # fleets of more workers are large

app = cyclopts.App(name="bench policy", help="Measure scheduling policies.")


def measure(
    workload: workloads.Workload, policy: str, seed: int
) -> dict[str, typing.Any]:
    """Return the report of one policy on one workload.

    A workload with floods is run once more without them for comparison.
    """
    outcome = _run(workload, policy, seed)
    unflooded = None
    if workload.floods:
        unflooded = _run(workload.without_floods(), policy, seed)
    return report.make_report(outcome, unflooded) | {
        "policy": policy,
        "seed": seed,
    }


def _run(workload: workloads.Workload, policy: str, seed: int) -> runs.Outcome:
    worker_count = len(runs.make_workers(workload))
    check_period_rounds = (
        LARGE_FLEET_CHECK_PERIOD_ROUNDS
        if worker_count > LARGE_FLEET_WORKERS
        else CHECK_PERIOD_ROUNDS
    )
    chosen = registry.by_name()[policy]
    return engine.Engine(workload, chosen, seed, check_period_rounds).run()


def _load(name: str) -> workloads.Workload:
    loaded = workloads.load(name)
    if loaded.is_error():
        for problem in loaded.error:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    return loaded.ok


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Workloads, policies and seeds to run in every combination."""

    workload_names: tuple[str, ...]
    policies: tuple[str, ...]
    seeds: tuple[int, ...]


def run_all(selection: Selection) -> list[dict[str, typing.Any]]:
    """Run every combination and print progress to standard error."""
    results = []
    for name in selection.workload_names:
        workload = _load(name)
        for policy in selection.policies:
            for seed in selection.seeds:
                print(f"{name} {policy} seed {seed}", file=sys.stderr)
                results.append(measure(workload, policy, seed))
    return results


@app.default
def main(
    *,
    workload: str = "guild",
    seed: int = 1,
    policy: str = registry.CURRENT,
    json_output: bool = False,
    list_names: bool = False,
    run_every: bool = False,
    seeds: int = 5,
    policies: str = "",
    report_to: pathlib.Path | None = None,
    only: str = "",
    check_bounds: bool = False,
    known_red: pathlib.Path = pathlib.Path("KNOWN-RED.txt"),
) -> None:
    """Measure policies on workloads.

    Parameters
    ----------
    workload
        A shipped workload's name, or any workload file.
    seed
        The seed of one run.
    policy
        The policy's name.
    json_output
        Print one JSON object.
    list_names
        Print the workloads and policies.
    run_every
        Run the whole table instead of one run.
    seeds
        The number of seeds of the whole table.
    policies
        Policies of the whole table, separated by commas.
    report_to
        The directory for tables and plots of the whole table.
    only
        Workloads of the whole table, separated by commas.
    check_bounds
        Exit 1 when a bound of the whole table does not hold.
    known_red
        The file whose RED lines name bounds that may fail without exit 1.
    """
    if list_names:
        _print_names()
        return
    if policy not in registry.by_name():
        print(f"no policy {policy!r}", file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    if run_every:
        names = tuple(only.split(",")) if only else workloads.names()
        selection = Selection(
            names,
            tuple(policies.split(","))
            if policies
            else tuple(registry.by_name()),
            tuple(range(1, seeds + 1)),
        )
        shortfalls = _run_table(selection, report_to, json_output)
        known_shortfalls = bounds.known_red(known_red)
        new_shortfalls = [
            found
            for found in shortfalls
            if (found.workload, found.bound) not in known_shortfalls
        ]
        sys.exit(1 if check_bounds and new_shortfalls else 0)
    result = measure(_load(workload), policy, seed)
    _print_result(result, json_output)
    sys.exit(1 if result["violations"] else 0)


def _print_names() -> None:
    names = {
        "workloads": list(workloads.names()),
        "policies": list(registry.by_name()),
    }
    print(json.dumps(names))


def _print_result(result: dict[str, typing.Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(result))
        return
    for key, value in result.items():
        print(f"{key}: {value}")


def _run_table(
    selection: Selection,
    report_to: pathlib.Path | None,
    as_json: bool,
) -> list[bounds.Shortfall]:
    results = run_all(selection)
    shortfalls = bounds.check(results)
    if report_to is not None:
        tables.write(results, shortfalls, report_to)
    summary = {
        "runs": len(results),
        "shortfalls": [dataclasses.asdict(found) for found in shortfalls],
    }
    if as_json:
        print(json.dumps(summary))
    else:
        print(tables.render(results))
        for found in shortfalls:
            print(found)
    return shortfalls


if __name__ == "__main__":
    running.run(app)
