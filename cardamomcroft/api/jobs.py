"""Handlers that submit, list, show and cancel jobs."""

import datetime
import uuid

from aiohttp import web
import expression

from cardamomcroft.api import auth
from cardamomcroft.api import bodies
from cardamomcroft.api import context as contexts
from cardamomcroft.api import errors
from cardamomcroft.api import settings
from cardamomcroft.jobs import views
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents
from cardamomcroft.state import jobs as folds
from cardamomcroft.state import models
from cardamomcroft.workers import fleet as fleets

SUBMIT_TIMEOUT = datetime.timedelta(seconds=5)
MAX_WAIT_STEP = datetime.timedelta(milliseconds=500)
MAX_LISTED_JOBS = 500


async def submit(request: web.Request) -> web.Response:
    """Submit a job, at most once for each idempotency key."""
    context = request.app[contexts.CONTEXT]
    identity = request[contexts.IDENTITY]
    if not isinstance(identity, auth.Caller):
        return errors.refuse(
            verdict.Reason.FORBIDDEN, "only callers submit jobs"
        )
    key = bodies.read_idempotency_key(request)
    if key.is_error():
        return errors.invalid(key.error, 400)
    checked = await bodies.read(request, documents.JobSpec)
    if checked.is_error():
        return errors.invalid(checked.error)
    refusal = _refuse_spec(context, identity, checked.ok)
    if refusal is not None:
        return refusal
    body = records.JobSubmitted(
        uuid.uuid4().hex,
        identity.account,
        identity.name,
        key.ok or uuid.uuid4().hex,
        folds.find_account(context.replica.state, identity.account).region,
        checked.ok,
    )
    return await _append_submission(context, body)


def _refuse_spec(
    context: contexts.Context,
    identity: auth.Caller,
    spec: documents.JobSpec,
) -> web.Response | None:
    state = context.replica.state
    account = folds.find_account(state, identity.account)
    if account.ends_at and context.clock.now() >= account.ends_at:
        return errors.refuse(
            verdict.Reason.FORBIDDEN,
            f"account {identity.account} ended at {account.ends_at}",
        )
    workers = fleets.Fleet().region(state, account.region).values()
    reason = context.policy.infeasibility_reason(
        spec,
        views.account_view(identity.account, account, context.clock.now()),
        tuple(map(fleets.to_view, workers)),
    )
    if reason is None:
        return None
    return errors.refuse(verdict.Reason.INVALID, f"can never run: {reason}")


async def _append_submission(
    context: contexts.Context, body: records.JobSubmitted
) -> web.Response:
    outcome = await context.appender.confirm(
        body, appenders.Priority.OPERATOR, SUBMIT_TIMEOUT
    )
    if outcome.is_error():
        return errors.respond(outcome.error)
    applied = outcome.ok
    if applied.accepted or applied.reason == "repeated key":
        job = context.replica.state.jobs[applied.entity_id]
        status = 201 if applied.accepted else 200
        return web.json_response(bodies.job_to_dict(job), status=status)
    return errors.refuse(verdict.Reason.CONFLICT, applied.reason)


async def _find_visible_job(
    request: web.Request,
) -> expression.Result[models.Job, verdict.Failure]:
    """Return a job that the caller may see.

    If this replica does not know the job yet, it is refreshed first; that
    there is no such job is said only as of the end of the log.
    """
    context = request.app[contexts.CONTEXT]
    job_id = request.match_info["job_id"]
    if job_id not in context.replica.state.jobs:
        refreshed = await clocks.within(
            context.clock, settings.APPLY_TIMEOUT, context.replica.refresh()
        )
        is_current = refreshed is not None and refreshed.is_ok()
        if not is_current and job_id not in context.replica.state.jobs:
            return expression.Error(_not_known_yet(job_id))
    job = context.replica.state.jobs.get(job_id)
    if job is None or not request[contexts.IDENTITY].may_see(job.account):
        return expression.Error(
            verdict.not_run(verdict.Reason.NOT_FOUND, f"no job {job_id}")
        )
    return expression.Ok(job)


def _not_known_yet(job_id: str) -> verdict.Failure:
    return verdict.not_run(
        verdict.Reason.UNAVAILABLE,
        f"job {job_id} is not known here and the platform log "
        "cannot be read to its end",
        appenders.RETRY_AFTER,
    )


async def status(request: web.Request) -> web.Response:
    """Return a job, after waiting up to ``wait_s`` for its end."""
    found = await _find_visible_job(request)
    if found.is_error():
        return errors.respond(found.error)
    try:
        wait_s = float(request.query.get("wait_s", "0"))
    except ValueError:
        return errors.refuse(
            verdict.Reason.INVALID, "wait_s must be a number", 400
        )
    if not 0 <= wait_s <= bodies.MAX_WAIT_S:
        return errors.refuse(
            verdict.Reason.INVALID,
            f"wait_s must be from 0 to {bodies.MAX_WAIT_S:g}",
            400,
        )
    context = request.app[contexts.CONTEXT]
    job = await _wait_for_end(context, found.ok, wait_s)
    return web.json_response(bodies.job_to_dict(job))


async def _wait_for_end(
    context: contexts.Context, job: models.Job, wait_s: float
) -> models.Job:
    deadline = context.clock.monotonic() + datetime.timedelta(seconds=wait_s)
    while not job.phase.is_final:
        remaining = deadline - context.clock.monotonic()
        if remaining <= datetime.timedelta() or context.is_leaving():
            break
        step = min(remaining, MAX_WAIT_STEP)
        await clocks.within(context.clock, step, context.replica.changed())
        job = context.replica.state.jobs.get(job.job_id, job)
    return job


async def list_jobs(request: web.Request) -> web.Response:
    """Return the newest visible jobs, up to MAX_LISTED_JOBS."""
    context = request.app[contexts.CONTEXT]
    identity = request[contexts.IDENTITY]
    jobs = [
        job
        for job in context.replica.state.jobs.values()
        if identity.may_see(job.account)
    ]
    jobs.sort(key=lambda job: -job.submitted_offset)
    return web.json_response(
        {"jobs": [*map(bodies.job_to_dict, jobs[:MAX_LISTED_JOBS])]}
    )


async def cancel(request: web.Request) -> web.Response:
    """Request cancellation; the job's status shows when it has ended."""
    found = await _find_visible_job(request)
    if found.is_error():
        return errors.respond(found.error)
    context = request.app[contexts.CONTEXT]
    identity = request[contexts.IDENTITY]
    outcome = await context.appender.confirm(
        records.JobCancelled(found.ok.job_id, identity.name),
        appenders.Priority.OPERATOR,
        SUBMIT_TIMEOUT,
    )
    if outcome.is_error():
        return errors.respond(outcome.error)
    if not outcome.ok.accepted:
        return errors.refuse(verdict.Reason.CONFLICT, outcome.ok.reason)
    job = context.replica.state.jobs[found.ok.job_id]
    return web.json_response(bodies.job_to_dict(job), status=202)


ROUTES = (
    settings.Route("POST", "/v1/jobs", submit),
    settings.Route("GET", "/v1/jobs", list_jobs),
    settings.Route("GET", "/v1/jobs/{job_id}", status),
    settings.Route("DELETE", "/v1/jobs/{job_id}", cancel),
)
