"""Renew the workers' leases and apply their inventories."""

import asyncio
import datetime

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import restarts
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import stragglers

LONG_POLL_WAIT = datetime.timedelta(seconds=2)  # workers' maximum
# Three inventories of an urgent run show its rate (runs.MIN_RATE_SPAN_S)
# before a slow or hanging worker has made its caller late.
URGENT_POLL_WAIT = datetime.timedelta(milliseconds=600)
POLL_TIMEOUT = datetime.timedelta(milliseconds=700)
# Its answer may wait for those of others that return over the same link.
RETURN_TIMEOUT = datetime.timedelta(milliseconds=2800)
# Over a slow link a first answer waits for those of the other workers.
MAX_TIMEOUT_DOUBLINGS = 3
# A worker that is polled and well answers more often.
MAX_SILENCE = LONG_POLL_WAIT + POLL_TIMEOUT
# Of a worker that may carry out a start late: a restart is noticed in time.
WATCH_POLL_WAIT = datetime.timedelta(milliseconds=500)
RETRY_PAUSE = datetime.timedelta(milliseconds=200)
# Between polls of a worker whose runs were given up: only ends are awaited.
GIVEN_UP_PAUSE = datetime.timedelta(milliseconds=500)
MIN_PAUSE = datetime.timedelta(milliseconds=20)
SHORT_POLL_PAUSE = datetime.timedelta(milliseconds=60)
COMMIT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Of a worker that a successor has not heard yet, on a connection that has been
# greeted: its inventory has that long to arrive over a slow link, and a run on
# a dead worker waits no longer for it than for the leases of the predecessor.
FIRST_LEASE = datetime.timedelta(seconds=4)
# Near the horizon leases are short; the next poll has to renew them in time.
RENEWAL_MARGIN = datetime.timedelta(seconds=1)
_ZERO = datetime.timedelta()
_SILENT = frozenset(
    {fleet.OrderStatus.MAY_HAVE_RUN, fleet.OrderStatus.UNREACHED}
)


