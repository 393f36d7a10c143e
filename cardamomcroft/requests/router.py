"""Route requests to backend servers and return complete answers."""

import dataclasses
import datetime
import random

import expression
import structlog

from cardamomcroft.charts import loading
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages as port_messages
from cardamomcroft.ports import verdict
from cardamomcroft.requests import admission as admissions
from cardamomcroft.requests import messages
from cardamomcroft.requests import retries
from cardamomcroft.state import models
from cardamomcroft.workers import allotment as allotments
from cardamomcroft.workers import avoidance as avoidances
from cardamomcroft.workers import fleet as fleets

INTENT_CONFIRM_TIMEOUT = datetime.timedelta(seconds=3)
INITIAL_AVOIDANCE = datetime.timedelta(seconds=1)  # after a worker's failure
MAX_AVOIDANCE = datetime.timedelta(minutes=1)  # of a silent worker
UNANSWERED = (verdict.Reason.TIMEOUT, verdict.Reason.UNAVAILABLE)

Outcome = expression.Result[messages.Reply, verdict.Failure]


class _RequestState:
    """Store the state that the request chart sets for one request."""

    state = ""


class Router:
    """Admit and dispatch requests, retry by verdict, and match answers."""

    def __init__(
        self,
        region: str,
        data_centre: str,
        replica: replicas.Replica,
        appender: appenders.Appender,
        workers: base.WorkerClient,
        membership: members.Membership,
        admission: admissions.Admission,
        allotment: allotments.Allotment,
        clock: base.Clock,
        metrics: base.Metrics,
        generator: random.Random,
    ) -> None:
        """Route to the region's workers; ``data_centre`` breaks ties."""
        self._region = region
        self._data_centre = data_centre
        self._replica = replica
        self._appender = appender
        self._workers = workers
        self._membership = membership
        self._admission = admission
        self._allotment = allotment
        self._clock = clock
        self._metrics = metrics
        self._generator = generator
        self._budget = retries.RetryBudget()
        self._fleet = fleets.Fleet()
        self._avoidance = avoidances.Avoidance(
            clock, INITIAL_AVOIDANCE, MAX_AVOIDANCE
        )
        self._logger = structlog.get_logger()

    async def run(self, request: messages.Request) -> Outcome:
        """Return the reply, or a failure with its verdict."""
        progress = _RequestState()
        chart = loading.load("request")
        chart.attach(progress)
        began = self._clock.monotonic()
        try:
            outcome = await self._run(request, progress)
        finally:
            chart.detach(progress)
        self._metrics.increment(f"requests.{progress.state}")
        self._metrics.timing(
            "requests.duration", self._clock.monotonic() - began
        )
        self._logger.debug(
            "request_ended",
            request_id=request.request_id,
            state=progress.state,
        )
        return outcome

    async def _run(
        self, request: messages.Request, progress: _RequestState
    ) -> Outcome:
        if request.key and not request.is_idempotent:
            repeated = await self._record_intent(request, progress)
            if repeated is not None:
                return repeated
        entered = await self._admission.acquire(request)
        if entered.is_error():
            await progress.refuse()
            outcome = expression.Error(entered.error)
        else:
            try:
                outcome = await self._run_with_retries(request, progress)
            finally:
                self._admission.release(request)
        if request.key and not request.is_idempotent:
            self._record_end(request, outcome)
        return outcome

    async def _record_intent(
        self, request: messages.Request, progress: _RequestState
    ) -> Outcome | None:
        """Return None if this request is the first with its key."""
        body = records.RequestIntended(
            request.request_id, request.account, request.caller, request.key
        )
        remaining = request.deadline - self._clock.monotonic()
        confirmed = await self._appender.confirm(
            body,
            appenders.Priority.START,
            min(remaining, INTENT_CONFIRM_TIMEOUT),
        )
        if confirmed.is_ok() and confirmed.ok.accepted:
            await progress.record()
            return None
        await progress.refuse()
        if confirmed.is_ok():
            return await self._answer_repeated(request, confirmed.ok)
        # Nothing was dispatched, whether or not the intent was recorded.
        if confirmed.error.verdict is verdict.Verdict.MAY_HAVE_RUN:
            self._record_end(request, expression.Error(_no_worker()))
        failure = dataclasses.replace(
            confirmed.error,
            verdict=verdict.Verdict.NOT_RUN,
            retry_after=appenders.RETRY_AFTER,
        )
        return expression.Error(failure)

    async def _answer_repeated(
        self, request: messages.Request, applied: models.Applied
    ) -> Outcome:
        if applied.reason != "repeated key":
            return expression.Error(
                verdict.not_run(
                    verdict.Reason.OVERLOADED,
                    applied.reason,
                    appenders.RETRY_AFTER,
                )
            )
        use = await self._wait_for_original(request)
        if use.outcome is verdict.Verdict.RAN:
            return expression.Ok(
                messages.Reply(use.entity_id, use.answer, "", tries=0)
            )
        return expression.Error(
            verdict.Failure(
                use.outcome,
                verdict.Reason.CONFLICT,
                f"idempotency key already used by request {use.entity_id}",
            )
        )

    async def _wait_for_original(
        self, request: messages.Request
    ) -> models.KeyUse:
        """Wait until the first request with the key ends, or the deadline."""
        key = models.CallerKey(request.account, request.caller, request.key)
        while True:
            use = self._replica.state.request_keys[key]
            remaining = request.deadline - self._clock.monotonic()
            has_ended = use.outcome is not verdict.Verdict.MAY_HAVE_RUN
            if has_ended or remaining <= datetime.timedelta():
                return use
            await clocks.within(
                self._clock, remaining, self._replica.changed()
            )

    def _record_end(self, request: messages.Request, outcome: Outcome) -> None:
        if outcome.is_ok():
            final_verdict, answer = verdict.Verdict.RAN, outcome.ok.body
        else:
            final_verdict, answer = outcome.error.verdict, ""
        self._appender.submit(
            records.RequestEnded(request.request_id, final_verdict, answer),
            appenders.Priority.BOOKKEEPING,
        )

    async def _run_with_retries(
        self, request: messages.Request, progress: _RequestState
    ) -> Outcome:
        self._budget.earn()
        failure = _no_worker()
        unknown = None
        for tries in range(1, retries.MAX_TRIES + 1):
            if tries > 1 and not await self._prepare_retry(request, tries):
                break
            fleet_worker = self._choose_worker()
            if fleet_worker is None:
                failure = _no_worker()
                continue
            if progress.state != "dispatched":
                await progress.dispatch()
            outcome = await self._dispatch(request, fleet_worker, tries)
            if outcome.is_ok():
                await progress.answer()
                return outcome
            failure = outcome.error
            if failure.verdict is verdict.Verdict.MAY_HAVE_RUN:
                unknown = failure
            if not retries.may_retry(failure, request.is_idempotent):
                break
        # A try that may have run decides the verdict, even if later ones
        # were refused.
        failure = unknown or failure
        if failure.verdict is verdict.Verdict.MAY_HAVE_RUN:
            await progress.lose()
        else:
            await progress.refuse()
        return expression.Error(failure)

    async def _prepare_retry(
        self, request: messages.Request, tries: int
    ) -> bool:
        delay = retries.backoff(tries - 1, self._generator)
        if self._clock.monotonic() + delay >= request.deadline:
            return False
        if not self._budget.spend():
            self._metrics.increment("requests.retry_budget_spent")
            return False
        self._metrics.increment("requests.retries")
        await self._clock.sleep(delay)
        return True

    def _choose_worker(self) -> fleets.FleetWorker | None:
        """Return the best worker with a free slot, or None.

        Workers without a recent failure come first, then those with the most
        free slots, then those in this data centre; ties are random.
        """
        candidates = [
            fleet_worker
            for worker_id, fleet_worker in self._fleet.region(
                self._replica.state, self._region
            ).items()
            if not self._membership.is_worker_leaving(worker_id)
            and self._allotment.free(fleet_worker) > 0
        ]
        if not candidates:
            return None
        self._generator.shuffle(candidates)
        return max(
            candidates,
            key=lambda fleet_worker: (
                not self._avoidance.is_avoided(fleet_worker.worker_id),
                self._allotment.free(fleet_worker),
                fleet_worker.data_centre == self._data_centre,
            ),
        )

    async def _dispatch(
        self,
        request: messages.Request,
        fleet_worker: fleets.FleetWorker,
        tries: int,
    ) -> Outcome:
        worker_id = fleet_worker.worker_id
        remaining = request.deadline - self._clock.monotonic()
        command = port_messages.Execute(
            request.request_id,
            request.account,
            request.body,
            remaining.total_seconds(),
        )
        self._allotment.acquire_slot(worker_id)
        try:
            result = await clocks.within(
                self._clock,
                remaining,
                self._workers.execute(worker_id, command),
            )
        finally:
            self._allotment.release_slot(worker_id)
        outcome = self._correlate(request, worker_id, result, tries)
        if outcome.is_ok():
            self._avoidance.record_answered(worker_id)
        else:
            self._record_failure(worker_id, outcome.error)
        return outcome

    def _correlate(
        self, request: messages.Request, worker_id: str, result, tries: int
    ) -> Outcome:
        if result is None:
            return expression.Error(
                verdict.may_have_run(
                    verdict.Reason.TIMEOUT,
                    "no answer from the backend server before the deadline",
                )
            )
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.request_id != request.request_id:
            self._metrics.increment("requests.crossed")
            return expression.Error(
                verdict.may_have_run(
                    verdict.Reason.REMOTE,
                    "backend server answered another request",
                )
            )
        return expression.Ok(
            messages.Reply(
                request.request_id, result.ok.body, worker_id, tries=tries
            )
        )

    def _record_failure(
        self, worker_id: str, failure: verdict.Failure
    ) -> None:
        if failure.reason is verdict.Reason.LEAVING:
            self._membership.mark_worker_leaving(worker_id)
        if failure.reason not in UNANSWERED:
            self._avoidance.record_answered(worker_id)
        self._avoidance.record_missed(worker_id)


def _no_worker() -> verdict.Failure:
    return verdict.not_run(
        verdict.Reason.OVERLOADED,
        "no backend server has a free slot",
        admissions.RETRY_AFTER,
    )
