"""Shared context and authentication of the request handlers."""

import dataclasses

from aiohttp import web

from cardamomcroft.api import auth
from cardamomcroft.api import errors
from cardamomcroft.jobs import scheduler as schedulers
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.policy import base as policies
from cardamomcroft.ports import base
from cardamomcroft.ports import verdict
from cardamomcroft.requests import router as routers
from cardamomcroft.settings import instance


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Roles and adapters that the request handlers use."""

    settings: instance.InstanceSettings
    incarnation: str
    replica: replicas.Replica
    appender: appenders.Appender
    membership: members.Membership
    scheduler: schedulers.Scheduler
    router: routers.Router
    policy: policies.Policy
    clock: base.Clock
    metrics: base.Metrics
    authenticator: auth.Authenticator
    lifecycle: object

    def is_leaving(self) -> bool:
        """Return whether the instance is draining or has stopped."""
        return self.lifecycle.state in ("draining", "stopped")


CONTEXT: web.AppKey[Context] = web.AppKey("context", Context)
IDENTITY: web.RequestKey[object] = web.RequestKey("identity", object)
OPEN_PATHS = frozenset({"/healthz", "/readyz"})


@web.middleware
async def identity_middleware(request: web.Request, handler):
    """Reject requests without a known token, except on open paths."""
    if request.path in OPEN_PATHS:
        return await handler(request)
    context = request.app[CONTEXT]
    identity = context.authenticator.identify(
        request.headers.get("Authorization", ""), context.replica.state
    )
    # Until then a token may be unknown, or be one that has been removed.
    is_loaded = context.replica.caught_up
    if not is_loaded and not auth.is_of_the_fleet(identity):
        return errors.respond(
            verdict.not_run(
                verdict.Reason.UNAVAILABLE,
                "the settings that name the tokens are not loaded yet",
                appenders.RETRY_AFTER,
            )
        )
    if identity is None:
        return errors.refuse(
            verdict.Reason.UNAUTHORIZED, "a known bearer token is required"
        )
    request[IDENTITY] = identity
    return await handler(request)
