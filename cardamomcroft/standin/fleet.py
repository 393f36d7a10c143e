"""Simulated workers that run tasks under leases, with fault injection."""

import collections
import dataclasses
import datetime
import random

from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import listed_ends

POLL_INTERVAL = datetime.timedelta(milliseconds=20)
ROUND_TRIP = datetime.timedelta(milliseconds=2)
STOP_BOUND = datetime.timedelta(milliseconds=200)
GANG_TIMEOUT = datetime.timedelta(seconds=3)
START_DELAY = datetime.timedelta(seconds=3)  # of orders carried out late
ENDS_PER_ANSWER = 500
STARTUP = datetime.timedelta(seconds=1)  # of a task that lasts
MAX_HOLD = datetime.timedelta(seconds=10)  # MaxHoldMs; longer is shortened
MAX_FIRST_CLOCK_MS = 1_000_000
CLOCK_RATES = (0.98, 1.01)  # the slowest and the fastest
_MS = datetime.timedelta(milliseconds=1)

Status = fleet.OrderStatus


@dataclasses.dataclass(slots=True)
class FakeRun:
    """A run that a worker executes."""

    number: int
    began_at: datetime.timedelta
    demand: models.Demand
    width: int  # members of its gang; 0 for a task outside any gang


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """The time during which a worker executed one run."""

    task: str
    run: int
    worker_id: str
    began_at: datetime.timedelta
    ended_at: datetime.timedelta | None
    end: fleet.End | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedStart:
    """A start order that has reached a worker, whatever came of it."""

    task: str
    run: int
    worker_id: str
    data_centre: str
    received_at: datetime.timedelta


def capacity_of(listing: fleet.Listing) -> models.Demand:
    """Return a worker's whole capacity."""
    return models.Demand(
        listing.milli_cores, listing.memory_mb, listing.accelerators
    )


