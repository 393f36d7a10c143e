"""Bundle what the handlers work with."""

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
    """Hold the roles that answer callers and operators."""

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
        """Tell whether a planned stop is under way."""
        return self.lifecycle.state in ("draining", "stopped")


CONTEXT: web.AppKey[Context] = web.AppKey("context", Context)
IDENTITY: web.RequestKey[object] = web.RequestKey("identity", object)
OPEN_PATHS = frozenset({"/healthz", "/readyz"})


@web.middleware
async def identity_middleware(request: web.Request, handler):
    """Refuse whoever holds no known token."""
    if request.path in OPEN_PATHS:
        return await handler(request)
    context = request.app[CONTEXT]
    identity = context.authenticator.identify(
        request.headers.get("Authorization", ""), context.replica.state
    )
    if identity is None:
        return errors.refuse(
            verdict.Reason.UNAUTHORIZED, "a known bearer token is needed"
        )
    request[IDENTITY] = identity
    return await handler(request)
