"""Submit, query and cancel jobs as callers do, and remember the answers."""

import asyncio
import dataclasses
import random

import aiohttp

from cardamomcroft.standin import platform

KEY = "key-1"
DEADLINE_S = 3.0
TRIES = 5
RETRY_S = 0.4
QUERY_PAUSE_S = 0.3


@dataclasses.dataclass(slots=True)
class Submission:
    """Hold what a caller has been told of its job."""

    job_id: str
    tasks: int
    statuses: list[int] = dataclasses.field(default_factory=list)
    states: list[str] = dataclasses.field(default_factory=list)
    accepted_at: float | None = None
    cancel_sent: bool = False
    cancel_acknowledged: bool = False
    gone_answers: int = 0  # 410 after the acceptance

    @property
    def is_accepted(self) -> bool:
        """Tell whether a caller was told so."""
        return self.accepted_at is not None

    @property
    def is_refused(self) -> bool:
        """Tell whether every attempt was answered "not run"."""
        return bool(self.statuses) and all(
            status in (429, 503) for status in self.statuses
        )


class Callers:
    """Play the callers of one trial over kept connections."""

    def __init__(self, instances: list, rng: random.Random) -> None:
        """Take where to call; connections stay open until they break."""
        self._instances = instances
        self._rng = rng
        self.by_id: dict[str, Submission] = {}
        self.cut_at_planned_stops: list[str] = []
        self.key = KEY
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=DEADLINE_S)
        )

    async def call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        instance=None,
        key: str | None = None,
    ) -> tuple[int, dict]:
        """Return a status and body; 0 without a whole answer."""
        instance = instance or self._rng.choice(self._instances)
        was_whole = instance.is_running and not instance.is_frozen
        headers = {
            "Host": platform.HOST_NAME,
            "Api-Key": key or self.key,
            "X-Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        try:
            async with self._session.request(
                method, instance.url + path, json=body, headers=headers
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientPayloadError as error:
            # An answer had begun: nothing planned may cut it.
            if was_whole and instance.is_planned_stop:
                self.cut_at_planned_stops.append(f"{path}: {error!r}")
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # no answer: the caller tries again elsewhere
        return 0, {}

    async def submit(self, job_id: str, body: dict) -> Submission:
        """Hand a job in, again elsewhere until an answer is final."""
        tasks = sum(phase["Count"] for phase in body["Phases"])
        job = self.by_id[job_id] = Submission(job_id, tasks)
        for _ in range(TRIES):
            status, _ = await self.call("POST", f"/scan/{job_id}", body)
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = asyncio.get_running_loop().time()
                return job
            await asyncio.sleep(RETRY_S)
        return job

    async def cancel(self, job: Submission) -> None:
        """Cancel a job."""
        job.cancel_sent = True
        for _ in range(TRIES):
            status, _ = await self.call("DELETE", f"/scan/{job.job_id}")
            if status in (200, 410):
                job.cancel_acknowledged = status == 200
                return
            await asyncio.sleep(RETRY_S)

    async def look(self, job: Submission) -> str:
        """Ask for a job's state once."""
        status, plain = await self.call("GET", f"/scan/{job.job_id}")
        if status == 410 and job.is_accepted:
            job.gone_answers += 1
        if status == 200 and (
            not job.states or job.states[-1] != plain["State"]
        ):
            job.states.append(plain["State"])
        return plain.get("State", "") if status == 200 else ""

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()
