"""Admit requests in fair-queueing order, within each account's limits."""

import asyncio
import collections
import collections.abc
import dataclasses
import datetime
import heapq
import itertools

import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import verdict
from cardamomcroft.requests import messages
from cardamomcroft.settings import documents

RETRY_AFTER = datetime.timedelta(seconds=1)
CLASS_WEIGHTS = {
    documents.Urgency.URGENT: 8.0,
    documents.Urgency.NORMAL: 3.0,
    documents.Urgency.BATCH: 1.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class FlowKey:
    """Identify the queue of one caller in one urgency class."""

    account: str
    urgency: documents.Urgency
    caller: str


@dataclasses.dataclass(slots=True)
class _Flow:
    weight: float
    start: float = 0.0
    waiting: list[tuple] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _VirtualTime:
    """Track virtual time for start-time fair queueing among siblings."""

    virtual_now: float = 0.0
    start_by_key: dict[object, float] = dataclasses.field(default_factory=dict)

    def start_of(self, key: object) -> float:
        return max(self.virtual_now, self.start_by_key.get(key, 0.0))

    def charge(self, key: object, cost: float) -> None:
        start = self.start_of(key)
        self.virtual_now = start
        self.start_by_key[key] = start + cost


@dataclasses.dataclass(frozen=True, slots=True)
class AccountTerms:
    """The weight, limits and caller weights of an account."""

    weight: float
    limits: documents.Limits
    callers: collections.abc.Mapping[str, float]


class Admission:
    """Admit up to ``capacity`` concurrent requests in a fair order.

    Start-time fair queueing applies by account, then by urgency class, then
    by caller; within a caller, the earliest deadline is admitted first. No
    class starves, since the virtual time of each one advances.
    """

    def __init__(
        self,
        clock: base.Clock,
        metrics: base.Metrics,
        terms_of: collections.abc.Callable[[str], AccountTerms],
        capacity: collections.abc.Callable[[], int],
    ) -> None:
        """Admit by the terms that ``terms_of`` returns for an account."""
        self._clock = clock
        self._metrics = metrics
        self._terms_of = terms_of
        self._capacity = capacity
        self._flows: dict[FlowKey, _Flow] = {}
        self._account_time = _VirtualTime()
        self._nested_times: dict[object, _VirtualTime] = (
            collections.defaultdict(_VirtualTime)
        )
        self._running: collections.Counter[str] = collections.Counter()
        self._queued: collections.Counter[str] = collections.Counter()
        self._order = itertools.count()
        self.is_draining = False

    @property
    def running(self) -> int:
        """Return the number of admitted requests."""
        return sum(self._running.values())

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return sum(self._queued.values())

    async def acquire(
        self, request: messages.Request
    ) -> expression.Result[None, verdict.Failure]:
        """Wait for admission; a refusal guarantees that nothing was run."""
        terms = self._terms_of(request.account)
        if self.is_draining:
            return _refuse(
                verdict.Reason.LEAVING,
                "instance is draining for a planned stop",
            )
        if self._queued[request.account] >= terms.limits.queued_requests:
            self._metrics.increment("requests.shed")
            return _refuse(
                verdict.Reason.OVERLOADED,
                f"account {request.account} has too many queued requests",
            )
        grant = asyncio.get_running_loop().create_future()
        self._enqueue(request, terms, grant)
        self._grant_waiting()
        return await self._wait(request, grant)

    def _enqueue(
        self,
        request: messages.Request,
        terms: AccountTerms,
        grant: asyncio.Future,
    ) -> None:
        key = FlowKey(request.account, request.urgency, request.caller)
        weight = terms.callers.get(request.caller, 1.0)
        flow = self._flows.setdefault(key, _Flow(weight))
        entry = (request.deadline, next(self._order), grant)
        heapq.heappush(flow.waiting, entry)
        self._queued[request.account] += 1

    async def _wait(
        self, request: messages.Request, grant: asyncio.Future
    ) -> expression.Result[None, verdict.Failure]:
        remaining = request.deadline - self._clock.monotonic()
        timer = asyncio.ensure_future(self._clock.sleep(remaining))
        try:
            await asyncio.wait(
                {grant, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()
            granted = grant.done() and not grant.cancelled()
            if not granted:
                grant.cancel()
                self._queued[request.account] -= 1
            elif asyncio.current_task().cancelling():
                self.release(request)
        if granted:
            return expression.Ok(None)
        self._metrics.increment("requests.expired")
        return _refuse(
            verdict.Reason.TIMEOUT,
            "deadline passed while the request was queued",
        )

    def release(self, request: messages.Request) -> None:
        """Release the capacity of an admitted request."""
        self._running[request.account] -= 1
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self.running < self._capacity():
            key = self._next_flow()
            if key is None:
                return
            _, _, grant = heapq.heappop(self._flows[key].waiting)
            self._charge(key)
            self._queued[key.account] -= 1
            self._running[key.account] += 1
            grant.set_result(None)

    def _next_flow(self) -> FlowKey | None:
        candidates = [
            key for key in list(self._flows) if self._is_eligible(key)
        ]
        if not candidates:
            return None
        return min(candidates, key=self._virtual_start)

    def _is_eligible(self, key: FlowKey) -> bool:
        flow = self._flows[key]
        while flow.waiting and flow.waiting[0][2].done():
            heapq.heappop(flow.waiting)
        if not flow.waiting:
            del self._flows[key]
            return False
        limits = self._terms_of(key.account).limits
        return self._running[key.account] < limits.concurrent_requests

    def _virtual_start(self, key: FlowKey) -> tuple:
        return (
            self._account_time.start_of(key.account),
            self._nested_times[key.account].start_of(key.urgency),
            self._nested_times[key.account, key.urgency].start_of(key.caller),
            self._flows[key].waiting[0][:2],
        )

    def _charge(self, key: FlowKey) -> None:
        terms = self._terms_of(key.account)
        self._account_time.charge(key.account, 1 / terms.weight)
        self._nested_times[key.account].charge(
            key.urgency, 1 / CLASS_WEIGHTS[key.urgency]
        )
        self._nested_times[key.account, key.urgency].charge(
            key.caller, 1 / self._flows[key].weight
        )


def _refuse(reason: verdict.Reason, detail: str) -> expression.Result:
    return expression.Error(verdict.not_run(reason, detail, RETRY_AFTER))
