"""Compare what callers and workers saw with what was promised."""

import collections
import collections.abc
import itertools

from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from soak import clients

FINAL = ("completed", "failed", "cancelled")


def job_of(task: str) -> str:
    """Return the job of a task."""
    return task.partition(".")[0]


def check(
    jobs: collections.abc.Iterable[clients.Submission],
    fake: standin_fleet.FakeFleet,
    reborn: collections.abc.Set[str],
) -> dict[str, list[str]]:
    """Return what broke, by promise; empty lists where all held.

    Workers in ``reborn`` lost ends that nobody had taken note of, so that
    their tasks may have run again.
    """
    by_id = {job.job_id: job for job in jobs}
    broken: dict[str, list[str]] = {
        "accepted_lost": _lost(by_id.values()),
        "false_not_run": _false_refusals(by_id, fake),
        "run_twice": _doubled(fake, reborn),
        "overlapping": _overlapping(fake),
        "state_reverted": _reverted(by_id.values()),
        "completed_early": _early(by_id.values(), fake),
        "unknown_job": _unknown(by_id, fake),
    }
    return broken


def _lost(jobs: collections.abc.Iterable[clients.Submission]) -> list[str]:
    return [
        f"{job.job_id}: {job.states[-1:]} gone {job.gone_answers}"
        for job in jobs
        if job.is_accepted
        and not job.cancel_sent
        and (job.gone_answers or job.states[-1:] != ["completed"])
    ]


def _false_refusals(
    by_id: dict[str, clients.Submission], fake: standin_fleet.FakeFleet
) -> list[str]:
    started = {job_of(interval.task) for interval in fake.intervals}
    started |= {job_of(task) for task, _ in fake.running()}
    return [
        job_id
        for job_id, job in by_id.items()
        if job.is_refused and job_id in started
    ]


def _doubled(
    fake: standin_fleet.FakeFleet, reborn: collections.abc.Set[str]
) -> list[str]:
    done = collections.Counter(
        interval.task
        for interval in fake.intervals
        if interval.end is fleet.End.DONE
    )
    excused = {
        interval.task
        for interval in fake.intervals
        if interval.worker_id in reborn
    }
    return [
        f"{task}: {count} times"
        for task, count in done.items()
        if count > 1 and task not in excused
    ]


def _overlapping(fake: standin_fleet.FakeFleet) -> list[str]:
    by_task = collections.defaultdict(list)
    for interval in fake.intervals:
        by_task[interval.task].append(interval)
    found = [
        f"{task}: beside a run on its worker" for task in fake.duplicate_starts
    ]
    for task, intervals in by_task.items():
        intervals.sort(key=lambda interval: interval.began_at)
        for first, second in itertools.pairwise(intervals):
            if second.began_at < first.ended_at:
                found.append(f"{task}: runs {first.run} and {second.run}")
    return found


def _reverted(
    jobs: collections.abc.Iterable[clients.Submission],
) -> list[str]:
    return [
        f"{job.job_id}: {job.states}"
        for job in jobs
        if any(state in FINAL for state in job.states[:-1])
    ]


def _early(
    jobs: collections.abc.Iterable[clients.Submission],
    fake: standin_fleet.FakeFleet,
) -> list[str]:
    done = {
        interval.task
        for interval in fake.intervals
        if interval.end is fleet.End.DONE
    }
    counts = collections.Counter(job_of(task) for task in done)
    return [
        f"{job.job_id}: {counts[job.job_id]} of {job.tasks}"
        for job in jobs
        if "completed" in job.states and counts[job.job_id] < job.tasks
    ]


def _unknown(
    by_id: dict[str, clients.Submission], fake: standin_fleet.FakeFleet
) -> list[str]:
    tasks = {interval.task for interval in fake.intervals}
    return sorted({job_of(task) for task in tasks} - by_id.keys())
