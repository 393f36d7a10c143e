"""Serve client calls: submit, query and cancel jobs, count pending ones."""

import asyncio
import collections.abc
import dataclasses
import datetime
import random
import re

from aiohttp import web

from cardamomcroft.platform import submissions
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.relaying import base as relaying
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import configuration_view
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import footprint
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import node as nodes
from cardamomcroft.scheduling import outage_waits
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.sharing import refusals

JOB_ID = re.compile(r"[0-9a-f]{16}\Z", re.IGNORECASE)
APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
# Several round trips to the store, for clients that hardly wait.
MIN_APPEND_TIMEOUT = datetime.timedelta(milliseconds=50)
RETRY_PAUSE = datetime.timedelta(milliseconds=100)
# Two time-outs of a peer: a query after a refresh that failed is forwarded
# even if less is left, as peers that have the store answer at once.
MIN_QUERY_TIME = datetime.timedelta(milliseconds=1600)
# Covers two consecutive reads from a slow store, which takes 250 ms for each.
REFRESH_TIMEOUT = datetime.timedelta(milliseconds=600)
DEFAULT_CLIENT_TIMEOUT = datetime.timedelta(seconds=3)
# Reserved for the reply to reach the client before its timeout.
ANSWER_MARGIN = datetime.timedelta(milliseconds=300)
# Jobs end within seconds to minutes, and their estimates with them.
MEMORY_RETRY_S = 15
# Cancellations of unknown jobs expire all the time, after some minutes.
UNMATCHED_RETRY_S = 15
# The protocol allows pending counts to be up to two seconds old.
MAX_REPLICA_AGE = datetime.timedelta(seconds=2)


class _VersionedForwarder(relaying.Forwarder):
    """Let no call meet an older configuration than one before it."""

    def __init__(
        self,
        forwarder: relaying.Forwarder,
        config: configuration_view.ConfigurationView,
    ) -> None:
        self._forwarder = forwarder
        self._config = config

    async def forward(self, call: relaying.Call) -> relaying.Reply | None:
        """Forward to peers with this configuration or a newer one."""
        reply = await self._forwarder.forward(
            dataclasses.replace(call, config_version=self._config.version)
        )
        if reply is not None:
            self._config.require(reply.config_version)
        return reply


