"""Track the state of jobs, runs and workers."""

import asyncio
import collections
import dataclasses
import datetime
import enum

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import given_up
from cardamomcroft.scheduling import index_set
from cardamomcroft.scheduling import late_starts
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ranges
from cardamomcroft.scheduling import resting

MIN_CLOCK_RATE = 0.98  # slowest rate of a worker's steady clock (protocol)
# Percentages are whole numbers, so rates over shorter spans are inexact.
MIN_RATE_SPAN_S = 1.0
# Until the first poll, which follows the start's answer; covers entries whose
# clock readings arrive two seconds late.
START_LEASE = datetime.timedelta(milliseconds=2500)
# A record that lists steps one by one grows with each occurrence that is done,
# and is written again at each end of a task.
MAX_LISTED_BYTES = 2_000
_LISTED_STEP_BYTES = 22  # beside a hexadecimal digit for four tasks
RUN_NUMBERS_PER_TERM = 10_000  # run numbers increase with each term
MIN_START_LEASE = datetime.timedelta(milliseconds=1500)
_MS = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta()


class Phase(enum.Enum):
    """Phases of a run, from its assignment to its stop."""

    ASSIGNED = "assigned"  # recorded or staged, not sent yet
    STARTING = "starting"
    UNCERTAIN = "uncertain"  # the start order got no answer
    INHERITED = "inherited"  # an earlier scheduler may have started it
    AT_WORK = "at_work"
    STOPPING = "stopping"
    ENDED = "ended"  # detached; no order may be sent for it


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """Track one run of one task on a worker."""

    key: models.TaskKey
    number: int
    worker_id: str
    step: "StepState"
    _phase: Phase
    began_at: datetime.timedelta
    # From this time on an inventory without the run proves its absence.
    absence_valid_from: datetime.timedelta | None = None
    checkpoint: str = ""
    percent: float = 0.0
    progressed_at: datetime.timedelta = _ZERO
    reported_at: datetime.timedelta | None = None
    # The report after which the run was found neither stalled nor slow.
    examined_report: datetime.timedelta | None = None
    first_percent: float | None = None  # in its first inventory
    first_reported_at: datetime.timedelta | None = None
    is_remote: bool = False  # away from its data, or its gang spans racks
    is_inherited: bool = False  # began under an earlier scheduler
    is_resumed: bool = False  # started from a checkpoint
    has_lost_order: bool = False  # a start that may be carried out late
    gauge: float = 0.0
    pace: int = 100
    stop_reason: str = ""
    awaits_end: bool = False  # of an earlier run, before its start is sent
    awaits_view: bool = False  # of the operator's records, likewise

    @property
    def phase(self) -> Phase:
        """Return the phase; a coroutine may find it changed by others."""
        return self._phase

    @phase.setter
    def phase(self, phase: Phase) -> None:
        """Set the phase; an ended run stays ended."""
        if self._phase is not Phase.ENDED:
            self._phase = phase

    @property
    def name(self) -> str:
        """Return the task's name in orders to workers."""
        return str(self.key)

    def record_percent(self, percent: float, now: datetime.timedelta) -> None:
        """Record the progress that an inventory reports."""
        if self.first_percent is None:
            self.first_percent, self.first_reported_at = percent, now
        if percent != self.percent:
            self.percent, self.progressed_at = percent, now
        elif self.reported_at is None:
            self.progressed_at = now
        self.reported_at = now

    def percent_rate(self) -> float | None:
        """Return the percent per second between inventories, if known."""
        if self.first_percent is None or self.reported_at is None:
            return None
        span_s = (self.reported_at - self.first_reported_at).total_seconds()
        gained = self.percent - self.first_percent
        if span_s < MIN_RATE_SPAN_S or gained <= 0:
            return None
        return gained / span_s


