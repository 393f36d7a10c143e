"""Build the HTTP application."""

from aiohttp import web

from cardamomcroft.api import context as contexts
from cardamomcroft.api import errors
from cardamomcroft.api import jobs
from cardamomcroft.api import requests
from cardamomcroft.api import settings
from cardamomcroft.api import status

MAX_BODY_BYTES = 1_000_000


def make_app(context: contexts.Context) -> web.Application:
    """Return the application with its middleware and every route."""
    app = web.Application(
        middlewares=[errors.error_middleware, contexts.identity_middleware],
        client_max_size=MAX_BODY_BYTES,
    )
    app[contexts.CONTEXT] = context
    for module in (status, settings, jobs, requests):
        for route in module.ROUTES:
            app.router.add_route(route.method, route.path, route.handler)
    return app
