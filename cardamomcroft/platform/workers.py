"""Send orders to workers over HTTP; decode inventories and listings."""

import asyncio
import datetime
import json

import aiohttp

from cardamomcroft.platform import answers
from cardamomcroft.platform import connections
from cardamomcroft.platform import errors
from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import metrics

# A start is not sent after a longer greeting, as its claim was checked before;
# the next one finds the connection greeted.
MAX_GREETING = datetime.timedelta(milliseconds=400)
# Another call may take the connection that was greeted for this one.
MAX_GREETINGS = 5
MAX_REMAINING_MS = 86_400_000  # a day; larger numbers overflow a duration
# The protocol returns the remaining ends in later answers.
ENDS_PER_ANSWER = 500
SKIPPED_HEADERS = ("User-Agent", "Accept-Encoding", "Accept")
_CONNECT_LIMIT = aiohttp.ClientTimeout(
    total=None, sock_connect=fleet.CONNECT_TIMEOUT.total_seconds()
)
_ENDS_BY_CODE = {
    "done": fleet.End.DONE,
    "failed": fleet.End.FAILED,
    "stopped": fleet.End.STOPPED,
    "lapsed": fleet.End.LAPSED,
    "broken": fleet.End.GANG_BROKEN,
    "alone": fleet.End.GANG_INCOMPLETE,
}
_REFUSALS_BY_REASON = {
    "fence": fleet.OrderStatus.STALE_TOKEN,
    "old": fleet.OrderStatus.STALE_RUN,
    "late": fleet.OrderStatus.EXPIRED,
    "room": fleet.OrderStatus.NO_ROOM,
    "ticket": fleet.OrderStatus.NO_TICKET,
}
_STATUSES_BY_CODE = {
    200: fleet.OrderStatus.DONE,
    400: fleet.OrderStatus.INVALID,
    421: fleet.OrderStatus.OTHER_INCARNATION,
    429: fleet.OrderStatus.UNHEALTHY,
    503: fleet.OrderStatus.UNHEALTHY,
}


