"""A client: submits, asks for and cancels jobs."""

import json

import aiohttp

from standins import deployment
from standins import record as records

DEADLINE_MS = 3000


class Client:
    """Call instances and record each call and its answer."""

    def __init__(
        self, session: aiohttp.ClientSession, record: records.Record
    ) -> None:
        """Call in a session."""
        self._session = session
        self._record = record

    async def call(
        self,
        instance: deployment.Instance,
        method: str,
        path: str,
        body: dict | None = None,
        deadline_ms: int = DEADLINE_MS,
        key: str = "key-1",
    ) -> tuple[int | None, dict]:
        """Return the status and body; None without an answer in time."""
        headers = {
            "Host": deployment.HOST,
            "Api-Key": key,
            "X-Deadline-Ms": str(deadline_ms),
        }
        what = f"{method} {path} at {instance.name}"
        self._record.write("client", what)
        try:
            async with self._session.request(
                method,
                instance.url(path),
                json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            self._record.write("client", f"{what}: no answer, {error!r}")
            return None, {}
        self._record.write(
            "client", f"{what}: {response.status} {raw.decode()[:200]}"
        )
        return response.status, json.loads(raw or b"{}")
