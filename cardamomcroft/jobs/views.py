"""Build the scheduling policy's view of the state."""

import collections.abc
import datetime

from cardamomcroft.policy import base
from cardamomcroft.policy import estimates
from cardamomcroft.settings import documents
from cardamomcroft.state import models


def account_views(
    state: models.State, region: str, now: datetime.datetime
) -> dict[str, base.AccountView]:
    """Return the accounts of a region as policies see them."""
    accounts = {}
    for path, entry in state.settings.items():
        document = entry.document
        if not isinstance(document, documents.Account):
            continue
        if document.region == region:
            _, team, _, name = path.split("/")
            account = f"{team}/{name}"
            accounts[account] = account_view(account, document, now)
    return accounts


def account_view(
    account: str, document: documents.Account, now: datetime.datetime
) -> base.AccountView:
    """Return an account as policies see it; past its end, no guarantee."""
    ended = document.ends_at is not None and now >= document.ends_at
    return base.AccountView(
        account,
        document.weight,
        () if ended else document.guarantee,
        {name: caller.weight for name, caller in document.callers.items()},
    )


def waiting_job(job: models.Job) -> base.WaitingJob:
    """Return a queued job as policies see it."""
    return base.WaitingJob(
        job.job_id,
        job.account,
        job.caller,
        job.spec,
        job.submitted_at,
        job.submitted_offset,
        job.checkpoint_s,
    )


def running_gang(
    job: models.Job, now: datetime.datetime, stopping: bool
) -> base.RunningGang:
    """Return a started job as policies see it, less finished members."""
    placements = tuple(
        placement
        for member, placement in enumerate(job.placements)
        if member not in job.finished
    )
    return base.RunningGang(
        job.job_id,
        job.account,
        job.caller,
        job.spec,
        placements,
        job.started_at or now,
        stopping,
    )


def build(
    state: models.State,
    region: str,
    now: datetime.datetime,
    workers: tuple[base.WorkerView, ...],
    launching: collections.abc.Iterable[base.RunningGang],
    is_deferred: collections.abc.Callable[[models.Job], bool],
    stopping: collections.abc.Set[str] = frozenset(),
    job_estimates: estimates.Estimates = base.NO_ESTIMATES,
    plans: tuple[base.GangStart, ...] = (),
) -> base.View:
    """Return the policy's view; jobs being launched count as running."""
    launching = tuple(launching)
    launching_ids = {gang.job_id for gang in launching}
    waiting, running = [], list(launching)
    for job in state.jobs.values():
        if job.region != region or job.job_id in launching_ids:
            continue
        if job.phase is models.Phase.QUEUED and not is_deferred(job):
            waiting.append(waiting_job(job))
        elif job.placements and not job.phase.is_final:
            is_stopping = (
                job.phase is models.Phase.ENDING or job.job_id in stopping
            )
            running.append(running_gang(job, now, is_stopping))
    waiting.sort(key=lambda job: job.order)
    return base.View(
        now,
        workers,
        account_views(state, region, now),
        tuple(waiting),
        tuple(running),
        job_estimates,
        plans,
    )
