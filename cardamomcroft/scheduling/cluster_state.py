"""Track jobs, runs and workers, and record their durable state."""

import asyncio
import collections.abc
import dataclasses
import datetime

from cardamomcroft.evacuation import gate as gates
from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import avoidance
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import failures
from cardamomcroft.scheduling import journal as journals
from cardamomcroft.scheduling import lazy_modules
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import runs

# Other instances claim the role when the last record is older than
# candidate.HOLDER_TIMEOUT; a start that is begun within this shorter time of a
# record, and sent after a greeting at most, precedes any such claim.
MAX_CONFIRMATION_AGE = datetime.timedelta(seconds=1.0)
# The report of a stop's end and the start that follows: two calls to workers
# and an append to the store.
STOP_REPORT_TIME = datetime.timedelta(milliseconds=300)
MAX_DROPPED_WORKERS = 1_000  # a few megabytes
_MS = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingParameters:
    """Parameters from the workers' protocol, the settings and the term."""

    lease: datetime.timedelta
    # No lease reaches further beyond the last record of its scheduler.
    lease_horizon: datetime.timedelta
    max_hold: datetime.timedelta  # workers shorten any longer lease to this
    stop_bound: datetime.timedelta
    run_base: int  # run numbers of this term are above it
    retention: datetime.timedelta  # of ended jobs' records
    # Decide by what is expected to come: urgent work that begins only after
    # others have been stopped is late, where stops take long.
    plans_ahead: bool = False
    learns_run_times: bool = False  # only where it plans ahead
    # For guaranteed work to have started.
    reclaim: datetime.timedelta = datetime.timedelta(milliseconds=2700)

    @property
    def preemption_lead(self) -> datetime.timedelta:
        """Return the time from a stop order to the start in its place."""
        return self.stop_bound + STOP_REPORT_TIME

    @property
    def predecessor_lease(self) -> datetime.timedelta:
        """Return how long after a scheduler's last record runs may go on."""
        return self.lease_horizon / runs.MIN_CLOCK_RATE

    @property
    def dead_lease(self) -> datetime.timedelta:
        """Return how long after the end of a scheduler's process."""
        return self.lease / runs.MIN_CLOCK_RATE

    @property
    def reborn_lease(self) -> datetime.timedelta:
        """Return how long the orders for a former incarnation may act.

        If they are carried out late, their deadline is one of its clock and
        may be far ahead on the new one.
        """
        return self.max_hold / runs.MIN_CLOCK_RATE


