"""Check what the workers ran against the promises."""

import collections
import itertools

KINDS = (
    "append_answers_lost",
    "log_down",
    "owner_killed",
    "owner_paused",
    "planned_stop",
    "worker_leaving",
    "worker_lost",
)
LEAVING_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 19.0
TAKEOVER_LIMIT_S = 10.0
PARTIAL_GRACE_S = 25.0  # a lease, a hold and a self-lease, and renewals


def ran_once(runs: list[dict], members: int) -> bool:
    """Tell whether no attempt finished whole without need.

    A job has to run again when a worker crashed with a member's result
    before anyone asked for it, so such an attempt may stand beside the
    one that counts; alone it counts itself.
    """
    whole = _whole_attempts(runs, members)
    kept = _whole_attempts(
        [run for run in runs if not run["result_lost"]], members
    )
    return kept == 1 or (kept == 0 and whole == 1)


def _whole_attempts(runs: list[dict], members: int) -> int:
    by_attempt = collections.Counter(
        run["attempt"] for run in runs if run["finished"]
    )
    return sum(count == members for count in by_attempt.values())


def doubled_runs(runs: list[dict]) -> int:
    """Count pairs of runs of one member that overlap in time."""
    by_member = collections.defaultdict(list)
    for run in runs:
        by_member[run["member"]].append(run)
    doubled = 0
    for same in by_member.values():
        same.sort(key=lambda run: run["started_s"])
        for earlier, later in itertools.pairwise(same):
            ended = earlier["ended_s"]
            doubled += ended is None or ended > later["started_s"]
    return doubled


def partial_gangs(runs: list[dict], members: int) -> int:
    """Count attempts of which a part ran for long without the rest."""
    by_attempt = collections.defaultdict(list)
    for run in runs:
        by_attempt[run["attempt"]].append(run)
    count = 0
    for same in by_attempt.values():
        if len({run["member"] for run in same}) == members:
            continue
        count += any(
            (run["ended_s"] or float("inf")) - run["started_s"]
            > PARTIAL_GRACE_S
            for run in same
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
        for kind in KINDS
        if not report["faults"].get(kind)
    )
    for name, limit in (
        ("leaving_s", LEAVING_LIMIT_S),
        ("settings_in_force_s", IN_FORCE_LIMIT_S),
        ("takeover_s", TAKEOVER_LIMIT_S),
    ):
        if report[name] > limit:
            found.append(name)
    return found
