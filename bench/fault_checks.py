"""Check the runs that workers report against the bounds."""

import collections
import itertools

FAULT_KINDS = (
    "append_answers_lost",
    "log_down",
    "owner_killed",
    "owner_paused",
    "planned_stop",
    "worker_leaving",
    "worker_lost",
)
MAX_LEAVING_S = 3.0
MAX_IN_FORCE_S = 19.0
MAX_TAKEOVER_S = 10.0
MAX_PARTIAL_RUN_S = 25.0  # a lease, hold and self-lease, plus renewals


def is_run_once(runs: list[dict], members: int) -> bool:
    """Return whether exactly one complete attempt of a job counts.

    A job has to run again when a worker crashed with a member's result
    before anyone asked for it. Such an attempt may exist beside the one
    that counts; if it is the only one, it counts itself.
    """
    complete = _count_complete_attempts(runs, members)
    with_results = _count_complete_attempts(
        [run for run in runs if not run["result_lost"]], members
    )
    return with_results == 1 or (with_results == 0 and complete == 1)


def _count_complete_attempts(runs: list[dict], members: int) -> int:
    by_attempt = collections.Counter(
        run["attempt"] for run in runs if run["finished"]
    )
    return sum(count == members for count in by_attempt.values())


def count_overlapping_runs(runs: list[dict]) -> int:
    """Count pairs of runs of one member that overlap in time."""
    by_member = collections.defaultdict(list)
    for run in runs:
        by_member[run["member"]].append(run)
    doubled = 0
    for member_runs in by_member.values():
        member_runs.sort(key=lambda run: run["started_s"])
        for earlier, later in itertools.pairwise(member_runs):
            ended = earlier["ended_s"]
            doubled += ended is None or ended > later["started_s"]
    return doubled


def count_partial_gangs(runs: list[dict], members: int) -> int:
    """Count attempts of which some members ran long without the rest."""
    by_attempt = collections.defaultdict(list)
    for run in runs:
        by_attempt[run["attempt"]].append(run)
    count = 0
    for attempt_runs in by_attempt.values():
        if len({run["member"] for run in attempt_runs}) == members:
            continue
        count += any(
            (run["ended_s"] or float("inf")) - run["started_s"]
            > MAX_PARTIAL_RUN_S
            for run in attempt_runs
        )
    return count


def shortfalls(report: dict) -> list[str]:
    """Return every bound that does not hold."""
    wanted_zero = (
        "lost",
        "doubled",
        "partial_gangs",
        "cut_requests",
        "crossed_answers",
        "false_not_run",
        "reverted_settings",
    )
    found = [name for name in wanted_zero if report[name]]
    if report["run_once"] != report["accepted"]:
        found.append("run_once")
    found.extend(
        f"{kind} did not happen"
        for kind in FAULT_KINDS
        if not report["faults"].get(kind)
    )
    for name, limit in (
        ("leaving_s", MAX_LEAVING_S),
        ("settings_in_force_s", MAX_IN_FORCE_S),
        ("takeover_s", MAX_TAKEOVER_S),
    ):
        if report[name] > limit:
            found.append(name)
    return found
