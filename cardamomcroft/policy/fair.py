"""Place guaranteed work first, then backfill by fair shares."""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.policy import base
from cardamomcroft.policy import borrowed
from cardamomcroft.policy import fair_reclaim
from cardamomcroft.policy import fifo
from cardamomcroft.policy import granted
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.policy import order
from cardamomcroft.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Select the rules and limits of one version of the policy."""

    name: str
    max_granted_tries: int = 16  # jobs tried per account and round
    max_borrowed_tries: int = 64  # jobs tried per round, all accounts
    max_skips: int = 8  # blocked jobs that later ones of a queue may overtake
    max_reservations: int = 4  # blocked gangs with reserved cells, per round
    min_batch_share: float = 0.1  # of an account's units, left to its batch
    borrows_first: tuple[documents.Urgency, ...] = ()  # idle cells, then grant
    resumes_plans: bool = False  # reclaimed cells stay with their job
    callers_before_classes: bool = False  # rank caller usage before class
    requeue_cost_s: float = 0.0  # member-seconds added per reclaimed unit
    batch_headroom: float = 0.0  # fraction of the units that batch leaves idle
    exempts_within_share: bool = False  # no headroom rule below the fair share
    max_reclaim_tries: int = 0  # jobs per round, reclaim above fair shares
    least_work_first: bool = False  # among jobs within their fair share
    class_weights: tuple[float, float, float] = (8.0, 3.0, 1.0)  # by urgency


class _Round:
    """Compute one decision on a working copy of the view."""

    def __init__(self, view: base.View, options: Options) -> None:
        self.view = view
        self.options = options
        self.ledger = ledgers.Ledger(view)
        self.usage = order.Usage()
        for gang in view.running:
            self.usage.add(
                gang.account,
                gang.spec.urgency,
                gang.caller,
                sum(placement.cell.size for placement in gang.placements),
            )
        self.flows = order.Flows(
            view,
            self.usage,
            options.max_skips,
            options.class_weights,
            options.callers_before_classes,
            options.least_work_first,
        )
        self.granted_placer = granted.GrantedPlacer(
            self.ledger, options.requeue_cost_s
        )
        self.reclaimer = fair_reclaim.FairReclaimer(
            self.ledger, self.flows, self.usage, options.requeue_cost_s
        )
        self.reclaim_tries_left = options.max_reclaim_tries
        self.borrowed_placer = borrowed.BorrowedPlacer(self.ledger)
        self.starts: list[base.GangStart] = []
        self.stops: list[base.GangStop] = []
        self.plans: list[base.GangStart] = []
        self.jobs_examined = 0

    def run(self) -> base.Decision:
        """Place jobs under guarantees first, then on the remaining cells."""
        if self.options.resumes_plans:
            self._resume_plans()
        skipped = []
        for account in self.flows.accounts():
            terms = self.view.accounts.get(account)
            if terms is not None and terms.guarantee:
                skipped.extend(self._grant_account(account))
        not_placed = [job for job in skipped if not self._borrow_first(job)]
        self.flows.restore(not_placed)
        self._backfill()
        return base.Decision(
            tuple(self.starts),
            tuple(self.stops),
            tuple(self.plans),
            self.ledger.cells_examined,
            self.jobs_examined,
        )

    def _grant_account(self, account: str) -> list[base.WaitingJob]:
        """Place jobs that fit the account's guarantee; return the others."""
        skipped = []
        for _ in range(self.options.max_granted_tries):
            job = self.flows.pick(account)
            if job is None:
                break
            self.jobs_examined += 1
            if job.spec.urgency in self.options.borrows_first:
                skipped.append(job)
            elif not self._grant_job(job):
                skipped.append(job)
        return skipped

    def _grant_job(self, job: base.WaitingJob) -> bool:
        plan = self.granted_placer.plan(job)
        if plan is None and job.spec.urgency is documents.Urgency.URGENT:
            plan = self.granted_placer.plan(job, self._demotable(job.account))
        if plan is not None:
            self._apply_plan(job, plan)
        return plan is not None

    def _borrow_first(self, job: base.WaitingJob) -> bool:
        """Place a job of a borrowing class, on idle cells if possible.

        Such a class uses its account's guarantee only if no idle cells fit.
        """
        if job.spec.urgency not in self.options.borrows_first:
            return False
        return self._borrow(job) or self._grant_job(job)

    def _demotable(self, account: str) -> frozenset[str]:
        """Return the account's batch gangs above its minimum batch share.

        The most recently started gangs are chosen first.
        """
        gangs = [
            gang
            for gang in self.view.running
            if gang.account == account
            and gang.spec.urgency is documents.Urgency.BATCH
        ]
        min_units = (
            self.options.min_batch_share * self.usage.by_account[account]
        )
        units_left = self.usage.by_class[account, documents.Urgency.BATCH]
        chosen = set()
        for gang in sorted(gangs, key=lambda gang: gang.started_at)[::-1]:
            units = sum(placement.cell.size for placement in gang.placements)
            if gang.job_id in self.ledger.stopping:
                chosen.add(gang.job_id)
            elif units_left - units >= min_units:
                chosen.add(gang.job_id)
            units_left -= units
        return frozenset(chosen)

    def _apply_plan(self, job: base.WaitingJob, plan: granted.Plan) -> None:
        """Start the job, or stop the victims and keep the cells for it."""
        if self.ledger.is_idle(plan.placements):
            self._start(job, plan.placements)
            return
        for gang in plan.victims:
            self.ledger.stopping.add(gang.job_id)
            self.stops.append(base.GangStop(gang.job_id, job.account))
        self.ledger.occupy(plan.placements)
        self.plans.append(base.GangStart(job.job_id, plan.placements))

    def _resume_plans(self) -> None:
        """Start jobs whose reclaimed cells are idle; keep the other plans.

        A plan whose cells cannot be secured any more is dropped, and its
        job goes back to normal placement.
        """
        waiting = {job.job_id: job for job in self.view.waiting}
        for plan in self.view.plans:
            job = waiting.get(plan.job_id)
            if job is None:
                continue
            is_idle = self.ledger.is_idle(plan.placements)
            if not self.ledger.resume(job.account, plan.placements):
                continue
            self.flows.remove(job)
            if is_idle:
                self._record_start(job, plan.placements)
            else:
                self.plans.append(plan)

    def _start(self, job: base.WaitingJob, placements) -> None:
        self.ledger.occupy(placements)
        self._record_start(job, placements)

    def _record_start(self, job: base.WaitingJob, placements) -> None:
        self.starts.append(base.GangStart(job.job_id, placements))
        self.usage.add(
            job.account,
            job.spec.urgency,
            job.caller,
            sum(placement.cell.size for placement in placements),
        )

    def _borrow(self, job: base.WaitingJob) -> bool:
        """Start the job on idle cells not reserved before its expected end."""
        if not self._leaves_headroom(job):
            return False
        run_time = self.view.run_times.run_time(
            job.account, job.spec, job.checkpoint_s
        )
        placements = self.borrowed_placer.place(job, self.view.now + run_time)
        if placements:
            self._start(job, placements)
        return bool(placements)

    def _leaves_headroom(self, job: base.WaitingJob) -> bool:
        """Return whether the job leaves the headroom for urgent work.

        Only batch work is held to it.
        """
        if job.spec.urgency is not documents.Urgency.BATCH:
            return True
        if self.options.exempts_within_share:
            used = self.usage.by_account[job.account]
            if used < self.flows.fair_share(job.account):
                return True
        units = job.spec.members * max(1, job.spec.accelerators)
        idle = sum(mask.bit_count() for mask in self.ledger.idle.values())
        total = sum(mask.bit_count() for mask in self.ledger.full.values())
        return idle - units >= self.options.batch_headroom * total

    def _backfill(self) -> None:
        reserved_accounts = set()
        for _ in range(self.options.max_borrowed_tries):
            job = self.flows.pick()
            if job is None:
                return
            self.jobs_examined += 1
            if self._borrow(job):
                continue
            if self._reclaim_fairly(job):
                continue
            self.flows.skip(job)
            may_reserve = (
                job.account not in reserved_accounts
                and len(reserved_accounts) < self.options.max_reservations
            )
            if may_reserve:
                reserved_accounts.add(job.account)
                self.borrowed_placer.reserve(job, self._expected_end)

    def _reclaim_fairly(self, job: base.WaitingJob) -> bool:
        if self.reclaim_tries_left <= 0:
            return False
        self.reclaim_tries_left -= 1
        plan = self.reclaimer.plan(job)
        if plan is None:
            return False
        self.reclaimer.record_stops(plan.victims)
        self._apply_plan(job, plan)
        return True

    def _expected_end(self, gang: base.RunningGang) -> datetime.datetime:
        if gang.stopping or gang.job_id in self.ledger.stopping:
            return self.view.now
        return self.view.run_times.expected_end(
            gang.account, gang.spec, gang.started_at, self.view.now
        )


class FairPolicy(base.Policy):
    """Keep every guarantee reclaimable and share the rest by weight."""

    def __init__(self, options: Options) -> None:
        """Create the policy version that the options describe."""
        self.name = options.name
        self._options = options

    def decide(self, view: base.View) -> base.Decision:
        """Return the next starts and stops."""
        if not view.waiting:
            return base.Decision()
        return _Round(view, self._options).run()

    def infeasibility_reason(
        self,
        spec: documents.JobSpec,
        account: base.AccountView,
        workers: collections.abc.Sequence[base.WorkerView],
    ) -> str | None:
        """Return why the job can never run, or None if it can."""
        return fifo.infeasibility_reason(spec, workers)
