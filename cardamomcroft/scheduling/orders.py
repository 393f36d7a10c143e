"""Send start and stop orders to workers and handle their answers."""

import asyncio
import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import late_starts
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import observing

ORDER_TIMEOUT = datetime.timedelta(milliseconds=700)  # 30 round trips
# A start without an answer is sent once more: the first may be carried out
# late or never, and a worker starts the same run only once.
START_TIMEOUTS = (datetime.timedelta(milliseconds=400), ORDER_TIMEOUT)
STOP_RETRY_PAUSE = datetime.timedelta(milliseconds=250)
# An unanswered start may still appear in the worker's next inventory.
UNCERTAIN_START_TIMEOUT = datetime.timedelta(milliseconds=400)
STOP_MARGIN = datetime.timedelta(milliseconds=150)
REFUSAL_AVOID_DURATION = datetime.timedelta(milliseconds=300)
UNHEALTHY_AVOID_DURATION = datetime.timedelta(seconds=1)
# The other members wait at least 3 s for a refused one (protocol), but keep
# their capacity idle meanwhile.
GANG_REFILL_TIMEOUT = datetime.timedelta(seconds=1)
# Between two looks whether the operator's records have been read.
VIEW_PAUSE = datetime.timedelta(milliseconds=50)
EVACUATED = "data centre is evacuated"

Contact = collections.abc.Callable[[runs.Worker], None]
Status = fleet.OrderStatus
# After these answers the worker certainly does not run the task.
_REFUSED = frozenset(
    {
        Status.STALE_RUN,
        Status.EXPIRED,
        Status.NO_ROOM,
        Status.NO_TICKET,
        Status.UNHEALTHY,
        Status.OTHER_INCARNATION,
        Status.RESTARTED,
        Status.UNREACHED,
        Status.INVALID,
        Status.NOT_RUN,
    }
)
_SILENT = frozenset({Status.MAY_HAVE_RUN, Status.UNREACHED})