class FakeWorker:
    """A worker that runs each task for a fixed time."""

    def __init__(
        self, fake_fleet: "FakeFleet", listing: fleet.Listing
    ) -> None:
        """Create an idle worker of ``fake_fleet``."""
        self._fleet = fake_fleet
        self.listing = listing
        self.runs_by_task: dict[str, FakeRun] = {}
        self.finished: list[fleet.FinishedTask] = []
        self.highest_run_by_task: dict[str, int] = {}
        self.token = 0
        self.lease_deadline_ms = 0
        self.end_count = 0
        self._is_cut = False
        self.reachable_since = fake_fleet.clock.monotonic()
        # Of the first answers since then.
        self.answered_at_by_claim: dict[str, datetime.timedelta] = {}
        self.is_starting = False  # silent until its process is up
        self.transfer = datetime.timedelta()  # of an inventory
        self.stops_at_by_task: dict[str, datetime.timedelta] = {}
        self.lose_start_answers = 0
        self.refuse_starts = 0  # answered as by an unhealthy worker
        self.delay_starts = 0  # unanswered and carried out later
        self.fails_everything = False
        self.hangs = False
        self.is_dead = False
        self.slowness = 1.0  # tasks take so many times as long
        self.born_at = fake_fleet.clock.monotonic()
        self.listed_end = 0  # the last one in an answer
        self._lapsed_ms = -1  # the last deadline that has passed
        self.first_clock_ms = 0
        self.clock_rate = 1.0

    @property
    def is_cut(self) -> bool:
        """Return whether the worker is cut off."""
        return self._is_cut

    @is_cut.setter
    def is_cut(self, is_cut: bool) -> None:
        if self._is_cut and not is_cut:
            self.reachable_since = self._fleet.clock.monotonic()
            self.answered_at_by_claim.clear()
        self._is_cut = is_cut

    @property
    def is_reachable(self) -> bool:
        """Return whether the worker takes and answers calls."""
        return not (self.is_cut or self.is_starting or self.is_dead)

    def clock_ms(self) -> int:
        """Return the steady clock of this incarnation."""
        lived_ms = (self._fleet.clock.monotonic() - self.born_at) / _MS
        return self.first_clock_ms + round(lived_ms * self.clock_rate)

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease, by the longest hold at most."""
        longest_ms = self.clock_ms() + round(MAX_HOLD / _MS)
        self.lease_deadline_ms = max(
            self.lease_deadline_ms, min(deadline_ms, longest_ms)
        )

    def end(
        self,
        task: str,
        end: fleet.End,
        ended_at: datetime.timedelta | None = None,
    ) -> None:
        """End a run, now unless it ended earlier; record its completion."""
        run = self.runs_by_task.pop(task, None)
        if run is None:
            return  # ended already, with another member of its gang
        self.highest_run_by_task[task] = run.number
        self.end_count += 1
        finished = fleet.FinishedTask(
            self.end_count, task, run.number, end, ""
        )
        self.finished.append(finished)
        self._fleet.listed_ends.record_end(self, finished)
        if ended_at is None:
            ended_at = self._fleet.clock.monotonic()
        self._fleet.intervals.append(
            Interval(
                task,
                run.number,
                self.listing.address.worker_id,
                run.began_at,
                max(run.began_at, ended_at),
                end,
            )
        )
        if run.width:
            group = task.rpartition(".")[0]
            self._fleet.end_gang(group, run.number, end, ended_at)

    def highest(self, task: str) -> int:
        """Return the highest number of a run of a task; 0 if it had none."""
        run = self.runs_by_task.get(task)
        number = run.number if run else 0
        return max(number, self.highest_run_by_task.get(task, 0))

    def percent(self, task: str, run: FakeRun) -> int:
        """Return a run's progress; it is constant while the worker hangs."""
        if self.hangs:
            return 10
        worked = self._fleet.clock.monotonic() - run.began_at
        if self._fleet.is_lasting(task):
            return 100 if worked >= STARTUP else 50
        return min(int(worked / self._duration_of(task) * 100), 99)

    def _duration_of(self, task: str) -> datetime.timedelta:
        return self._fleet.duration_of(task) * self.slowness

    def advance(self) -> None:
        """End the runs that are due, stopped or without a lease."""
        now = self._fleet.clock.monotonic()
        overdue_ms = self.clock_ms() - self.lease_deadline_ms
        if overdue_ms > 0:
            self._lapse(now - overdue_ms * _MS / self.clock_rate)
        for task, stops_at in list(self.stops_at_by_task.items()):
            if stops_at <= now:
                del self.stops_at_by_task[task]
                if task in self.runs_by_task:
                    self.end(task, fleet.End.STOPPED)
        for task, run in list(self.runs_by_task.items()):
            if self._fails(task, run, now):
                self.end(task, fleet.End.FAILED)
            elif run.width:
                self._advance_gang_member(task, run, now)
            elif self.hangs:
                continue
            elif now - run.began_at >= self._duration_of(
                task
            ) and not self._fleet.is_lasting(task):
                self.end(task, self._outcome())

    def _lapse(self, lapsed_at: datetime.timedelta) -> None:
        """End the runs, as their lease has expired at a time."""
        if self._lapsed_ms < self.lease_deadline_ms:
            self._lapsed_ms = self.lease_deadline_ms
            self._note_unread()
        for task in list(self.runs_by_task):
            self.end(task, fleet.End.LAPSED, lapsed_at)

    def _note_unread(self) -> None:
        self._fleet.unread_completions.update(
            (end.task, end.run)
            for end in self.finished
            if end.end is fleet.End.DONE
            and (self.is_cut or end.number > self.listed_end)
        )

    def _fails(self, task: str, run: FakeRun, now: datetime.timedelta) -> bool:
        """Return whether a run of a job that can't succeed has ended."""
        life = self._fleet.failing_life_by_job.get(task[:16])
        return life is not None and now - run.began_at >= life

    def _outcome(self) -> fleet.End:
        return fleet.End.FAILED if self.fails_everything else fleet.End.DONE

    def _advance_gang_member(
        self, task: str, run: FakeRun, now: datetime.timedelta
    ) -> None:
        group = task.rpartition(".")[0]
        assembled_at = self._fleet.gang_assembled_at(
            group, run.number, run.width
        )
        if assembled_at is not None:
            if now - assembled_at >= self._duration_of(task):
                self.end(task, fleet.End.DONE)
        elif now - run.began_at >= GANG_TIMEOUT:
            self.end(task, fleet.End.GANG_INCOMPLETE)

    def free_capacity(self) -> models.Demand:
        """Return the capacity that no run uses."""
        capacity = capacity_of(self.listing)
        for run in self.runs_by_task.values():
            capacity = capacity.minus(run.demand)
        return capacity


