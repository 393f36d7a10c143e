"""Order waiting jobs fairly over accounts, classes and callers."""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.policy import base
from cardamomcroft.settings import documents

AGEING = datetime.timedelta(hours=4)  # wait that makes up for all usage


@dataclasses.dataclass(frozen=True, slots=True)
class FlowKey:
    """Identify the queue of one caller in one class."""

    account: str
    urgency: documents.Urgency
    caller: str


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Count running units by account, class and caller."""

    by_account: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    by_class: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    by_caller: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(
        self,
        account: str,
        urgency: documents.Urgency,
        caller: str,
        units: int,
    ) -> None:
        """Count a gang's units."""
        self.by_account[account] += units
        self.by_class[account, urgency] += units
        self.by_caller[account, urgency, caller] += units


class Flows:
    """Hold the queues and pick the next head."""

    def __init__(
        self,
        view: base.View,
        usage: Usage,
        bypass: int,
        class_weights: tuple[float, float, float],
    ) -> None:
        """Split the waiting jobs into queues, oldest first."""
        self._view = view
        self._usage = usage
        self._bypass = bypass
        self._weights = dict(
            zip(documents.Urgency, class_weights, strict=True)
        )
        self._queues: dict[FlowKey, collections.deque[base.WaitingJob]] = (
            collections.defaultdict(collections.deque)
        )
        self._passed: collections.Counter[FlowKey] = collections.Counter()
        for job in view.waiting:
            key = FlowKey(job.account, job.spec.urgency, job.caller)
            self._queues[key].append(job)

    def accounts(self) -> list[str]:
        """Return the accounts with waiting jobs, longest urgent wait first.

        A job that waits for reclaimed cells thus finds them before any
        other account looks.
        """
        oldest: dict[str, tuple] = {}
        for key, job in self.heads():
            rank = (key.urgency is not documents.Urgency.URGENT, job.order)
            oldest[key.account] = min(oldest.get(key.account, rank), rank)
        return sorted(oldest, key=oldest.__getitem__)

    def heads(
        self, account: str | None = None
    ) -> collections.abc.Iterator[tuple[FlowKey, base.WaitingJob]]:
        """Yield the head of each queue."""
        for key, queue in self._queues.items():
            if queue and (account is None or key.account == account):
                yield key, queue[0]

    def pick(self, account: str | None = None) -> base.WaitingJob | None:
        """Remove and return the head that is next in turn."""
        best = min(self.heads(account), key=self._turn, default=None)
        if best is None:
            return None
        key, job = best
        self._queues[key].popleft()
        return job

    def _turn(self, head: tuple[FlowKey, base.WaitingJob]) -> tuple:
        key, job = head
        return (
            self.account_share(key.account, job),
            self._class_share(key, job),
            self._caller_share(key),
            job.order,
        )

    def account_share(self, account: str, job: base.WaitingJob) -> float:
        """Return the weighted units in use, less for long waits."""
        terms = self._view.accounts.get(account)
        weight = terms.weight if terms else 1.0
        return self._usage.by_account[account] / weight

    def _class_share(self, key: FlowKey, job: base.WaitingJob) -> float:
        used = self._usage.by_class[key.account, key.urgency]
        waited = self._view.now - job.submitted_at
        aged = max(0.0, 1.0 - waited / AGEING)
        return (1 + used) / self._weights[key.urgency] * aged

    def _caller_share(self, key: FlowKey) -> float:
        terms = self._view.accounts.get(key.account)
        weight = terms.callers.get(key.caller, 1.0) if terms else 1.0
        used = self._usage.by_caller[key.account, key.urgency, key.caller]
        return used / weight

    def put_back(self, jobs: list[base.WaitingJob]) -> None:
        """Return jobs that were picked but not started, oldest first."""
        for job in sorted(jobs, key=lambda job: job.order, reverse=True):
            key = FlowKey(job.account, job.spec.urgency, job.caller)
            self._queues[key].appendleft(job)

    def pass_over(self, job: base.WaitingJob) -> None:
        """Let later jobs of the queue go ahead, up to the bypass."""
        key = FlowKey(job.account, job.spec.urgency, job.caller)
        self._passed[key] += 1
        if self._passed[key] > self._bypass:
            self._queues.pop(key, None)
