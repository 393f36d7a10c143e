"""HTTP client of the API that maps failures to exit codes."""

import dataclasses
import enum
import typing

import aiohttp
import expression

from cardamomcroft.ports import verdict

TIMEOUT_S = 70.0  # above the longest wait of a server, bodies.MAX_WAIT_S


class ExitCode(enum.IntEnum):
    """Exit codes of every command."""

    DONE = 0
    REFUSED = 1
    WRONG_USE = 2
    CONFLICT = 3
    TRY_LATER = 4
    MAY_HAVE_RUN = 5


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """Failed call: the exit code and the error body of the response."""

    exit_code: ExitCode
    data: dict[str, typing.Any]

    def lines(self) -> list[str]:
        """Return the error as lines of text."""
        error = self.data["error"]
        lines = [f"{error['verdict']}: {error['detail']}"]
        for problem in error.get("problems", ())[1:]:
            lines.append(
                f"{problem['path']}: {problem['location']}: "
                f"{problem['detail']}"
            )
        return lines


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Servers to try in order, and the bearer token to send."""

    servers: tuple[str, ...]
    token: str


CallResult = expression.Result[dict[str, typing.Any], CallFailure]

_EXIT_BY_STATUS = {
    409: ExitCode.CONFLICT,
    422: ExitCode.WRONG_USE,
    400: ExitCode.WRONG_USE,
    413: ExitCode.WRONG_USE,
    429: ExitCode.TRY_LATER,
    503: ExitCode.TRY_LATER,
}


def local_failure(
    exit_code: ExitCode, outcome: verdict.Verdict, detail: str
) -> CallFailure:
    """Return a failure of the client itself as an API error body."""
    data = {"error": {"verdict": outcome.value, "detail": detail}}
    return CallFailure(exit_code, data)


async def call(
    target: Target,
    method: str,
    path: str,
    body: object = None,
    key: str = "",
) -> CallResult:
    """Call the first server that accepts a connection.

    A call that fails after the connection was made is not repeated at the
    next server, since it may have run.
    """
    headers = {"Authorization": f"Bearer {target.token}"}
    if key:
        headers["Idempotency-Key"] = key
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S, sock_connect=2.0)
    connection_error = "no server given"
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for server in target.servers:
            try:
                async with session.request(
                    method, f"{server}{path}", json=body, headers=headers
                ) as response:
                    return await _read(response)
            except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
                connection_error = str(error)
            except (TimeoutError, aiohttp.ClientError) as error:
                return expression.Error(
                    local_failure(
                        ExitCode.MAY_HAVE_RUN,
                        verdict.Verdict.MAY_HAVE_RUN,
                        repr(error),
                    )
                )
    failure = local_failure(
        ExitCode.TRY_LATER, verdict.Verdict.NOT_RUN, connection_error
    )
    return expression.Error(failure)


async def _read(response: aiohttp.ClientResponse) -> CallResult:
    try:
        data = await response.json()
    except (aiohttp.ContentTypeError, ValueError):
        failure = local_failure(
            ExitCode.MAY_HAVE_RUN,
            verdict.Verdict.MAY_HAVE_RUN,
            f"response with status {response.status} is not JSON",
        )
        return expression.Error(failure)
    if response.status < 400:
        return expression.Ok(data)
    exit_code = _EXIT_BY_STATUS.get(response.status, ExitCode.REFUSED)
    outcome = data.get("error", {}).get("verdict")
    if outcome == verdict.Verdict.MAY_HAVE_RUN.value:
        exit_code = ExitCode.MAY_HAVE_RUN
    return expression.Error(CallFailure(exit_code, data))