class FakeFleet(fleet.WorkerLink):
    """All simulated workers and the link that reaches them."""

    def __init__(
        self, clock: base.Clock, duration: datetime.timedelta
    ) -> None:
        """Create an empty fleet; ``duration`` is the run time of a task."""
        self.clock = clock
        self.duration = duration
        self.workers_by_id: dict[str, FakeWorker] = {}
        self.steps_by_job: dict[str, tuple[models.Step, ...]] = {}
        self.intervals: list[Interval] = []
        # Tasks started on a worker that still had an earlier run of them.
        self.duplicate_starts: list[str] = []
        # Tasks started without the label, or beyond the spread, of their step.
        self.misplaced_starts: list[str] = []
        self.durations_by_job: dict[str, datetime.timedelta] = {}
        self.lasting_job_ids: set[str] = set()
        # Each run of these fails after so long, wherever it is.
        self.failing_life_by_job: dict[str, datetime.timedelta] = {}
        # Delay between the ends of runs that one worker stops together.
        self.stop_spacing = datetime.timedelta(milliseconds=40)
        self.stop_bound = STOP_BOUND
        # What each stop takes, instead of what the spacing gives.
        self.stop_time: datetime.timedelta | None = None
        self.ends_per_answer = ENDS_PER_ANSWER
        # Completions (task, run) that ended with their worker, unacknowledged.
        self.lost_completions: list[tuple[str, int]] = []
        # Those that no answer had listed when their worker's lease expired, or
        # that were unacknowledged then on a worker that was cut off.
        self.unread_completions: set[tuple[str, int]] = set()
        self.listed_ends = listed_ends.ListedEnds(clock)
        # Draws the clock of each incarnation; without it all begin at 0.
        self.clock_rng: random.Random | None = None
        self.injected: collections.Counter[str] = collections.Counter()
        self.received_starts: list[ReceivedStart] = []
        # Orders to carry out START_DELAY after they came.
        self.late_starts: list[
            tuple[datetime.timedelta, FakeWorker, fleet.StartOrder]
        ] = []
        self._assembled_at_by_gang: dict[
            tuple[str, int], datetime.timedelta
        ] = {}

    def steps_of(self, job_id: str) -> tuple[models.Step, ...]:
        """Return a job's steps."""
        return self.steps_by_job[job_id]

    def is_lasting(self, task: str) -> bool:
        """Return whether a task goes on until it is stopped."""
        return task[:16] in self.lasting_job_ids

    def duration_of(self, task: str) -> datetime.timedelta:
        """Return how long a task runs."""
        return self.durations_by_job.get(task[:16], self.duration)

    def add(
        self,
        worker_id: str,
        accelerators: int = 8,
        rack: str = "r1",
        data_centre: str = "dc",
    ) -> fleet.Listing:
        """Add a worker and return its directory entry."""
        listing = fleet.Listing(
            fleet.Address(worker_id, f"{worker_id}:80"),
            "svc",
            fleet.ServerState.READY,
            data_centre,
            1,
            0,
            frozenset({"a", rack}),
            rack,
            64_000,
            131_072,
            accelerators,
            None,
        )
        worker = self.workers_by_id[worker_id] = FakeWorker(self, listing)
        if self.clock_rng is not None:
            worker.first_clock_ms = self.clock_rng.randrange(
                MAX_FIRST_CLOCK_MS
            )
            worker.clock_rate = self.clock_rng.uniform(*CLOCK_RATES)
        return listing

    def restart(self, worker_id: str) -> fleet.Listing:
        """Replace a worker by its next incarnation, which has no state."""
        old = self._end_incarnation(worker_id)
        listing = self.add(
            worker_id,
            old.listing.accelerators,
            old.listing.rack,
            old.listing.data_centre,
        )
        listing = dataclasses.replace(listing, born_ms=old.listing.born_ms + 1)
        self.workers_by_id[worker_id].listing = listing
        self.injected["reborn"] += 1
        return listing

    def die(self, worker_id: str) -> None:
        """End a worker for good, with its runs; it answers nothing more."""
        self._end_incarnation(worker_id)
        del self.workers_by_id[worker_id]
        self.injected["died"] += 1

    def _end_incarnation(self, worker_id: str) -> FakeWorker:
        worker = self.workers_by_id[worker_id]
        for task in list(worker.runs_by_task):
            worker.end(task, fleet.End.LAPSED)
        worker.is_dead = True
        self.lost_completions += [
            (end.task, end.run)
            for end in worker.finished
            if end.end is fleet.End.DONE
        ]
        return worker

    def gang_assembled_at(
        self, group: str, number: int, width: int
    ) -> datetime.timedelta | None:
        """Return when all members of a gang's run were running, if ever."""
        key = (group, number)
        if key not in self._assembled_at_by_gang:
            present = sum(
                task.rpartition(".")[0] == group and run.number == number
                for worker in self.workers_by_id.values()
                for task, run in worker.runs_by_task.items()
            )
            if present < width:
                return None
            self._assembled_at_by_gang[key] = self.clock.monotonic()
        return self._assembled_at_by_gang[key]

    def end_gang(
        self,
        group: str,
        number: int,
        end: fleet.End,
        ended_at: datetime.timedelta,
    ) -> None:
        """End a gang's other members: done if one is, otherwise broken."""
        is_done = end is fleet.End.DONE
        other_end = fleet.End.DONE if is_done else fleet.End.GANG_BROKEN
        for worker in self.workers_by_id.values():
            for task, run in list(worker.runs_by_task.items()):
                is_member = task.rpartition(".")[0] == group
                if is_member and run.number == number:
                    worker.end(task, other_end, ended_at)

    def advance(self) -> None:
        """Update every worker to the current time."""
        due = self.clock.monotonic() - START_DELAY
        while self.late_starts and self.late_starts[0][0] <= due:
            _, worker, order = self.late_starts.pop(0)
            worker.advance()  # what has lapsed is not extended
            if not worker.is_dead:
                self._start(worker, order)
        for worker in self.workers_by_id.values():
            worker.advance()

    def running(self) -> list[tuple[str, str]]:
        """Return the running tasks, each with its worker's id."""
        self.advance()
        return [
            (task, worker_id)
            for worker_id, worker in self.workers_by_id.items()
            for task in worker.runs_by_task
        ]

    async def _reach(
        self, address: fleet.Address, token: int
    ) -> FakeWorker | None:
        # A call on its way ends with the process that it is meant for.
        worker = self.workers_by_id.get(address.worker_id)
        await self.clock.sleep(ROUND_TRIP)
        if worker is None or not worker.is_reachable:
            self.injected["unreachable"] += 1
            return None
        worker.advance()
        self.listed_ends.record_contact(token)
        return worker

    def _record_answer(self, worker: FakeWorker, token: int) -> None:
        self.listed_ends.record_answer(worker, token)

    async def _time_out(
        self, timeout: datetime.timedelta
    ) -> fleet.OrderResult:
        await self.clock.sleep(timeout)
        return fleet.OrderResult(Status.MAY_HAVE_RUN)

    async def start(self, address, order, timeout) -> fleet.OrderResult:
        """Start a task."""
        sent_at = self.clock.monotonic()
        worker = await self._reach(address, order.token)
        if worker is None:
            return await self._time_out(timeout)
        self.received_starts.append(
            ReceivedStart(
                order.task,
                order.run,
                address.worker_id,
                worker.listing.data_centre,
                self.clock.monotonic(),
            )
        )
        if order.born_ms not in (0, worker.listing.born_ms):
            self.injected["start_for_former"] += 1
            return fleet.OrderResult(Status.RESTARTED)
        if worker.refuse_starts:
            worker.refuse_starts -= 1
            self.injected["start_unhealthy"] += 1
            self._record_answer(worker, order.token)
            return fleet.OrderResult(Status.UNHEALTHY)
        if worker.delay_starts:
            worker.delay_starts -= 1
            self.injected["start_late"] += 1
            self.late_starts.append((self.clock.monotonic(), worker, order))
            return await self._time_out(timeout)
        before = worker.runs_by_task.get(order.task)
        result = self._start(worker, order)
        if worker.runs_by_task.get(order.task) is not before:
            self.listed_ends.record_start(order, worker, sent_at)
        if worker.lose_start_answers:
            worker.lose_start_answers -= 1
            self.injected["start_answer_lost"] += 1
            return await self._time_out(timeout)
        self._record_answer(worker, order.token)
        return result

    def _start(
        self, worker: FakeWorker, order: fleet.StartOrder
    ) -> fleet.OrderResult:
        clock_ms = worker.clock_ms()
        if order.token < worker.token:
            return fleet.OrderResult(Status.STALE_TOKEN, clock_ms)
        worker.token = order.token
        worker.extend_lease(order.deadline_ms)
        if order.deadline_ms < clock_ms:
            return fleet.OrderResult(Status.EXPIRED, clock_ms)
        if order.run <= worker.highest_run_by_task.get(order.task, 0):
            return fleet.OrderResult(Status.STALE_RUN, clock_ms)
        job_id, _, step_number, _ = order.task.rsplit(".", 3)
        step = self.steps_of(job_id)[int(step_number)]
        known = worker.runs_by_task.get(order.task)
        if known is not None and known.number == order.run:
            return fleet.OrderResult(Status.DONE, clock_ms)
        if not step.demand.fits(worker.free_capacity()):
            return fleet.OrderResult(Status.NO_ROOM, clock_ms)
        if known is not None:
            self.duplicate_starts.append(order.task)
        if not _may_run(step, order.task, worker):
            self.misplaced_starts.append(order.task)
        width = step.width if step.is_gang else 0
        worker.runs_by_task[order.task] = FakeRun(
            order.run, self.clock.monotonic(), step.demand, width
        )
        return fleet.OrderResult(Status.DONE, clock_ms)

    async def stop(
        self, address, task, run, token, timeout
    ) -> fleet.OrderResult:
        """Stop a run."""
        worker = await self._reach(address, token)
        if worker is None:
            return await self._time_out(timeout)
        if token < worker.token:
            return fleet.OrderResult(Status.STALE_TOKEN, worker.clock_ms())
        worker.token = token
        highest = worker.highest_run_by_task.get(task, 0)
        worker.highest_run_by_task[task] = max(highest, run)
        known = worker.runs_by_task.get(task)
        if known is not None and known.number <= run:
            delay = self.stop_time or self.stop_spacing * (
                len(worker.stops_at_by_task) + 1
            )
            worker.stops_at_by_task.setdefault(
                task, self.clock.monotonic() + min(delay, self.stop_bound)
            )
            worker.advance()
        self._record_answer(worker, token)
        return fleet.OrderResult(Status.DONE, worker.clock_ms())

    async def pace(
        self, address, task, run, percent, token, timeout
    ) -> fleet.OrderResult:
        """Accept any pace without effect."""
        worker = await self._reach(address, token)
        if worker is None:
            return await self._time_out(timeout)
        self._record_answer(worker, token)
        return fleet.OrderResult(Status.DONE, worker.clock_ms())

    async def renew_lease(
        self, address, order, timeout
    ) -> fleet.Inventory | fleet.OrderResult:
        """Extend the lease and return the inventory."""
        worker = await self._reach(address, order.token)
        if worker is None:
            await self.clock.sleep(min(timeout, fleet.CONNECT_TIMEOUT))
            return fleet.OrderResult(Status.UNREACHED)
        if order.token < worker.token:
            return fleet.OrderResult(Status.STALE_TOKEN, worker.clock_ms())
        worker.token = order.token
        is_renewed = order.born_ms in (0, worker.listing.born_ms)
        if not is_renewed:
            order = fleet.LeaseRenewal(
                order.token, 0, None, datetime.timedelta()
            )
        if order.deadline_ms is not None:
            worker.extend_lease(order.deadline_ms)
        worker.finished = [
            end
            for end in worker.finished
            if end.number > order.acknowledged_end
        ]
        if worker.transfer > timeout:
            self.injected["slow_inventory"] += 1
            return await self._time_out(timeout)
        if worker.transfer:
            await self.clock.sleep(worker.transfer)
            worker.advance()
        until = self.clock.monotonic() + order.wait
        while not worker.finished and self.clock.monotonic() < until:
            await self.clock.sleep(POLL_INTERVAL)
            worker.advance()
        if not worker.is_reachable:
            self.injected["unreachable"] += 1
            return await self._time_out(timeout)
        listed = tuple(worker.finished[: self.ends_per_answer])
        if listed:
            worker.listed_end = listed[-1].number
        self._record_answer(worker, order.token)
        return fleet.Inventory(
            worker.clock_ms(),
            worker.listing.born_ms,
            tuple(
                fleet.RunningTask(
                    task, run.number, "", worker.percent(task, run), 0.0
                )
                for task, run in worker.runs_by_task.items()
            ),
            listed,
            len(worker.finished) < self.ends_per_answer,
            is_renewed,
        )

    async def advise(self, step, worker_ids, timeout) -> fleet.Advice | None:
        """Give no advice."""
        return None


def _may_run(step: models.Step, task: str, worker: FakeWorker) -> bool:
    """Return whether a step's label and spread let a worker run a task."""
    label, limit = step.required_label, step.spread_limit
    group = task.rpartition(".")[0]
    beside = sum(
        other.rpartition(".")[0] == group and other != task
        for other in (worker.runs_by_task if limit else ())
    )
    return (not label or label in worker.listing.labels) and (
        not limit or beside < limit
    )
