"""Decide for all workers while this instance holds the claim."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import traceback

from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import directory as directories
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import headroom as headrooms
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import journal as journals
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import replica as replicas
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import soundness
from cardamomcroft.scheduling import watching

# Gathers the events of one moment into one round; rounds that take long come
# less often, so that they leave three quarters of the processor.
ROUND_PAUSE = datetime.timedelta(milliseconds=20)
# Due times, lapses and orders without answers.
TICK = datetime.timedelta(milliseconds=100)
# Others claim after a silence of Candidate.SILENCE since the last record;
# an order that leaves within this time of one precedes any such claim.
PROOF_AGE = datetime.timedelta(seconds=1.0)
ADVISED_WORKERS = 30  # named in one call (rules: the chain counts 30)
STRIKE_LIMIT = 2  # failures in a row after which a worker is avoided
STRIKE_PAUSE = datetime.timedelta(seconds=3)
GANG_RETRY = datetime.timedelta(milliseconds=200)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Hold the bounds that the workers' protocol sets."""

    lease: datetime.timedelta
    max_grant_age: datetime.timedelta  # an isolated holder extends leases
    stop_bound: datetime.timedelta
    run_base: int  # run numbers of this term start above it


class Scheduler:
    """Turn accepted jobs into runs, and ends of runs into progress."""

    def __init__(
        self,
        replica: replicas.Replica,
        journal: journals.Journal,
        directory: directories.Directory,
        link: fleet.WorkerLink,
        clock: base.Clock,
        log: events.Events,
        terms: Terms,
        accounts: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        """Take over what the ledger says at the moment of the claim."""
        self._replica = replica
        self.journal = journal
        self._directory = directory
        self._clock = clock
        self._log = log
        self._terms = terms
        self._accounts = accounts
        self._link = link
        self.jobs_by_id: dict[str, runs.JobState] = {}
        self.workers_by_id: dict[str, runs.Worker] = {}
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._strays: set[str] = set()
        self.durations = estimates.Durations()
        self._headroom = headrooms.Headroom()
        self._holds = holding.Holds()
        self._reservations = reservations.Reservations()
        self._orders = order_senders.Orders(self, link, clock, log, terms)
        self._watch = watching.Watch(self, link, clock, log, terms)

    @property
    def _ledger(self) -> ledgers.Ledger:
        """Return the copy as it is now; a reload replaces it."""
        return self._replica.ledger

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self.journal.claim.epoch + 1

    def spawn(self, coroutine: collections.abc.Coroutine) -> None:
        """Run a task that ends with the scheduler."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._reap)

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self._log.emit("task_crashed", error=repr(task.exception()))

    def wake(self) -> None:
        """Ask for a round."""
        self._wake.set()

    async def run(self) -> None:
        """Decide until the claim is lost."""
        self._inherit()
        self.journal.on_lost = self.wake
        self.journal.describe_load = self._describe_load
        self._directory.on_change = self.wake
        self.spawn(self.journal.run())
        self.spawn(self._directory.run())
        try:
            while not self.journal.is_lost:
                began_at = self._clock.monotonic()
                self._round_or_report()
                took = self._clock.monotonic() - began_at
                await clocks.within(self._clock, TICK, self._wake.wait())
                if self._wake.is_set():
                    await self._clock.sleep(max(ROUND_PAUSE, took * 3))
                self._wake.clear()
        finally:
            for task in list(self._tasks):
                task.cancel()

    def count_jobs(self) -> collections.Counter[tuple[str, str]]:
        """Count the jobs that have not ended by queue and state."""
        return collections.Counter(
            (job.job.queue.name, "running" if job.has_begun else "queued")
            for job in self.jobs_by_id.values()
        )

    def _describe_load(self) -> dict[str, int]:
        return {}

    def note_news(self, news: list[tuple[ledgers.Kind, str]]) -> None:
        """Take in submissions and cancellations."""
        for kind, job_id in news:
            if kind is ledgers.Kind.SUBMISSION:
                self._admit(job_id)
            elif job_id in self.jobs_by_id:
                self.jobs_by_id[job_id].is_cancelled = True
        self.wake()

    def _admit(self, job_id: str) -> None:
        progress = self._ledger.progress_by_id.get(job_id)
        if progress and progress.state in ledgers.FINAL_STATES:
            return
        if job_id in self.jobs_by_id:
            return
        job = self._ledger.jobs_by_id[job_id]
        now = self._clock.monotonic()
        age = max(self._clock.now() - job.submitted_at, _ZERO)
        state = runs.make_job_state(job, progress, now - age)
        state.is_cancelled = job_id in self._ledger.cancelled_ids
        self.jobs_by_id[job_id] = state
        self._headroom.observe(job)

    def _inherit(self) -> None:
        for job_id in self._ledger.jobs_by_id:
            self._admit(job_id)
        latest: dict[str, tuple[int, str]] = {}
        for worker_id, known in self._ledger.assignments_by_worker.items():
            for name, number in known.runs_by_task.items():
                if number > latest.get(name, (0, ""))[0]:
                    latest[name] = (number, worker_id)
        now = self._clock.monotonic()
        for worker_id, known in self._ledger.assignments_by_worker.items():
            address = fleet.Address(worker_id, known.host_port)
            worker = runs.Worker(address, known.born_ms)
            worker.is_recorded = True
            worker.has_inventory = False
            worker.lapses_at = (
                now
                + self._terms.max_grant_age
                + self._terms.lease / runs.CLOCK_RATE
            )
            self.workers_by_id[worker_id] = worker
            for name, number in known.runs_by_task.items():
                if latest[name] == (number, worker_id):
                    self._inherit_run(worker, name, number)
            self._watch.ensure(worker)
        self._log.emit(
            "scheduler_started",
            epoch=self.journal.claim.epoch,
            term=self.journal.claim.term,
            jobs=len(self.jobs_by_id),
            workers=len(self.workers_by_id),
            offset=self._ledger.end_offset,
        )

    def _inherit_run(
        self, worker: runs.Worker, name: str, number: int
    ) -> None:
        found = self.find(name)
        if found is None:
            return
        step, index = found
        if index not in step.waiting:
            return
        now = self._clock.monotonic()
        run = runs.Run(
            step.key(index),
            number,
            worker.worker_id,
            step,
            runs.Phase.INHERITED,
            now,
        )
        run.checkpoint = step.checkpoint(index)
        run.settled_at = now
        self.attach(run)

    def find(self, name: str) -> tuple[runs.StepState, int] | None:
        """Return a task's step and index, if its job has not ended."""
        try:
            job_id, occurrence, number, index = name.rsplit(".", 3)
            state = self.jobs_by_id.get(job_id)
            if state is None:
                return None
            step = state.steps_by_key.get((int(occurrence), int(number)))
            return (step, int(index)) if step else None
        except ValueError:
            return None

    def attach(self, run: runs.Run) -> None:
        """Count a run at its step and worker."""
        index = run.key.index
        run.step.waiting.discard(index)
        run.step.runs_by_index[index] = run
        self.workers_by_id[run.worker_id].runs_by_task[run.name] = run

    def detach(self, run: runs.Run) -> None:
        """Forget a run that is gone for certain."""
        index = run.key.index
        step = run.step
        if step.runs_by_index.get(index) is run:
            del step.runs_by_index[index]
            if index not in step.done:
                step.waiting.add(index)
        worker = self.workers_by_id.get(run.worker_id)
        if worker and worker.runs_by_task.get(run.name) is run:
            del worker.runs_by_task[run.name]
        if run.checkpoint:
            self._keep_checkpoint(run)
        self.wake()

    def _keep_checkpoint(self, run: runs.Run) -> None:
        step, index = run.step, run.key.index
        if index in step.done or not run.checkpoint:
            return
        if step.checkpoints_by_index.get(index) != run.checkpoint:
            step.checkpoints_by_index[index] = run.checkpoint
            self.stage_progress(step.job)

    def stage_progress(self, job: runs.JobState) -> None:
        """Record a job's progress with the next batch."""
        ended_at = self._clock.now().timestamp() if job.final_state else 0.0
        value = codec.encode_progress(job.progress(ended_at))
        key = ledgers.Kind.PROGRESS.key(job.job.job_id)
        self.journal.stage(key, value)

    def stage_assignment(self, worker: runs.Worker) -> None:
        """Record what a worker may run with the next batch."""
        key = ledgers.Kind.ASSIGNMENT.key(worker.worker_id)
        worker.is_recorded = True
        value = codec.encode_assignment(worker.assignment())
        self.journal.stage(key, value)

    def _round_or_report(self) -> None:
        """Decide once; an error costs this round, not the role.

        A successor would meet the same error with the same records.
        """
        try:
            self._round()
        except Exception as error:
            self._log.emit(
                "round_crashed",
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )

    def _round(self) -> None:
        self._sync_workers()
        self._watch.check_lapses()
        self._orders.check_uncertain()
        self._end_jobs()
        self._move_suspects()
        situation = planning.Situation(
            list(self.jobs_by_id.values()),
            self.workers_by_id,
            self._clock.monotonic(),
            self._clock.now(),
            self._accounts(),
            self._reservations,
            self.durations,
            self._headroom,
            self._holds,
        )
        plan = planning.Planner(situation).plan()
        for stop in plan.stops:
            self._orders.stop(stop.run, stop.reason)
        for step in plan.advice_wanted:
            self._ask_advice(step)
        if plan.starts:
            self._assign(plan.starts)

    def _move_suspects(self) -> None:
        now = self._clock.monotonic()
        workers = self.workers_by_id.values()
        struck: set[runs.Worker] = set()
        for run, reason in soundness.suspects(workers, self.durations, now):
            if run.phase is not runs.Phase.AT_WORK:
                continue  # stopped with another member of its gang
            worker = self.workers_by_id[run.worker_id]
            self._log.emit(
                "run_moved",
                task=run.name,
                run=run.number,
                worker_id=run.worker_id,
                reason=reason,
                percent=run.percent,
                at_work_s=(now - run.began_at).total_seconds(),
            )
            if reason != "worker drains":
                run.step.moves_by_index[run.key.index] += 1
                struck.add(worker)
            if run.step.model.is_gang:
                self.stop_gang(run.step, reason)
            else:
                self._orders.stop(run, reason)
        for worker in struck:
            self.note_strike(worker)

    def _sync_workers(self) -> None:
        now = self._clock.monotonic()
        listings = self._directory.listings_by_id
        for worker_id, listing in listings.items():
            worker = self.workers_by_id.get(worker_id)
            if worker is None:
                worker = runs.Worker(listing.address, listing.born_ms)
                self.workers_by_id[worker_id] = worker
            if worker.listing is not listing:
                self._watch.note_listing(worker, listing, now)
        for worker_id, worker in list(self.workers_by_id.items()):
            if worker_id not in listings and self._directory.is_loaded:
                worker.listing = None
                if not worker.runs_by_task and worker.has_inventory:
                    del self.workers_by_id[worker_id]
                    if worker.is_recorded:
                        key = ledgers.Kind.ASSIGNMENT.key(worker_id)
                        self.journal.stage(key, None)

    def _end_jobs(self) -> None:
        for job_id, job in list(self.jobs_by_id.items()):
            if job.is_cancelled and not job.final_state:
                job.final_state = "cancelled"
                self._log.emit("job_cancelled", job_id=job_id)
                self.stage_progress(job)
                self.spawn(self._confirm_end(job))
            if job.final_state:
                self._stop_leftovers(job)
                if not job.runs:
                    del self.jobs_by_id[job_id]

    def _stop_leftovers(self, job: runs.JobState) -> None:
        for run in job.runs:
            # The members of a gang that is done end by themselves.
            if not run.step.is_done:
                self._orders.stop(run, job.final_state)

    async def _confirm_end(self, job: runs.JobState) -> None:
        if not await self.journal.commit():
            return
        took_s = (self._clock.monotonic() - job.accepted_at).total_seconds()
        queue, account = job.job.queue.name, job.job.account
        self._log.measures.completions.labels(
            queue, account, job.final_state
        ).observe(took_s)
        objective = self.durations.objective(job.job)
        self._log.emit(
            "job_ended",
            job_id=job.job.job_id,
            state=job.final_state,
            took_s=took_s,
            objective_s=objective.total_seconds(),
        )

    def note_first_start(self, job: runs.JobState) -> None:
        """Time how long a job has waited for its first start."""
        if job.has_started:
            return
        job.has_started = True
        wait_s = (self._clock.monotonic() - job.accepted_at).total_seconds()
        labels = job.job.queue.name, job.job.account
        self._log.measures.waits.labels(*labels).observe(wait_s)

    def _ask_advice(self, step: runs.StepState) -> None:
        if not step.is_asking:
            step.is_asking = True
            self.spawn(self._advise(step))

    async def _advise(self, step: runs.StepState) -> None:
        service = step.job.job.queue.service
        now = self._clock.monotonic()
        rooms = [
            room
            for worker in self.workers_by_id.values()
            if (room := planning.room_of(worker, now))
            and room.service == service
        ]
        rooms.sort(key=lambda room: -room.free.accelerators)
        ids = tuple(room.worker_id for room in rooms[:ADVISED_WORKERS])
        name = str(step.key(0)).rpartition(".")[0]
        advice = await self._link.advise(name, ids) if ids else None
        step.is_asking = False
        if advice is None:
            step.retry_at = self._clock.monotonic() + GANG_RETRY
            return
        until = now + advice.valid
        step.tickets_by_worker = {
            ticket.worker_id: (ticket.ticket, until)
            for ticket in advice.tickets
        }
        self.wake()

    def _assign(self, starts: list[planning.Start]) -> None:
        now = self._clock.monotonic()
        batch: list[runs.Run] = []
        gang_numbers: dict[runs.StepState, int] = {}
        for start in starts:
            step = start.step
            if not step.model.is_gang or step not in gang_numbers:
                step.runs_started += 1
            number = self._terms.run_base + step.runs_started
            gang_numbers[step] = number
            run = runs.Run(
                step.key(start.index),
                number,
                start.worker_id,
                step,
                runs.Phase.ASSIGNED,
                now,
            )
            run.checkpoint = step.checkpoint(start.index)
            run.is_resumed = bool(run.checkpoint)
            self.attach(run)
            batch.append(run)
        self._mark_far(batch)
        self._stage_starts(batch)
        self.spawn(self._launch(batch))

    def _mark_far(self, batch: list[runs.Run]) -> None:
        """Mark the runs that work at a distance and so take longer."""
        for run in batch:
            model = run.step.model
            rack = self.workers_by_id[run.worker_id].listing.rack
            if model.data_rack and rack != model.data_rack:
                run.is_far = True
            if model.is_rack_local:
                racks = {
                    self.workers_by_id[member.worker_id].listing.rack
                    for member in run.step.runs_by_index.values()
                }
                run.is_far = run.is_far or len(racks) > 1

    def _stage_starts(self, batch: list[runs.Run]) -> None:
        for worker_id in {run.worker_id for run in batch}:
            self.stage_assignment(self.workers_by_id[worker_id])
        for job in {run.step.job for run in batch}:
            if not job.has_begun:
                job.has_begun = True
                self.stage_progress(job)

    async def _launch(self, batch: list[runs.Run]) -> None:
        """Send the starts once their record proves the claim."""
        while True:
            if not await self.journal.commit():
                return
            age = self._clock.monotonic() - self.journal.proven_at
            if age < PROOF_AGE:
                break
        by_worker: dict[str, list[runs.Run]] = collections.defaultdict(list)
        for run in batch:
            by_worker[run.worker_id].append(run)
        for worker_id, assigned in by_worker.items():
            worker = self.workers_by_id.get(worker_id)
            if worker is not None:
                self.spawn(self._orders.start_all(worker, assigned))

    def stop_gang(self, step: runs.StepState, reason: str) -> None:
        """Stop all members of a gang that cannot run whole."""
        self._orders.stop_gang(step, reason)

    def stop_stray(self, worker: runs.Worker, task: str, number: int) -> None:
        """Stop a run that no step accounts for, once at a time."""
        name = f"{worker.worker_id} {task} {number}"
        if name in self._strays:
            return
        self._strays.add(name)

        async def stop() -> None:
            await self._orders.stop_stray(worker, task, number)
            self._strays.discard(name)

        self.spawn(stop())

    def ensure_watched(self, worker: runs.Worker) -> None:
        """Keep a worker's lease and read its ends."""
        self._watch.ensure(worker)

    def note_done(self, run_step: runs.StepState, index: int) -> None:
        """Count a task's success; a gang's tasks succeed together."""
        indexes = (
            range(run_step.model.width) if run_step.model.is_gang else (index,)
        )
        for number in indexes:
            run_step.done.add(number)
            run_step.waiting.discard(number)
            run_step.checkpoints_by_index.pop(number, None)
        job = run_step.job
        is_whole = all(step.is_done for step in job.steps_by_key.values())
        if is_whole and not job.final_state:
            job.final_state = "completed"
            self.spawn(self._confirm_end(job))
        self.stage_progress(job)
        self.wake()

    def note_failed(
        self, step: runs.StepState, index: int, number: int
    ) -> None:
        """Count an attempt that failed; a gang fails as one."""
        index = 0 if step.model.is_gang else index
        count, last = step.failures_by_index.get(index, (0, 0))
        if number <= last:
            return
        step.failures_by_index[index] = (count + 1, number)
        job = step.job
        if (
            count + 1 >= job.job.queue.max_attempts
            and not step.model.is_lasting
            and not job.final_state
        ):
            job.final_state = "failed"
            self._log.emit(
                "job_failed",
                job_id=job.job.job_id,
                step=step.number,
                index=index,
                attempts=count + 1,
            )
            self.spawn(self._confirm_end(job))
        self.stage_progress(job)
        self.wake()

    def note_strike(self, worker: runs.Worker) -> None:
        """Avoid a worker that fails what it starts, longer each time."""
        worker.strikes += 1
        if worker.strikes >= STRIKE_LIMIT:
            pause = STRIKE_PAUSE * min(worker.strikes - STRIKE_LIMIT + 1, 4)
            worker.avoid_until = self._clock.monotonic() + pause
            self._log.emit(
                "worker_avoided",
                worker_id=worker.worker_id,
                strikes=worker.strikes,
                seconds=pause.total_seconds(),
            )
