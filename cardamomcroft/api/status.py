"""Handlers that report the state of instance, peers and workers."""

from aiohttp import web

from cardamomcroft.api import auth
from cardamomcroft.api import context as contexts
from cardamomcroft.api import errors
from cardamomcroft.api import settings
from cardamomcroft.ports import verdict
from cardamomcroft.workers import fleet as fleets


async def health(request: web.Request) -> web.Response:
    """Report liveness; answers as long as the event loop runs."""
    return web.json_response({"status": "ok"})


async def ready(request: web.Request) -> web.Response:
    """Report readiness to the load balancer: 200 only while serving."""
    lifecycle = request.app[contexts.CONTEXT].lifecycle
    is_ready = lifecycle.state == "serving"
    return web.json_response(
        {"state": lifecycle.state}, status=200 if is_ready else 503
    )


async def state(request: web.Request) -> web.Response:
    """Return this instance's log position, counts and claims."""
    context = request.app[contexts.CONTEXT]
    folded = context.replica.state
    return web.json_response(
        {
            "instance_id": context.settings.instance_id,
            "incarnation": context.incarnation,
            "region": context.settings.region,
            "lifecycle": context.lifecycle.state,
            "applied": folded.applied,
            "log_reachable": context.replica.reachable,
            "records_pending": len(context.appender.pending()),
            "settings": len(folded.settings),
            "jobs": len(folded.jobs),
            "claims": {
                region: {
                    "epoch": claim.epoch,
                    "incarnation": claim.incarnation,
                }
                for region, claim in folded.claims.items()
            },
            "holds_claim": context.scheduler.holds_claim(),
        }
    )


def _refuse_caller(request: web.Request) -> web.Response | None:
    if isinstance(request[contexts.IDENTITY], auth.Operator):
        return None
    return errors.refuse(
        verdict.Reason.FORBIDDEN, "only operators see the fleet"
    )


async def workers(request: web.Request) -> web.Response:
    """Return the declared workers with their numbers of tasks."""
    refusal = _refuse_caller(request)
    if refusal is not None:
        return refusal
    context = request.app[contexts.CONTEXT]
    folded = context.replica.state
    rows = [
        {
            "worker_id": located.worker_id,
            "region": located.region,
            "data_centre": located.data_centre,
            "rack": located.rack,
            "accelerators": located.worker.accelerators,
            "leaving": context.membership.is_worker_leaving(located.worker_id),
            "tasks": len(folded.tasks_by_worker.get(located.worker_id, ())),
        }
        for located in fleets.Fleet().by_id(folded).values()
    ]
    return web.json_response({"workers": rows})


async def instances(request: web.Request) -> web.Response:
    """Return the instances that this instance knows and their liveness."""
    refusal = _refuse_caller(request)
    if refusal is not None:
        return refusal
    context = request.app[contexts.CONTEXT]
    membership = context.membership
    rows = [
        {
            "instance_id": membership.instance_id,
            "live": True,
            "region": context.settings.region,
            "applied": context.replica.state.applied,
        }
    ]
    for member in sorted(
        membership.by_id.values(), key=lambda member: member.instance_id
    ):
        digest = member.digest
        rows.append(
            {
                "instance_id": member.instance_id,
                "live": membership.is_live(member.instance_id),
                "region": digest.region if digest else None,
                "applied": digest.applied if digest else None,
            }
        )
    return web.json_response({"instances": rows})


ROUTES = (
    settings.Route("GET", "/healthz", health),
    settings.Route("GET", "/readyz", ready),
    settings.Route("GET", "/v1/state", state),
    settings.Route("GET", "/v1/workers", workers),
    settings.Route("GET", "/v1/instances", instances),
)
