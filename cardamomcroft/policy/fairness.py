"""Reclaim what is used beyond a fair part for those who are below it."""

import collections.abc
import datetime

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import granted
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.policy import order
from cardamomcroft.ports import messages

PATIENCE = datetime.timedelta(seconds=30)  # shorter waits reclaim nothing


class FairReclaimer:
    """Find cells whose borrowers are beyond their part of the fleet."""

    def __init__(
        self,
        ledger: ledgers.Ledger,
        flows: order.Flows,
        usage: order.Usage,
        requeue_s: float,
    ) -> None:
        """Work on a ledger; a unit put back in the queue costs a time."""
        self._ledger = ledger
        self._flows = flows
        self._usage = usage
        self._requeue_s = requeue_s
        self._left = dict(usage.by_account)
        self._left_of_caller = dict(usage.by_person)

    def plan(self, job: base.WaitingJob) -> granted.Plan | None:
        """Return a plan for a job that keeps within its fair part."""
        view = self._ledger.view
        if view.now - job.submitted_at < PATIENCE or not self._is_below(job):
            return None
        groups = ledgers.group_workers(
            self._ledger.workers.values(), job.spec.adjacency
        )
        plans = (self._plan_group(job, group) for group in groups)
        return min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: plan.lost_s,
            default=None,
        )

    def _is_below(self, job: base.WaitingJob) -> bool:
        """Tell whether the job fits its account's and caller's parts."""
        units = job.spec.members * max(1, job.spec.accelerators)
        share = self._flows.share_of(job.account)
        part = share / self._flows.callers_of(job.account)
        used = self._usage.by_account[job.account]
        by_caller = self._usage.by_person[job.account, job.caller]
        return used + units <= share or by_caller + units <= part

    def _is_eligible(self, gang: base.RunningGang, account: str) -> bool:
        """Tell whether a gang may be stopped in favour of an account."""
        if gang.job_id in self._ledger.stopping:
            return False
        if any(placement.grant for placement in gang.placements):
            return False
        units = sum(placement.cell.size for placement in gang.placements)
        share = self._flows.share_of(gang.account)
        if gang.account != account:
            return self._left.get(gang.account, 0) - units >= share
        part = share / self._flows.callers_of(account)
        key = (gang.account, gang.caller)
        return self._left_of_caller.get(key, 0) - units >= part

    def _plan_group(
        self, job: base.WaitingJob, group: list[base.WorkerView]
    ) -> granted.Plan | None:
        offers = []
        for worker in group:
            offers.extend(self._offers(job, worker))
        if len(offers) < job.spec.members:
            return None
        offers.sort(key=lambda offer: offer[0])
        chosen = offers[: job.spec.members]
        placements = tuple(placement for _, placement in chosen)
        victims = {}
        for placement in placements:
            mask = cells.mask_of(placement.cell)
            for gang in self._ledger.borrowers(placement.worker_id, mask):
                victims[gang.job_id] = gang
        lost_s = sum(cost for (cost, *_), _ in chosen)
        return granted.Plan(placements, tuple(victims.values()), lost_s=lost_s)

    def _offers(
        self, job: base.WaitingJob, worker: base.WorkerView
    ) -> collections.abc.Iterator[tuple[tuple, records.Placement]]:
        size = cells.member_size(job.spec, worker)
        if size is None:
            return
        for cell in cells.aligned_cells(worker.units, size):
            self._ledger.cells_examined += 1
            cost = self._cost(job.account, worker.worker_id, cell)
            if cost is not None:
                key = (cost, worker.worker_id, cell.start)
                yield key, records.Placement(worker.worker_id, cell)

    def _cost(
        self, account: str, worker_id: str, cell: messages.Cell
    ) -> float | None:
        """Return the member-seconds lost, None when it may not be had."""
        mask = cells.mask_of(cell)
        now = self._ledger.view.now
        seen = self._ledger.idle[worker_id] & mask
        lost_s = 0.0
        for used, gang in self._ledger.gangs_by_worker[worker_id]:
            if not used & mask:
                continue
            if not self._is_eligible(gang, account):
                return None
            seen |= used & mask
            ran_s = (now - gang.started_at).total_seconds()
            units = sum(placement.cell.size for placement in gang.placements)
            lost_s += ran_s * len(gang.placements) + self._requeue_s * units
        # What is neither idle nor a gang's is kept for another plan.
        return lost_s if seen == mask else None

    def note(
        self, victims: collections.abc.Iterable[base.RunningGang]
    ) -> None:
        """Count what victims will have left."""
        for gang in victims:
            units = sum(placement.cell.size for placement in gang.placements)
            self._left[gang.account] -= units
            self._left_of_caller[gang.account, gang.caller] -= units
