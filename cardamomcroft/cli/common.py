"""Options that several commands share."""

import asyncio
import dataclasses
import typing

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.cli import output


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Options that select the servers and the token."""

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
        """Return the servers and token for client calls."""
        servers = tuple(
            url.strip().rstrip("/") for url in self.server.split(",")
        )
        return client.Target(servers, self.token)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, slots=True)
class OutputOptions:
    """Options that select the output format."""

    json: typing.Annotated[
        bool, cyclopts.Parameter(help="Print one JSON object.", negative="")
    ] = False


DEFAULT_SERVER = ServerOptions()
TEXT_OUTPUT = OutputOptions()


def fetch(server: ServerOptions, path: str, is_json: bool) -> dict:
    """Return the response to GET of a path; exit if the call fails."""
    result = asyncio.run(client.call(server.target(), "GET", path))
    if result.is_error():
        output.finish(result.error, is_json)
    return result.ok