@dataclasses.dataclass(slots=True, eq=False)
class StepState:
    """Track the tasks of one step of one occurrence."""

    job: "JobState"
    occurrence: int
    number: int
    model: models.Step
    waiting: index_set.IndexSet
    done: index_set.IndexSet = dataclasses.field(
        default_factory=index_set.IndexSet
    )
    runs_by_index: dict[int, Run] = dataclasses.field(default_factory=dict)
    failures_by_index: dict[int, tuple[int, ...]] = dataclasses.field(
        default_factory=dict
    )
    checkpoints_by_index: dict[int, str] = dataclasses.field(
        default_factory=dict
    )
    # The runs started in this term: the tasks that had one, and the number of
    # further ones. The members of a gang count as its first task.
    started: index_set.IndexSet = dataclasses.field(
        default_factory=index_set.IndexSet
    )
    restarts_by_index: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    moves_by_index: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )  # runs stopped to move because they were stalled or slow
    # Runs stopped for other work, where scheduling plans ahead.
    preemptions_by_index: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    # The workers, one entry a task, whose runs are expected to end in time,
    # these runs, and until when the step waits for such.
    awaited: tuple[str, ...] = ()
    awaited_runs: tuple[Run, ...] = ()
    awaits_until: datetime.timedelta | None = None
    retry_at: datetime.timedelta = _ZERO
    rests: resting.Rests = dataclasses.field(default_factory=resting.Rests)
    search_at: datetime.timedelta = _ZERO  # earliest next search for capacity
    is_deferred: bool = False  # its gang fails by itself and displaces nothing
    tickets_by_worker: dict[str, tuple[str, datetime.timedelta]] = (
        dataclasses.field(default_factory=dict)
    )
    # Workers that may not run the step, by the birth of the life asked about.
    barred_by_worker: dict[str, int] = dataclasses.field(default_factory=dict)
    # Number of a gang's run of which a member was refused; 0 if none was.
    refill_number: int = 0
    refill_until: datetime.timedelta = _ZERO

    @property
    def open_gang_number(self) -> int:
        """Return the number of the gang's run that lacks members; 0 if none.

        The members at work wait for a refused one, which may start elsewhere.
        """
        members = self.runs_by_index.values()
        is_open = bool(members) and all(
            member.number == self.refill_number
            and member.phase is not Phase.STOPPING
            for member in members
        )
        return self.refill_number if is_open else 0

    @property
    def is_done(self) -> bool:
        """Return whether every task has succeeded."""
        return len(self.done) == self.model.width

    def count_run(self, index: int) -> int:
        """Count a further run of a task in this term; return how many."""
        if index in self.started:
            self.restarts_by_index[index] += 1
        self.started.add(index)
        return 1 + self.restarts_by_index[index]

    def key(self, index: int) -> models.TaskKey:
        """Return the key of a task."""
        return models.TaskKey(
            self.job.job.job_id, self.occurrence, self.number, index
        )

    def stop_waiting(self) -> None:
        """Forget what the step awaited, as a task of it starts."""
        self.awaited, self.awaited_runs = (), ()
        self.awaits_until = None

    def unanswered_count(self) -> int:
        """Count the starts that wait to be sent or for their answers."""
        return sum(
            run.phase in (Phase.ASSIGNED, Phase.STARTING)
            for run in self.runs_by_index.values()
        )

    def has_ticket(self, worker_id: str, now: datetime.timedelta) -> bool:
        """Return whether the step may run on a worker, by valid advice."""
        _, until = self.tickets_by_worker.get(worker_id, ("", now))
        return until > now

    def is_barred(self, worker: "Worker") -> bool:
        """Return whether the step may not run on this life of a worker."""
        known = self.barred_by_worker.get(worker.worker_id)
        return known == worker.born_ms

    def advised_workers(self, now: datetime.timedelta) -> frozenset[str]:
        """Return the workers on which the step may run, by valid advice."""
        return frozenset(
            worker_id
            for worker_id in self.tickets_by_worker
            if self.has_ticket(worker_id, now)
        )

    def run_count_by_worker(self) -> collections.Counter[str]:
        """Count the step's runs on each worker."""
        return collections.Counter(
            run.worker_id for run in self.runs_by_index.values()
        )

    def checkpoint(self, index: int) -> str:
        """Return a task's checkpoint; a gang's tasks share one."""
        if self.model.is_gang:
            return max(self.checkpoints_by_index.values(), default="")
        return self.checkpoints_by_index.get(index, "")

    def progress(self) -> codec.StepProgress:
        """Return the step's durable state."""
        return codec.StepProgress(
            self.done.copy(),
            dict(self.failures_by_index),
            dict(self.checkpoints_by_index),
        )