class WorkerPoller:
    """Poll workers that have runs, unacknowledged ends or no inventory."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        orders: order_senders.OrderSender,
        link: fleet.WorkerLink,
    ) -> None:
        """Poll over ``link`` and apply the answers to ``cluster``."""
        self._cluster = cluster
        self._orders = orders
        self._restarts = restarts.Restarts(
            cluster, orders, self.ensure_polling
        )
        self._link = link
        self._clock = cluster.clock
        self._log = cluster.log

    def ensure_polling(self, worker: runs.Worker) -> None:
        """Start polling a worker unless it is polled already."""
        if not worker.is_polled:
            worker.is_polled = True
            self._cluster.spawn(self._poll(worker))

    def handle_contact(self, worker: runs.Worker) -> None:
        """Poll a worker that has answered an order.

        A poll that was given more time may have been sent before it could
        answer, and would keep its lease from being renewed.
        """
        if worker.poll_call and worker.has_extended_poll:
            worker.poll_call.cancel()
        self.ensure_polling(worker)

    def apply_listing(
        self,
        worker: runs.Worker,
        listing: fleet.Listing,
        now: datetime.timedelta,
    ) -> None:
        """Apply a worker's directory listing."""
        if not worker.born_ms:
            worker.born_ms = listing.born_ms
            worker.reset_clock()
        elif worker.is_born_later(listing):
            self._restarts.handle_restart(worker, listing.born_ms)
        elif listing.born_ms != worker.born_ms:
            if listing.born_ms not in worker.former_births:
                self._restarts.handle_doubt(worker, listing)
            return
        worker.address = listing.address
        worker.listing = listing
        worker.listed_at = now
        worker.record_clock(listing.clock_ms, now)

    async def _poll(self, worker: runs.Worker) -> None:
        try:
            while self._needs_polling(worker):
                await self._poll_once(worker)
        finally:
            worker.is_polled = False

    def _needs_polling(self, worker: runs.Worker) -> bool:
        if self._cluster.workers_by_id.get(worker.worker_id) is not worker:
            return False
        return (
            _has_orders(worker)
            or worker.acknowledged_end < worker.received_end
            or not worker.has_inventory
            or (worker.has_unheard_ends and worker.listing is not None)
            or bool(worker.given_up.runs_by_task)
            or worker.late_starts.are_possible(self._clock.monotonic())
        )

    def _poll_wait(
        self, worker: runs.Worker, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long the worker may wait for a run to end."""
        phases = {run.phase for run in worker.runs_by_task.values()}
        unsettled_phases = {
            runs.Phase.UNCERTAIN,
            runs.Phase.INHERITED,
            runs.Phase.STOPPING,
        }
        if (
            not worker.has_inventory
            or worker.unreachable_since is not None
            or not worker.has_answered_since(now - MAX_SILENCE)
            or worker.acknowledged_end < worker.received_end
            or phases & unsettled_phases
        ):
            return _ZERO
        if worker.late_starts.are_known(now):
            return WATCH_POLL_WAIT
        if not worker.runs_by_task:
            is_watched = worker.late_starts.are_possible(now)
            return LONG_POLL_WAIT if is_watched else _ZERO
        if any(map(_is_rate_unknown, worker.runs_by_task.values())):
            return URGENT_POLL_WAIT
        return LONG_POLL_WAIT

    def _poll_timeout(self, worker: runs.Worker) -> datetime.timedelta:
        """Return how long the worker may be silent.

        Only a worker without an inventory gets more time after a poll that
        failed, and one with unread ends that was out of reach: any other is
        back sooner by the next poll.
        """
        timeout = POLL_TIMEOUT
        if not worker.has_inventory:
            doublings = min(worker.unanswered_polls, MAX_TIMEOUT_DOUBLINGS)
            timeout *= 2**doublings
        if worker.given_up.is_return_awaited:
            timeout = max(timeout, RETURN_TIMEOUT)
        return timeout

    def _lease_to_grant(
        self, worker: runs.Worker, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return for how long to extend the lease; zero for not at all.

        An unanswered call may have extended it, so a worker that has not
        answered lately is only asked for its inventory: otherwise its lease
        would outlast its death. One inherited is renewed by the first call.
        """
        is_silent = worker.unreachable_since is not None or (
            worker.has_inventory
            and not worker.has_answered_since(now - MAX_SILENCE)
        )
        journal = self._cluster.journal
        if is_silent or journal.is_released or not _has_orders(worker):
            return _ZERO
        if not (worker.born_ms or worker.has_inventory):
            return _ZERO  # its incarnation, and so its clock, is unknown
        parameters = self._cluster.parameters
        left = parameters.lease_horizon - (now - journal.confirmed_at)
        lease = min(parameters.lease, left)
        if not worker.has_inventory:
            lease = min(lease, FIRST_LEASE)
        return max(lease, _ZERO)

    async def _poll_once(self, worker: runs.Worker) -> None:
        now = self._clock.monotonic()
        wait = self._poll_wait(worker, now)
        lease = self._lease_to_grant(worker, now)
        deadline_ms = worker.grant_lease(now, lease) if lease else None
        if lease:
            wait = min(wait, max(lease - RENEWAL_MARGIN, SHORT_POLL_PAUSE))
        order = fleet.LeaseRenewal(
            self._cluster.token_for(worker),
            worker.durable_end,
            deadline_ms,
            wait,
            worker.born_ms,
        )
        result = await self._call(worker, order)
        if result is None or worker.born_ms != order.born_ms:
            return  # a listing has shown another incarnation meanwhile
        if isinstance(result, fleet.OrderResult):
            await self._handle_failed_poll(worker, order, result, now)
        elif result.born_ms != order.born_ms:
            self._apply_birth(worker, result)
        else:
            await self._apply_answer(worker, order, result, now)

    def _apply_birth(
        self, worker: runs.Worker, inventory: fleet.Inventory
    ) -> None:
        """Apply an answer of another incarnation than the one expected."""
        now = self._clock.monotonic()
        worker.unanswered_polls = 0
        if worker.born_ms:
            self._restarts.handle_restart(worker, inventory.born_ms)
        worker.born_ms = inventory.born_ms
        worker.reset_clock()
        worker.record_clock(inventory.clock_ms, now)

    async def _apply_answer(
        self,
        worker: runs.Worker,
        order: fleet.LeaseRenewal,
        inventory: fleet.Inventory,
        sent_at: datetime.timedelta,
    ) -> None:
        worker.unanswered_polls = 0
        worker.given_up.record_answer()
        now = self._clock.monotonic()
        is_relisted = worker.has_unheard_ends and worker.heard_at is None
        if _has_orders(worker) or not is_relisted:
            # Having listed old ends does not entitle a worker to a lease.
            worker.heard_at = now
        if order.token <= worker.former_token:
            # Orders for the former incarnation may still be carried out.
            await self._clock.sleep(RETRY_PAUSE)
            return
        if inventory.is_renewed:
            self._cluster.check_lease(
                worker, order.deadline_ms, inventory.clock_ms
            )
            worker.acknowledged_end = max(
                worker.acknowledged_end, order.acknowledged_end
            )
        self._apply_inventory(worker, inventory, sent_at)
        worker.bound_doubt(inventory.clock_ms, now)
        if worker.durable_end < worker.received_end:
            await self._wait_until_durable(worker)
        elif (
            order.wait == _ZERO
            or worker.applied_ends
            or not inventory.is_renewed
        ):
            await self._clock.sleep(SHORT_POLL_PAUSE)

    async def _call(
        self, worker: runs.Worker, order: fleet.LeaseRenewal
    ) -> fleet.Inventory | fleet.OrderResult | None:
        """Return the answer, or None if a new incarnation was listed."""
        timeout = self._poll_timeout(worker)
        call = asyncio.ensure_future(
            self._link.renew_lease(worker.address, order, timeout)
        )
        worker.poll_call = call
        worker.poll_sent_at = self._clock.monotonic()
        worker.has_extended_poll = timeout > POLL_TIMEOUT
        worker.poll_due_at = self._clock.monotonic() + order.wait + timeout
        try:
            await asyncio.wait({call})
        finally:
            worker.poll_due_at = None
            call.cancel()
        return None if call.cancelled() else call.result()

    async def _handle_failed_poll(
        self,
        worker: runs.Worker,
        order: fleet.LeaseRenewal,
        result: fleet.OrderResult,
        sent_at: datetime.timedelta,
    ) -> None:
        if result.status in _SILENT:
            worker.unanswered_polls += 1
        if result.status is fleet.OrderStatus.STALE_TOKEN:
            if self._cluster.is_superseded(worker, order.token):
                self._cluster.journal.lose_claim(
                    "worker has a newer fencing token"
                )
            return
        if (
            worker.unreachable_since is None
            and worker.late_starts.are_possible(self._clock.monotonic())
        ):
            self._cluster.raise_token(worker)
        self._cluster.record_silence(worker, result)
        if result.status is fleet.OrderStatus.OTHER_INCARNATION:
            self._restarts.handle_replacement(worker)
        worker.given_up.record_silence(sent_at, result.status)
        if worker.has_unheard_ends and not worker.runs_by_task:
            await self._wait_for_question(worker)
        else:
            await self._clock.sleep(self._retry_pause(worker))

    def _retry_pause(self, worker: runs.Worker) -> datetime.timedelta:
        """Return the pause before the next poll of a silent worker.

        The last one ends with the lease, so that the starts that follow need
        not ask again whether the worker is back.
        """
        left = worker.lease_left(self._clock.monotonic())
        next_but_one = RETRY_PAUSE + 2 * fleet.CONNECT_TIMEOUT
        if left is None or not fleet.CONNECT_TIMEOUT < left <= next_but_one:
            return RETRY_PAUSE
        return left - fleet.CONNECT_TIMEOUT

    async def _wait_for_question(self, worker: runs.Worker) -> None:
        """Wait until a start depends on the worker's ends, or for a pause."""
        await self._clock.sleep(MIN_PAUSE)
        question = worker.given_up.wait_for_question()
        await clocks.within(self._clock, GIVEN_UP_PAUSE, question)

    async def _wait_until_durable(self, worker: runs.Worker) -> None:
        """Wait briefly: a slow store must not delay lease renewal.

        The commit goes on: given up at each poll, it would never return when
        every append takes longer.
        """
        if worker.commit is None or worker.commit.done():
            worker.commit = self._cluster.spawn(self._commit_ends(worker))
        commit = asyncio.shield(worker.commit)
        await clocks.within(self._clock, COMMIT_TIMEOUT, commit)

    async def _commit_ends(self, worker: runs.Worker) -> None:
        target = worker.received_end
        job_ids, worker.ended_job_ids = worker.ended_job_ids, set()
        is_durable = False
        try:
            is_durable = await self._cluster.journal.commit(
                {ledgers.Kind.PROGRESS.key(job_id) for job_id in job_ids}
            )
        finally:
            # A new incarnation, which counts its ends anew, has dropped the
            # task.
            if worker.commit is asyncio.current_task():
                if is_durable:
                    worker.durable_end = max(worker.durable_end, target)
                else:
                    worker.ended_job_ids |= job_ids

    def _apply_inventory(
        self,
        worker: runs.Worker,
        inventory: fleet.Inventory,
        sent_at: datetime.timedelta,
    ) -> None:
        now = self._clock.monotonic()
        worker.record_clock(inventory.clock_ms, now)
        worker.lease_expires_at = None
        if worker.unreachable_since is not None:
            worker.unreachable_since = None
            self._log.emit("worker_regained", worker_id=worker.worker_id)
        if not worker.has_inventory:
            worker.record_first_inventory(inventory.clock_ms)
            self._cluster.wake()
        self._apply_ends(worker, inventory)
        # A run whose end could not be applied is not absent.
        listed = {
            (finished.task, finished.run)
            for finished in inventory.finished
            if finished.number > worker.received_end
        }
        is_whole = inventory.is_complete and not listed
        if is_whole and worker.given_up.is_current(sent_at):
            self._restarts.forget_given_up(worker)
        for running in inventory.running:
            listed.add((running.task, running.run))
            self._apply_running_task(worker, running, now)
        if not inventory.is_complete:
            return  # a run in neither list may be among the ends to come
        for run in list(worker.runs_by_task.values()):
            if (run.name, run.number) in listed:
                continue
            if (
                run.absence_valid_from is not None
                and sent_at >= run.absence_valid_from
            ):
                self._handle_absent_run(worker, run)

    def _apply_ends(
        self, worker: runs.Worker, inventory: fleet.Inventory
    ) -> None:
        """Apply the ends; one that fails is listed and applied again.

        Those after it are applied, but can't be acknowledged before it.
        """
        has_failed = False
        for finished in inventory.finished:
            number = finished.number
            if number <= worker.received_end:
                continue
            if number not in worker.applied_ends:
                if not self._try_apply_end(worker, finished):
                    has_failed = True
                    continue
                worker.applied_ends.add(number)
            if not has_failed:
                worker.applied_ends.remove(number)
                worker.received_end = number

    def _try_apply_end(
        self, worker: runs.Worker, finished: fleet.FinishedTask
    ) -> bool:
        """Apply an end; log an error instead of losing those after it."""
        try:
            self._handle_completion(worker, finished)
        except Exception as error:
            job_id = finished.task.partition(".")[0]
            self._cluster.failures.report("end_failed", job_id, repr(error))
            return False
        return True

    def _apply_running_task(
        self,
        worker: runs.Worker,
        running: fleet.RunningTask,
        now: datetime.timedelta,
    ) -> None:
        run = worker.runs_by_task.get(running.task)
        if run is None or run.number != running.run:
            self._orders.stop_orphan(worker, running.task, running.run)
            return
        if run.phase in (runs.Phase.UNCERTAIN, runs.Phase.INHERITED):
            self._log.emit(
                "run_adopted",
                task=run.name,
                run=run.number,
                worker_id=worker.worker_id,
                phase=run.phase.value,
            )
            run.is_inherited = run.phase is runs.Phase.INHERITED
            run.phase = runs.Phase.AT_WORK
            run.absence_valid_from = now
        self._cluster.record_begun(run.step.job)
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        run.record_percent(running.percent, now)
        run.gauge = running.gauge

    def _handle_absent_run(self, worker: runs.Worker, run: runs.Run) -> None:
        self._log.emit(
            "run_absent",
            task=run.name,
            run=run.number,
            worker_id=worker.worker_id,
            phase=run.phase.value,
        )
        self._cluster.detach(run)
        self._restarts.stop_gang_of(run, "gang member absent from inventory")

    def _handle_completion(
        self, worker: runs.Worker, finished: fleet.FinishedTask
    ) -> None:
        found = self._cluster.find_task(finished.task)
        self._log.emit(
            "run_ended",
            task=finished.task,
            run=finished.run,
            worker_id=worker.worker_id,
            end=finished.end.value,
            is_known=found is not None,
        )
        run = worker.runs_by_task.get(finished.task)
        is_current = run is not None and run.number == finished.run
        if is_current and finished.checkpoint:
            run.checkpoint = finished.checkpoint
        elif finished.end is not fleet.End.DONE:
            self._keep_late_checkpoint(worker, finished)
        if found is not None:
            worker.ended_job_ids.add(found[0].job.job.job_id)
            self._record_completion(worker, finished, *found)
        if is_current:
            self._cluster.detach(run)
            if finished.end is not fleet.End.DONE:
                self._restarts.stop_gang_of(run, finished.end.value)

    def _keep_late_checkpoint(
        self, worker: runs.Worker, finished: fleet.FinishedTask
    ) -> None:
        """Keep the checkpoint of a run given up, unless a later run began."""
        run = worker.given_up.runs_by_task.get(finished.task)
        if run is None or run.number != finished.run:
            return
        members = run.step.runs_by_index
        if not run.step.model.is_gang:
            later = members.get(run.key.index)
            members = {} if later is None else {run.key.index: later}
        if finished.checkpoint and all(
            member.phase is runs.Phase.ASSIGNED for member in members.values()
        ):
            run.checkpoint = finished.checkpoint
            self._cluster.keep_checkpoint(run)

    def _record_completion(
        self,
        worker: runs.Worker,
        finished: fleet.FinishedTask,
        step: runs.StepState,
        index: int,
    ) -> None:
        if finished.end is fleet.End.DONE:
            self._cluster.avoidance.record_success(worker)
            self._observe_duration(worker, finished, step)
            if not step.model.is_lasting:
                self._cluster.record_success(step, index)
                self._stop_other_runs(step, index, finished.run)
        elif finished.end is fleet.End.FAILED:
            self._cluster.avoidance.record_failure(worker, step)
            if step.model.is_lasting:
                self._rest(worker, finished, step, index)
            if index not in step.done:
                given_up = worker.given_up.runs_by_task.get(finished.task)
                is_late = given_up is not None and (
                    given_up.number == finished.run
                )
                self._cluster.record_failure(
                    step, index, finished.run, is_late
                )

    def _rest(
        self,
        worker: runs.Worker,
        finished: fleet.FinishedTask,
        step: runs.StepState,
        index: int,
    ) -> None:
        """Let a task that lasts rest if it fails soon after its starts."""
        now = self._clock.monotonic()
        run = worker.runs_by_task.get(finished.task)
        lived = _ZERO
        if run is not None and run.number == finished.run:
            lived = now - run.began_at
        index = 0 if step.model.is_gang else index
        until = step.rests.record_failure(index, finished.run, lived, now)
        if step.model.is_gang:
            step.retry_at = max(step.retry_at, until)

    def _stop_other_runs(
        self, step: runs.StepState, index: int, number: int
    ) -> None:
        """Stop the later runs of a task that is done; never send them.

        The members of the gang that is done end by themselves.
        """
        is_gang = step.model.is_gang
        run = step.runs_by_index.get(index)
        others = step.runs_by_index.values() if is_gang else [run]
        for other in list(others):
            if other is None or other.number == number:
                continue
            was_sent = other.phase is not runs.Phase.ASSIGNED
            self._orders.stop(other, "task is done")
            if not was_sent:
                # Or a successor would ask its worker for the task.
                worker = self._cluster.workers_by_id[other.worker_id]
                self._cluster.stage_assignment(worker)

    def _observe_duration(
        self,
        worker: runs.Worker,
        finished: fleet.FinishedTask,
        step: runs.StepState,
    ) -> None:
        run = worker.runs_by_task.get(finished.task)
        if (
            run is not None
            and run.phase is runs.Phase.AT_WORK
            and run.number == finished.run
            and not run.is_resumed
            and not run.is_remote
            and not run.is_inherited
        ):
            actual = self._clock.monotonic() - run.began_at
            self._cluster.observe_run(run, actual)

    def expire_leases(self) -> None:
        """Drop the runs of workers with expired leases that aren't heard."""
        now = self._clock.monotonic()
        for worker in list(self._cluster.workers_by_id.values()):
            if self._needs_polling(worker):
                self.ensure_polling(worker)
            self._restarts.end_doubt(worker, now)
            self._end_late_starts(worker, now)
            worker.given_up.prune()
            if not _is_unheard(worker, now):
                continue
            if not worker.has_lease_expired(now):
                continue
            had_runs = bool(worker.runs_by_task)
            if had_runs or not worker.has_inventory:
                worker.has_unheard_ends = True
            worker.has_inventory = True
            if had_runs:
                lost = list(worker.runs_by_task.values())
                worker.given_up.add(lost, now)
                self._restarts.drop_runs(worker, lost, "lease expired")
            has_ended_polling = not self._needs_polling(worker)
            if worker.avoid_until <= now and (had_runs or has_ended_polling):
                self._cluster.avoidance.record_lapse(worker)
                if has_ended_polling:
                    # The next start order is the probe.
                    worker.unreachable_since = None

    def _end_late_starts(
        self, worker: runs.Worker, now: datetime.timedelta
    ) -> None:
        if worker.has_late_start_record and not worker.late_starts.are_known(
            now
        ):
            worker.has_late_start_record = False
            self._cluster.stage_assignment(worker)


def _has_orders(worker: runs.Worker) -> bool:
    """Return whether a worker has runs of which it may know."""
    return any(
        run.phase is not runs.Phase.ASSIGNED
        for run in worker.runs_by_task.values()
    )


def _is_rate_unknown(run: runs.Run) -> bool:
    """Return whether an urgent run may still turn out slow or hanging."""
    step = run.step.model
    if step.is_lasting or step.is_filling or run.step.job.job.queue.priority:
        return False
    if run.reported_at is None:
        return True
    span = run.reported_at - run.first_reported_at
    return span < stragglers.STALL_TIMEOUT


def _is_unheard(worker: runs.Worker, now: datetime.timedelta) -> bool:
    """Return whether a worker is unreachable or its inventory is late.

    A slow transfer extends no lease, so it must not keep runs whose leases
    have expired.
    """
    if worker.unreachable_since is not None:
        return True
    return (
        bool(worker.runs_by_task)
        and worker.poll_due_at is not None
        and now > worker.poll_due_at
    )
