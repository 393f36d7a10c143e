"""A worker: runs tasks under leases and lists their ends, over HTTP."""

import asyncio
import dataclasses
import json
import time

from aiohttp import web

from standins import record as records
from standins import store as stores

MAX_HOLD_MS = 10_000
STOP_S = 0.1  # at most StopTimeoutMs
MAX_LISTED_ENDS = 500
HEARTBEAT_S = 1.5
MAX_WAIT_MS = 2_000


@dataclasses.dataclass
class Run:
    """A run at work."""

    task: str
    number: int
    began_at: float
    demand: tuple[int, int, int]
    duration_s: float
    timer: asyncio.Task | None = None

    def percent(self, now: float) -> int:
        """Return how much of the task is done."""
        return min(99, int(100 * (now - self.began_at) / self.duration_s))


@dataclasses.dataclass
class Start:
    """A start that was carried out, and how its run ended."""

    task: str
    run: int
    worker: str
    began_at: float
    ended_at: float | None = None
    end: str = ""
    number: int = 0  # of its end
    noted_at: float | None = None  # when LastSeen reached its end
    lapsed_before_note: bool = False


class Worker:
    """One life of a worker."""

    def __init__(
        self,
        worker_id: str,
        service: str,
        labels: list[str],
        target: stores.Store,
        record: records.Record,
        describe,
        capacity: tuple[int, int, int] = (64000, 131072, 8),
        guards: bool = True,
    ) -> None:
        """Create a worker; ``describe`` returns a task's demand and time."""
        self.worker_id = worker_id
        self._service = service
        self._labels = labels
        self._store = target
        self._record = record
        self._describe = describe
        self.capacity = capacity
        self._guards = guards
        self.born_ms = int(time.time() * 1000)
        self._born_at = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self.runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._end_count = 0
        self._changed = asyncio.Event()
        self.starts: list[Start] = []
        self.state = "ready"
        self.is_up = True
        self.is_busy = False  # refuses starts with 503, having done nothing
        self._is_cut = False
        self._healed = asyncio.Event()
        self._healed.set()
        self._sequence = 0
        self._beat_at = time.monotonic()
        self.holds = 0
        self.last_hold_at = 0.0
        self.address = ""
        self._tasks: list[asyncio.Task] = []

    async def listen(self, host: str) -> None:
        """Serve on a free port and register."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = ":".join(map(str, self._runner.addresses[0][:2]))
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._watch_lease()),
        ]

    async def close(self) -> None:
        """Stop serving."""
        if not self.is_up:
            return
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            run.timer.cancel()
        await self._runner.cleanup()

    async def crash(self) -> None:
        """End for good; the platform drops the entry after three beats."""
        self._record.write(self.worker_id, "crashes")
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            run.timer.cancel()
        self.runs.clear()
        await self._runner.cleanup()
        silence_s = time.monotonic() - self._beat_at
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - silence_s))
        await self._store.put("keyed.servers", self.worker_id, b"")
        self._record.write(self.worker_id, "entry removed")

    def cut(self) -> None:
        """Cut the links to the machines; the tasks run on."""
        self._is_cut = True
        self._healed.clear()
        self._record.write(self.worker_id, "cut off")

    def heal(self) -> None:
        """Restore the links."""
        self._is_cut = False
        self._healed.set()
        self._record.write(self.worker_id, "reachable again")

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return round((time.monotonic() - self._born_at) * 1000)

    async def _beat(self) -> None:
        while True:
            if "keyed.servers" not in self._store.reset_topics:
                self._sequence += 1
                self._beat_at = time.monotonic()
                entry = {
                    "Service": self._service,
                    "Address": self.address,
                    "Zone": "hurghada",
                    "Version": "v1",
                    "Slots": 8,
                    "State": self.state,
                    "ColdRemainingMs": 0,
                    "Capacity": dict(
                        zip(
                            ("Cpu", "MemMb", "Gpu"),
                            self.capacity,
                            strict=False,
                        )
                    ),
                    "Labels": self._labels,
                    "ClockMs": self.clock_ms(),
                    "Sequence": self._sequence,
                    "born": self.born_ms,
                }
                await self._store.put(
                    "keyed.servers", self.worker_id, json.dumps(entry).encode()
                )
            await asyncio.sleep(HEARTBEAT_S)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.clock_ms() >= self._lease_ms:
                for start in self.starts:
                    if start.noted_at is None:
                        start.lapsed_before_note = True
                for task in list(self.runs):
                    self._end(task, "lapsed")

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        if not await self._pass_link(request):
            return web.Response(status=503)
        if request.headers.get("X-Expected-Instance") != self.worker_id:
            return self._reply({}, 421)
        data = json.loads(body)
        if request.path == "/run-start" and self.is_busy:
            self._record.write(self.worker_id, f"refuses {data['Task']}")
            response = self._reply({}, 503)
        elif request.path == "/run-start":
            response = self._start(data)
        elif request.path == "/run-stop":
            response = await self._stop(data)
        elif request.path == "/hold":
            response = await self._hold(data)
        else:
            return self._reply({}, 400)
        await self._pass_link(request)
        return response

    async def _pass_link(self, request: web.BaseRequest) -> bool:
        """Wait while cut off; what its sender has given up is lost."""
        while self._is_cut:
            await self._healed.wait()
            await asyncio.sleep(0)
        return request.transport is not None and (
            not request.transport.is_closing()
        )

    def _reply(self, data: dict, status: int = 200) -> web.Response:
        data = {"ClockMs": self.clock_ms(), "born": self.born_ms} | data
        return web.Response(
            body=json.dumps(data).encode(),
            status=status,
            content_type="application/json",
        )

    def _is_fenced(self, data: dict) -> bool:
        token = data.get("FencingToken", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            latest = self.clock_ms() + MAX_HOLD_MS
            self._lease_ms = max(self._lease_ms, min(deadline_ms, latest))

    def used(self) -> tuple[int, ...]:
        """Return what the runs use, those being stopped included."""
        demands = [run.demand for run in self.runs.values()]
        return tuple(map(sum, zip((0, 0, 0), *demands, strict=False)))

    def _start(self, data: dict) -> web.Response:
        if self._is_fenced(data):
            return self._reply({"Reason": "fence"}, 409)
        task, number = data["Task"], data["RunId"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._extend(data["DeadlineMs"])
            return self._reply({})
        if number <= self._highest.get(task, 0) or run is not None:
            self._extend(data["DeadlineMs"])
            return self._reply({"Reason": "old"}, 409)
        if data["DeadlineMs"] <= self.clock_ms():
            return self._reply({"Reason": "late"}, 409)
        demand, duration_s = self._describe(task, data["Spec"])
        self._extend(data["DeadlineMs"])
        needed = [a + b for a, b in zip(self.used(), demand, strict=False)]
        if self._guards and any(
            a > b for a, b in zip(needed, self.capacity, strict=False)
        ):
            return self._reply({"Reason": "room"}, 409)
        run = Run(task, number, self._record.now(), demand, duration_s)
        self.runs[task] = run
        run.timer = asyncio.ensure_future(self._work(run))
        self.starts.append(
            Start(task, number, self.worker_id, self._record.now())
        )
        self._record.write(
            self.worker_id,
            f"starts {task} run {number} token {self._token}",
        )
        return self._reply({})

    async def _work(self, run: Run) -> None:
        await asyncio.sleep(run.duration_s)
        if self.runs.get(run.task) is run:
            self._end(run.task, "done")

    def _end(self, task: str, how: str) -> None:
        run = self.runs.pop(task)
        if how != "done":
            run.timer.cancel()
        self._highest[task] = max(self._highest.get(task, 0), run.number)
        self._end_count += 1
        self._ends.append([self._end_count, task, run.number, how, ""])
        for start in reversed(self.starts):
            if (start.task, start.run) == (task, run.number):
                start.ended_at = self._record.now()
                start.end, start.number = how, self._end_count
                break
        self._record.write(
            self.worker_id,
            f"end {self._end_count}: {task} run {run.number} {how}",
        )
        self._changed.set()

    async def _stop(self, data: dict) -> web.Response:
        if self._is_fenced(data):
            return self._reply({"Reason": "fence"}, 409)
        task, number = data["Task"], data["RunId"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        self._record.write(self.worker_id, f"stops {task} run {number}")
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            asyncio.ensure_future(self._stop_late(run))
        return self._reply({})

    async def _stop_late(self, run: Run) -> None:
        await asyncio.sleep(STOP_S)
        if self.runs.get(run.task) is run:
            self._end(run.task, "stopped")

    async def _hold(self, data: dict) -> web.Response:
        if self._is_fenced(data):
            return self._reply({"Reason": "fence"}, 409)
        self.holds += 1
        self.last_hold_at = self._record.now()
        self._extend(data.get("DeadlineMs"))
        self._forget(data["LastSeen"])
        until = (
            time.monotonic() + min(data.get("WaitMs", 0), MAX_WAIT_MS) / 1000
        )
        while not self._ends:
            left = until - time.monotonic()
            if left <= 0:
                break
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        now = self._record.now()
        running = [
            [run.task, run.number, "", run.percent(now), 0]
            for run in self.runs.values()
        ]
        ends = self._ends[:MAX_LISTED_ENDS]
        if ends:
            self._record.write(
                self.worker_id,
                f"lists {len(running)} running and ends {ends[0][0]} to"
                f" {ends[-1][0]} of {self._end_count}",
            )
        return self._reply({"Running": running, "Finished": ends})

    def _forget(self, last_seen: int) -> None:
        if self._ends and self._ends[0][0] <= last_seen:
            self._record.write(
                self.worker_id, f"ends up to {last_seen} taken note of"
            )
        self._ends = [end for end in self._ends if end[0] > last_seen]
        for start in self.starts:
            if start.end and start.number <= last_seen:
                if start.noted_at is None:
                    start.noted_at = self._record.now()
