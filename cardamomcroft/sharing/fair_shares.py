"""Compare accounts by their shares of a service, and order jobs by them.

Load: one account floods a service while others submit now and then. Ordered
by deadline alone, the others' jobs wait behind the whole flood.
"""

import collections
import collections.abc
import datetime
import itertools
import math

from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import runs

# An account may exceed its fair share by half before its jobs come later:
# shares vary by whole gangs, and others seldom use theirs in full.
MAX_RATIO = 1.5
# Time constant of the recent use: a few run times of ordinary work, so that
# an account which floods in bursts stays above its share between them.
MEMORY = datetime.timedelta(seconds=30)
# Shares change with starts and ends; a sum over all runs in each round would
# slow down rounds with thousands of runs.
REFRESH_PERIOD = datetime.timedelta(milliseconds=400)
MIN_RECENT_SHARE = 0.001  # a smaller recent use is forgotten
MAX_SHOWN_ACCOUNTS = 50  # in metrics
_ZERO = datetime.timedelta()

# Cores, memory and accelerators, each as a part of a service's capacity.
Vector = tuple[float, float, float]
NOTHING: Vector = (0.0, 0.0, 0.0)
Tenant = tuple[str, str]  # a service and an account
# A key of module ordering and its job.
RankedJob = tuple[tuple, runs.JobState]


def fractions(demand: models.Demand, total: models.Demand) -> Vector:
    """Return a demand's parts of a capacity; none of what is not there."""
    return (
        demand.milli_cores / total.milli_cores if total.milli_cores else 0.0,
        demand.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        demand.accelerators / total.accelerators
        if total.accelerators
        else 0.0,
    )


def plus(left: Vector, right: Vector, factor: float = 1.0) -> Vector:
    """Return the sum of a vector and a multiple of another one."""
    return (
        left[0] + right[0] * factor,
        left[1] + right[1] * factor,
        left[2] + right[2] * factor,
    )


def weights(
    accounts: collections.abc.Iterable[str], guarantees: dict[str, int]
) -> dict[str, int]:
    """Return the accounts' weights: their guaranteed accelerators.

    An account without any weighs as much as the smallest guarantee, or its
    work would always come last.
    """
    smallest = min(
        (number for number in guarantees.values() if number), default=1
    )
    return {
        account: guarantees.get(account, 0) or smallest for account in accounts
    }


