"""Fence a region's workers after a claim and reconcile their tasks."""

import asyncio
import collections
import dataclasses
import itertools

import structlog

from cardamomcroft.jobs import launch
from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.settings import instance
from cardamomcroft.state import models

MAX_CALLS = 64  # 150 KB of answers, which 1.2 Mbit/s carries in 1 s


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedTask:
    """Pair a reported task with its worker."""

    worker_id: str
    report: messages.TaskReport
    incarnation: str


class Takeover:
    """Track which workers have confirmed the fence of an epoch."""

    def __init__(
        self,
        epoch: int,
        workers: base.WorkerClient,
        clock: base.Clock,
        timing: instance.Timing,
    ) -> None:
        """Fence with the claim's epoch; no worker has confirmed it yet."""
        self.epoch = epoch
        self.started_at = clock.monotonic()
        self.is_settled = False
        self.is_reconciled = False
        self.reports_by_worker: dict[str, tuple[messages.TaskReport, ...]] = {}
        self.incarnations: dict[str, str] = {}
        self._failures: collections.Counter[str] = collections.Counter()
        self._workers = workers
        self._clock = clock
        self._timing = timing
        self._logger = structlog.get_logger()

    def is_fenced(self, worker_id: str) -> bool:
        """Return whether the worker rejects older fencing tokens."""
        return worker_id in self.reports_by_worker

    async def step(
        self,
        worker_ids: tuple[str, ...],
        state: models.State | None = None,
        is_complete: bool = True,
    ) -> None:
        """Fence the unconfirmed workers and settle if nothing is unknown.

        The takeover settles when every worker is fenced, none has moved and
        the list of workers is complete, or when any lease renewed for a
        former owner must have expired.
        """
        await self._fence_all(worker_ids)
        waited = self._clock.monotonic() - self.started_at
        all_fenced = is_complete and all(map(self.is_fenced, worker_ids))
        is_known = all_fenced and not self._has_moved_workers(state)
        if is_known or waited >= launch.lease_expiry_bound(self._timing):
            self.is_settled = True
            self._logger.info(
                "takeover_settled",
                epoch=self.epoch,
                fenced=len(self.reports_by_worker),
                waited_s=waited.total_seconds(),
            )

    def _has_moved_workers(self, state: models.State | None) -> bool:
        return state is not None and bool(
            moved_workers(state, self.incarnations)
        )

    async def _fence_all(self, worker_ids: tuple[str, ...]) -> None:
        """Fence group by group, those that failed last.

        A round ends with a group that has a failure or is slow, so that it
        takes two time-outs of a call at most.
        """
        slow_at = self._clock.monotonic() + self._timing.duration(
            "call_timeout"
        )
        unfenced = sorted(
            itertools.filterfalse(self.is_fenced, worker_ids),
            key=self._failures.__getitem__,
        )
        for start in range(0, len(unfenced), MAX_CALLS):
            group = unfenced[start : start + MAX_CALLS]
            await asyncio.gather(*map(self._fence, group))
            is_slow = self._clock.monotonic() >= slow_at
            if is_slow or not all(map(self.is_fenced, group)):
                return

    async def _fence(self, worker_id: str) -> None:
        command = messages.Renew(self.epoch, self._timing.ordered_lease_s)
        result = await self._workers.renew(worker_id, command)
        if result.is_ok():
            self.reports_by_worker[worker_id] = result.ok.tasks
            self.incarnations[worker_id] = result.ok.incarnation
        else:
            self._failures[worker_id] += 1


def moved_workers(
    state: models.State, incarnations: dict[str, str]
) -> frozenset[str]:
    """Return workers of which a former process may run on elsewhere.

    The log shows tasks of that process; it may have others, unrecorded.
    """
    return frozenset(
        placement.worker_id
        for job in state.jobs.values()
        if not job.phase.is_final
        for placement in job.placements
        if _has_moved(placement, incarnations.get(placement.worker_id, ""))
    )


def _has_moved(placement: records.Placement, incarnation: str) -> bool:
    former = placement.incarnation
    if not former or not incarnation or former == incarnation:
        return False
    return not messages.has_replaced(incarnation, former)


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """Adopt an unrecorded gang by appending this start record."""

    record: records.GangStarted


@dataclasses.dataclass(frozen=True, slots=True)
class Orphan:
    """Identify an unrecorded task that is to be stopped."""

    worker_id: str
    task: messages.TaskId
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reconciliation:
    """Divide the unrecorded tasks into adopted gangs and orphans."""

    adoptions: tuple[Adoption, ...] = ()
    orphans: tuple[Orphan, ...] = ()


def reconcile(
    state: models.State,
    epoch: int,
    reports_by_worker: dict[str, tuple[messages.TaskReport, ...]],
    incarnations: dict[str, str],
) -> Reconciliation:
    """Adopt complete gangs that the log lacks; the other tasks are orphans."""
    by_attempt: dict[tuple[str, int], dict[int, ReportedTask]] = (
        collections.defaultdict(dict)
    )
    for worker_id, reports in reports_by_worker.items():
        for report in reports:
            if _is_unrecorded(state, report.task):
                key = (report.task.job_id, report.task.attempt)
                task = ReportedTask(worker_id, report, incarnations[worker_id])
                by_attempt[key][report.task.member] = task
    adoptions, orphans = [], []
    for (job_id, attempt), tasks_by_member in sorted(by_attempt.items()):
        job = state.jobs.get(job_id)
        if job is not None and _is_complete_gang(
            job, attempt, tasks_by_member
        ):
            adoptions.append(_adopt(job, attempt, epoch, tasks_by_member))
        else:
            orphans.extend(
                Orphan(task.worker_id, task.report.task, task.incarnation)
                for task in tasks_by_member.values()
            )
    return Reconciliation(tuple(adoptions), tuple(orphans))


def _is_unrecorded(state: models.State, task: messages.TaskId) -> bool:
    job = state.jobs.get(task.job_id)
    return job is None or task.attempt != job.attempt


def _is_complete_gang(
    job: models.Job, attempt: int, tasks_by_member: dict[int, ReportedTask]
) -> bool:
    started = (messages.TaskPhase.RUNNING, messages.TaskPhase.FINISHED)
    return (
        attempt > job.attempt
        and job.phase in (models.Phase.QUEUED, models.Phase.ENDING)
        and not job.placements
        and set(tasks_by_member) == set(range(job.spec.members))
        and all(
            task.report.phase in started for task in tasks_by_member.values()
        )
    )


def _adopt(
    job: models.Job,
    attempt: int,
    epoch: int,
    tasks_by_member: dict[int, ReportedTask],
) -> Adoption:
    placements = tuple(
        records.Placement(
            tasks_by_member[member].worker_id,
            tasks_by_member[member].report.cell,
            incarnation=tasks_by_member[member].incarnation,
        )
        for member in range(job.spec.members)
    )
    return Adoption(
        records.GangStarted(job.job_id, attempt, epoch, placements)
    )