class OrderSender:
    """Start and stop runs by orders to their workers."""

    def __init__(
        self, cluster: cluster_state.ClusterState, link: fleet.WorkerLink
    ) -> None:
        """Send over ``link`` and apply the answers to ``cluster``."""
        self._cluster = cluster
        self._link = link
        self._clock = cluster.clock
        self._log = cluster.log
        self._orphans: set[tuple[str, str, int]] = set()
        self.on_contact: Contact = lambda worker: None

    async def start_all(
        self, worker: runs.Worker, assigned: list[runs.Run]
    ) -> None:
        """Start runs on one worker in sequence, as long as it answers.

        It is polled from the first answer on; until then a poll would have to
        grant a lease to a worker that may have died.
        """
        for run in assigned:
            if run.phase is not runs.Phase.ASSIGNED:
                continue
            if worker.unreachable_since is not None:
                self._withdraw(worker, run, "worker does not answer")
                continue
            if await self._start(worker, run):
                self.on_contact(worker)

    def _withdraw(
        self, worker: runs.Worker, run: runs.Run, reason: str
    ) -> None:
        """Let other workers run what a worker is not to start."""
        self._log.emit(
            "start_withdrawn",
            task=run.name,
            run=run.number,
            worker_id=worker.worker_id,
            reason=reason,
        )
        self._cluster.detach(run)
        # Or a successor would wait for the run.
        self._cluster.stage_assignment(worker)
        if run.step.model.is_gang:
            self._open_gang(worker, run)

    async def _start(self, worker: runs.Worker, run: runs.Run) -> bool:
        """Send a start; return False if it has been withdrawn instead."""
        if run.step.job.is_cancelled or run.step.job.final_state:
            self._cluster.detach(run)
            return True
        has_waited = await self._await_permission(run)
        if run.phase is not runs.Phase.ASSIGNED or has_waited is None:
            return True
        if reason := self._obstacle(worker, has_waited):
            self._withdraw(worker, run, reason)
            return False
        run.phase = runs.Phase.STARTING
        result = await self._order_start(worker, run)
        self._handle_start_result(worker, run, result)
        return True

    async def _await_permission(self, run: runs.Run) -> bool | None:
        """Wait for the claim and the gate; None if the claim is lost.

        Otherwise return whether the gate was closed.
        """
        has_waited = False
        # Earlier starts on this worker may have taken long to fail.
        while run.phase is runs.Phase.ASSIGNED:
            if not self._cluster.is_claim_confirmed:
                if not await self._cluster.journal.commit(frozenset()):
                    return None
            elif not self._cluster.gate.is_open:
                has_waited = True
                await self._pause_for_view(run)
            else:
                break
        return has_waited

    def _obstacle(self, worker: runs.Worker, has_waited: bool) -> str:
        """Return why a planned start is not to be sent; empty if it is."""
        if self._is_evacuated(worker):
            return EVACUATED
        # The gate may stay closed for long, while a worker begins to drain.
        now = self._clock.monotonic()
        if has_waited and not capacities.is_usable(worker, now):
            return "worker gets no new tasks"
        return ""

    async def _pause_for_view(self, run: runs.Run) -> None:
        run.awaits_view = True
        try:
            await self._clock.sleep(VIEW_PAUSE)
        finally:
            run.awaits_view = False

    def _is_evacuated(self, worker: runs.Worker) -> bool:
        return self._cluster.gate.is_evacuated(worker.data_centre)

    async def _order_start(
        self, worker: runs.Worker, run: runs.Run
    ) -> fleet.OrderResult:
        may_have_run = False
        for timeout in START_TIMEOUTS:
            order = self._start_order(worker, run)
            result = await self._link.start(worker.address, order, timeout)
            if result.status is Status.MAY_HAVE_RUN:
                self._cluster.record_lost_start(worker)
                self._log_unanswered(worker, order)
            is_current = worker.born_ms == order.born_ms
            if is_current:
                self._record_contact(worker, order, result)
            result = self._resolve_stale_token(worker, order, result)
            if result.status in _REFUSED and may_have_run:
                # The unanswered order may still be carried out.
                result = fleet.OrderResult(
                    Status.MAY_HAVE_RUN, result.clock_ms, result.detail
                )
                break
            if (
                result.status not in _SILENT
                or run.phase is not runs.Phase.STARTING
                or not self._cluster.is_claim_confirmed
                or not self._cluster.gate.is_open
                or self._is_evacuated(worker)
            ):
                break
            may_have_run = result.status is Status.MAY_HAVE_RUN
            run.has_lost_order = run.has_lost_order or may_have_run
        if is_current and result.clock_ms is None:
            if result.status in _SILENT:
                self._cluster.record_silence(worker, result)
        return result

    def _log_unanswered(
        self, worker: runs.Worker, order: fleet.StartOrder
    ) -> None:
        """Log a start that may act later, and what will refuse it."""
        self._log.emit(
            "start_unanswered",
            task=order.task,
            run=order.run,
            worker_id=worker.worker_id,
            born_ms=order.born_ms,
            token=order.token,
            may_act_s=late_starts.LATE_START_BOUND.total_seconds(),
        )

    def _record_contact(
        self,
        worker: runs.Worker,
        order: fleet.StartOrder,
        result: fleet.OrderResult,
    ) -> None:
        """Record what a start shows of the incarnation that it is for."""
        now = self._clock.monotonic()
        if result.clock_ms is not None:
            worker.record_clock(result.clock_ms, now)
            worker.heard_at = now
            self._cluster.check_lease(
                worker, order.deadline_ms, result.clock_ms
            )
        elif result.status is Status.RESTARTED:
            worker.has_inventory = False  # a poll shows the new incarnation

    def _resolve_stale_token(
        self,
        worker: runs.Worker,
        order: fleet.StartOrder,
        result: fleet.OrderResult,
    ) -> fleet.OrderResult:
        """Return the outcome of a start that a later order may have fenced."""
        if (
            result.status is not Status.STALE_TOKEN
            or self._cluster.is_superseded(worker, order.token)
        ):
            return result
        return fleet.OrderResult(Status.NOT_RUN, detail="token raised")

    def _start_order(
        self, worker: runs.Worker, run: runs.Run
    ) -> fleet.StartOrder:
        ticket, _ = run.step.tickets_by_worker.get(
            worker.worker_id, ("", None)
        )
        now = self._clock.monotonic()
        return fleet.StartOrder(
            run.name,
            run.number,
            run.step.job.job.payload,
            worker.grant_start_lease(now),
            self._cluster.token_for(worker),
            run.checkpoint,
            ticket,
            worker.born_ms,
        )

    def _handle_start_result(
        self, worker: runs.Worker, run: runs.Run, result: fleet.OrderResult
    ) -> None:
        now = self._clock.monotonic()
        self._log.emit(
            "start_ordered",
            task=run.name,
            run=run.number,
            worker_id=worker.worker_id,
            outcome=result.status.value,
            epoch=self._cluster.journal.claim.epoch,
        )
        if run.phase is runs.Phase.STOPPING:
            return
        if result.status is Status.DONE:
            if run.phase is runs.Phase.STARTING:
                run.phase = runs.Phase.AT_WORK
            run.began_at = run.progressed_at = now
            run.absence_valid_from = now
            self._cluster.record_first_start(run.step.job)
        elif result.status is Status.STALE_TOKEN:
            self._cluster.journal.lose_claim(
                "worker has a newer fencing token"
            )
        elif result.status in _REFUSED:
            self._handle_refusal(worker, run, result)
        elif run.phase is runs.Phase.STARTING:
            run.phase = runs.Phase.UNCERTAIN
            run.began_at = now

    def _handle_refusal(
        self, worker: runs.Worker, run: runs.Run, result: fleet.OrderResult
    ) -> None:
        avoidance = self._cluster.avoidance
        if result.status is Status.UNHEALTHY:
            avoidance.record_refusal(worker, UNHEALTHY_AVOID_DURATION)
            avoidance.record_strike(worker)
        elif result.status is Status.NO_TICKET:
            run.step.tickets_by_worker.pop(worker.worker_id, None)
        elif result.status is not Status.STALE_RUN:
            avoidance.record_refusal(worker, REFUSAL_AVOID_DURATION)
        if run.phase is runs.Phase.ENDED:
            return
        run.checkpoint = ""
        self._cluster.detach(run)
        if run.step.model.is_gang:
            self._open_gang(worker, run)

    def _open_gang(self, worker: runs.Worker, refused: runs.Run) -> None:
        """Let another worker run the refused member of a gang."""
        step = refused.step
        if step.refill_number != refused.number:
            step.refill_number = refused.number
            step.refill_until = self._clock.monotonic() + GANG_REFILL_TIMEOUT
        if not step.open_gang_number:
            self.stop_gang(step, "gang member's start order refused")
            return
        self._cluster.open_gangs.add(step)
        # Or a successor could look for the member at this worker.
        self._cluster.stage_assignment(worker)

    def stop_open_gangs(self) -> None:
        """Stop the gangs whose refused members found no other worker."""
        now = self._clock.monotonic()
        for step in list(self._cluster.open_gangs):
            if not step.waiting or not step.open_gang_number:
                self._cluster.open_gangs.discard(step)
            elif now >= step.refill_until:
                self._cluster.open_gangs.discard(step)
                self.stop_gang(step, "gang member's start order refused")

    def stop_gang(self, step: runs.StepState, reason: str) -> None:
        """Stop all members of a gang that cannot run completely."""
        for run in list(step.runs_by_index.values()):
            if run.phase is not runs.Phase.STOPPING:
                self.stop(run, reason)

    def stop(self, run: runs.Run, reason: str) -> None:
        """Stop a run, repeating the order until the worker confirms it."""
        if run.phase in (runs.Phase.STOPPING, runs.Phase.ENDED):
            return
        if run.phase is runs.Phase.ASSIGNED:
            run.stop_reason = reason
            self._cluster.detach(run)
            return
        run.stop_reason = reason
        self._cluster.observe_stopped(run, self._clock.monotonic())
        run.phase = runs.Phase.STOPPING
        run.absence_valid_from = None
        self._cluster.spawn(self._stop(run))
        if self._cluster.parameters.plans_ahead:
            observing.record_stop(
                self._log.metrics, run, reason, self._clock.monotonic()
            )

    async def _stop(self, run: runs.Run) -> None:
        """Order a run to stop until the worker confirms it."""
        while run.phase is not runs.Phase.ENDED:
            try:
                if await self._try_stop(run):
                    return
            except (Exception, asyncio.CancelledError) as error:
                if self._cluster.is_closed:
                    raise
                self._cluster.failures.report(
                    "stop_failed", run.key.job_id, repr(error)
                )
            await self._clock.sleep(STOP_RETRY_PAUSE)

    async def _try_stop(self, run: runs.Run) -> bool:
        """Order a run to stop once; return whether to leave it at that."""
        worker = self._cluster.workers_by_id[run.worker_id]
        token = self._cluster.token_for(worker)
        result = await self._link.stop(
            worker.address, run.name, run.number, token, ORDER_TIMEOUT
        )
        if result.status is Status.STALE_TOKEN:
            if not self._cluster.is_superseded(worker, token):
                return False
            self._cluster.journal.lose_claim(
                "worker has a newer fencing token"
            )
            return True
        if result.status is not Status.DONE:
            return False
        now = self._clock.monotonic()
        run.absence_valid_from = (
            now + self._cluster.parameters.stop_bound + STOP_MARGIN
        )
        self.on_contact(worker)
        self._log.emit(
            "stop_ordered",
            task=run.name,
            run=run.number,
            worker_id=run.worker_id,
            reason=run.stop_reason,
        )
        return True

    def stop_orphan(self, worker: runs.Worker, task: str, number: int) -> None:
        """Stop a run that belongs to no step, with one order at a time."""
        orphan = worker.worker_id, task, number
        if orphan not in self._orphans:
            self._orphans.add(orphan)
            self._cluster.spawn(self._stop_orphan(worker, task, number))

    async def _stop_orphan(
        self, worker: runs.Worker, task: str, number: int
    ) -> None:
        try:
            result = await self._link.stop(
                worker.address,
                task,
                number,
                self._cluster.token_for(worker),
                ORDER_TIMEOUT,
            )
        finally:
            # Repeated while the run is in the worker's inventory.
            self._orphans.discard((worker.worker_id, task, number))
        self._log.emit(
            "stray_stopped",
            task=task,
            run=number,
            worker_id=worker.worker_id,
            outcome=result.status.value,
        )

    def stop_unanswered_starts(self) -> None:
        """Stop runs whose start got no answer and that are in no inventory."""
        now = self._clock.monotonic()
        for worker in self._cluster.workers_by_id.values():
            for run in list(worker.runs_by_task.values()):
                if (
                    run.phase is runs.Phase.UNCERTAIN
                    and now - run.began_at > UNCERTAIN_START_TIMEOUT
                ):
                    if run.step.model.is_gang:
                        self.stop_gang(
                            run.step, "gang member's start order unanswered"
                        )
                    else:
                        self.stop(run, "start order unanswered")
