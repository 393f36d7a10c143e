"""In-memory stand-ins for the workers and their backend servers."""

import collections
import dataclasses
import datetime
import itertools
import random

import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents


@dataclasses.dataclass(slots=True)
class _Task:
    report: messages.TaskReport
    expires_at: datetime.timedelta  # of the reservation, later of the lease
    ends_at: datetime.timedelta | None = None
    started_at: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The time during which a gang member ran."""

    worker_id: str
    task: messages.TaskId
    started_at: datetime.timedelta
    ended_at: datetime.timedelta | None = None
    finished: bool = False
    lost_at: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """A time without connection; ``until`` is None while it lasts."""

    since: datetime.timedelta
    until: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults to inject at one worker; counters are by operation."""

    unreachable: bool = False
    lost_answers: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refused: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    fails_tasks: bool = False
    crossed_answers: int = 0
    accepts_while_leaving: bool = False
    service_time: datetime.timedelta = datetime.timedelta()


class StandinWorker:
    """A worker that runs tasks under leases and answers requests."""

    def __init__(
        self,
        worker_id: str,
        units: int,
        slots: int,
        clock: base.Clock,
        address: str,
        generator: random.Random,
    ) -> None:
        """Create a worker without tasks; the generator names its process."""
        self.worker_id = worker_id
        self.units = units
        self.slots = slots
        self.leaving = False
        self.faults = Faults()
        self.runs: list[Run] = []
        self.executed: list[str] = []
        self.executed_bodies: list[str] = []
        self.busy = 0
        self.last_work_at = datetime.timedelta()
        self.expired_leases = 0
        self.outages: list[Outage] = []
        self.reported_at: list[datetime.timedelta] = []
        self._address = address
        self._generator = generator
        self._clock = clock
        self._begin_process()

    def _begin_process(self) -> None:
        self.incarnation = (
            f"{self._address}@{self._generator.getrandbits(32):08x}"
        )
        self.fence = -1
        self._born_at = self._clock.monotonic()
        self._tasks: dict[messages.TaskId, _Task] = {}
        self._stopped: set[messages.TaskId] = set()
        self._renewed: frozenset[messages.TaskId] = frozenset()

    def refresh(self) -> None:
        """Finish the tasks that are due; expire reservations and leases."""
        now = self._clock.monotonic()
        for task_id, task in list(self._tasks.items()):
            if task.report.phase is messages.TaskPhase.HELD:
                if task.expires_at < now:
                    del self._tasks[task_id]
            elif task.report.phase is messages.TaskPhase.RUNNING:
                self._refresh_running(task_id, task, now)

    def _refresh_running(
        self,
        task_id: messages.TaskId,
        task: _Task,
        now: datetime.timedelta,
    ) -> None:
        if task.ends_at <= min(now, task.expires_at):
            finished = not self.faults.fails_tasks
            phase = (
                messages.TaskPhase.FINISHED
                if finished
                else messages.TaskPhase.FAILED
            )
            task.report = dataclasses.replace(task.report, phase=phase)
            self._end_run(task_id, task.ends_at, finished)
        elif task.expires_at < now:
            self.expired_leases += 1
            del self._tasks[task_id]
            self._end_run(task_id, task.expires_at, False)

    def _end_run(
        self,
        task_id: messages.TaskId,
        at: datetime.timedelta,
        finished: bool,
    ) -> None:
        for index, run in enumerate(self.runs):
            if run.task == task_id and run.ended_at is None:
                self.runs[index] = dataclasses.replace(
                    run, ended_at=at, finished=finished
                )

    def cut(self, is_cut: bool) -> None:
        """Make the worker unreachable, or reachable again."""
        self.faults.unreachable = is_cut
        now = self._clock.monotonic()
        if self.outages and self.outages[-1].until is None:
            began = self.outages.pop().since
            self.outages.append(Outage(began, now))
        if is_cut:
            self.outages.append(Outage(now))

    def was_unreachable(self, at: datetime.timedelta) -> bool:
        """Return whether the worker was unreachable at a time."""
        return any(
            outage.since <= at and (outage.until is None or at < outage.until)
            for outage in self.outages
        )

    def has_reported(
        self, since: datetime.timedelta, until: datetime.timedelta
    ) -> bool:
        """Return whether a renewal or stop was answered in an interval."""
        return any(since <= at <= until for at in self.reported_at)

    def expire_leases(self) -> None:
        """Expire every reservation and lease now, as after a long pause."""
        self.refresh()
        now = self._clock.monotonic()
        for task in self._tasks.values():
            task.expires_at = now - datetime.timedelta(microseconds=1)
        self.refresh()

    def lose(self) -> None:
        """Forget everything and begin a new process at the address."""
        self.refresh()
        now = self._clock.monotonic()
        for task_id in self._tasks:
            self._end_run(task_id, now, False)
        self.runs = [
            dataclasses.replace(run, lost_at=now)
            if run.task in self._tasks
            else run
            for run in self.runs
        ]
        self._begin_process()

    def _used_units(self) -> int:
        used = 0
        for task in self._tasks.values():
            if task.report.phase in (
                messages.TaskPhase.HELD,
                messages.TaskPhase.RUNNING,
            ):
                cell = task.report.cell
                used |= ((1 << cell.size) - 1) << cell.start
        return used

    def _refuses_new_work(self) -> bool:
        return self.leaving and not self.faults.accepts_while_leaving

    def reserve(self, command: messages.Reserve) -> expression.Result:
        """Reserve the cell if it is free and the token is not stale."""
        if command.token < self.fence:
            return _refusal(verdict.Reason.STALE, "stale fencing token")
        if self._refuses_new_work():
            return _refusal(verdict.Reason.LEAVING, "worker is leaving")
        if command.task in self._stopped:
            return _refusal(verdict.Reason.CONFLICT, "task was stopped")
        if command.task in self._tasks:
            return expression.Ok(self._reserved())
        cell = command.cell
        mask = ((1 << cell.size) - 1) << cell.start
        if mask >> self.units or self._used_units() & mask:
            return _refusal(verdict.Reason.CONFLICT, "cell is in use")
        hold = datetime.timedelta(seconds=command.hold_s)
        report = messages.TaskReport(
            command.task, command.token, cell, messages.TaskPhase.HELD
        )
        until = self._clock.monotonic() + hold
        self._tasks[command.task] = _Task(report, until)
        return expression.Ok(self._reserved())

    def _age_s(self) -> float:
        return (self._clock.monotonic() - self._born_at).total_seconds()

    def _reserved(self) -> messages.Done:
        return messages.Done(incarnation=self.incarnation, age_s=self._age_s())

    def start(self, command: messages.Start) -> expression.Result:
        """Start a reserved task; starting it again has no effect."""
        task = self._tasks.get(command.task)
        if command.token < self.fence:
            return _refusal(verdict.Reason.STALE, "stale fencing token")
        if command.incarnation not in ("", self.incarnation):
            return _refusal(verdict.Reason.RESTARTED, "another incarnation")
        if task is None:
            return _refusal(verdict.Reason.CONFLICT, "task is not held")
        if task.report.phase is not messages.TaskPhase.HELD:
            return expression.Ok(messages.Done())
        now = self._clock.monotonic()
        task.report = dataclasses.replace(
            task.report, phase=messages.TaskPhase.RUNNING
        )
        task.started_at = now
        self.last_work_at = now
        task.expires_at = now + datetime.timedelta(seconds=command.lease_s)
        task.ends_at = now + datetime.timedelta(seconds=command.run_s)
        self.runs.append(Run(self.worker_id, command.task, now))
        return expression.Ok(messages.Done())

    def stop(self, command: messages.Stop) -> expression.Result:
        """Stop the task and refuse it from now on."""
        if command.token < self.fence:
            return _refusal(verdict.Reason.STALE, "stale fencing token")
        if self._may_be_elsewhere(command.incarnation):
            return _refusal(verdict.Reason.RESTARTED, "another incarnation")
        task = self._tasks.get(command.task)
        if task and task.report.phase is messages.TaskPhase.FINISHED:
            return expression.Ok(messages.Done(is_finished=True))
        self._stopped.add(command.task)
        self._tasks.pop(command.task, None)
        kept_s = 0.0
        if task is not None and task.started_at is not None:
            now = self._clock.monotonic()
            self._end_run(command.task, now, False)
            if command.checkpoint:
                kept_s = (now - task.started_at).total_seconds()
        return expression.Ok(messages.Done(kept_s))

    def _may_be_elsewhere(self, incarnation: str) -> bool:
        if incarnation in ("", self.incarnation):
            return False
        return not messages.has_replaced(self.incarnation, incarnation)

    def renew(self, command: messages.Renew) -> expression.Result:
        """Extend the leases, raise the fence and return the inventory."""
        if command.token < self.fence:
            return _refusal(verdict.Reason.STALE, "stale fencing token")
        if command.tasks is not None:
            self._renewed = frozenset(command.tasks)
        elif messages.checksum(self._renewed) != command.checksum:
            return _refusal(verdict.Reason.CONFLICT, "another renewal set")
        self.fence = command.token
        until = self._clock.monotonic() + datetime.timedelta(
            seconds=command.lease_s
        )
        for task_id in self._renewed:
            task = self._tasks.get(task_id)
            if task and task.report.phase is messages.TaskPhase.RUNNING:
                task.expires_at = max(task.expires_at, until)
        for task_id in command.forget:
            self._tasks.pop(task_id, None)
        return expression.Ok(self._inventory())

    def _inventory(self) -> messages.Inventory:
        reports = tuple(task.report for task in self._tasks.values())
        running = {
            report.task
            for report in reports
            if report.phase is messages.TaskPhase.RUNNING
        }
        known = self._renewed <= self._tasks.keys()
        is_whole = not known or not running <= self._renewed
        if not is_whole:
            reports = tuple(
                report for report in reports if report.task not in running
            )
        return messages.Inventory(
            self.worker_id,
            self.fence,
            self.leaving,
            reports,
            is_whole,
            self.incarnation,
            self._age_s(),
        )

    async def execute(self, command: messages.Execute) -> expression.Result:
        """Run a request if a slot is free."""
        if self._refuses_new_work():
            return _refusal(verdict.Reason.LEAVING, "worker is leaving")
        if self.busy >= self.slots:
            return _refusal(verdict.Reason.OVERLOADED, "no free slot")
        self.busy += 1
        self.executed.append(command.request_id)
        self.executed_bodies.append(command.body)
        self.last_work_at = self._clock.monotonic()
        try:
            if self.faults.service_time:
                await self._clock.sleep(self.faults.service_time)
        finally:
            self.busy -= 1
        request_id = command.request_id
        if self.faults.crossed_answers:
            self.faults.crossed_answers -= 1
            request_id = f"not-{request_id}"
        body = f"{command.body} done by {self.worker_id}"
        return expression.Ok(messages.Answer(request_id, body))