class Ingress(relaying.Answerer):
    """Handle calls from clients and calls forwarded by other instances."""

    def __init__(
        self,
        node: nodes.Node,
        target: store.Store,
        config: configuration_view.ConfigurationView,
        clock: base.Clock,
        log: events.Events,
        forwarder: relaying.Forwarder,
        rng: random.Random,
        memory_for_jobs: collections.abc.Callable[[], int | None],
        plans_ahead: bool = False,
    ) -> None:
        """Serve from the node's replica; forward calls without the store.

        ``memory_for_jobs`` returns the bytes that all jobs together may need
        on the smallest instance, None if no limit is known. If the scheduler
        plans ahead, its forecasts are by account.
        """
        self._node = node
        self._store = target
        self._config = config
        self._clock = clock
        self._log = log
        self._forwarder = _VersionedForwarder(forwarder, config)
        self._rng = rng
        self._memory_for_jobs = memory_for_jobs
        self._plans_ahead = plans_ahead
        self._started_at = clock.monotonic()
        self.is_leaving = False
        self.in_flight = 0
        self.last_call_at = clock.monotonic()

    @property
    def is_ready(self) -> bool:
        """Return whether new clients can be served."""
        return (
            not self.is_leaving
            and self._config.current is not None
            and self._node.replica.is_loaded
            and self._node.replica.age is not None
            and self._node.replica.is_reachable
        )

    async def handle_ready(self, request: web.BaseRequest) -> web.Response:
        """Answer the readiness probe."""
        return web.Response(status=200 if self.is_ready else 503)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle a client's call; close the connection when leaving."""
        self.in_flight += 1
        began_at = self.last_call_at = self._clock.monotonic()
        try:
            reply = await self._read_and_answer(request)
        finally:
            self.in_flight -= 1
        took_s = (self._clock.monotonic() - began_at).total_seconds()
        labels = request.method, reply.status
        self._log.metrics.requests.labels(*labels).observe(took_s)
        response = _make_response(reply)
        if self.is_leaving:
            response.force_close()
        return response

    async def _read_and_answer(
        self, request: web.BaseRequest
    ) -> relaying.Reply:
        call = _make_call(request)
        began_at = self._clock.monotonic()
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            limit = request.client_max_size
            reason = f"body is over the limit of {limit} bytes"
            return self._refuse(call, 413, reason)
        call = self._deduct_time(call, began_at)
        return await self._answer_or_forward(
            dataclasses.replace(call, body=body)
        )

    def _deduct_time(
        self, call: relaying.Call, began_at: datetime.timedelta
    ) -> relaying.Call:
        """Return the call with the time left to its client."""
        took = self._clock.monotonic() - began_at
        return dataclasses.replace(call, timeout=call.timeout - took)

    async def _answer_or_forward(self, call: relaying.Call) -> relaying.Reply:
        """Answer the call, or forward it if this instance lacks the store."""
        began_at = self._clock.monotonic()
        if not self._lacks_store():
            reply = await self._answer(call, self._forwarder)
            # _append has already tried to forward a change.
            if call.is_change or not reply.lacks_store:
                return reply
            left = self._deduct_time(call, began_at).timeout
            timeout = max(left, min(call.timeout, MIN_QUERY_TIME))
            call = dataclasses.replace(call, timeout=timeout)
            return await self._forwarder.forward(call) or reply
        reply = await self._forwarder.forward(call)
        if reply is not None:
            return reply
        call = self._deduct_time(call, began_at)
        return await self._answer(call, relaying.NoForwarder())

    async def answer(self, call: relaying.Call) -> relaying.Reply:
        """Answer a call forwarded by another instance; never forward it."""
        self._config.require(call.config_version)
        if self._lacks_store():
            return relaying.Reply(503, lacks_store=True)
        version = self._config.version
        reply = await self._answer(call, relaying.NoForwarder())
        return dataclasses.replace(reply, config_version=version)

    def _lacks_store(self) -> bool:
        """Return whether the configuration or the jobs may be out of date."""
        return (
            self._config.current is None
            or self._config.is_stale
            or not self._node.replica.is_loaded
            or not self._node.replica.is_reachable
        )

    async def _answer(
        self, call: relaying.Call, forwarder: relaying.Forwarder
    ) -> relaying.Reply:
        config = self._config.current
        if config is None:
            return self._refuse(call, 503, "configuration not loaded yet")
        if self._config.is_stale:
            return self._refuse(call, 503, "configuration is stale")
        route = config.route(call.host, call.path)
        if route is None:
            return self._refuse(call, 404, "no queue for this host and path")
        account = config.accounts_by_key.get(call.key)
        if account is None and not route.is_public:
            return self._refuse(call, 401, "unknown API key")
        job_id = call.path[len(route.prefix) :]
        if call.method == "GET" and not job_id:
            return self._count_pending(call, route)
        if not JOB_ID.match(job_id):
            return self._refuse(call, 404, "job id must be 16 hex digits")
        if call.method == "POST":
            name = account.name if account else ""
            return await self._submit(call, forwarder, route, name, job_id)
        if call.method == "GET":
            return await self._show_state(call, job_id)
        if call.method == "DELETE":
            name = account.name if account else ""
            return await self._cancel(call, forwarder, name, job_id)
        return self._refuse(call, 405, "method not allowed")

    def _refuse(
        self,
        call: relaying.Call,
        status: int,
        reason: str,
        retry_after_s: int = 0,
        **causes: object,
    ) -> relaying.Reply:
        lacks_store = status == 503 and not retry_after_s
        if lacks_store:
            retry_after_s = outage_waits.retry_after_s(
                self._outage_age(), self._rng
            )
        self._log.emit(
            "request_refused",
            method=call.method,
            path=call.path,
            status=status,
            reason=reason,
            config_version=self._config.version,
            retry_after_s=retry_after_s,
            **causes,
        )
        return _make_reply(
            status, {"error": reason}, retry_after_s, lacks_store
        )

    def _outage_age(self) -> datetime.timedelta:
        """Return for how long this instance has lacked what it serves from."""
        since_start = self._clock.monotonic() - self._started_at
        ages = self._node.replica.age, self._config.age
        return max(since_start if age is None else age for age in ages)

    def _is_replica_fresh(self) -> bool:
        age = self._node.replica.age
        return age is not None and age < MAX_REPLICA_AGE

    def _count_pending(
        self, call: relaying.Call, route: configuration.Route
    ) -> relaying.Reply:
        if not self._is_replica_fresh():
            return self._refuse(call, 503, "job states are stale")
        pending = self._node.replica.ledger.pending(route.queue.name)
        return _make_reply(200, {"Pending": pending})

    async def _show_state(
        self, call: relaying.Call, job_id: str
    ) -> relaying.Reply:
        ledger = self._node.replica.ledger
        # A final state never changes; any other has to be refreshed.
        if ledger.state(job_id) not in ledgers.FINAL_STATES:
            if not await self._node.replica.refresh(REFRESH_TIMEOUT):
                return self._refuse(call, 503, "job states are stale")
        state = self._node.replica.ledger.state(job_id)
        if state is None:
            return self._refuse(call, 410, "no such job")
        return _make_reply(200, {"State": state})

    async def _append(
        self,
        call: relaying.Call,
        forwarder: relaying.Forwarder,
        entry: store.Entry,
    ) -> store.AppendStatus:
        """Append; retry until the outcome is known or the client times out."""
        deadline = self._clock.monotonic() + call.timeout - ANSWER_MARGIN
        may_have_run = False
        while True:
            left = deadline - self._clock.monotonic()
            result = await self._append_once(entry, left)
            if result.status is store.AppendStatus.APPENDED:
                return result.status
            left = deadline - self._clock.monotonic()
            # Appending is idempotent, so another instance may repeat it.
            forwarded = await forwarder.forward(
                dataclasses.replace(call, timeout=left)
            )
            # 410: a peer has recorded the cancelling of an unknown job.
            if forwarded is not None and forwarded.is_confirmation:
                return store.AppendStatus.APPENDED
            if (
                forwarded is not None and forwarded.is_outcome_unknown
            ) or result.status is store.AppendStatus.MAY_HAVE_RUN:
                may_have_run = True
            elif not may_have_run:
                return store.AppendStatus.NOT_RUN
            left = deadline - self._clock.monotonic()
            if left < RETRY_PAUSE * 2:
                return store.AppendStatus.MAY_HAVE_RUN
            await self._clock.sleep(RETRY_PAUSE)

    async def _append_once(
        self, entry: store.Entry, left: datetime.timedelta
    ) -> store.Appended:
        """Append within the time left, which a large entry may need whole."""
        if self._node.replica.is_store_silent:
            # An append would only make the outcome unknown.
            return store.Appended(
                store.AppendStatus.NOT_RUN, detail="store does not answer"
            )
        left = max(left, MIN_APPEND_TIMEOUT)
        appending = self._store.append(
            store.Stream.JOBS, [entry], min(left, APPEND_TIMEOUT)
        )
        result = await clocks.within(self._clock, left, appending)
        return result or store.Appended(
            store.AppendStatus.MAY_HAVE_RUN, detail="client's time is over"
        )

    async def _submit(
        self,
        call: relaying.Call,
        forwarder: relaying.Forwarder,
        route: configuration.Route,
        account: str,
        job_id: str,
    ) -> relaying.Reply:
        if self._node.replica.ledger.state(job_id) is not None:
            return _make_reply(200, {})
        try:
            job = submissions.decode(
                job_id, route.queue, account, call.body, self._clock.now()
            )
        except submissions.SubmissionError as error:
            return self._refuse(call, 400, str(error))
        key = ledgers.Kind.SUBMISSION.key(job_id)
        entry = store.Entry(key, codec.encode_job(job))
        refusal = (
            self._refuse_oversized(call, entry)
            or await self._refuse_beyond_memory(call, job, entry)
            or await self._refuse_by_forecast(call, job)
        )
        if refusal is not None:
            return refusal
        status = await self._append(call, forwarder, entry)
        self._log.emit(
            "job_submitted",
            job_id=job_id,
            queue=route.queue.name,
            account=account,
            outcome=status.value,
        )
        if status is store.AppendStatus.APPENDED:
            return _make_reply(200, {})
        if status is store.AppendStatus.NOT_RUN:
            return self._refuse(call, 503, "store unavailable")
        return relaying.OUTCOME_UNKNOWN

    def _refuse_oversized(
        self, call: relaying.Call, entry: store.Entry
    ) -> relaying.Reply | None:
        size = codec.record_bytes(entry.key, entry.value)
        if size <= codec.MAX_RECORD_BYTES:
            return None
        reason = (
            f"job's record of {size} bytes is over the limit of"
            f" {codec.MAX_RECORD_BYTES} bytes"
        )
        return self._refuse(call, 413, reason)

    async def _refuse_beyond_memory(
        self, call: relaying.Call, job: models.Job, entry: store.Entry
    ) -> relaying.Reply | None:
        """Refuse a job that an instance might not have the memory for."""
        budget = self._memory_for_jobs()
        if budget is None:
            return None
        replica = self._node.replica
        needed = footprint.job_bytes(job, len(entry.value))
        if replica.ledger.footprint.total() + needed <= budget:
            return None
        await replica.refresh(REFRESH_TIMEOUT)
        if replica.ledger.state(job.job_id) is not None:
            return _make_reply(200, {})
        budget_text = f"{budget / footprint.BYTES_PER_MB:.1f} MB"
        needed_text = f"{needed / footprint.BYTES_PER_MB:.1f} MB"
        if needed > budget:
            reason = (
                f"job may need {needed_text} of memory, over the"
                f" {budget_text} that the smallest instance has for jobs"
            )
            return self._refuse(call, 413, reason)
        used = replica.ledger.footprint.total()
        if used + needed <= budget:
            return None
        reason = (
            f"job may need {needed_text} of memory beside the"
            f" {used / footprint.BYTES_PER_MB:.1f} MB of other jobs, over the"
            f" {budget_text} that the smallest instance has for jobs"
        )
        return self._refuse(call, 503, reason, MEMORY_RETRY_S)

    async def _refuse_by_forecast(
        self, call: relaying.Call, job: models.Job
    ) -> relaying.Reply | None:
        if self._plans_ahead:
            return await self._refuse_unserved(call, job)
        return await self._refuse_late(call, job)

    async def _refuse_unserved(
        self, call: relaying.Call, job: models.Job
    ) -> relaying.Reply | None:
        """Refuse a job by its account's forecast, unless already accepted.

        Without a current replica a job may have been accepted before.
        """
        replica, queue = self._node.replica, job.queue.name
        if job.job_id in replica.ledger.cancelled_ids:
            return None  # it never begins, whenever its client comes back
        expected = replica.expectation(queue, job.account)
        if expected is None:
            return None
        learned = self._node.run_times and self._node.run_times.times
        retry_after_s = refusals.retry_after_s(
            job, expected.wait, self._rng, learned
        )
        if retry_after_s is None:
            return None
        if not await replica.refresh(REFRESH_TIMEOUT):
            return None
        if replica.ledger.state(job.job_id) is not None:
            return _make_reply(200, {})
        self._log.metrics.refusals.labels(queue).inc()
        wait_s = expected.wait.total_seconds()
        return self._refuse(
            call,
            503,
            f"expected wait of {wait_s:.0f} s is too long",
            retry_after_s,
            account=job.account,
            forecast_s=wait_s,
            forecast_age_s=expected.age.total_seconds(),
        )

    async def _refuse_late(
        self, call: relaying.Call, job: models.Job
    ) -> relaying.Reply | None:
        """Refuse a job that would begin too late, unless already accepted."""
        replica = self._node.replica
        if job.job_id in replica.ledger.cancelled_ids:
            return None  # it never begins, whenever its client comes back
        wait = replica.expected_wait(job.queue.name)
        retry_after_s = queue_waits.retry_after_s(job, wait)
        if retry_after_s is None:
            return None
        await replica.refresh(REFRESH_TIMEOUT)
        if replica.ledger.state(job.job_id) is not None:
            return _make_reply(200, {})
        reason = f"expected wait of {wait.total_seconds():.0f} s is too long"
        return self._refuse(call, 503, reason, retry_after_s)

    async def _cancel(
        self,
        call: relaying.Call,
        forwarder: relaying.Forwarder,
        account: str,
        job_id: str,
    ) -> relaying.Reply:
        """Record a cancelling, also that of an unknown job.

        Its submission may be stored later, and must not run then.
        """
        replica = self._node.replica
        began_at = self._clock.monotonic()
        is_current = replica.ledger.state(job_id) is None and (
            await replica.refresh(REFRESH_TIMEOUT)
        )
        state = replica.ledger.state(job_id)
        if state in ledgers.FINAL_STATES:
            return _make_reply(200, {})
        if state is None and not replica.ledger.unmatched.has_room(
            job_id, account
        ):
            reason = "too many unknown jobs were cancelled"
            return self._refuse(call, 503, reason, UNMATCHED_RETRY_S)
        call = self._deduct_time(call, began_at)
        now = self._clock.now().timestamp()
        value = codec.encode_cancellation(codec.Cancellation(account, now))
        key = ledgers.Kind.CANCELLATION.key(job_id)
        status = await self._append(call, forwarder, store.Entry(key, value))
        is_absent = is_current and replica.ledger.state(job_id) is None
        self._log.emit(
            "cancel_requested",
            job_id=job_id,
            is_known=not is_absent,
            outcome=status.value,
        )
        if status is not store.AppendStatus.APPENDED:
            return relaying.OUTCOME_UNKNOWN
        if is_absent:
            return self._refuse(call, 410, "no such job")
        return _make_reply(200, {})


