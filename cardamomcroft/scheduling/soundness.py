"""Find runs that stand still or crawl, and workers about to leave.

Answers days on which workers hang, slow down or drain: their tasks move to
sound workers instead of holding their jobs up.
"""

import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs

# Lists come every two seconds at the least; one without progress is enough
# for tasks that take some seconds in all.
STALL = datetime.timedelta(milliseconds=1800)
# A restart loses what was done; moving pays only for real slowness, far
# beyond the spread of sound workers' speeds (0.8 to 1.3).
CRAWL_FACTOR = 2.5
CRAWL_LEAST = datetime.timedelta(seconds=3)
# A task that crawls on a second worker is long by itself; one that stands
# still on several has met a rack's trouble or stands still by itself.
MOST_SLOW_MOVES = 1
MOST_STALL_MOVES = 3
DRAIN_MARGIN = datetime.timedelta(milliseconds=300)


def is_movable(run: runs.Run) -> bool:
    """Tell whether a run may be stopped to run elsewhere."""
    step = run.step.model
    return (
        run.phase is runs.Phase.AT_WORK
        and not step.is_filling
        and not step.is_lasting
    )


def has_stalled(run: runs.Run, now: datetime.timedelta) -> bool:
    """Tell whether a run has stood still since an earlier list."""
    if not is_movable(run) or run.listed_at is None or run.percent >= 99:
        return False
    if run.step.moves_by_index[run.key.index] >= MOST_STALL_MOVES:
        return False
    if run.step.model.is_gang and not _is_whole(run):
        return False
    return run.listed_at - run.progressed_at >= STALL


def _is_whole(run: runs.Run) -> bool:
    """Tell whether all members of the run's gang are at work."""
    members = run.step.runs_by_index.values()
    return len(members) == run.step.model.width and all(
        member.phase is runs.Phase.AT_WORK for member in members
    )


def crawls(
    run: runs.Run,
    durations: estimates.Durations,
    now: datetime.timedelta,
) -> bool:
    """Tell whether a run ends sooner if it starts again elsewhere."""
    if not is_movable(run) or run.is_remote or run.percent_rate() is None:
        return False
    if run.step.moves_by_index[run.key.index] >= MOST_SLOW_MOVES:
        return False
    queue = run.step.job.job.queue.name
    expected = durations.longest(queue, run.step.model)
    if expected is None:
        return False
    limit = max(expected * CRAWL_FACTOR, CRAWL_LEAST)
    return durations.remaining(run, now) > limit


def must_leave(
    run: runs.Run,
    listing: fleet.Listing,
    listed_at: datetime.timedelta,
    durations: estimates.Durations,
    now: datetime.timedelta,
) -> bool:
    """Tell whether a run outlasts the time that its worker has left."""
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


def suspects(
    workers: collections.abc.Iterable[runs.Worker],
    durations: estimates.Durations,
    now: datetime.timedelta,
) -> list[tuple[runs.Run, str]]:
    """Return the runs to move, each with the reason."""
    found = []
    for worker in workers:
        for run in worker.runs_by_task.values():
            if worker.listing is not None and must_leave(
                run, worker.listing, worker.listed_at, durations, now
            ):
                found.append((run, "worker drains"))
            elif has_stalled(run, now):
                found.append((run, "stalled"))
            elif crawls(run, durations, now):
                found.append((run, "slow"))
    return found