class HttpWorkerLink(fleet.WorkerLink):
    """Send orders through the workers' HTTP interface.

    The protocol names a worker by its id, which all of its incarnations have.
    So what is for one of them goes only over connections on which that one
    has answered. A new connection is greeted: the first call on it only asks
    for the inventory.
    """

    def __init__(
        self,
        connector: connections.WorkerConnector,
        advice_address: str | None,
        clock: base.Clock,
        measured: metrics.Metrics,
    ) -> None:
        """Send orders; get advice from ``advice_address``, if there is one."""
        self._clock = clock
        self._metrics = measured
        self._connector = connector
        self._session = aiohttp.ClientSession(
            connector=connector, skip_auto_headers=SKIPPED_HEADERS
        )
        self._advice_address = advice_address

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _post(
        self,
        address: fleet.Address,
        path: str,
        body: dict,
        timeout: datetime.timedelta,
        call: connections.Call,
        silence: datetime.timedelta | None = None,
    ) -> tuple[fleet.OrderResult, dict]:
        began_at = self._clock.monotonic()
        with connections.calling(call):
            result, data = await self._send(
                address, path, body, timeout, silence
            )
        if call.is_ungreeted:
            return result, data  # nothing was sent
        if result.status is fleet.OrderStatus.MAY_HAVE_RUN:
            self._connector.note_silence(address.worker_id)
        if "Running" in data:  # an inventory, which names its incarnation
            self._connector.note_answer(call, data.get("born", 0))
        took = self._clock.monotonic() - began_at
        outcome = result.status.value
        self._metrics.record_call("worker", path, outcome, took)
        return result, data

    async def _send(
        self,
        address: fleet.Address,
        path: str,
        body: dict,
        timeout: datetime.timedelta,
        silence: datetime.timedelta | None,
    ) -> tuple[fleet.OrderResult, dict]:
        """Return the answer; ``silence`` is for one that may be large."""
        try:
            async with (
                asyncio.timeout(timeout.total_seconds()) as limit,
                self._session.post(
                    f"http://{address.host_port}{path}",
                    data=json.dumps(body, separators=(",", ":")),
                    timeout=_CONNECT_LIMIT,
                    headers=_order_headers(address),
                ) as response,
            ):
                if silence is None:
                    raw = await response.read()
                else:
                    raw = await answers.receive(response, limit, silence)
            data = json.loads(raw) if raw else {}
            if not isinstance(data, dict):
                raise ValueError(f"answer is no object: {raw[:50]!r}")
            return _decode_result(response.status, data), data
        except aiohttp.ClientConnectorError as error:
            status = fleet.OrderStatus.NOT_RUN
            return fleet.OrderResult(status, detail=repr(error)), {}
        except connections.UngreetedError:
            return fleet.OrderResult(fleet.OrderStatus.UNREACHED), {}
        except aiohttp.ConnectionTimeoutError as error:
            status = fleet.OrderStatus.UNREACHED
            return fleet.OrderResult(status, detail=repr(error)), {}
        except errors.CALL_ERRORS as error:
            status = fleet.OrderStatus.MAY_HAVE_RUN
            return fleet.OrderResult(status, detail=repr(error)), {}

    async def _greet(
        self,
        address: fleet.Address,
        token: int,
        timeout: datetime.timedelta,
        ungreeted: connections.Call,
    ) -> tuple[fleet.OrderResult, dict]:
        """Ask for the inventory on the connection that a call has found."""
        call = connections.Call(address.worker_id, greets=ungreeted)
        body = {"FencingToken": token, "LastSeen": 0}
        try:
            return await self._post(
                address, "/hold", body, timeout, call, timeout
            )
        finally:
            ungreeted.connection.release()  # if no call has used it

    async def _order(
        self,
        address: fleet.Address,
        path: str,
        body: dict,
        timeout: datetime.timedelta,
        born_ms: int | None = None,
    ) -> fleet.OrderResult:
        """Send an order to one incarnation, or to any if none is named."""
        until = self._clock.monotonic() + MAX_GREETING
        for _ in range(MAX_GREETINGS):
            call = connections.Call(address.worker_id, born_ms)
            result, _ = await self._post(address, path, body, timeout, call)
            if not call.is_ungreeted:
                return result
            greeting, data = await self._greet(
                address, body["FencingToken"], timeout, call
            )
            if greeting.status is not fleet.OrderStatus.DONE:
                return _unsent(greeting)
            if born_ms not in (None, data.get("born", 0)):
                return fleet.OrderResult(fleet.OrderStatus.RESTARTED)
            if born_ms is not None and self._clock.monotonic() > until:
                break
        return fleet.OrderResult(fleet.OrderStatus.NOT_RUN)

    async def start(self, address, order, timeout) -> fleet.OrderResult:
        """Start a task on the incarnation that the order names."""
        body = {
            "Task": order.task,
            "RunId": order.run,
            "Spec": order.payload,
            "DeadlineMs": order.deadline_ms,
            "FencingToken": order.token,
        }
        if order.checkpoint:
            body["Checkpoint"] = order.checkpoint
        if order.ticket:
            body["Ticket"] = order.ticket
        return await self._order(
            address, "/run-start", body, timeout, order.born_ms
        )

    async def stop(
        self, address, task, run, token, timeout
    ) -> fleet.OrderResult:
        """Stop a run."""
        body = {"Task": task, "RunId": run, "FencingToken": token}
        return await self._order(address, "/run-stop", body, timeout)

    async def pace(
        self, address, task, run, percent, token, timeout
    ) -> fleet.OrderResult:
        """Limit a run to a percentage of its full speed."""
        body = {
            "Task": task,
            "RunId": run,
            "Percent": percent,
            "FencingToken": token,
        }
        return await self._order(address, "/pace", body, timeout)

    async def renew_lease(
        self, address, order, timeout
    ) -> fleet.Inventory | fleet.OrderResult:
        """Renew the lease and return the inventory."""
        wait_ms = round(order.wait.total_seconds() * 1000)
        body = {
            "FencingToken": order.token,
            "LastSeen": order.acknowledged_end,
        }
        if order.deadline_ms is not None:
            body["DeadlineMs"] = order.deadline_ms
        if wait_ms:
            body["WaitMs"] = wait_ms
        call = connections.Call(
            address.worker_id,
            order.born_ms,
            is_greeting=not order.names_incarnation,
        )
        result, data = await self._post(
            address, "/hold", body, timeout + order.wait, call, timeout
        )
        if call.is_ungreeted:
            result, data = await self._greet(
                address, order.token, timeout, call
            )
        if result.status is not fleet.OrderStatus.DONE:
            return result
        try:
            return decode_inventory(data, not call.is_ungreeted)
        except errors.CALL_ERRORS as error:
            status = fleet.OrderStatus.MAY_HAVE_RUN
            return fleet.OrderResult(status, detail=repr(error))

    async def advise(self, step, worker_ids, timeout) -> fleet.Advice | None:
        """Ask the advice service which workers a step may run on."""
        if self._advice_address is None:
            return None
        began_at = self._clock.monotonic()
        body = {"Step": step, "Workers": list(worker_ids)}
        advice, outcome = None, "unanswered"
        try:
            async with self._session.post(
                f"http://{self._advice_address}/advise",
                data=json.dumps(body),
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=timeout.total_seconds()),
            ) as response:
                outcome = f"status {response.status}"
                if response.status == 200:
                    advice = _decode_advice(await response.read())
        except errors.CALL_ERRORS as error:
            outcome = type(error).__name__
        took = self._clock.monotonic() - began_at
        self._metrics.record_call("advice", "/advise", outcome, took)
        return advice