class StandinWorkers(base.WorkerClient):
    """A client that calls stand-in workers, with injected faults."""

    def __init__(
        self,
        clock: base.Clock,
        host: str = "standin",
        generator: random.Random | None = None,
    ) -> None:
        """Create a client without workers; the generator names processes."""
        self.by_id: dict[str, StandinWorker] = {}
        self.injected: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._host = host
        self._generator = generator or random.Random(0)
        self._ports = itertools.count(1)

    def add(self, worker_id: str, units: int = 8, slots: int = 8) -> None:
        """Add an empty worker at an address of its own."""
        address = f"{self._host}:{next(self._ports)}"
        self.by_id[worker_id] = StandinWorker(
            worker_id,
            units,
            slots,
            self._clock,
            address,
            self._generator,
        )

    def add_declared(self, document: documents.DataCentre) -> None:
        """Add the workers that a data centre's settings declare."""
        for rack in document.racks.values():
            for worker_id, worker in rack.workers.items():
                self.add(worker_id, worker.units, worker.slots)

    async def _call(self, worker_id: str, operation: str, command):
        worker = self.by_id.get(worker_id)
        if worker is None or worker.faults.unreachable:
            self.injected["worker_unreachable"] += 1
            return _refusal(verdict.Reason.UNAVAILABLE, "no connection")
        if worker.faults.refused[operation]:
            worker.faults.refused[operation] -= 1
            self.injected[f"{operation}_refused"] += 1
            return _refusal(verdict.Reason.REMOTE, "refused on command")
        worker.refresh()
        result = getattr(worker, operation)(command)
        if operation == "execute":
            result = await result
        if worker.faults.lost_answers[operation]:
            worker.faults.lost_answers[operation] -= 1
            self.injected[f"{operation}_answer_lost"] += 1
            return expression.Error(
                verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
            )
        if operation in ("renew", "stop") and result.is_ok():
            worker.reported_at.append(self._clock.monotonic())
        return result

    async def reserve(self, worker_id, command):
        """Reserve capacity for a gang member for a short time."""
        return await self._call(worker_id, "reserve", command)

    async def start(self, worker_id, command):
        """Start a reserved gang member under a lease."""
        return await self._call(worker_id, "start", command)

    async def stop(self, worker_id, command):
        """Stop a gang member or release its reservation."""
        return await self._call(worker_id, "stop", command)

    async def renew(self, worker_id, command):
        """Renew leases, raise the fence and return the inventory."""
        return await self._call(worker_id, "renew", command)

    async def execute(self, worker_id, command):
        """Run a request on the backend server."""
        return await self._call(worker_id, "execute", command)


def _refusal(reason: verdict.Reason, detail: str) -> expression.Result:
    return expression.Error(verdict.not_run(reason, detail))
