"""Call the platform and the workers over HTTP."""

import asyncio
import collections.abc
import dataclasses
import datetime
import json
import typing

import aiohttp
import cattrs.errors
import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import progress
from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing

CONNECT_TIMEOUT_S = 0.5
NOT_MODIFIED = 304  # HTTP status

_CONVERTER = parsing.make_converter(strict=False)
_DECODE_ERRORS = (
    cattrs.errors.BaseValidationError,
    KeyError,
    TypeError,
    ValueError,
)


def failure_from_dict(data: object, status: int) -> verdict.Failure:
    """Decode a remote failure; if that fails, the request may have run."""
    try:
        return verdict.Failure(
            verdict.Verdict(data["verdict"]),
            verdict.Reason(data["reason"]),
            str(data["detail"]),
        )
    except (KeyError, TypeError, ValueError):
        return verdict.may_have_run(
            verdict.Reason.REMOTE, f"HTTP status {status} without a verdict"
        )


def failure_to_dict(failure: verdict.Failure) -> dict:
    """Encode a failure as the platform's services send it."""
    return {
        "verdict": failure.verdict.value,
        "reason": failure.reason.value,
        "detail": failure.detail,
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Tagged:
    """Pair a decoded response with its entity tag."""

    tag: str
    value: typing.Any


class HttpClient:
    """Send JSON requests and classify every failure.

    A call ends with its time-out. The answer of a growing call, whose size
    depends on the data, only has to begin in that time: then it may take as
    long as it makes progress.
    """

    def __init__(self, timeout: datetime.timedelta) -> None:
        """Set the default time-out; the first call opens the session."""
        self.timeout = timeout
        self._session: aiohttp.ClientSession | None = None
        self._is_closed = False

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, limit_per_host=64),
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        return self._session

    async def close(self) -> None:
        """Close the session; later calls fail."""
        self._is_closed = True
        if self._session is not None:
            await self._session.close()

    async def call(
        self,
        method: str,
        url: str,
        wanted: type,
        body: object = None,
        timeout_s: float | None = None,
    ) -> expression.Result[typing.Any, verdict.Failure]:
        """Return the decoded response, or a failure with its verdict."""
        answer = await self._exchange(method, url, wanted, body, timeout_s)
        return answer.map(lambda tagged: tagged.value)

    async def fetch_growing(
        self, url: str, wanted: type, timeout_s: float
    ) -> expression.Result[typing.Any, verdict.Failure]:
        """Return the decoded response of a growing call."""
        answer = await self._exchange(
            "GET", url, wanted, timeout_s=timeout_s, is_growing=True
        )
        return answer.map(lambda tagged: tagged.value)

    async def fetch_changed(
        self, url: str, wanted: type, tag: str
    ) -> expression.Result[Tagged | None, verdict.Failure]:
        """Return a growing response, or None if its tag is unchanged."""
        headers = {"If-None-Match": tag} if tag else {}
        return await self._exchange(
            "GET", url, wanted, headers=headers, is_growing=True
        )

    async def _exchange(
        self,
        method: str,
        url: str,
        wanted: type,
        content: object = None,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        is_growing: bool = False,
    ) -> expression.Result[typing.Any, verdict.Failure]:
        if self._is_closed:
            return expression.Error(
                verdict.not_run(
                    verdict.Reason.LEAVING, "HTTP client is closed"
                )
            )
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with (
                asyncio.timeout(
                    timeout_s or self.timeout.total_seconds()
                ) as limit,
                self._open().request(
                    method, url, json=content, timeout=timeout, headers=headers
                ) as response,
            ):
                if is_growing:
                    body = await _receive(response, limit)
                else:
                    body = await response.read()
            return _decode(response, body, wanted)
        except aiohttp.ClientConnectorError as error:
            return expression.Error(
                verdict.not_run(verdict.Reason.UNAVAILABLE, str(error))
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return expression.Error(
                verdict.may_have_run(verdict.Reason.TIMEOUT, repr(error))
            )
        except _DECODE_ERRORS as error:
            return expression.Error(
                verdict.may_have_run(verdict.Reason.REMOTE, repr(error))
            )


async def _receive(
    response: aiohttp.ClientResponse, limit: asyncio.Timeout
) -> bytes:
    """Receive the body and extend the time limit as it comes."""
    received = progress.Progress(limit)
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        received.add(len(part))
    return bytes(body)


def _decode(
    response: aiohttp.ClientResponse, body: bytes, wanted: type
) -> expression.Result[Tagged | None, verdict.Failure]:
    if response.status == NOT_MODIFIED:
        return expression.Ok(None)
    data = json.loads(body)
    if response.status >= 400:
        return expression.Error(failure_from_dict(data, response.status))
    value = _CONVERTER.structure(data, wanted)
    return expression.Ok(Tagged(response.headers.get("ETag", ""), value))


class HttpLog(base.PlatformLog):
    """Append to and read from the platform log over HTTP."""

    def __init__(self, address: str, client: HttpClient) -> None:
        """Call the service at this base address."""
        self._url = f"{address}/records"
        self._client = client

    async def append(
        self, payloads: collections.abc.Sequence[str]
    ) -> expression.Result[int, verdict.Failure]:
        """Append all payloads in order and return the first offset."""
        size = sum(map(len, payloads))
        timeout = self._client.timeout + progress.slowest_transfer(size)
        answer = await self._client.call(
            "POST",
            self._url,
            dict,
            {"payloads": list(payloads)},
            timeout.total_seconds(),
        )
        return answer.map(lambda data: int(data["offset"]))

    async def read(
        self, offset: int, limit: int, wait: datetime.timedelta
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Return records from the offset on; wait if there are none yet."""
        wait_s = wait.total_seconds()
        url = f"{self._url}?offset={offset}&limit={limit}&wait_s={wait_s}"
        return await self._client.fetch_growing(
            url, messages.LogPage, wait_s + 1.0
        )


class HttpInstances(base.InstanceList):
    """Read the platform's instance list over HTTP, with entity tags."""

    def __init__(self, address: str, client: HttpClient) -> None:
        """Call the service at this base address."""
        self._url = f"{address}/instances"
        self._client = client
        self._tag = ""
        self._cached_instances: tuple[messages.ListedInstance, ...] = ()

    async def instances(
        self,
    ) -> expression.Result[
        tuple[messages.ListedInstance, ...], verdict.Failure
    ]:
        """Return the live and leaving instances."""
        answer = await self._client.fetch_changed(
            self._url, tuple[messages.ListedInstance, ...], self._tag
        )
        if answer.is_error():
            return answer
        if answer.ok is not None:
            self._tag, self._cached_instances = answer.ok.tag, answer.ok.value
        return expression.Ok(self._cached_instances)


class HttpWorkers(base.WorkerClient):
    """Send commands to workers at their declared addresses."""

    def __init__(
        self,
        address_of: collections.abc.Callable[[str], str | None],
        client: HttpClient,
    ) -> None:
        """Look up addresses with a function; it returns None if unknown."""
        self._address_of = address_of
        self._client = client

    async def _send(
        self,
        worker_id: str,
        operation: str,
        command: object,
        wanted: type,
        timeout_s: float | None = None,
    ) -> expression.Result:
        address = self._address_of(worker_id)
        if address is None:
            return expression.Error(
                verdict.not_run(
                    verdict.Reason.NOT_FOUND,
                    f"no address is known for worker {worker_id}",
                )
            )
        return await self._client.call(
            "POST",
            f"{address}/{operation}",
            wanted,
            _CONVERTER.unstructure(command),
            timeout_s,
        )

    async def reserve(self, worker_id, command):
        """Reserve capacity for a gang member for a limited time."""
        return await self._send(worker_id, "reserve", command, messages.Done)

    async def start(self, worker_id, command):
        """Start a gang member on its reserved capacity under a lease."""
        return await self._send(worker_id, "start", command, messages.Done)

    async def stop(self, worker_id, command):
        """Stop a gang member or release its reserved capacity."""
        return await self._send(worker_id, "stop", command, messages.Done)

    async def renew(self, worker_id, command):
        """Renew leases, raise the fence and return the inventory."""
        return await self._send(
            worker_id, "renew", command, messages.Inventory
        )

    async def execute(self, worker_id, command):
        """Run a request on the backend server."""
        return await self._send(
            worker_id,
            "execute",
            command,
            messages.Answer,
            command.deadline_s,
        )
