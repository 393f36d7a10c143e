"""Compute the report of a run of the policy bench."""

import collections
import collections.abc
import typing

import numpy

from cardamomcroft.bench import arrivals
from cardamomcroft.bench import runs as job_runs
from cardamomcroft.bench import workload as workloads
from cardamomcroft.settings import documents

MIN_SLOWDOWN_RUN_S = 10.0  # shorter run times count as this long
LARGE_CALLERS_WORK_SHARE = 0.5

JobRuns = collections.abc.Sequence[job_runs.JobRun]


def summarize(values: collections.abc.Sequence[float]) -> dict[str, float]:
    """Return the mean and percentiles; zeros when there are no values."""
    if not values:
        return dict.fromkeys(("mean", "p50", "p95", "p99"), 0.0)
    array = numpy.asarray(values)
    p50, p95, p99 = numpy.percentile(array, (50, 95, 99))
    return {
        "mean": round(float(array.mean()), 4),
        "p50": round(float(p50), 4),
        "p95": round(float(p95), 4),
        "p99": round(float(p99), 4),
    }


def completion_s(run: job_runs.JobRun) -> float:
    """Return the time from a job's arrival to its end."""
    return run.ended_s - run.arrival.at_s


def slowdown(run: job_runs.JobRun) -> float:
    """Return the completion time divided by the run time."""
    return completion_s(run) / max(run.arrival.run_s, MIN_SLOWDOWN_RUN_S)


def _summarize_by_group(
    runs: JobRuns,
    measure: collections.abc.Callable[[job_runs.JobRun], float],
) -> dict[str, typing.Any]:
    by_class = collections.defaultdict(list)
    by_account = collections.defaultdict(list)
    for run in runs:
        by_class[run.arrival.spec.urgency.value].append(measure(run))
        by_account[run.arrival.account].append(measure(run))
    return summarize([measure(run) for run in runs]) | {
        "by_class": {
            key: summarize(by_class[key]) for key in sorted(by_class)
        },
        "by_account": {
            key: summarize(by_account[key]) for key in sorted(by_account)
        },
    }


def small_over_large(runs: JobRuns) -> float | None:
    """Return the p95 slowdown of small callers over that of large callers.

    Large callers are those with the most work, which together ask for
    ``LARGE_CALLERS_WORK_SHARE`` of all work.
    """
    work_by_caller: collections.Counter[tuple[str, str]] = (
        collections.Counter()
    )
    for run in runs:
        spec = run.arrival.spec
        units = spec.members * max(1, spec.accelerators)
        key = (run.arrival.account, run.arrival.caller)
        work_by_caller[key] += units * run.arrival.run_s
    large, total = set(), sum(work_by_caller.values())
    covered = 0.0
    for key, work in work_by_caller.most_common():
        if covered >= LARGE_CALLERS_WORK_SHARE * total:
            break
        large.add(key)
        covered += work
    by_size = collections.defaultdict(list)
    for run in runs:
        key = (run.arrival.account, run.arrival.caller)
        by_size[key in large].append(slowdown(run))
    if not by_size[True] or not by_size[False]:
        return None
    p95_small = numpy.percentile(by_size[False], 95)
    p95_large = numpy.percentile(by_size[True], 95)
    return round(float(p95_small / p95_large), 4)


def accelerator_s_by_account(
    runs: JobRuns, from_s: float, to_s: float
) -> dict[str, float]:
    """Return the accelerator-seconds used by each account in a window."""
    by_account: dict[str, float] = collections.defaultdict(float)
    for run in runs:
        spec = run.arrival.spec
        for began_s, ended_s in run.spans:
            span_s = min(ended_s, to_s) - max(began_s, from_s)
            if span_s > 0:
                units = spec.members * spec.accelerators
                by_account[run.arrival.account] += units * span_s
    return by_account


