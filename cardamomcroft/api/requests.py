"""Handler that runs callers' requests."""

import datetime
import uuid

from aiohttp import web

from cardamomcroft.api import auth
from cardamomcroft.api import bodies
from cardamomcroft.api import context as contexts
from cardamomcroft.api import errors
from cardamomcroft.api import settings
from cardamomcroft.ports import verdict
from cardamomcroft.requests import messages


async def execute(request: web.Request) -> web.Response:
    """Run a request on a backend server and return its reply."""
    context = request.app[contexts.CONTEXT]
    identity = request[contexts.IDENTITY]
    if not isinstance(identity, auth.Caller):
        return errors.refuse(
            verdict.Reason.FORBIDDEN, "only callers send requests"
        )
    key = bodies.read_idempotency_key(request)
    if key.is_error():
        return errors.invalid(key.error, 400)
    checked = await bodies.read(request, bodies.RequestBody)
    if checked.is_error():
        return errors.invalid(checked.error)
    body: bodies.RequestBody = checked.ok
    deadline = context.clock.monotonic() + datetime.timedelta(
        seconds=body.deadline_s
    )
    outcome = await context.router.run(
        messages.Request(
            uuid.uuid4().hex,
            identity.account,
            identity.name,
            body.body,
            deadline,
            key.ok,
            body.is_idempotent,
            body.urgency,
        )
    )
    if outcome.is_error():
        return errors.respond(outcome.error)
    return web.json_response(bodies.reply_to_dict(outcome.ok))


ROUTES = (settings.Route("POST", "/v1/requests", execute),)