@dataclasses.dataclass(slots=True, eq=False)
class JobState:
    """Track an accepted job until it ends."""

    job: models.Job
    accepted_at: datetime.timedelta
    # By occurrence and number: the steps of the occurrences that are open,
    # which is what is due or at work (module occurrences).
    steps_by_key: dict[tuple[int, int], StepState] = dataclasses.field(
        default_factory=dict
    )
    # The occurrences that are done. Their steps are forgotten once they have
    # no runs left.
    closed: ranges.Ranges = dataclasses.field(default_factory=ranges.Ranges)
    next_occurrence: int = 0  # those before it have been opened
    is_start_recorded: bool = False  # a worker has begun a task
    is_start_confirmed: bool = False  # a worker has confirmed a start
    final_state: str = ""
    # Computed by ordering and cached until objective_valid_until.
    objective: datetime.timedelta = _ZERO
    slack: datetime.timedelta = _ZERO  # the part of it that waiting may use
    objective_valid_until: datetime.timedelta = _ZERO
    is_cancelled: bool = False
    # The job's own queue follows the configuration (module queue_terms).
    accepted_queue: models.Queue = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        """Keep the terms under which the job was accepted."""
        self.accepted_queue = self.job.queue

    @property
    def runs(self) -> list[Run]:
        """Return all runs that may exist on workers."""
        return [
            run
            for step in self.steps_by_key.values()
            for run in step.runs_by_index.values()
        ]

    @property
    def is_done(self) -> bool:
        """Return whether every task of every occurrence has succeeded."""
        return len(self.closed) == self.job.occurrences

    def progress(self, ended_at: float) -> codec.Progress:
        """Return the job's durable state; of an ended job without steps.

        The steps that are done are listed one by one, as version 0.3.0 reads
        them, while that is short, and then in ranges.
        """
        if self.final_state:
            return codec.Progress(self.final_state, {}, ended_at)
        state = "running" if self.is_start_recorded else "queued"
        steps = {
            key: step.progress()
            for key, step in self.steps_by_key.items()
            if key[0] not in self.closed
            and (
                step.done
                or step.failures_by_index
                or step.checkpoints_by_index
            )
        }
        occurrence_bytes = sum(
            model.width // 4 + _LISTED_STEP_BYTES for model in self.job.steps
        )
        if len(self.closed) * occurrence_bytes > MAX_LISTED_BYTES:
            pairs = self.closed.pairs()
            done = dict.fromkeys(range(len(self.job.steps)), pairs)
            return codec.Progress(state, steps, ended_at, done)
        for occurrence in self.closed:
            for number, model in enumerate(self.job.steps):
                done_indexes = index_set.IndexSet.full(model.width)
                steps[occurrence, number] = codec.StepProgress(done_indexes)
        return codec.Progress(state, steps, ended_at)