class ClusterState:
    """Track jobs, runs and workers; stage their records in the journal."""

    def __init__(
        self,
        journal: journals.Journal,
        clock: base.Clock,
        log: events.Events,
        parameters: SchedulingParameters,
        gate: gates.Gate,
    ) -> None:
        """Create a state without jobs and workers."""
        self.journal = journal
        self.clock = clock
        self.log = log
        self.failures = failures.FailureLog(clock, log)
        self.avoidance = avoidance.Avoidance(clock, log)
        self.parameters = parameters
        self.gate = gate  # to pass before each start order
        self.jobs_by_id: dict[str, runs.JobState] = {}
        self.workers_by_id: dict[str, runs.Worker] = {}
        self.durations: estimates.RunTimes = estimates.Durations()
        if parameters.learns_run_times:
            learned = lazy_modules.load("cardamomcroft.runtimes.learned")
            self.durations = learned.LearnedRunTimes(self._listing_of)
        self.open_gangs: set[runs.StepState] = set()  # lack refused members
        self._raised_tokens_by_worker: dict[str, int] = {}
        # No longer tracked; orders for them may still be carried out.
        self._dropped_by_worker: dict[str, runs.Worker] = {}
        self.changed = asyncio.Event()
        self.is_closed = False  # the scheduler has ended
        self._tasks: set[asyncio.Task] = set()

    @property
    def token(self) -> int:
        """Return the fencing token."""
        return self.journal.claim.epoch + 1

    def token_for(self, worker: runs.Worker) -> int:
        """Return the fencing token of orders to a worker.

        After a restart it is higher than before, so that the new incarnation
        refuses what was meant for the former one. It exceeds no offset of this
        scheduler's records by more than one, so a successor's is higher.
        """
        worker_id = worker.worker_id
        token = self._raised_tokens_by_worker.get(worker_id, self.token)
        if token <= worker.former_token <= self.journal.newest_offset:
            token = worker.former_token + 1
            self._raised_tokens_by_worker[worker_id] = token
        return token

    def raise_token(self, worker: runs.Worker) -> None:
        """Let a worker refuse all earlier orders once it is heard again.

        Without a record that is newer than its token it has to keep that.
        """
        token = self.token_for(worker)
        if token <= self.journal.newest_offset:
            self._raised_tokens_by_worker[worker.worker_id] = token + 1

    def is_superseded(self, worker: runs.Worker, token: int) -> bool:
        """Return whether a worker that refused a token has a successor's.

        Another order may have brought a higher token of this scheduler.
        """
        newest = self._raised_tokens_by_worker.get(worker.worker_id)
        return token == (newest or self.token)

    @property
    def is_claim_confirmed(self) -> bool:
        """Return whether starts may be ordered under the claim."""
        age = self.clock.monotonic() - self.journal.confirmed_at
        is_held = not (self.journal.is_claim_lost or self.journal.is_released)
        return is_held and age < MAX_CONFIRMATION_AGE

    def spawn(self, coroutine: collections.abc.Coroutine) -> asyncio.Task:
        """Run a background task that is cancelled with the scheduler."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._reap)
        return task

    def _reap(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.log.emit("task_crashed", error=repr(task.exception()))

    def wake(self) -> None:
        """Request a scheduling round."""
        self.changed.set()

    def cancel_tasks(self) -> None:
        """Cancel all background tasks."""
        self.is_closed = True
        for task in list(self._tasks):
            task.cancel()

    def track(self, listing: fleet.Listing) -> runs.Worker:
        """Track a worker of the directory, with what is known of its past."""
        worker_id = listing.address.worker_id
        worker = self._dropped_by_worker.pop(worker_id, None)
        if worker is None:
            worker = runs.Worker(listing.address, listing.born_ms)
        # It is well, as far as its entry tells.
        worker.unreachable_since = None
        worker.avoid_until = _ZERO
        self.avoidance.record_success(worker)
        self.workers_by_id[worker_id] = worker
        return worker

    def drop(self, worker: runs.Worker) -> None:
        """Stop tracking a worker that has left the directory."""
        worker_id = worker.worker_id
        del self.workers_by_id[worker_id]
        if worker.has_assignment_record:
            worker.has_assignment_record = False
            key = ledgers.Kind.ASSIGNMENT.key(worker_id)
            self.journal.stage(key, None)
        self._dropped_by_worker[worker_id] = worker
        if len(self._dropped_by_worker) > MAX_DROPPED_WORKERS:
            self._dropped_by_worker.pop(next(iter(self._dropped_by_worker)))

    def find_task(self, name: str) -> tuple[runs.StepState, int] | None:
        """Return a task's step and index; None if its job is not tracked."""
        try:
            job_id, occurrence, number, index = name.rsplit(".", 3)
            state = self.jobs_by_id.get(job_id)
            if state is None:
                return None
            step = occurrences.find_step(state, int(occurrence), int(number))
            if step is None or not 0 <= int(index) < step.model.width:
                return None
            return step, int(index)
        except ValueError:
            return None

    def attach(self, run: runs.Run) -> None:
        """Add a run to its step and worker."""
        index = run.key.index
        run.step.waiting.discard(index)
        run.step.runs_by_index[index] = run
        self.workers_by_id[run.worker_id].runs_by_task[run.name] = run

    def _listing_of(self, worker_id: str) -> fleet.Listing | None:
        worker = self.workers_by_id.get(worker_id)
        return worker.listing if worker else None

    def observe_stopped(
        self, run: runs.Run, ended_at: datetime.timedelta
    ) -> None:
        """Learn from a run at work that is stopped or lost.

        An error in an estimate must not keep a run from being stopped.
        """
        if run.phase is not runs.Phase.AT_WORK:
            return
        try:
            self.durations.observe_stopped(run, ended_at - run.began_at)
        except Exception as error:
            self._report_unlearned(run, error)

    def observe_run(self, run: runs.Run, actual: datetime.timedelta) -> None:
        """Learn from an uninterrupted run that is done.

        An error in a learned estimate must not keep its end from counting.
        """
        if not self.parameters.learns_run_times:
            self.durations.observe_run(run, actual)
            return
        try:
            self.durations.observe_run(run, actual)
        except Exception as error:
            self._report_unlearned(run, error)

    def _report_unlearned(self, run: runs.Run, error: Exception) -> None:
        self.failures.report(
            "run_time_not_learned", run.key.job_id, repr(error)
        )

    def detach(self, run: runs.Run) -> None:
        """Remove a run that has certainly ended or was never sent."""
        was_sent = run.phase is not runs.Phase.ASSIGNED
        run.phase = runs.Phase.ENDED
        index = run.key.index
        step = run.step
        if step.runs_by_index.get(index) is run:
            del step.runs_by_index[index]
            if index not in step.done:
                step.waiting.add(index)
            if step.is_done:
                occurrences.close_if_done(step.job, step.occurrence)
        worker = self.workers_by_id.get(run.worker_id)
        if worker and worker.runs_by_task.get(run.name) is run:
            del worker.runs_by_task[run.name]
            if was_sent:
                self.keep_unrecorded(worker, (run,))
        if run.checkpoint:
            self.keep_checkpoint(run)
        self.wake()

    def keep_unrecorded(
        self,
        worker: runs.Worker,
        ended: collections.abc.Iterable[runs.Run],
    ) -> None:
        """Keep the runs of tasks whose success is not recorded yet."""
        for run in ended:
            is_done = run.key.index in run.step.done
            if is_done and self._is_held(run.step.job):
                worker.unrecorded_by_task[run.name] = run

    def keep_checkpoint(self, run: runs.Run) -> None:
        """Let the task's next run resume from a run's checkpoint."""
        step, index = run.step, run.key.index
        if index in step.done or not run.checkpoint:
            return
        if step.checkpoints_by_index.get(index) != run.checkpoint:
            step.checkpoints_by_index[index] = run.checkpoint
            self.stage_progress(step.job)

    def stage_progress(self, job: runs.JobState) -> None:
        """Stage the record of a job's progress for the next flush."""
        ended_at = self.clock.now().timestamp() if job.final_state else 0.0
        key = ledgers.Kind.PROGRESS.key(job.job.job_id)
        value = codec.encode_progress(job.progress(ended_at))
        was_held = self._is_held(job)
        self.journal.stage(key, value)
        if was_held and not self._is_held(job):
            self._forget_unrecorded(job)

    def _is_held(self, job: runs.JobState) -> bool:
        key = ledgers.Kind.PROGRESS.key(job.job.job_id)
        return self.journal.is_held(key)

    def _forget_unrecorded(self, job: runs.JobState) -> None:
        """Drop the job's ends, which the next flush records."""
        for worker in self.workers_by_id.values():
            for name, run in list(worker.unrecorded_by_task.items()):
                if run.step.job is job:
                    del worker.unrecorded_by_task[name]

    def record_lost_start(self, worker: runs.Worker) -> None:
        """Note, also for a successor, a start that may be carried out late."""
        worker.late_starts.record_lost(self.clock.monotonic())
        if not worker.has_late_start_record:
            worker.has_late_start_record = True
            self.stage_assignment(worker)

    def stage_assignment(self, worker: runs.Worker) -> None:
        """Stage the record of a worker's runs for the next flush."""
        key = ledgers.Kind.ASSIGNMENT.key(worker.worker_id)
        worker.has_assignment_record = True
        value = codec.encode_assignment(worker.assignment())
        self.journal.stage(key, value)

    def record_success(self, run_step: runs.StepState, index: int) -> None:
        """Record a task's success; a gang's tasks succeed together."""
        indexes = (
            range(run_step.model.width) if run_step.model.is_gang else (index,)
        )
        for number in indexes:
            run_step.done.add(number)
            run_step.waiting.discard(number)
            run_step.checkpoints_by_index.pop(number, None)
        job = run_step.job
        job.is_start_recorded = True
        if run_step.is_done:
            occurrences.close_if_done(job, run_step.occurrence)
        if job.is_done and not job.final_state:
            job.final_state = "completed"
            self.spawn(self.report_durable_end(job))
        self.stage_progress(job)
        self.wake()

    def record_failure(
        self,
        step: runs.StepState,
        index: int,
        number: int,
        is_late: bool = False,
    ) -> None:
        """Record a failed attempt; a gang fails as one.

        One of a run that was given up may be read after a later one.
        """
        index = 0 if step.model.is_gang else index
        known = step.failures_by_index.get(index)
        count, last, *counted = known or (0, 0)
        # Earlier versions recorded no numbers but the last.
        is_known = number in counted or len(counted) < count
        if number == last or (number < last and (is_known or not is_late)):
            return
        job = step.job
        has_failed = (
            count + 1 >= job.job.queue.max_attempts
            and not step.model.is_lasting
            and not job.final_state
        )
        if not step.model.is_lasting:  # which may fail without a limit
            counted.append(number)
        last = max(number, last)
        step.failures_by_index[index] = (count + 1, last, *counted)
        previous_state = job.final_state
        job.is_start_recorded = True
        if has_failed:
            job.final_state = "failed"
        try:
            self.stage_progress(job)
        except Exception:
            # The end will be listed again, and has to count then.
            if known is None:
                del step.failures_by_index[index]
            else:
                step.failures_by_index[index] = known
            job.final_state = previous_state
            raise
        if has_failed:
            self.log.emit(
                "job_failed",
                job_id=job.job.job_id,
                step=step.number,
                index=index,
                attempts=count + 1,
            )
            self.spawn(self.report_durable_end(job))
        self.wake()

    def record_silence(
        self, worker: runs.Worker, result: fleet.OrderResult
    ) -> None:
        """Give a worker that does not answer no starts and no longer lease."""
        if worker.unreachable_since is not None:
            return
        worker.unreachable_since = self.clock.monotonic()
        self.log.emit(
            "worker_lost",
            worker_id=worker.worker_id,
            status=result.status.value,
            detail=result.detail,
            runs=len(worker.runs_by_task),
        )

    def check_lease(
        self, worker: runs.Worker, deadline_ms: int | None, clock_ms: int
    ) -> None:
        """Report the first lease of an incarnation that exceeds the bound.

        A successor counts no longer one.
        """
        if deadline_ms is None or worker.has_overlong_lease:
            return
        lease = (deadline_ms - clock_ms) * _MS
        if lease > self.parameters.lease:
            worker.has_overlong_lease = True
            self.log.emit(
                "lease_overlong",
                worker_id=worker.worker_id,
                born_ms=worker.born_ms,
                lease_s=lease.total_seconds(),
                bound_s=self.parameters.lease.total_seconds(),
            )

    async def report_durable_end(self, job: runs.JobState) -> None:
        """Report a job's end once it is durable."""
        key = ledgers.Kind.PROGRESS.key(job.job.job_id)
        if not await self.journal.commit({key}):
            return
        took_s = (self.clock.monotonic() - job.accepted_at).total_seconds()
        queue, account = job.job.queue.name, job.job.account
        self.log.metrics.completions.labels(
            queue, account, job.final_state
        ).observe(took_s)
        objective = self.durations.objective(job.job)
        self.log.emit(
            "job_ended",
            job_id=job.job.job_id,
            state=job.final_state,
            took_s=took_s,
            objective_s=objective.total_seconds(),
        )

    def record_begun(self, job: runs.JobState) -> None:
        """Record that a worker has begun a task of the job.

        After an error the next report of its runs tries again.
        """
        if job.is_start_recorded or job.final_state:
            return
        job.is_start_recorded = True
        try:
            self.stage_progress(job)
        except Exception as error:
            job.is_start_recorded = False
            self.failures.report(
                "job_begin_failed", job.job.job_id, repr(error)
            )

    def record_first_start(self, job: runs.JobState) -> None:
        """Record a job's wait at its first confirmed start."""
        self.record_begun(job)
        if job.is_start_confirmed:
            return
        job.is_start_confirmed = True
        wait_s = (self.clock.monotonic() - job.accepted_at).total_seconds()
        labels = job.job.queue.name, job.job.account
        self.log.metrics.waits.labels(*labels).observe(wait_s)
