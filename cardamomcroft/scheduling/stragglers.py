"""Find stalled and slow runs, and runs on workers that drain.

When workers hang, slow down or drain, their tasks move to healthy workers
instead of delaying their jobs.
"""

import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

# Inventories arrive at least every two seconds; for tasks that take only some
# seconds, one inventory without progress is enough.
STALL_TIMEOUT = datetime.timedelta(milliseconds=1800)
# A restart loses the work done, so moving pays only for runs that are far
# slower than the range of healthy workers' speeds (0.8 to 1.3) explains.
SLOW_FACTOR = 2.5
MIN_SLOW_REMAINING = datetime.timedelta(seconds=3)
# A task that is slow on a second worker is long in itself. One that stalls on
# several workers has met a fault of a rack or stalls by itself.
MAX_SLOW_MOVES = 1
STALLED = "stalled"  # reason of a stop
MAX_STALL_MOVES = 3
DRAIN_MARGIN = datetime.timedelta(milliseconds=300)


def is_movable(run: runs.Run) -> bool:
    """Return whether a run may be stopped to restart elsewhere."""
    step = run.step.model
    return (
        run.phase is runs.Phase.AT_WORK
        and not step.is_filling
        and not step.is_lasting
    )


def has_stalled(run: runs.Run, now: datetime.timedelta) -> bool:
    """Return whether a run has made no progress since an earlier inventory."""
    if not is_movable(run) or run.reported_at is None or run.percent >= 99:
        return False
    if run.step.moves_by_index[run.key.index] >= MAX_STALL_MOVES:
        return False
    if run.step.model.is_gang and not _is_gang_at_work(run):
        return False
    return run.reported_at - run.progressed_at >= STALL_TIMEOUT


def _is_gang_at_work(run: runs.Run) -> bool:
    """Return whether all members of the run's gang are at work."""
    members = run.step.runs_by_index.values()
    return len(members) == run.step.model.width and all(
        member.phase is runs.Phase.AT_WORK for member in members
    )


def is_slow(
    run: runs.Run,
    durations: estimates.RunTimes,
    now: datetime.timedelta,
) -> bool:
    """Return whether a run would end sooner if restarted elsewhere."""
    if not is_movable(run) or run.is_remote or run.percent_rate() is None:
        return False
    if run.step.moves_by_index[run.key.index] >= MAX_SLOW_MOVES:
        return False
    verdict = durations.is_slow(run, now)
    if verdict is not None:
        return verdict
    expected = durations.upper_estimate(run.step.job.job, run.step.model)
    if expected is None:
        return False
    limit = max(expected * SLOW_FACTOR, MIN_SLOW_REMAINING)
    return durations.remaining(run, now) > limit


def outlasts_worker(
    run: runs.Run,
    listing: fleet.Listing,
    listed_at: datetime.timedelta,
    durations: estimates.RunTimes,
    now: datetime.timedelta,
) -> bool:
    """Return whether a run would outlast its draining worker."""
    if listing.state is not fleet.ServerState.DRAINING:
        return False
    if run.phase is not runs.Phase.AT_WORK:
        return False
    if run.step.model.is_lasting:
        return True
    if listing.remaining is None:
        return False
    left = listing.remaining - (now - listed_at)
    return durations.remaining(run, now) > max(left - DRAIN_MARGIN, left / 2)


def runs_to_move(
    workers: collections.abc.Iterable[runs.Worker],
    durations: estimates.RunTimes,
    now: datetime.timedelta,
    may_end_in_time: collections.abc.Callable[[runs.Run], bool] = (
        lambda run: False
    ),
) -> list[tuple[runs.Run, str]]:
    """Return the runs to move, each with the reason.

    ``may_end_in_time`` tells of a run that outlasts the notice of a draining
    worker whether to leave it there.
    """
    found = []
    for worker in workers:
        listing = worker.listing
        drains = listing and listing.state is fleet.ServerState.DRAINING
        for run in worker.runs_by_task.values():
            outlasts = drains and outlasts_worker(
                run, listing, worker.listed_at, durations, now
            )
            if outlasts and not may_end_in_time(run):
                found.append((run, "worker drains"))
            elif reason := _straggles(run, durations, now):
                found.append((run, reason))
    return found


def _straggles(
    run: runs.Run, durations: estimates.RunTimes, now: datetime.timedelta
) -> str:
    """Return why a run should move; empty if it should not.

    Until the next report of a run, the time that it still takes only falls.
    A gang may also be complete later.
    """
    if run.reported_at is None or run.reported_at == run.examined_report:
        return ""
    if has_stalled(run, now):
        return STALLED
    if is_slow(run, durations, now):
        return "slow"
    if not run.step.model.is_gang:
        run.examined_report = run.reported_at
    return ""
