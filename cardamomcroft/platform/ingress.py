"""Serve the clients' calls: submit, query, cancel and count."""

import asyncio
import datetime
import re

from aiohttp import web

from cardamomcroft.platform import submissions
from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import configuration_view
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import node as nodes

JOB_ID = re.compile(r"[0-9a-f]{16}\Z", re.IGNORECASE)
APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_PAUSE = datetime.timedelta(milliseconds=100)
# A state that may have changed is read anew unless the store is slow.
REFRESH_LIMIT = datetime.timedelta(milliseconds=150)
DEFAULT_PATIENCE = datetime.timedelta(seconds=3)
# Leaves time for the answer to reach the client before it gives up.
ANSWER_MARGIN = datetime.timedelta(milliseconds=300)
OUTAGE_RETRY_S = 1
# A copy that may lag longer cannot tell that a job does not exist.
TRUSTED_AGE = datetime.timedelta(seconds=2)


class Ingress:
    """Answer one instance's clients."""

    def __init__(
        self,
        node: nodes.Node,
        target: store.Store,
        config: configuration_view.ConfigurationView,
        clock: base.Clock,
        log: events.Events,
    ) -> None:
        """Take the instance's roles."""
        self._node = node
        self._store = target
        self._config = config
        self._clock = clock
        self._log = log
        self.is_leaving = False
        self.in_flight = 0
        self.last_call_at = clock.monotonic()

    @property
    def is_ready(self) -> bool:
        """Tell whether new clients can be served."""
        return (
            not self.is_leaving
            and self._config.current is not None
            and self._node.replica.is_loaded
            and self._node.replica.is_reachable
        )

    async def handle_ready(self, request: web.BaseRequest) -> web.Response:
        """Answer the readiness probe."""
        return web.Response(status=200 if self.is_ready else 503)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer a call and close the connection when leaving."""
        self.in_flight += 1
        began_at = self.last_call_at = self._clock.monotonic()
        try:
            response = await self._answer(request)
        finally:
            self.in_flight -= 1
        took_s = (self._clock.monotonic() - began_at).total_seconds()
        labels = request.method, response.status
        self._log.measures.requests.labels(*labels).observe(took_s)
        if self.is_leaving:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        config = self._config.current
        if config is None:
            return self._refuse(request, 503, "no configuration")
        if self._config.is_stale:
            return self._refuse(request, 503, "configuration is stale")
        host = request.headers.get("Host", "").partition(":")[0]
        route = config.route(host, request.path)
        if route is None:
            return self._refuse(request, 404, "no such queue")
        account = config.accounts_by_key.get(
            request.headers.get("Api-Key", "")
        )
        if account is None and not route.is_public:
            return self._refuse(request, 401, "unknown key")
        job_id = request.path[len(route.prefix) :]
        if request.method == "GET" and not job_id:
            return self._count(request, route)
        if not JOB_ID.match(job_id):
            return self._refuse(request, 404, "no job id")
        if request.method == "POST":
            name = account.name if account else ""
            return await self._submit(request, route, name, job_id)
        if request.method == "GET":
            return await self._show(request, job_id)
        if request.method == "DELETE":
            return await self._cancel(request, job_id)
        return self._refuse(request, 405, "method not allowed")

    def _refuse(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after_s: int | None = None,
    ) -> web.Response:
        version = self._config.current.version if self._config.current else 0
        self._log.emit(
            "request_refused",
            method=request.method,
            path=request.path,
            status=status,
            reason=reason,
            config_version=version,
        )
        if status == 503 and retry_after_s is None:
            retry_after_s = OUTAGE_RETRY_S
        headers = {"Retry-After": str(retry_after_s)} if retry_after_s else {}
        return web.json_response(
            {"error": reason}, status=status, headers=headers
        )

    def _is_trusted(self) -> bool:
        age = self._node.replica.age
        return age is not None and age < TRUSTED_AGE

    def _count(
        self, request: web.BaseRequest, route: configuration.Route
    ) -> web.Response:
        if not self._is_trusted():
            return self._refuse(request, 503, "jobs are stale")
        pending = self._node.replica.ledger.pending(route.queue.name)
        return web.json_response({"Pending": pending})

    async def _show(
        self, request: web.BaseRequest, job_id: str
    ) -> web.Response:
        replica = self._node.replica
        if replica.ledger.state(job_id) not in ledgers.FINAL_STATES:
            await replica.refresh(REFRESH_LIMIT)
        state = replica.ledger.state(job_id)
        if state is None:
            if not self._is_trusted():
                return self._refuse(request, 503, "jobs are stale")
            return self._refuse(request, 410, "no such job")
        return web.json_response({"State": state})

    def _deadline(self, request: web.BaseRequest) -> datetime.timedelta:
        try:
            patience = datetime.timedelta(
                milliseconds=float(request.headers["X-Deadline-Ms"])
            )
        except (KeyError, ValueError, OverflowError):
            patience = DEFAULT_PATIENCE
        return self._clock.monotonic() + patience - ANSWER_MARGIN

    async def _append(
        self, request: web.BaseRequest, entry: store.Entry
    ) -> store.AppendStatus:
        """Append until the outcome is known or the client gives up."""
        deadline = self._deadline(request)
        may_have_run = False
        while True:
            left = deadline - self._clock.monotonic()
            result = await self._store.append(
                store.Stream.JOBS, [entry], min(left, APPEND_TIMEOUT)
            )
            if result.status is store.AppendStatus.APPENDED:
                return result.status
            if result.status is store.AppendStatus.MAY_HAVE_RUN:
                may_have_run = True
            elif not may_have_run:
                return store.AppendStatus.NOT_RUN
            left = deadline - self._clock.monotonic()
            if left < RETRY_PAUSE * 2:
                return store.AppendStatus.MAY_HAVE_RUN
            await self._clock.sleep(RETRY_PAUSE)

    async def _submit(
        self,
        request: web.BaseRequest,
        route: configuration.Route,
        account: str,
        job_id: str,
    ) -> web.Response:
        body = await request.read()
        if self._node.replica.ledger.state(job_id) is not None:
            return web.json_response({})
        try:
            job = submissions.decode(
                job_id, route.queue, account, body, self._clock.now()
            )
        except submissions.SubmissionError as error:
            return self._refuse(request, 400, str(error))
        key = ledgers.Kind.SUBMISSION.key(job_id)
        entry = store.Entry(key, codec.encode_job(job))
        status = await self._append(request, entry)
        self._log.emit(
            "job_submitted",
            job_id=job_id,
            queue=route.queue.name,
            account=account,
            outcome=status.value,
        )
        if status is store.AppendStatus.APPENDED:
            return web.json_response({})
        if status is store.AppendStatus.NOT_RUN:
            return self._refuse(request, 503, "store unavailable")
        return self._refuse(request, 504, "outcome unknown")

    async def _cancel(
        self, request: web.BaseRequest, job_id: str
    ) -> web.Response:
        state = self._node.replica.ledger.state(job_id)
        if state is None and not await self._catch_up(job_id):
            return self._refuse(request, 410, "no such job")
        if state in ledgers.FINAL_STATES:
            return web.json_response({})
        key = ledgers.Kind.CANCELLATION.key(job_id)
        status = await self._append(request, store.Entry(key, b"1"))
        self._log.emit("cancel_requested", job_id=job_id, outcome=status.value)
        if status is store.AppendStatus.APPENDED:
            return web.json_response({})
        return self._refuse(request, 504, "outcome unknown")

    async def _catch_up(self, job_id: str) -> bool:
        """Read up to the end; tell whether the job may exist."""
        if not await self._node.replica.update():
            return True
        return self._node.replica.ledger.state(job_id) is not None


async def settle_calls(ingress: Ingress, clock: base.Clock, limit_s: float):
    """Wait until calls have stopped coming, or for the limit."""
    quiet = datetime.timedelta(seconds=1)
    least = clock.monotonic() + datetime.timedelta(seconds=2.2)
    until = clock.monotonic() + datetime.timedelta(seconds=limit_s)
    while clock.monotonic() < until:
        now = clock.monotonic()
        is_quiet = now - ingress.last_call_at > quiet and not ingress.in_flight
        if is_quiet and now > least:
            return
        await asyncio.sleep(0.1)
