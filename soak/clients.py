"""Submit, query and cancel jobs as clients do, and record the answers."""

import asyncio
import dataclasses
import datetime
import random

import aiohttp

from cardamomcroft.ports import base
from cardamomcroft.standin import platform

INITIAL_KEY = "key-1"
CALL_TIMEOUT_S = 3.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.4
QUERY_INTERVAL_S = 0.3
TASK_TIME_MS = 800
LONG_TASK_TIME_MS = 3000
CROWD_TASK_TIME_MS = 5000  # longer than starting the tasks of a crowd takes
FIRST_RACK = "r0"  # the label of its workers
OCCURRENCE_INTERVAL_MS = 700
# Longer than a call, a late write and the bound on starts after a cancelling.
LATER = datetime.timedelta(seconds=14)
SOON = datetime.timedelta(seconds=1)
PREFIXES = ("/q0/", "/scan/", "/q2/")  # of the queues, by priority


@dataclasses.dataclass(slots=True)
class Submission:
    """The answers that a caller has received about one job."""

    job_id: str
    tasks: int
    statuses: list[int] = dataclasses.field(default_factory=list)
    states: list[str] = dataclasses.field(default_factory=list)
    accepted_at: float | None = None
    cancel_sent: bool = False
    cancel_acknowledged: bool = False
    is_lasting: bool = False  # its tasks run until it is cancelled
    due_at: datetime.timedelta = datetime.timedelta()
    repeats: int = 0  # of a timetable; 0 without one
    cancelled_at: datetime.timedelta | None = None  # answered 200 or 410
    gone_answers: int = 0  # queries answered 410 after the acceptance

    @property
    def path(self) -> str:
        """Return the job's path, in a queue that its id selects."""
        return PREFIXES[int(self.job_id, 16) % len(PREFIXES)] + self.job_id

    def due_at_of(self, occurrence: int) -> datetime.timedelta:
        """Return when an occurrence is due."""
        interval = datetime.timedelta(milliseconds=OCCURRENCE_INTERVAL_MS)
        return self.due_at + occurrence * interval

    def due_occurrences(self, now: datetime.timedelta) -> list[int]:
        """Return the occurrences that are due."""
        numbers = range(max(self.repeats, 1))
        return [n for n in numbers if self.due_at_of(n) <= now]

    @property
    def is_accepted(self) -> bool:
        """Return whether a submission was answered 200."""
        return self.accepted_at is not None

    @property
    def is_refused(self) -> bool:
        """Return whether every submission was answered "not run"."""
        return bool(self.statuses) and all(
            status in (429, 503) for status in self.statuses
        )


