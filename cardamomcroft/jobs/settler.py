"""Stop the tasks of ending attempts and record them as settled."""

import asyncio
import collections.abc
import datetime

from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.jobs import former as formers
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.ports import messages
from cardamomcroft.state import models

MAX_TRACKED_TASKS = 2000  # a forgotten one is waited for once more


class LostMembers:
    """Note since when the log shows members as lost, on every instance."""

    def __init__(self, dependencies: bundles.Dependencies) -> None:
        """Observe the records that the replica folds."""
        self._clock = dependencies.clock
        self._since: dict[messages.TaskId, datetime.timedelta] = {}
        dependencies.replica.observe(self._observe)

    def since(self, task: messages.TaskId) -> datetime.timedelta:
        """Return since when nobody begins to renew the task's lease."""
        return self._since.get(task, self._clock.monotonic())

    def _observe(
        self, record: records.Record, applied: models.Applied
    ) -> None:
        body = record.body
        if not applied.accepted or not isinstance(body, records.TasksEnded):
            return
        for end in body.ends:
            if end.kind is records.EndKind.LOST:
                self._since.setdefault(end.task, self._clock.monotonic())
        while len(self._since) > MAX_TRACKED_TASKS:
            del self._since[next(iter(self._since))]


class Settler:
    """Settle an attempt only after every member has certainly stopped."""

    def __init__(
        self,
        dependencies: bundles.Dependencies,
        former: formers.FormerAttempts,
    ) -> None:
        """Settle through the given ports; ``former`` notes the answers."""
        self._dependencies = dependencies
        self._former = former
        self._job_ids: set[str] = set()
        self._lost = LostMembers(dependencies)

    @property
    def job_ids(self) -> collections.abc.Set[str]:
        """Return the jobs that are being settled."""
        return self._job_ids

    def begin(
        self, job: models.Job, token: int, reason: str, checkpoint: bool
    ) -> None:
        """Settle a job's attempt in the background."""
        self._job_ids.add(job.job_id)
        self._dependencies.background.spawn(
            self._settle(job, token, reason, checkpoint)
        )

    async def _settle(
        self, job: models.Job, token: int, reason: str, checkpoint: bool
    ) -> None:
        try:
            stopped = await self._stop_all(job, token, checkpoint)
            self._record_finished(job, stopped)
            if stopped and all(done.is_finished for done in stopped):
                return  # folding the completions completes the job
            gained_s = min(
                (done.checkpoint_s for done in stopped), default=0.0
            )
            body = records.AttemptSettled(
                job.job_id,
                job.attempt,
                token,
                reason,
                blamed=self._is_job_to_blame(job),
                checkpoint_s=job.checkpoint_s + gained_s,
            )
            await self._dependencies.appender.submit(
                body, appenders.Priority.START
            )
        finally:
            self._job_ids.discard(job.job_id)

    async def _stop_all(
        self, job: models.Job, token: int, checkpoint: bool
    ) -> list[messages.Done]:
        members = range(len(job.placements))
        return await asyncio.gather(
            *(
                self._stop_member(job, member, token, checkpoint)
                for member in members
            )
        )

    async def _stop_member(
        self, job: models.Job, member: int, token: int, checkpoint: bool
    ) -> messages.Done:
        task, placement = job.task(member), job.placements[member]
        done = await self._dependencies.stop_until_confirmed(
            placement.worker_id,
            messages.Stop(task, token, checkpoint, placement.incarnation),
            self._lost.since(task),
        )
        if done is None:
            return messages.Done()
        self._former.note(task, done)
        return done

    def _record_finished(
        self, job: models.Job, stopped: list[messages.Done]
    ) -> None:
        """Record members that had finished before the stop arrived."""
        for member, done in enumerate(stopped):
            if not done.is_finished or member in job.finished:
                continue
            end = records.TaskEnd(job.task(member), records.EndKind.FINISHED)
            worker_id = job.placements[member].worker_id
            self._dependencies.appender.submit(
                records.TasksEnded(worker_id, (end,)),
                appenders.Priority.START,
            )

    def _is_job_to_blame(self, job: models.Job) -> bool:
        """Blame the job unless every worker it failed on is suspect."""
        health = self._dependencies.health
        return any(
            not health.is_suspect(worker_id) for worker_id in job.failed_on
        )