def _make_call(request: web.BaseRequest) -> relaying.Call:
    """Return a call without its body."""
    try:
        timeout = datetime.timedelta(
            milliseconds=float(request.headers["X-Deadline-Ms"])
        )
    except (KeyError, ValueError, OverflowError):
        timeout = DEFAULT_CLIENT_TIMEOUT
    return relaying.Call(
        request.method,
        request.headers.get("Host", "").partition(":")[0],
        request.path,
        request.headers.get("Api-Key", ""),
        b"",
        timeout,
    )


def _make_reply(
    status: int, data: dict, retry_after_s: int = 0, lacks_store: bool = False
) -> relaying.Reply:
    return relaying.Reply(status, codec.dump(data), retry_after_s, lacks_store)


def _make_response(reply: relaying.Reply) -> web.Response:
    headers = {}
    if reply.retry_after_s:
        headers["Retry-After"] = str(reply.retry_after_s)
    return web.Response(
        status=reply.status,
        body=reply.body,
        content_type="application/json",
        headers=headers,
    )


async def wait_until_idle(ingress: Ingress, clock: base.Clock, limit_s: float):
    """Wait until clients have stopped calling, at most for the limit."""
    idle_time = datetime.timedelta(seconds=1)
    earliest = clock.monotonic() + datetime.timedelta(seconds=2.2)
    deadline = clock.monotonic() + datetime.timedelta(seconds=limit_s)
    while clock.monotonic() < deadline:
        now = clock.monotonic()
        is_idle = (
            now - ingress.last_call_at > idle_time and not ingress.in_flight
        )
        if is_idle and now > earliest:
            return
        await asyncio.sleep(0.1)
