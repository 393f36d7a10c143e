"""Renew the leases of running gangs and record completions of members."""

import asyncio
import dataclasses
import datetime

import structlog

from cardamomcroft.jobs import overlay as overlays
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.membership import members
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import instance
from cardamomcroft.state import models
from cardamomcroft.workers import fleet as fleets
from cardamomcroft.workers import losses


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """Pair a report of an ended task with the time it first arrived."""

    report: messages.TaskReport
    reported_at: datetime.timedelta


class LeaseRenewer:
    """Renew leases on the workers that rendezvous hashing assigns here.

    Workers of gangs whose start record is not confirmed are included.
    """

    def __init__(
        self,
        region: str,
        replica: replicas.Replica,
        appender: appenders.Appender,
        overlay: overlays.Overlay,
        workers: base.WorkerClient,
        membership: members.Membership,
        freshness: freshnesses.Freshness,
        clock: base.Clock,
        metrics: base.Metrics,
        timing: instance.Timing,
    ) -> None:
        """Renew the leases of a region's workers, with these roles."""
        self._region = region
        self._replica = replica
        self._appender = appender
        self._overlay = overlay
        self._workers = workers
        self._membership = membership
        self._freshness = freshness
        self._clock = clock
        self._metrics = metrics
        self._timing = timing
        self._fleet = fleets.Fleet()
        self._losses = losses.Losses(
            replica, overlay, freshness, clock, timing
        )
        self._unresponsive_since: dict[str, datetime.timedelta] = {}
        self._sent_checksums: dict[str, str] = {}
        self._ended_tasks: dict[str, dict[messages.TaskId, EndedTask]] = {}
        self._logger = structlog.get_logger()

    async def run(self) -> None:
        """Renew once per period until cancelled."""
        period = self._timing.duration("renew_period")
        while True:
            await self.step()
            await self._clock.sleep(period)

    async def step(self) -> None:
        """Renew once on every assigned worker, unless the state is stale."""
        if not self._freshness.is_fresh():
            self._metrics.increment("renewer.stale")
            self._unresponsive_since.clear()  # others may renew meanwhile
            return
        state = self._overlay.state()
        assigned = self._assigned(state)
        # While others renew on a worker, its silence here is unknown.
        for worker_id in self._unresponsive_since.keys() - assigned:
            del self._unresponsive_since[worker_id]
        found = await asyncio.gather(
            *(self._renew(worker_id, state) for worker_id in assigned)
        )
        suspected = dict(zip(assigned, found, strict=True))
        lost = await self._losses.confirm(suspected)
        for worker_id, ends in lost.items():
            self._submit_ends(worker_id, ends)

    def _assigned(self, state: models.State) -> list[str]:
        live = self._membership.live_ids(self._region)
        own = self._membership.instance_id
        unconfirmed = self._unconfirmed_workers()
        declared = self._fleet.region(state, self._region)
        return [
            worker_id
            for worker_id in (*declared, *self._withdrawn_workers(state))
            if worker_id in unconfirmed
            or members.rank(worker_id, live)[0] == own
        ]

    def _withdrawn_workers(self, state: models.State) -> list[str]:
        """Return workers that left the settings while they had tasks.

        Without a renewal nobody would notice how their tasks end.
        """
        declared = self._fleet.by_id(state)
        return [
            worker_id
            for worker_id, tasks in state.tasks_by_worker.items()
            if worker_id not in declared
            and any(
                state.jobs[task.job_id].region == self._region
                for task in tasks
            )
        ]

    def _unconfirmed_workers(self) -> set[str]:
        return {
            placement.worker_id
            for record in self._appender.pending()
            if isinstance(record.body, records.GangStarted)
            for placement in record.body.placements
        }

    async def _renew(
        self, worker_id: str, state: models.State
    ) -> tuple[records.TaskEnd, ...]:
        """Renew on a worker and return the ends of tasks that seem lost."""
        tasks = tuple(state.tasks_by_worker.get(worker_id, ()))
        claim = state.claims.get(self._region)
        checksum = messages.checksum(tasks)
        is_known = self._sent_checksums.get(worker_id) == checksum
        command = messages.Renew(
            claim.epoch if claim else -1,
            self._timing.ordered_lease_s,
            None if is_known else tasks,
            checksum,
            self._settled(worker_id),
        )
        result = await self._workers.renew(worker_id, command)
        if is_known and result.is_error():
            # Another instance may have replaced the task set stored there.
            self._sent_checksums.pop(worker_id, None)
            if result.error.reason is verdict.Reason.CONFLICT:
                command = dataclasses.replace(command, tasks=tasks)
                result = await self._workers.renew(worker_id, command)
        if result.is_ok():
            self._sent_checksums[worker_id] = checksum
            self._unresponsive_since.pop(worker_id, None)
            self._handle_inventory(worker_id, tasks, result.ok)
            return missing_ends(tasks, result.ok)
        self._metrics.increment("renewer.failed")
        if result.error.reason is verdict.Reason.STALE:
            return ()
        return self._unreachable_ends(worker_id, tasks)

    def _handle_inventory(
        self,
        worker_id: str,
        expected: tuple[messages.TaskId, ...],
        inventory: messages.Inventory,
    ) -> None:
        if inventory.leaving:
            self._membership.mark_worker_leaving(worker_id)
        else:
            self._membership.mark_worker_live(worker_id)
        report_by_task = {report.task: report for report in inventory.tasks}
        ends = tuple(
            end
            for task in expected
            if (report := report_by_task.get(task))
            if (end := task_end(report))
        )
        self._submit_ends(
            worker_id, ends + self._late_finishes(inventory, ends)
        )
        self._keep_ended(worker_id, inventory)

    def _late_finishes(
        self,
        inventory: messages.Inventory,
        known: tuple[records.TaskEnd, ...],
    ) -> tuple[records.TaskEnd, ...]:
        """Return results of finished members recorded as lost too early."""
        already_reported = {end.task for end in known}
        finished = [
            report.task
            for report in inventory.tasks
            if report.phase is messages.TaskPhase.FINISHED
            and report.task not in already_reported
        ]
        if not finished:
            return ()  # the usual case; folding the overlay is costly
        jobs = self._overlay.state().jobs
        return tuple(
            records.TaskEnd(task, records.EndKind.FINISHED)
            for task in finished
            if is_wrongly_lost(jobs.get(task.job_id), task)
        )

    def _keep_ended(
        self, worker_id: str, inventory: messages.Inventory
    ) -> None:
        now = self._clock.monotonic()
        known = self._ended_tasks.get(worker_id, {})
        self._ended_tasks[worker_id] = {
            report.task: known.get(report.task, EndedTask(report, now))
            for report in inventory.tasks
            if report.phase
            in (messages.TaskPhase.FINISHED, messages.TaskPhase.FAILED)
        }

    def _settled(self, worker_id: str) -> tuple[messages.TaskId, ...]:
        """Return the ended tasks that the worker can forget."""
        jobs = self._replica.state.jobs
        confirmed_at = self._replica.confirmed_at
        return tuple(
            task
            for task, ended in self._ended_tasks.get(worker_id, {}).items()
            if is_settled(jobs.get(task.job_id), ended, confirmed_at)
        )

    def _unreachable_ends(
        self, worker_id: str, tasks: tuple[messages.TaskId, ...]
    ) -> tuple[records.TaskEnd, ...]:
        now = self._clock.monotonic()
        since = self._unresponsive_since.setdefault(worker_id, now)
        if now - since < self._timing.duration("lease"):
            return ()
        return tuple(
            records.TaskEnd(task, records.EndKind.LOST, "worker unreachable")
            for task in tasks
        )

    def _submit_ends(
        self, worker_id: str, ends: tuple[records.TaskEnd, ...]
    ) -> None:
        if not ends or self._is_pending(worker_id, ends):
            return
        self._logger.info("tasks_ended", worker_id=worker_id, count=len(ends))
        self._appender.submit(
            records.TasksEnded(worker_id, ends),
            appenders.Priority.BOOKKEEPING,
        )

    def _is_pending(
        self, worker_id: str, ends: tuple[records.TaskEnd, ...]
    ) -> bool:
        body = records.TasksEnded(worker_id, ends)
        return any(record.body == body for record in self._appender.pending())