class FairShares:
    """Follow the accounts' shares of each service.

    Shares in use are derived from the runs. The recent use is in memory only
    and starts anew with each scheduler.
    """

    def __init__(self) -> None:
        """Start without any use."""
        self.totals_by_service: dict[str, models.Demand] = {}
        self._used_by_tenant: dict[Tenant, Vector] = {}
        self._recent_by_tenant: dict[Tenant, Vector] = {}
        self._ratio_by_tenant: dict[Tenant, float] = {}
        self._fair_by_tenant: dict[Tenant, float] = {}
        self._refreshed_at: datetime.timedelta | None = None

    def refresh(
        self,
        jobs: collections.abc.Iterable[runs.JobState],
        workers: collections.abc.Iterable[runs.Worker],
        guarantees: dict[str, int],
        now: datetime.timedelta,
    ) -> None:
        """Recompute the shares if the last computation is old enough."""
        earlier = self._refreshed_at
        if earlier is not None and now - earlier < REFRESH_PERIOD:
            return
        self._refreshed_at = now
        self._sum_use(workers)
        self._age_recent_use(_ZERO if earlier is None else now - earlier)
        active = set(self._used_by_tenant)
        active.update(
            (state.job.queue.service, state.job.account)
            for state in jobs
            if not state.final_state
        )
        self._divide(active, guarantees)

    def _sum_use(self, workers: collections.abc.Iterable[runs.Worker]) -> None:
        """Sum the capacity of listed workers and the demand of their runs."""
        totals: dict[str, models.Demand] = {}
        used: dict[Tenant, list[int]] = {}
        for worker in workers:
            if worker.listing is None:
                continue
            service = worker.listing.service
            total = totals.get(service, models.Demand())
            if not worker.is_evacuated:
                total = total.plus(capacities.capacity_of(worker.listing))
            totals[service] = total
            for run in worker.runs_by_task.values():
                model = run.step.model
                tenant = service, run.step.job.job.account
                sums = used.setdefault(tenant, [0, 0, 0])
                if not model.is_filling:
                    sums[0] += model.demand.milli_cores
                sums[1] += model.demand.memory_mb
                sums[2] += model.demand.accelerators
        self.totals_by_service = totals
        self._used_by_tenant = {
            tenant: fractions(models.Demand(*sums), totals[tenant[0]])
            for tenant, sums in used.items()
        }

    def _age_recent_use(self, elapsed: datetime.timedelta) -> None:
        weight = 1 - math.exp(-(elapsed / MEMORY))
        recent = {}
        for tenant in self._recent_by_tenant.keys() | self._used_by_tenant:
            old = self._recent_by_tenant.get(tenant, NOTHING)
            change = plus(self.used(tenant), old, -1.0)
            new = plus(old, change, weight)
            if max(new) >= MIN_RECENT_SHARE or tenant in self._used_by_tenant:
                recent[tenant] = new
        self._recent_by_tenant = recent

    def _divide(self, active: set[Tenant], guarantees: dict[str, int]) -> None:
        """Divide each service among the accounts that have work there."""
        weight_by_account = weights({name for _, name in active}, guarantees)
        sums: collections.Counter[str] = collections.Counter()
        for service, account in active:
            sums[service] += weight_by_account[account]
        self._fair_by_tenant = {
            (service, account): weight_by_account[account] / sums[service]
            for service, account in active
        }
        self._ratio_by_tenant = {
            tenant: self.share(tenant) / fair
            for tenant, fair in self._fair_by_tenant.items()
        }

    def used(self, tenant: Tenant) -> Vector:
        """Return what an account's runs use of a service."""
        return self._used_by_tenant.get(tenant, NOTHING)

    def share(self, tenant: Tenant) -> float:
        """Return an account's dominant share, in use or of late."""
        recent = self._recent_by_tenant.get(tenant, NOTHING)
        return max(*self.used(tenant), *recent)

    def fair(self, tenant: Tenant) -> float:
        """Return an account's fair share of a service."""
        return self._fair_by_tenant.get(tenant, 1.0)

    def limit(self, tenant: Tenant) -> float:
        """Return the share above which an account's jobs come later."""
        return self.fair(tenant) * MAX_RATIO

    def is_above(self, tenant: Tenant) -> bool:
        """Return whether an account's share is above its limit."""
        return self._ratio_by_tenant.get(tenant, 0.0) > MAX_RATIO

    def largest_ratios(self) -> dict[str, float]:
        """Return the accounts that are furthest above their fair shares.

        An account that uses several services has the largest ratio of them.
        """
        ratio_by_account: dict[str, float] = {}
        for (_, account), ratio in self._ratio_by_tenant.items():
            known = ratio_by_account.get(account, 0.0)
            ratio_by_account[account] = max(known, ratio)
        pairs = sorted(ratio_by_account.items(), key=lambda pair: -pair[1])
        return dict(pairs[:MAX_SHOWN_ACCOUNTS])

    def order(
        self, ranked: list[RankedJob], now: datetime.timedelta
    ) -> list[runs.JobState]:
        """Return the jobs with those of accounts above their shares later.

        They come after the others of their class of urgency only. The order
        among one account's jobs stays.
        """
        ordered = []
        for _, group in itertools.groupby(
            ranked, key=lambda pair: ordering.urgency_class(pair[0])
        ):
            ordered += self._order_class(list(group), now)
        return ordered

    def _order_class(
        self, ranked: list[RankedJob], now: datetime.timedelta
    ) -> list[runs.JobState]:
        """Order jobs of equal urgency."""
        turns = [
            (*self._turn(key, job, now), job)
            if self._is_shared(job) and self.is_above(_tenant_of(job))
            else (False, key, job)
            for key, job in ranked
        ]
        turns.sort(key=lambda turn: turn[:2])
        by_tenant: dict[Tenant, collections.deque] = {}
        for _, job in ranked:
            queue = by_tenant.setdefault(_tenant_of(job), collections.deque())
            queue.append(job)
        return [by_tenant[_tenant_of(job)].popleft() for _, _, job in turns]

    def _turn(
        self, key: tuple, job: runs.JobState, now: datetime.timedelta
    ) -> tuple[bool, tuple]:
        """Return whether a job of an account above its share comes later.

        If its recent use alone puts the account above, and it is left with
        less than its fair share, a job that has waited for its whole
        objective takes its turn as if it were submitted then, so that it
        cannot starve. An account that has its share now does not starve; its
        late jobs would precede those of others that have begun to be late.
        """
        tenant = _tenant_of(job)
        is_late = now > job.accepted_at + job.objective
        if not is_late or max(self.used(tenant)) >= self.fair(tenant):
            return True, key
        return False, ordering.as_submitted_later(key, job.objective)

    def _is_shared(self, state: runs.JobState) -> bool:
        """Return whether a job may come later; others have no objective."""
        return not state.job.is_lasting and not state.job.timetable


def _tenant_of(state: runs.JobState) -> Tenant:
    return state.job.queue.service, state.job.account