def _unsent(greeting: fleet.OrderResult) -> fleet.OrderResult:
    """Return the outcome of an order whose greeting failed."""
    if greeting.status is not fleet.OrderStatus.MAY_HAVE_RUN:
        return greeting
    status = fleet.OrderStatus.UNREACHED
    return fleet.OrderResult(status, detail=greeting.detail)


def _order_headers(address: fleet.Address) -> dict[str, str]:
    return {
        "Content-Type": "application/json",
        "X-Expected-Instance": address.worker_id,
    }


def _decode_result(status: int, data: dict) -> fleet.OrderResult:
    clock_ms = data.get("ClockMs")
    if status == 409:
        reason = str(data.get("Reason"))
        refusal = _REFUSALS_BY_REASON.get(reason, fleet.OrderStatus.INVALID)
        return fleet.OrderResult(refusal, clock_ms, reason)
    known = _STATUSES_BY_CODE.get(status, fleet.OrderStatus.MAY_HAVE_RUN)
    return fleet.OrderResult(known, clock_ms, f"status {status}")


def _decode_advice(raw: bytes) -> fleet.Advice:
    data = json.loads(raw)
    return fleet.Advice(
        tuple(fleet.Ticket(*row) for row in data["Allowed"]),
        datetime.timedelta(milliseconds=data["ValidMs"]),
    )


def decode_inventory(data: dict, is_renewed: bool = True) -> fleet.Inventory:
    """Decode a worker's inventory of running and finished tasks."""
    return fleet.Inventory(
        int(data["ClockMs"]),
        int(data.get("born", 0)),
        tuple(
            fleet.RunningTask(
                row[0],
                row[1],
                row[2] or "",
                row[3],
                row[4] if len(row) > 4 else 0.0,
            )
            for row in data["Running"]
        ),
        tuple(
            fleet.FinishedTask(
                row[0],
                row[1],
                row[2],
                _ENDS_BY_CODE.get(row[3], fleet.End.UNKNOWN),
                row[4] or "",
            )
            for row in data["Finished"]
        ),
        len(data["Finished"]) < ENDS_PER_ANSWER,
        is_renewed,
    )


def _is_count(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _remaining(remaining_ms: object) -> datetime.timedelta | None:
    if not _is_count(remaining_ms):
        return None
    return datetime.timedelta(milliseconds=min(remaining_ms, MAX_REMAINING_MS))


def decode_listing(record: store.Record) -> fleet.Listing | None:
    """Decode a worker's entry; return None if it is deleted or invalid."""
    if record.value is None:
        return None
    try:
        data = json.loads(record.value)
        capacity = data["Capacity"]
        counts = (
            capacity.get("Cpu", 0),
            capacity.get("MemMb", 0),
            capacity.get("Gpu", 0),
            data["ClockMs"],
            data["born"],
        )
        texts = (
            data["Service"],
            data["Address"],
            data["Zone"],
            *data["Labels"],
        )
        state = fleet.ServerState(data["State"])
        remaining_ms = data.get("RemainingMs")
        version = data.get("Version")
    except errors.CALL_ERRORS:
        return None
    if not all(_is_count(value) and value >= 0 for value in counts):
        return None
    if not isinstance(data["Labels"], list):
        return None
    if not all(isinstance(text, str) and text for text in texts):
        return None
    return fleet.Listing(
        fleet.Address(record.key, data["Address"]),
        data["Service"],
        state,
        data["Zone"],
        counts[4],
        counts[3],
        frozenset(data["Labels"]),
        data["Labels"][-1] if data["Labels"] else "",  # kind, then rack
        counts[0],
        counts[1],
        counts[2],
        _remaining(remaining_ms),
        version if isinstance(version, str) else "",
    )