def missing_ends(
    expected: tuple[messages.TaskId, ...], inventory: messages.Inventory
) -> tuple[records.TaskEnd, ...]:
    """Return the ends of expected tasks that a whole inventory lacks."""
    if not inventory.is_whole:
        return ()
    reported = {report.task for report in inventory.tasks}
    return tuple(
        records.TaskEnd(
            task, records.EndKind.LOST, "task missing on its worker"
        )
        for task in expected
        if task not in reported
    )


def task_end(report: messages.TaskReport) -> records.TaskEnd | None:
    """Return the completion of a task, or None while it is active."""
    task = report.task
    match report.phase:
        case messages.TaskPhase.FINISHED:
            return records.TaskEnd(task, records.EndKind.FINISHED)
        case messages.TaskPhase.FAILED:
            detail = report.detail or "task failed"
            return records.TaskEnd(
                task, records.EndKind.FAILED, detail, report.checkpoint_s
            )
    return None


def is_wrongly_lost(job: models.Job | None, task: messages.TaskId) -> bool:
    """Return whether the log recorded a finished member as lost."""
    if job is None or job.phase.is_final or job.attempt != task.attempt:
        return False
    return task.member in job.ended and task.member not in job.finished


def is_settled(
    job: models.Job | None,
    ended: EndedTask,
    confirmed_at: datetime.timedelta | None,
) -> bool:
    """Return whether the log needs no further record of an ended task.

    A job is submitted before its tasks run. So an unknown job is long gone
    only if the log's end was read after the task was reported.
    """
    if job is None:
        return confirmed_at is not None and confirmed_at >= ended.reported_at
    if job.phase.is_final:
        return True
    task = ended.report.task
    if job.former is not None and job.former.attempt == task.attempt:
        return ended.report.phase is not messages.TaskPhase.FINISHED
    if job.attempt != task.attempt:
        return job.attempt > task.attempt
    if ended.report.phase is messages.TaskPhase.FINISHED:
        return task.member in job.finished
    return task.member in job.ended
