"""Reclaim units used above a fair share for jobs that are below theirs."""

import collections.abc
import datetime

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import granted
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.policy import order
from cardamomcroft.ports import messages

# Jobs that have waited for less time reclaim nothing.
MIN_RECLAIM_WAIT = datetime.timedelta(seconds=30)


class FairReclaimer:
    """Find cells whose borrowers are above their fair share."""

    def __init__(
        self,
        ledger: ledgers.Ledger,
        flows: order.Flows,
        usage: order.Usage,
        requeue_cost_s: float,
    ) -> None:
        """Charge ``requeue_cost_s`` for each unit of a victim."""
        self._ledger = ledger
        self._flows = flows
        self._usage = usage
        self._requeue_cost_s = requeue_cost_s
        self._units_left = dict(usage.by_account)
        self._units_left_by_caller = dict(usage.by_caller)

    def plan(self, job: base.WaitingJob) -> granted.Plan | None:
        """Return the cheapest plan for a job within its fair share."""
        view = self._ledger.view
        if (
            view.now - job.submitted_at < MIN_RECLAIM_WAIT
            or not self._fits_fair_share(job)
        ):
            return None
        groups = ledgers.group_workers(
            self._ledger.workers.values(), job.spec.adjacency
        )
        plans = (self._plan_group(job, group) for group in groups)
        return min(
            (plan for plan in plans if plan is not None),
            key=lambda plan: plan.lost_member_s,
            default=None,
        )

    def _fits_fair_share(self, job: base.WaitingJob) -> bool:
        """Return whether the job fits its account's or caller's share."""
        units = job.spec.members * max(1, job.spec.accelerators)
        share = self._flows.fair_share(job.account)
        caller_share = share / self._flows.waiting_caller_count(job.account)
        used = self._usage.by_account[job.account]
        caller_units = self._usage.by_caller[job.account, job.caller]
        return used + units <= share or caller_units + units <= caller_share

    def _may_preempt(self, gang: base.RunningGang, account: str) -> bool:
        """Return whether a gang may be stopped for a job of the account.

        Stopping it must leave its account, or its caller if the account is
        the same, with no less than the fair share.
        """
        if gang.job_id in self._ledger.stopping:
            return False
        if any(placement.grant for placement in gang.placements):
            return False
        units = sum(placement.cell.size for placement in gang.placements)
        share = self._flows.fair_share(gang.account)
        if gang.account != account:
            return self._units_left.get(gang.account, 0) - units >= share
        caller_share = share / self._flows.waiting_caller_count(account)
        key = (gang.account, gang.caller)
        return self._units_left_by_caller.get(key, 0) - units >= caller_share

    def _plan_group(
        self, job: base.WaitingJob, group: list[base.WorkerView]
    ) -> granted.Plan | None:
        candidates = []
        for worker in group:
            candidates.extend(self._candidate_cells(job, worker))
        if len(candidates) < job.spec.members:
            return None
        candidates.sort(key=lambda candidate: candidate[0])
        chosen = candidates[: job.spec.members]
        placements = tuple(placement for _, placement in chosen)
        victims = {}
        for placement in placements:
            mask = cells.mask_of(placement.cell)
            for gang in self._ledger.borrowers(placement.worker_id, mask):
                victims[gang.job_id] = gang
        lost_member_s = sum(cost for (cost, *_), _ in chosen)
        return granted.Plan(
            placements, tuple(victims.values()), lost_member_s=lost_member_s
        )

    def _candidate_cells(
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
        """Return the preemption cost in member-seconds.

        Return None if the cell cannot be reclaimed.
        """
        mask = cells.mask_of(cell)
        now = self._ledger.view.now
        covered = self._ledger.idle[worker_id] & mask
        lost_member_s = 0.0
        for used, gang in self._ledger.gangs_by_worker[worker_id]:
            if not used & mask:
                continue
            if not self._may_preempt(gang, account):
                return None
            covered |= used & mask
            ran_s = (now - gang.started_at).total_seconds()
            units = sum(placement.cell.size for placement in gang.placements)
            lost_member_s += (
                ran_s * len(gang.placements) + self._requeue_cost_s * units
            )
        # Units that are neither idle nor used by a gang belong to a plan.
        return lost_member_s if covered == mask else None

    def record_stops(
        self, victims: collections.abc.Iterable[base.RunningGang]
    ) -> None:
        """Subtract the victims' units from what their owners have left."""
        for gang in victims:
            units = sum(placement.cell.size for placement in gang.placements)
            self._units_left[gang.account] -= units
            self._units_left_by_caller[gang.account, gang.caller] -= units
