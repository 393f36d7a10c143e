"""Forecast the waits of each queue and account, and refuse by them.

Load: a flood that cannot be served. The account above its share waits longest
and is told so first; the others' jobs are accepted, as they come before it.
"""

import collections.abc
import dataclasses
import datetime
import math
import random

from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import backlogs
from cardamomcroft.sharing import fair_shares

# Bounds what a renewal of the claim takes: about 2 kB every 0.4 s. Accounts
# beyond it are told their queue's shorter wait.
MAX_ACCOUNT_ENTRIES = 64
# Callers that were refused at the same time return spread over a quarter of
# the wait. The header has whole seconds, so over one second at least.
SPREAD_DIVISOR = 4
MAX_UNSPREAD_RETRY_S = (
    queue_waits.MAX_RETRY_S * SPREAD_DIVISOR // (SPREAD_DIVISOR + 1)
)
_SEPARATOR = "\n"
_MS_PER_SECOND = 1000
_ZERO = datetime.timedelta()

BacklogsByPriority = dict[int, dict[str, backlogs.Backlog]]


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """The wait that an account's new job is expected to have."""

    wait: datetime.timedelta
    age: datetime.timedelta  # of the forecast


def entry_name(queue: str, account: str) -> str:
    """Return the name of an account's entry beside that of its queue."""
    return f"{queue}{_SEPARATOR}{account}"


def wait_ms(waits: dict[str, int], queue: str, account: str) -> int:
    """Return an account's entry, or that of its queue."""
    default = waits.get(queue, 0)
    return waits.get(entry_name(queue, account), default)