def others_kept(
    flooded: job_runs.Outcome, unflooded: job_runs.Outcome
) -> float | None:
    """Return the share of service that callers outside a flood kept.

    The reference of each account is its service without the flood, but at
    most its fair share.
    """
    floods = flooded.workload.floods
    if not floods:
        return None
    from_s = min(flood.from_hour for flood in floods) * arrivals.HOUR_S
    to_s = max(flood.to_hour for flood in floods) * arrivals.HOUR_S
    flooding = {
        (account, flood.caller)
        for flood in floods
        for account in flood.accounts
    }
    served_in_flood = accelerator_s_by_account(
        _runs_of_others(flooded.runs, flooding), from_s, to_s
    )
    served_without_flood = accelerator_s_by_account(
        _runs_of_others(unflooded.runs, flooding), from_s, to_s
    )
    accounts = flooded.workload.accounts
    total_weight = sum(terms.weight for terms in accounts.values())
    target_sum, reached_sum = 0.0, 0.0
    for account, terms in accounts.items():
        share = terms.weight / total_weight
        share *= _share_of_others(account, terms, flooding)
        fair = share * flooded.capacity * (to_s - from_s)
        target = min(served_without_flood.get(account, 0.0), fair)
        target_sum += target
        reached_sum += min(served_in_flood.get(account, 0.0), target)
    return round(reached_sum / target_sum, 4) if target_sum else None


def _runs_of_others(
    runs: JobRuns, flooding: set[tuple[str, str]]
) -> list[job_runs.JobRun]:
    return [
        run
        for run in runs
        if (run.arrival.account, run.arrival.caller) not in flooding
    ]


def _share_of_others(
    account: str,
    terms: workloads.AccountTerms,
    flooding: set[tuple[str, str]],
) -> float:
    """Return the weight share of an account's callers that do not flood."""
    weights = dict(terms.callers)
    for flooded, caller in flooding:
        if flooded == account:
            weights.setdefault(caller, 1.0)
    others = sum(
        weight
        for caller, weight in weights.items()
        if (account, caller) not in flooding
    )
    return others / sum(weights.values())


def urgent_starts(runs: JobRuns) -> list[float]:
    """Return start delays of urgent jobs that fit their guarantee."""
    return [
        run.first_start_s - run.arrival.at_s
        for run in runs
        if run.is_entitled
        and run.arrival.spec.urgency is documents.Urgency.URGENT
        and run.first_start_s is not None
    ]


def make_report(
    outcome: job_runs.Outcome, unflooded: job_runs.Outcome | None
) -> dict[str, typing.Any]:
    """Return the report; ``unflooded`` is the same run without floods."""
    ordinary = [run for run in outcome.runs if not run.arrival.is_flood]
    done = [run for run in ordinary if run.outcome == "completed"]
    outcomes = collections.Counter(run.outcome for run in outcome.runs)
    costs = outcome.costs
    rounds = max(1, costs.rounds)
    return {
        "workload": outcome.workload.name,
        "completion_s": _summarize_by_group(done, completion_s),
        "slowdown": _summarize_by_group(done, slowdown),
        "completion_lower_bound_s": summarize(
            [run.arrival.run_s for run in done]
        ),
        "urgent_start_s": summarize(urgent_starts(ordinary)),
        "urgent_entitled": len(urgent_starts(ordinary)),
        "small_over_large_p95": small_over_large(done),
        "fragmentation": round(outcome.fragmentation, 5),
        "others_kept": others_kept(outcome, unflooded) if unflooded else None,
        "jobs": {
            "accepted": len(outcome.runs) - outcomes["refused"],
            "completed": outcomes["completed"],
            "refused": outcomes["refused"],
            "cancelled": outcomes["cancelled"],
            "failed": outcomes["failed"],
        },
        "work_lost_s": round(outcome.work_lost_s, 1),
        "reclaim_s": summarize(outcome.reclaim_s),
        "reclaims": len(outcome.reclaim_s),
        "decision": {
            "rounds": costs.rounds,
            "cells_per_round": round(costs.cells / rounds, 2),
            "jobs_per_round": round(costs.jobs / rounds, 2),
            "max_round_s": round(costs.max_round_s, 4),
        },
        "violations": outcome.violations,
    }
