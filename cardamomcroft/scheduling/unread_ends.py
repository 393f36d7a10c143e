"""Hold starts back while an unread end of their task may be listed."""

import collections
import datetime

from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import given_up
from cardamomcroft.scheduling import runs

# Hundreds of starts may wait at the same time.
MIN_CHECK_INTERVAL = datetime.timedelta(milliseconds=20)
MAX_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)


class UnreadEnds:
    """Find the workers that may list an end of a task and await their answers.

    Those that a poll finds out of reach are not awaited.
    """

    def __init__(self, cluster: cluster_state.ClusterState) -> None:
        """Look at the workers of ``cluster``."""
        self._cluster = cluster

    def select(self, batch: list[runs.Run]) -> list[list[runs.Run]]:
        """Return the starts of tasks with unread ends, those of a step each.

        The members of a gang start together.
        """
        unread: set[str] = set()
        for worker in self._cluster.workers_by_id.values():
            unread.update(worker.given_up.runs_by_task)
        if not unread:
            return []
        by_step = collections.defaultdict(list)
        for run in batch:
            by_step[run.step].append(run)
        selected = []
        for step, starts in by_step.items():
            if not step.model.is_gang:
                starts = [run for run in starts if run.name in unread]
            elif _has_begun(step) or unread.isdisjoint(_names_of(starts)):
                continue
            if starts:
                selected.append(starts)
        return selected

    async def wait(self, starts: list[runs.Run]) -> None:
        """Wait for answers to the polls of the workers, if they may come."""
        clock = self._cluster.clock
        began_at = clock.monotonic()
        names = _names_of(starts)
        asked = [
            worker
            for worker in self._cluster.workers_by_id.values()
            if _may_list(worker, names)
        ]
        interval = MIN_CHECK_INTERVAL
        for worker in asked:
            worker.ask_for_ends(began_at)
        try:
            while _is_answer_awaited(
                starts, asked, names, began_at, clock.monotonic()
            ):
                if clock.monotonic() - began_at >= given_up.MAX_RETURN:
                    break
                await clock.sleep(interval)
                interval = min(interval * 2, MAX_CHECK_INTERVAL)
        finally:
            for worker in asked:
                worker.given_up.close_question()
        self._cluster.log.emit(
            "ends_awaited",
            task=starts[0].name,
            tasks=len(starts),
            waited_s=(clock.monotonic() - began_at).total_seconds(),
            unread=[
                worker.worker_id
                for worker in asked
                if _may_list(worker, names)
            ],
        )


def _is_answer_awaited(
    starts: list[runs.Run],
    asked: list[runs.Worker],
    names: set[str],
    asked_at: datetime.timedelta,
    now: datetime.timedelta,
) -> bool:
    """Return whether one of the workers may be back and list an end."""
    return any(run.phase is runs.Phase.ASSIGNED for run in starts) and any(
        _may_list(worker, names)
        and not worker.given_up.is_absent(asked_at, now)
        for worker in asked
    )


def _may_list(worker: runs.Worker, names: set[str]) -> bool:
    return not worker.given_up.runs_by_task.keys().isdisjoint(names)


def _names_of(starts: list[runs.Run]) -> set[str]:
    """Return the names of a step's tasks; any member's end is its gang's."""
    names = {run.name for run in starts}
    if starts and starts[0].step.model.is_gang:
        step = starts[0].step
        names.update(str(step.key(n)) for n in range(step.model.width))
    return names


def _has_begun(gang: runs.StepState) -> bool:
    """Return whether starts of a gang's members have been sent."""
    return any(
        run.phase is not runs.Phase.ASSIGNED
        for run in gang.runs_by_index.values()
    )