def retry_after_s(
    job: models.Job,
    wait: datetime.timedelta,
    rng: random.Random,
    durations: estimates.RunTimes | None = None,
) -> int | None:
    """Return when a job should be submitted again; None to accept it now.

    A job is refused only if it could not end by its final deadline. It should
    return when the work before it has begun: of callers that return as soon
    as one of them could be served, all others are refused again.
    """
    if queue_waits.retry_after_s(job, wait, durations) is None:
        return None
    seconds = min(math.ceil(wait.total_seconds()), MAX_UNSPREAD_RETRY_S)
    return seconds + rng.randint(0, max(seconds // SPREAD_DIVISOR, 1))


class AccountForecast(queue_waits.Forecast):
    """Expected waits by queue and account, recomputed once a second.

    A queue's entry is for accounts within their shares.
    """

    def __init__(
        self,
        shares: fair_shares.FairShares,
        guarantees: collections.abc.Callable[[], dict[str, int]],
        lead: datetime.timedelta,
        valid_from: collections.abc.Callable[[], datetime.timedelta],
    ) -> None:
        """Forecast by these shares.

        ``lead`` is the time from a stop to the start in its place. Before
        ``valid_from``, workers may be missing whose entries have expired.
        """
        super().__init__()
        self._shares = shares
        self._guarantees = guarantees
        self._lead = lead
        self._valid_from = valid_from

    def refresh(
        self,
        jobs: collections.abc.Collection[runs.JobState],
        workers: collections.abc.Iterable[runs.Worker],
        durations: estimates.RunTimes,
        now: datetime.timedelta,
        wall: datetime.datetime,
    ) -> None:
        """Recompute the waits if the last computation is old enough.

        Without a valid computation there are no waits.
        """
        if now < self._valid_from():
            self.wait_ms_by_queue = {}
            return
        if now < self._next_at:
            return
        self._next_at = now + queue_waits.REFRESH_PERIOD
        self.wait_ms_by_queue = {}
        queues = {job.job.queue for job in jobs}
        found = self._collect(jobs, durations, now, wall)
        all_workers = list(workers)
        waits: dict[str, int] = {}
        for service, by_priority in found.items():
            served = [
                worker
                for worker in all_workers
                if worker.listing and worker.listing.service == service
            ]
            total = self._shares.totals_by_service[service]
            room = backlogs.Room(served, total)
            if room.has_room_for(_all(by_priority)):
                continue
            room.foresee_ends(durations, now, self._lead)
            for queue in queues:
                if queue.service == service:
                    waits |= self._waits_of(queue, by_priority, room, jobs)
        self.wait_ms_by_queue = _bounded(waits)

    def _collect(
        self,
        jobs: collections.abc.Iterable[runs.JobState],
        durations: estimates.RunTimes,
        now: datetime.timedelta,
        wall: datetime.datetime,
    ) -> dict[str, BacklogsByPriority]:
        """Sum what waits, by service, priority and account."""
        found: dict[str, BacklogsByPriority] = {}
        for job in jobs:
            queue = job.job.queue
            total = self._shares.totals_by_service.get(queue.service)
            if total is None or job.final_state or job.is_cancelled:
                continue
            ordering.refresh_objective(job, now, durations)
            if ordering.is_past_final_deadline(job, now, job.objective):
                continue
            by_account = found.setdefault(queue.service, {}).setdefault(
                queue.priority, {}
            )
            backlog = by_account.setdefault(
                job.job.account, backlogs.Backlog()
            )
            backlogs.add_job(backlog, job, total, durations, wall)
        return found

    def _waits_of(
        self,
        queue: models.Queue,
        by_priority: BacklogsByPriority,
        room: backlogs.Room,
        jobs: collections.abc.Iterable[runs.JobState],
    ) -> dict[str, int]:
        """Return the waits of a queue and of its accounts, if they differ."""
        more_urgent = [
            backlog
            for priority, by_account in sorted(by_priority.items())
            if priority < queue.priority
            for backlog in by_account.values()
        ]
        equal = by_priority.get(queue.priority, {})

        def seconds(preceding: list[backlogs.Backlog]) -> float:
            return room.seconds_to_begin(preceding, queue.priority, self._lead)

        within_shares = [
            backlog.part(self._share_within(queue.service, account, backlog))
            for account, backlog in equal.items()
        ]
        usual_s = seconds(more_urgent + within_shares)
        heavy = [
            account
            for account in equal
            if self._is_heavy(queue, account, by_priority)
        ]
        wait_s_by_account = {}
        if heavy:
            urgent_s = seconds(more_urgent) if more_urgent else 0.0
            last_s = seconds(more_urgent + list(equal.values()))
            for account in heavy:
                drain_s = urgent_s + self._drain_s(
                    queue.service, account, equal[account]
                )
                own_s = max(usual_s, min(drain_s, last_s))
                wait_s_by_account[account] = own_s
        if queue.priority == 0:
            wait_s_by_account |= self._guaranteed_waits(jobs)
        return _entries(queue.name, usual_s, wait_s_by_account)

    def _share_within(
        self, service: str, account: str, backlog: backlogs.Backlog
    ) -> float:
        """Return which part of its work fits an account's share."""
        tenant = service, account
        if self._shares.is_above(tenant):
            return 0.0
        left = self._shares.limit(tenant) - max(self._shares.used(tenant))
        need = max(backlog.demand)
        return 1.0 if need <= left else max(left, 0.0) / need

    def _is_heavy(
        self,
        queue: models.Queue,
        account: str,
        by_priority: BacklogsByPriority,
    ) -> bool:
        """Return whether an account's next job would be above its share."""
        tenant = queue.service, account
        wanted = self._shares.used(tenant)
        for priority, by_account in by_priority.items():
            if priority <= queue.priority and account in by_account:
                wanted = fair_shares.plus(wanted, by_account[account].demand)
        return self._shares.is_above(tenant) or max(
            wanted
        ) > self._shares.limit(tenant)

    def _drain_s(
        self, service: str, account: str, backlog: backlogs.Backlog
    ) -> float:
        """Return how long an account's fair share takes for its work."""
        return max(backlog.work_s) / self._shares.fair((service, account))

    def _guaranteed_waits(
        self, jobs: collections.abc.Iterable[runs.JobState]
    ) -> dict[str, float]:
        """Return no wait for accounts whose urgent work is guaranteed."""
        guarantees = self._guarantees()
        served = ordering.guaranteed_accounts(jobs, guarantees)
        wanting = {
            job.job.account
            for job in jobs
            if job.job.queue.priority == 0 and not job.final_state
        }
        return {
            account: 0.0
            for account, accelerators in guarantees.items()
            if accelerators and (account in served or account not in wanting)
        }


def _all(by_priority: BacklogsByPriority) -> list[backlogs.Backlog]:
    return [
        backlog
        for by_account in by_priority.values()
        for backlog in by_account.values()
    ]


def _entries(
    queue: str, usual_s: float, wait_s_by_account: dict[str, float]
) -> dict[str, int]:
    """Return entries in whole seconds; without one there is no wait."""
    entries = {}
    if usual_s >= 1:
        entries[queue] = int(usual_s) * _MS_PER_SECOND
    for account, wait_s in wait_s_by_account.items():
        if int(wait_s) != int(usual_s) and _SEPARATOR not in account:
            name = entry_name(queue, account)
            entries[name] = int(wait_s) * _MS_PER_SECOND
    return entries


def _bounded(waits: dict[str, int]) -> dict[str, int]:
    """Drop entries of accounts beyond the bound, the shortest waits last.

    An entry without a wait is kept first: without it a job that is served at
    once might be refused.
    """
    names = [name for name in waits if _SEPARATOR in name]
    names.sort(key=lambda name: (waits[name] > 0, -waits[name]))
    dropped = set(names[MAX_ACCOUNT_ENTRIES:])
    return {name: ms for name, ms in waits.items() if name not in dropped}
