"""Ask workers that are back for the results of settled attempts."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.log import records
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.state import models

MAX_CALLS = 64  # at once, so that a slow link carries the answers
# The reservations of the launch expire meanwhile.
LAST_CALL_TIMEOUT = datetime.timedelta(milliseconds=250)

_SILENCE = (verdict.Reason.TIMEOUT, verdict.Reason.UNAVAILABLE)

RecordResults = collections.abc.Callable[[list[str], int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Query:
    """Ask a worker, by a stop, whether a member had finished there."""

    worker_id: str
    command: messages.Stop


class FormerAttempts:
    """Note how the members of settled attempts ended, as workers answer.

    An attempt is settled without an answer of its worker once its lease must
    have expired. The worker may be back before the next attempt begins.
    """

    def __init__(self, dependencies: bundles.Dependencies) -> None:
        """Ask through the ports of the given dependencies."""
        self._dependencies = dependencies
        self._finished: set[messages.TaskId] = set()
        self._unfinished: set[messages.TaskId] = set()
        self._poll_at = datetime.timedelta()
        self._is_polling = False

    def note(self, task: messages.TaskId, done: messages.Done) -> None:
        """Note a worker's answer to a stop, which is its last word."""
        answers = self._finished if done.is_finished else self._unfinished
        answers.add(task)

    def has_finished(self, job: models.Job) -> bool:
        """Return whether all members finished in the former attempt."""
        if job.former is None:
            return False
        return all(
            member in job.former.finished
            or job.former_task(member) in self._finished
            for member in range(len(job.former.placements))
        )

    async def ask(self, job: models.Job, token: int) -> frozenset[str]:
        """Ask for the results that a job lacks; return the silent workers.

        These delay it by the time-out of one call.
        """
        queries = self._queries(job, token)
        answered = await asyncio.gather(*map(self._ask, queries))
        return frozenset(
            query.worker_id
            for query, is_answered in zip(queries, answered, strict=True)
            if not is_answered
        )

    async def ask_again(self, job: models.Job, token: int) -> None:
        """Ask workers that may be back since the launch began."""
        if self._queries(job, token):
            await clocks.within(
                self._dependencies.clock,
                LAST_CALL_TIMEOUT,
                self.ask(job, token),
            )

    def poll(
        self,
        launching: collections.abc.Collection[str],
        token: int,
        record_results: RecordResults,
    ) -> None:
        """Ask in the background, once a period, for all queued jobs.

        ``record_results`` gets the ids of jobs whose results are complete.
        """
        now = self._dependencies.clock.monotonic()
        if self._is_polling or now < self._poll_at:
            return
        period = self._dependencies.timing.duration("renew_period")
        self._poll_at = now + period
        jobs = self._dependencies.replica.state.jobs
        self._forget(jobs)
        asked = [
            job
            for job in jobs.values()
            if job.job_id not in launching and self._is_open(job)
        ]
        if asked:
            self._is_polling = True
            self._dependencies.background.spawn(
                self._poll(asked, token, record_results)
            )

    def _is_open(self, job: models.Job) -> bool:
        """Return whether a queued job's former results may be complete."""
        if job.phase is not models.Phase.QUEUED or job.former is None:
            return False
        if job.region != self._dependencies.region:
            return False
        return not any(
            job.former_task(member) in self._unfinished
            for member in range(len(job.former.placements))
            if member not in job.former.finished
        )

    async def _poll(
        self,
        jobs: list[models.Job],
        token: int,
        record_results: RecordResults,
    ) -> None:
        by_worker = collections.defaultdict(list)
        for job in jobs:
            for query in self._queries(job, token):
                by_worker[query.worker_id].append(query)
        try:
            groups = list(by_worker.values())
            for start in range(0, len(groups), MAX_CALLS):
                group = groups[start : start + MAX_CALLS]
                await asyncio.gather(*map(self._ask_in_turn, group))
            finished = list(filter(self.has_finished, jobs))
            if finished:
                record_results([job.job_id for job in finished], token)
        finally:
            self._is_polling = False

    def _queries(self, job: models.Job, token: int) -> list[_Query]:
        if not self._is_open(job):
            return []
        return [
            _Query(
                placement.worker_id,
                messages.Stop(
                    job.former_task(member),
                    token,
                    incarnation=placement.incarnation,
                ),
            )
            for member, placement in enumerate(job.former.placements)
            if member not in job.former.finished
            and job.former_task(member) not in self._finished
        ]

    async def _ask_in_turn(self, queries: list[_Query]) -> None:
        """Ask one worker; a silent one gets one call."""
        for query in queries:
            if not await self._ask(query):
                return

    async def _ask(self, query: _Query) -> bool:
        """Return whether the worker answered."""
        result = await self._dependencies.workers.stop(
            query.worker_id, query.command
        )
        if result.is_ok():
            self.note(query.command.task, result.ok)
            return True
        return result.error.reason not in _SILENCE

    def _forget(self, jobs: collections.abc.Mapping[str, models.Job]) -> None:
        """Forget the answers about jobs that have gone on or ended."""
        for answers in (self._finished, self._unfinished):
            answers.difference_update(
                [task for task in answers if _is_past(jobs, task)]
            )


def _is_past(
    jobs: collections.abc.Mapping[str, models.Job], task: messages.TaskId
) -> bool:
    job = jobs.get(task.job_id)
    if job is None or job.phase.is_final:
        return True
    former = job.former.attempt if job.former else job.attempt
    return task.attempt < former


def result_records(
    job: models.Job, attempt: int, token: int
) -> tuple[records.Body, ...]:
    """Return the records of the former results as another attempt's."""
    placements = job.former.placements
    ends = collections.defaultdict(list)
    for member, placement in enumerate(placements):
        task = messages.TaskId(job.job_id, attempt, member)
        end = records.TaskEnd(task, records.EndKind.FINISHED)
        ends[placement.worker_id].append(end)
    return (
        records.GangStarted(
            job.job_id, attempt, token, placements, job.former.attempt
        ),
        *(
            records.TasksEnded(worker_id, tuple(worker_ends))
            for worker_id, worker_ends in ends.items()
        ),
    )