class Worker:
    """Track a worker, its lease and the runs that it may have."""

    def __init__(self, address: fleet.Address, born_ms: int) -> None:
        """Create a worker whose clock is unknown."""
        self.address = address
        self.born_ms = born_ms
        self.listing: fleet.Listing | None = None
        self.listed_at = _ZERO
        # Of a listing withdrawn.
        self._last_rack: str | None = None
        self._last_data_centre: str | None = None
        self.is_evacuated = False  # its data centre, as of the last round
        self.runs_by_task: dict[str, Run] = {}
        # Done, but the record of it is held back: a successor must ask the
        # worker before it runs the task.
        self.unrecorded_by_task: dict[str, Run] = {}
        self.has_inventory = True
        self.unanswered_polls = 0  # since the last answer
        self.received_end = 0  # number of the last end processed
        self.applied_ends: set[int] = set()  # beyond it, after one that failed
        self.durable_end = 0  # last end whose effect is durable
        self.acknowledged_end = 0  # the worker may discard ends up to it
        self.commit: asyncio.Task | None = None  # of its ends, under way
        self.ended_job_ids: set[str] = set()  # of ends not yet durable
        # Runs were given up that may have ended before, as done even.
        self.has_unheard_ends = False
        self.given_up = given_up.GivenUpRuns()  # those of them that matter
        self.late_starts = late_starts.LateStarts()
        self.has_late_start_record = False
        # On its clock: the latest deadline that this scheduler has granted,
        # and the latest that may be in force, also by orders of others.
        self.granted_deadline_ms = 0
        self.lease_deadline_ms = 0
        # Until the worker is heard: when what others have granted, or what
        # was granted on an unknown clock, has certainly ended.
        self.lease_expires_at: datetime.timedelta | None = None
        self.unheard_lease = _ZERO  # the longest that an order may have left
        self.has_overlong_lease = False  # beyond what a successor counts
        self.former_token = 0  # of orders for former incarnations
        self.former_births: set[int] = set()
        self.doubted_birth = 0  # of an entry that may be of another one
        # Until this time, orders for a former incarnation may act on this one,
        # of which a successor has to know; None if there was none.
        self.doubt_ends_at: datetime.timedelta | None = None
        self.unreachable_since: datetime.timedelta | None = None
        self.heard_at: datetime.timedelta | None = None  # its last answer
        self.avoid_until = _ZERO
        self.refused_until = _ZERO  # the part of it that the worker asked for
        self.strikes = 0  # all that counts against it, in placements
        self.is_avoided_for_failures = False  # of runs, unless cleared
        self.own_strikes = 0  # refusals as unhealthy, slow or stalled runs
        self.lapses = 0  # of its leases, lately
        self.lapsed_at = _ZERO
        self.has_assignment_record = False
        self.is_polled = False
        self.poll_call: asyncio.Task | None = None  # to its incarnation
        self.poll_sent_at = _ZERO
        self.has_extended_poll = False  # with more time than usual
        # After this time the poll under way is late and proves no lease.
        self.poll_due_at: datetime.timedelta | None = None
        self._clock_ms = 0
        self._clock_at: datetime.timedelta | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.address.worker_id

    @property
    def rack(self) -> str | None:
        """Return the rack last listed; None if it was never listed."""
        return self.listing.rack if self.listing else self._last_rack

    @property
    def data_centre(self) -> str | None:
        """Return the data centre last listed; None if it was never listed."""
        if self.listing is not None:
            return self.listing.data_centre
        return self._last_data_centre

    def is_born_later(self, listing: fleet.Listing) -> bool:
        """Return whether a listing is that of a new incarnation."""
        return (
            listing.born_ms > self.born_ms
            and listing.born_ms not in self.former_births
        )

    def withdraw_listing(self) -> None:
        """Note that the directory has no entry any more."""
        self._last_rack = self.rack
        self._last_data_centre = self.data_centre
        self.listing = None

    @property
    def is_settled(self) -> bool:
        """Return whether nothing is left to hear or acknowledge."""
        is_acknowledged = self.acknowledged_end >= self.received_end
        is_silent = self.unreachable_since is not None
        return (
            not self.runs_by_task
            and not self.unrecorded_by_task
            and not self.given_up.runs_by_task
            and self.has_inventory
            and (is_acknowledged or is_silent)
        )

    def ask_for_ends(self, now: datetime.timedelta) -> None:
        """Let the worker be polled at once for ends of runs given up.

        A poll that has no connection yet shows nothing of its return.
        """
        is_connecting = now - self.poll_sent_at < fleet.CONNECT_TIMEOUT
        if self.poll_call and is_connecting and not self.given_up.is_asked:
            self.poll_call.cancel()
        self.given_up.open_question()

    def record_clock(self, clock_ms: int, now: datetime.timedelta) -> None:
        """Record a reading of the worker's clock."""
        if clock_ms >= self.clock_floor(now):
            self._clock_ms, self._clock_at = clock_ms, now

    def reset_clock(self) -> None:
        """Discard the clock reading of an earlier incarnation."""
        self._clock_ms, self._clock_at = 0, None

    def clock_floor(self, now: datetime.timedelta) -> float:
        """Return a time (ms) that the worker's clock has certainly reached."""
        if self._clock_at is None:
            return 0
        return self._clock_ms + (now - self._clock_at) / _MS * MIN_CLOCK_RATE

    @property
    def is_heard_again(self) -> bool:
        """Return whether the worker has answered since its leases lapsed."""
        return not self.lapses or self.has_answered_since(self.lapsed_at)

    def has_answered_since(self, earliest: datetime.timedelta) -> bool:
        """Return whether the worker's last answer is so young."""
        return self.heard_at is not None and self.heard_at > earliest

    def grant_lease(
        self, now: datetime.timedelta, lease: datetime.timedelta
    ) -> int:
        """Return a lease deadline on the worker's clock and record it.

        On an unknown clock it may be as far ahead as if the clock were new.
        """
        deadline = round(self.clock_floor(now) + lease / _MS)
        self.granted_deadline_ms = max(self.granted_deadline_ms, deadline)
        self.lease_deadline_ms = max(
            self.lease_deadline_ms, self.granted_deadline_ms
        )
        if self._clock_at is None:
            ends_at = now + self.lease_deadline_ms * _MS / MIN_CLOCK_RATE
            self.lease_expires_at = max(
                self.lease_expires_at or _ZERO, ends_at
            )
        return self.granted_deadline_ms

    def record_first_inventory(self, clock_ms: int) -> None:
        """Count the lease that an earlier order may have granted.

        From now on the worker refuses the orders of earlier schedulers, and
        those for former incarnations.
        """
        self.has_inventory = True
        deadline = round(clock_ms + self.unheard_lease / _MS)
        self.lease_deadline_ms = max(self.lease_deadline_ms, deadline)

    def bound_doubt(self, clock_ms: int, now: datetime.timedelta) -> None:
        """Let the doubt end, as no order for a former one is accepted now."""
        if self.doubt_ends_at == datetime.timedelta.max:
            self.record_first_inventory(clock_ms)
            self.doubt_ends_at = now + self.unheard_lease / MIN_CLOCK_RATE

    def grant_start_lease(self, now: datetime.timedelta) -> int:
        """Return a start's deadline, no later than the run needs.

        The order may get no answer, and then its task has to wait until the
        deadline. The poll that follows an answer extends the lease.
        """
        left = self.granted_deadline_ms - self.clock_floor(now)
        if left >= MIN_START_LEASE / _MS:
            return self.granted_deadline_ms
        return self.grant_lease(now, START_LEASE)

    def has_lease_expired(self, now: datetime.timedelta) -> bool:
        """Return whether every granted lease has expired."""
        if self.lease_expires_at is not None and now < self.lease_expires_at:
            return False
        if self._clock_at is None:
            return self.lease_expires_at is not None
        return self.clock_floor(now) > self.lease_deadline_ms

    def lease_left(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return when a silent worker's runs are given up, if known."""
        left = []
        if self.lease_expires_at is not None:
            left.append(self.lease_expires_at - now)
        clock_floor = self.clock_floor(now)
        if clock_floor:
            left_ms = self.lease_deadline_ms - clock_floor
            left.append(left_ms / MIN_CLOCK_RATE * _MS)
        return max(max(left), _ZERO) if left else None

    def used(self) -> models.Demand:
        """Return the runs' demand; filling tasks use only leftover cores."""
        cores = memory = accelerators = 0
        for run in self.runs_by_task.values():
            step = run.step.model
            if not step.is_filling:
                cores += step.demand.milli_cores
            memory += step.demand.memory_mb
            accelerators += step.demand.accelerators
        return models.Demand(cores, memory, accelerators)

    def assignment(self) -> codec.Assignment:
        """Return the durable record of the worker's runs.

        It names no incarnation while that is in doubt.
        """
        return codec.Assignment(
            self.address.host_port,
            self.born_ms if self.doubt_ends_at is None else 0,
            {
                name: run.number
                for runs_by_task in (
                    self.unrecorded_by_task,
                    self.runs_by_task,
                )
                for name, run in runs_by_task.items()
            },
            {
                name: run.number
                for name, run in self.given_up.runs_by_task.items()
            },
            self.has_late_start_record,
        )
