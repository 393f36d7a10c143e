"""Share the options of the commands."""

import asyncio
import dataclasses
import typing

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.cli import output


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Name the servers and the token."""

    server: typing.Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMCROFT_SERVER",
            help="Base URLs of instances, separated by commas.",
        ),
    ] = "http://127.0.0.1:7400"
    token: typing.Annotated[
        str,
        cyclopts.Parameter(
            env_var="CARDAMOMCROFT_TOKEN", help="The bearer token."
        ),
    ] = ""

    def target(self) -> client.Target:
        """Return where to send calls."""
        servers = tuple(
            url.strip().rstrip("/") for url in self.server.split(",")
        )
        return client.Target(servers, self.token)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, slots=True)
class OutputOptions:
    """Choose the form of the output."""

    json: typing.Annotated[
        bool, cyclopts.Parameter(help="Print one JSON object.", negative="")
    ] = False


DEFAULT_SERVER = ServerOptions()
TEXT_OUTPUT = OutputOptions()


def fetch(server: ServerOptions, path: str, is_json: bool) -> dict:
    """Get a path, or print the failure and exit."""
    result = asyncio.run(client.call(server.target(), "GET", path))
    if result.is_error():
        output.finish(result.error, is_json)
    return result.ok