class Callers:
    """The callers of one trial, over persistent connections."""

    def __init__(
        self, instances: list, rng: random.Random, clock: base.Clock
    ) -> None:
        """Create callers that choose among ``instances`` at random."""
        self._instances = instances
        self._clock = clock
        self._rng = rng
        self.jobs_by_id: dict[str, Submission] = {}
        self.cut_at_planned_stops: list[str] = []
        self.key = INITIAL_KEY
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        )

    async def call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        instance=None,
        key: str | None = None,
    ) -> tuple[int, dict]:
        """Return the status and body, or 0 without a complete answer."""
        instance = instance or self._rng.choice(self._instances)
        was_up = instance.is_running and not instance.is_frozen
        headers = {
            "Host": platform.HOST_NAME,
            "Api-Key": key or self.key,
            "X-Deadline-Ms": str(round(CALL_TIMEOUT_S * 1000)),
        }
        try:
            async with self._session.request(
                method, instance.url + path, json=body, headers=headers
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientPayloadError as error:
            # A planned stop must not truncate an answer that has begun.
            if was_up and instance.is_planned_stop:
                self.cut_at_planned_stops.append(f"{path}: {error!r}")
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # no answer; the caller may retry at another instance
        return 0, {}

    async def submit(
        self, job_id: str, body: dict, is_hasty: bool = False
    ) -> Submission:
        """Submit a job; retry, at any instance, until it is accepted.

        A hasty caller submits the job for later, and cancels it if the
        submission gets no answer.
        """
        tasks = sum(phase["Count"] for phase in body["Phases"])
        job = self.jobs_by_id[job_id] = Submission(job_id, tasks)
        job.is_lasting = any("LongRunning" in p for p in body["Phases"])
        is_hasty = is_hasty and not job.is_lasting
        if is_hasty:
            body.setdefault("RepeatCount", 1)
        if "RepeatCount" in body:
            self._schedule(job, body, LATER if is_hasty else SOON)
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call("POST", job.path, body)
            job.statuses.append(status)
            if status == 200:
                job.accepted_at = asyncio.get_running_loop().time()
                return job
            if is_hasty and status in (0, 504):
                await self.cancel(job)
                return job
            await asyncio.sleep(RETRY_DELAY_S)
        return job

    def _schedule(
        self, job: Submission, body: dict, delay: datetime.timedelta
    ) -> None:
        """Complete a timetable that begins after a delay."""
        job.due_at = self._clock.monotonic() + delay
        job.repeats = body["RepeatCount"]
        job.tasks *= job.repeats
        due_ms = (self._clock.now() + delay).timestamp() * 1000
        body["StartAtMs"] = round(due_ms)
        body["IntervalMs"] = OCCURRENCE_INTERVAL_MS

    async def cancel(self, job: Submission) -> None:
        """Cancel a job; retry until an answer is final."""
        job.cancel_sent = True
        for _ in range(MAX_ATTEMPTS):
            status, _ = await self.call("DELETE", job.path)
            if status in (200, 410):
                job.cancel_acknowledged = status == 200
                job.cancelled_at = self._clock.monotonic()
                return
            await asyncio.sleep(RETRY_DELAY_S)

    async def query(self, job: Submission) -> str:
        """Query a job once; return its state, empty without one."""
        status, data = await self.call("GET", job.path)
        if status == 410 and job.is_accepted:
            job.gone_answers += 1
        if status == 200 and (
            not job.states or job.states[-1] != data["State"]
        ):
            job.states.append(data["State"])
        return data.get("State", "") if status == 200 else ""

    async def pending(self, prefix: str) -> int | None:
        """Return how many jobs an instance counts as not begun."""
        status, data = await self.call("GET", prefix)
        return data["Pending"] if status == 200 else None

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()


def make_crowd(count: int, rack: str = "") -> dict:
    """Return a submission of tasks so small that all run at once."""
    phase = {"Count": count, "Cpu": 10, "MemMb": 10}
    phase["EstimateMs"] = CROWD_TASK_TIME_MS
    if rack:
        phase["Requirements"] = rack
    return {"Spec": "crowd", "Phases": [phase]}


def make_long(count: int, rack: str) -> dict:
    """Return a submission with data in a rack."""
    phase = {"Count": count, "Cpu": 200, "MemMb": 100}
    phase |= {"EstimateMs": TASK_TIME_MS, "Affinity": rack}
    return {"Spec": "long", "Phases": [phase]}


def make_bound(count: int, rack: str) -> dict:
    """Return a submission that only the workers of a rack may run."""
    phase = {"Count": count, "Cpu": 200, "MemMb": 100}
    phase |= {"EstimateMs": TASK_TIME_MS, "Requirements": rack}
    return {"Spec": "bound", "Phases": [phase]}


def make_wide(count: int) -> dict:
    """Return a submission of one step that a rack runs a part at a time."""
    phase = {"Count": count, "Cpu": 500, "MemMb": 100, "Gpu": 4}
    phase |= {"RackLocal": True, "Requirements": FIRST_RACK}
    phase["EstimateMs"] = LONG_TASK_TIME_MS
    return {"Spec": "wide", "Phases": [phase]}


def make_body(rng: random.Random, widest_gang: int) -> dict:
    """Return a submission of any shape that callers may send."""
    draw = rng.random()
    if draw < 0.06:
        return {"Spec": "service", "Phases": [_draw_lasting(rng)]}
    estimate_ms = rng.choice((TASK_TIME_MS, TASK_TIME_MS, LONG_TASK_TIME_MS))
    phases = []
    for number in range(rng.choice((1, 1, 2))):
        phase = _draw_phase(rng, widest_gang) | {"EstimateMs": estimate_ms}
        if number:
            phase["After"] = [0]
        phases.append(phase)
    body = {"Spec": "soak", "Phases": phases}
    if draw > 0.9:
        body["RepeatCount"] = rng.randint(2, 4)
    return body


def _draw_lasting(rng: random.Random) -> dict:
    """Return a step whose tasks run until the job is cancelled."""
    return {
        "Count": rng.randint(1, 3),
        "Cpu": 500,
        "MemMb": 100,
        "Gpu": rng.choice((0, 1)),
        "EstimateMs": TASK_TIME_MS,
        "LongRunning": True,
        "MaxUnavailable": 1,
    }


def _draw_phase(rng: random.Random, widest_gang: int) -> dict:
    """Return a step, narrow or wide, with limits on its place or without."""
    phase = {"Cpu": 500, "MemMb": 100}
    is_gang = rng.random() < 0.4
    if rng.random() >= 0.15:
        phase["Count"] = rng.randint(1, 4)
        phase["Gpu"] = rng.choice((0, 1, 2, 4))
    elif is_gang:
        phase["Count"] = rng.randint(5, widest_gang)
        phase["Gpu"] = rng.choice((0, 1, 1, 1))
    else:  # its tasks may have to wait for one another
        phase["Count"] = rng.randint(5, 2 * widest_gang)
        phase["Gpu"] = rng.choice((0, 1, 4))
    if is_gang:
        phase["Gang"] = True
    if rng.random() < 0.3:
        phase["RackLocal"] = True
    if rng.random() < 0.3:
        phase["Checkpointing"] = True
    place = rng.random()
    if place < 0.1 and not is_gang:
        phase["AntiAffinity"] = rng.randint(1, 2)
    elif place < 0.2 and not is_gang:
        phase["Requirements"] = FIRST_RACK
    elif place < 0.3:
        phase["Affinity"] = FIRST_RACK
    return phase
