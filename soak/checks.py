"""Check the guarantees against the answers and runs of a trial."""

import collections
import collections.abc
import datetime
import itertools
import pathlib
import re

from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import listed_ends
from soak import clients

# cancel_ms, and the 4 s for which a fault may last.
CANCEL_BOUND = datetime.timedelta(seconds=3 + 4)
FINAL_STATES = ("completed", "failed", "cancelled")
# Events of the instances that show an error in their code.
ERROR_EVENTS = (
    "round_crashed",
    "task_crashed",
    "loop_crashed",
    "standing_watch_crashed",
    "job_planning_failed",
    "job_assignment_failed",
    "job_begin_failed",
    "job_ending_failed",
    "stop_failed",
    "end_failed",
    "run_time_not_learned",
)
# EarlyMs, by which an occurrence may begin before it is due.
EARLY_BOUND = datetime.timedelta(milliseconds=250)
# An end counts as taken note of so long after a worker has listed it.
NOTED_AFTER = datetime.timedelta(milliseconds=100)
_ZERO = datetime.timedelta()
_EVENT = re.compile(r'"event":"(\w+)"')


def job_of(task: str) -> str:
    """Return the id of a task's job."""
    return task.partition(".")[0]


def check(
    jobs: collections.abc.Iterable[clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> dict[str, list[str]]:
    """Return the violations of each guarantee; empty lists if none."""
    jobs = list(jobs)
    jobs_by_id = {job.job_id: job for job in jobs}
    violations: dict[str, list[str]] = {
        "accepted_lost": _lost_jobs(jobs_by_id.values()),
        "false_not_run": _refused_but_run(jobs_by_id, fake_fleet),
        "run_twice": _completed_twice(fake_fleet),
        "overlapping": _overlapping(fake_fleet),
        "state_reverted": _reverted_states(jobs_by_id.values()),
        "completed_early": _completed_early(jobs_by_id.values(), fake_fleet),
        "ran_after_cancelling": _cancelled_but_run(jobs, fake_fleet),
        "out_of_turn": _begun_too_early(jobs_by_id, fake_fleet),
        "misplaced": fake_fleet.misplaced_starts,
        "unknown_job": _unknown_jobs(jobs_by_id, fake_fleet),
    }
    return violations


def _lost_jobs(
    jobs: collections.abc.Iterable[clients.Submission],
) -> list[str]:
    return [
        f"{job.job_id}: {job.states[-1:]} gone {job.gone_answers}"
        for job in jobs
        if job.is_accepted
        and not job.cancel_sent
        and (job.gone_answers or job.states[-1:] != ["completed"])
    ]


def _refused_but_run(
    jobs_by_id: dict[str, clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> list[str]:
    started = {job_of(interval.task) for interval in fake_fleet.intervals}
    started |= {job_of(task) for task, _ in fake_fleet.running()}
    return [
        job_id
        for job_id, job in jobs_by_id.items()
        if job.is_refused and job_id in started
    ]


def _cancelled_but_run(
    jobs: collections.abc.Iterable[clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> list[str]:
    """Return the tasks begun or at work too long after a cancelling."""
    latest_by_id = {
        job.job_id: job.cancelled_at + CANCEL_BOUND
        for job in jobs
        if job.cancelled_at is not None
    }
    begun = [(i.task, i.began_at) for i in fake_fleet.intervals]
    now = fake_fleet.clock.monotonic()
    at_work = [(task, now) for task, _ in fake_fleet.running()]
    return [
        f"{task}: at {at}"
        for task, at in begun + at_work
        if job_of(task) in latest_by_id and at > latest_by_id[job_of(task)]
    ]


def _begun_too_early(
    jobs_by_id: dict[str, clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> list[str]:
    """Return the tasks begun before they were due, or before earlier steps."""
    done_at: dict[str, datetime.timedelta] = {}
    for interval in fake_fleet.intervals:
        if interval.end is fleet.End.DONE:
            done_at.setdefault(interval.task, interval.ended_at)
    found = []
    for interval in fake_fleet.intervals:
        job_id, occurrence, number, _ = interval.task.rsplit(".", 3)
        job = jobs_by_id.get(job_id)
        if job is None:
            continue  # reported as unknown
        steps = fake_fleet.steps_of(job_id)
        bounds = [job.due_at_of(int(occurrence)) - EARLY_BOUND]
        for earlier in steps[int(number)].after:
            for index in range(steps[earlier].width):
                name = f"{job_id}.{occurrence}.{earlier}.{index}"
                bounds.append(done_at.get(name, datetime.timedelta.max))
        if interval.began_at < max(bounds):
            found.append(f"{interval.task}: at {interval.began_at}")
    return found


def _completed_twice(fake_fleet: standin_fleet.FakeFleet) -> list[str]:
    """Return the tasks done twice, but for ends that nobody could read.

    They were lost with their worker, or its lease expired before.
    """
    lost = set(fake_fleet.lost_completions) | fake_fleet.unread_completions
    done = collections.Counter(
        interval.task
        for interval in fake_fleet.intervals
        if interval.end is fleet.End.DONE
        and (interval.task, interval.run) not in lost
    )
    return [
        f"{task}: {count} times" for task, count in done.items() if count > 1
    ]


def restarted_beside_listed_end(
    fake_fleet: standin_fleet.FakeFleet,
    thaws: collections.abc.Sequence[tuple[str, datetime.timedelta]] = (),
) -> list[str]:
    """Return the first start by a holder of a task that a worker has done.

    The worker lists the end; the holder had an answer of it, or over a second
    to ask for one. A frozen instance is given this time anew at the thaw.
    """
    found: dict[tuple[str, ...], list[listed_ends.StartBesideEnds]] = {}
    for start in fake_fleet.listed_ends.starts:
        name = start.claim.partition(" ")[0]
        resumed = [
            at for other, at in thaws if other == name and at <= start.sent_at
        ]
        resumed_at = max(resumed, default=_ZERO)
        if start.completions(NOTED_AFTER, resumed_at):
            workers = {listed.worker_id for listed in start.ends}
            key = (start.claim, *sorted(workers))
            found.setdefault(key, []).append(start)
    return [_describe_starts(starts) for starts in found.values()]


def _age(at: datetime.timedelta | None, now: datetime.timedelta) -> str:
    return "never" if at is None else f"{now - at} ago"


def _describe_starts(starts: list[listed_ends.StartBesideEnds]) -> str:
    first = starts[0]
    listed = [
        f"run {end.run} {end.end.value} on {end.worker_id}, reachable for"
        f" {first.sent_at - end.reachable_at}, answered "
        f"{_age(end.answered_at, first.sent_at)}"
        for end in first.ends
    ]
    return (
        f"{len(starts)} starts, first {first.task} run {first.run} on"
        f" {first.worker_id} by {first.claim} at {first.sent_at};"
        f" acknowledged {first.heard_completions};"
        f" {'; '.join(listed) or 'not listed any more'}"
    )


def _overlapping(fake_fleet: standin_fleet.FakeFleet) -> list[str]:
    by_task = collections.defaultdict(list)
    for interval in fake_fleet.intervals:
        by_task[interval.task].append(interval)
    found = [
        f"{task}: beside a run on its worker"
        for task in fake_fleet.duplicate_starts
    ]
    for task, intervals in by_task.items():
        intervals.sort(key=lambda interval: interval.began_at)
        for first, second in itertools.pairwise(intervals):
            if second.began_at < first.ended_at:
                found.append(f"{task}: runs {first.run} and {second.run}")
    return found


def _reverted_states(
    jobs: collections.abc.Iterable[clients.Submission],
) -> list[str]:
    return [
        f"{job.job_id}: {job.states}"
        for job in jobs
        if any(state in FINAL_STATES for state in job.states[:-1])
    ]


def _completed_early(
    jobs: collections.abc.Iterable[clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> list[str]:
    done = {
        interval.task
        for interval in fake_fleet.intervals
        if interval.end is fleet.End.DONE
    }
    counts = collections.Counter(job_of(task) for task in done)
    return [
        f"{job.job_id}: {counts[job.job_id]} of {job.tasks}"
        for job in jobs
        if "completed" in job.states and counts[job.job_id] < job.tasks
    ]


def _unknown_jobs(
    jobs_by_id: dict[str, clients.Submission],
    fake_fleet: standin_fleet.FakeFleet,
) -> list[str]:
    tasks = {interval.task for interval in fake_fleet.intervals}
    return sorted({job_of(task) for task in tasks} - jobs_by_id.keys())


def unexpected_errors(
    logs: collections.abc.Iterable[pathlib.Path],
) -> list[str]:
    """Return the distinct errors that instances logged, with their number."""
    counts: collections.Counter[str] = collections.Counter()
    for path in logs:
        for line in path.read_text(errors="replace").splitlines():
            # The last line of a process that was killed may be cut short.
            event = _EVENT.search(line)
            if event and event[1] in ERROR_EVENTS:
                error = line.partition('"error":')[2].partition(',"trace"')[0]
                counts[f"{event[1]} {error}"] += 1
    return [f"{error}: {count} times" for error, count in counts.items()]
