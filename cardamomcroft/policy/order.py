"""Order waiting jobs fairly over accounts, classes and callers."""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.policy import base
from cardamomcroft.settings import documents

MIN_BATCH_SHARE = 0.1  # of an account's units in use; above it, batch is last
# Waits after which a job's work, and its class's usage, count as zero.
WORK_AGEING = datetime.timedelta(hours=1)
USAGE_AGEING = datetime.timedelta(hours=4)


@dataclasses.dataclass(frozen=True, slots=True)
class FlowKey:
    """Identify the queue of one caller in one urgency class."""

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
    by_flow: collections.Counter = dataclasses.field(
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
        self.by_flow[account, urgency, caller] += units
        self.by_caller[account, caller] += units


class Flows:
    """Queue the waiting jobs by flow and pick the next one to place."""

    def __init__(
        self,
        view: base.View,
        usage: Usage,
        max_skips: int,
        class_weights: tuple[float, float, float],
        callers_before_classes: bool,
        least_work_first: bool,
    ) -> None:
        """Split the waiting jobs into queues, oldest first."""
        self._view = view
        self._usage = usage
        self._max_skips = max_skips
        self._callers_before_classes = callers_before_classes
        self._least_work_first = least_work_first
        self._weights = dict(
            zip(documents.Urgency, class_weights, strict=True)
        )
        self._queues: dict[FlowKey, collections.deque[base.WaitingJob]] = (
            collections.defaultdict(collections.deque)
        )
        self._callers: dict[str, set[str]] = collections.defaultdict(set)
        self._shares: dict[str, float] = {}
        self._skip_counts: collections.Counter[FlowKey] = collections.Counter()
        for job in view.waiting:
            key = FlowKey(job.account, job.spec.urgency, job.caller)
            self._queues[key].append(job)
            self._callers[job.account].add(job.caller)

    def accounts(self) -> list[str]:
        """Return the accounts with waiting jobs, longest urgent wait first.

        The account of a job that waits for reclaimed cells is thus served
        before other accounts can use them.
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
        """Remove and return the head that ranks first."""
        best = min(self.heads(account), key=self._sort_key, default=None)
        if best is None:
            return None
        key, job = best
        self._queues[key].popleft()
        return job

    def remove(self, job: base.WaitingJob) -> None:
        """Remove a job from its queue."""
        key = FlowKey(job.account, job.spec.urgency, job.caller)
        self._queues[key].remove(job)

    def _sort_key(self, head: tuple[FlowKey, base.WaitingJob]) -> tuple:
        key, job = head
        if self._least_work_first:
            return self._sort_key_by_work(key, job)
        if self._callers_before_classes:
            return (
                self._weighted_account_usage(key.account, job),
                not self._is_urgent_within_share(key),
                self._weighted_caller_usage(key),
                self._weighted_class_usage(key, job),
                job.order,
            )
        return (
            self._weighted_account_usage(key.account, job),
            self._weighted_class_usage(key, job),
            self._weighted_flow_usage(key),
            job.order,
        )

    def _weighted_account_usage(
        self, account: str, job: base.WaitingJob
    ) -> float:
        """Return the account's units in use over its weight."""
        terms = self._view.accounts.get(account)
        weight = terms.weight if terms else 1.0
        return self._usage.by_account[account] / weight

    def _weighted_class_usage(
        self, key: FlowKey, job: base.WaitingJob
    ) -> float:
        used = self._usage.by_class[key.account, key.urgency]
        waited = self._view.now - job.submitted_at
        aged = max(0.0, 1.0 - waited / USAGE_AGEING)
        return (1 + used) / self._weights[key.urgency] * aged

    def _sort_key_by_work(self, key: FlowKey, job: base.WaitingJob) -> tuple:
        """Rank by least work among jobs within their fair share.

        Accounts and callers above their share rank by how far they are
        above it. The work of a job counts less the longer the job waits,
        so that short jobs cannot starve long ones.
        """
        callers = self.waiting_caller_count(key.account)
        caller_share = self._caller_share_of(key.account)
        used = self._usage.by_account[key.account]
        caller_units = self._usage.by_caller[key.account, key.caller]
        return (
            max(1.0, used / max(1.0, caller_share * callers)),
            not self._is_urgent_within_share(key),
            max(1.0, caller_units / max(1.0, caller_share)),
            self._is_batch_above_minimum(key, used),
            self._work_left(job),
            job.order,
        )

    def _is_batch_above_minimum(self, key: FlowKey, used: float) -> bool:
        """Return whether the account's batch work is above its minimum."""
        if key.urgency is not documents.Urgency.BATCH:
            return False
        batch = self._usage.by_class[key.account, key.urgency]
        return batch > MIN_BATCH_SHARE * used

    def _work_left(self, job: base.WaitingJob) -> float:
        spec = job.spec
        run_time = self._view.run_times.run_time(
            job.account, spec, job.checkpoint_s
        )
        units = spec.members * max(1, spec.accelerators)
        waited = self._view.now - job.submitted_at
        aged = max(0.0, 1.0 - waited / WORK_AGEING)
        return run_time.total_seconds() * units * aged

    def _is_urgent_within_share(self, key: FlowKey) -> bool:
        """Return whether urgent work ranks before other callers' work.

        It does up to the caller's part of its account's share, so that
        a flood of urgent work cannot starve the account's other callers.
        """
        if key.urgency is not documents.Urgency.URGENT:
            return False
        used = self._usage.by_flow[key.account, key.urgency, key.caller]
        return used < self._caller_share_of(key.account)

    def _caller_share_of(self, account: str) -> float:
        """Return one waiting caller's equal part of the account's share."""
        return self.fair_share(account) / self.waiting_caller_count(account)

    def fair_share(self, account: str) -> float:
        """Return the usable units in proportion to the account's weight."""
        if account not in self._shares:
            total = sum(
                worker.units for worker in self._view.workers if worker.usable
            )
            weights = {
                name: terms.weight
                for name, terms in self._view.accounts.items()
            }
            weight = weights.get(account, 1.0)
            total_weight = max(sum(weights.values()), weight)
            self._shares[account] = total * weight / total_weight
        return self._shares[account]

    def waiting_caller_count(self, account: str) -> int:
        """Return the account's callers with waiting jobs, at least 1."""
        return max(1, len(self._callers[account]))

    def _weighted_caller_usage(self, key: FlowKey) -> float:
        """Return a caller's units in use, all classes, over its weight."""
        terms = self._view.accounts.get(key.account)
        weight = terms.caller_weights.get(key.caller, 1.0) if terms else 1.0
        return self._usage.by_caller[key.account, key.caller] / weight

    def _weighted_flow_usage(self, key: FlowKey) -> float:
        terms = self._view.accounts.get(key.account)
        weight = terms.caller_weights.get(key.caller, 1.0) if terms else 1.0
        used = self._usage.by_flow[key.account, key.urgency, key.caller]
        return used / weight

    def restore(self, jobs: list[base.WaitingJob]) -> None:
        """Put picked jobs back at the head of their queues, oldest first."""
        for job in sorted(jobs, key=lambda job: job.order, reverse=True):
            key = FlowKey(job.account, job.spec.urgency, job.caller)
            self._queues[key].appendleft(job)

    def skip(self, job: base.WaitingJob) -> None:
        """Let later jobs overtake the job; drop its queue after too many.

        The queue of the job yields no more jobs in this round once more
        than the allowed number of its jobs were skipped.
        """
        key = FlowKey(job.account, job.spec.urgency, job.caller)
        self._skip_counts[key] += 1
        if self._skip_counts[key] > self._max_skips:
            self._queues.pop(key, None)
