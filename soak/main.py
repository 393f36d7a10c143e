"""Run seeded trials of whole processes under faults."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
import os
import pathlib
import random
import sys
import tempfile

import cyclopts
import yaml

from cardamomcroft.ports import clock as clocks
from cardamomcroft.standin import platform
from soak import checks
from soak import clients
from soak import faults as faults_module
from soak import instances as processes
from soak import proxy


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Say how much of everything a trial has."""

    instances: int
    workers: int
    fault_every_s: float
    job_every_s: float


SIZES = {
    "small": Size(3, 4, 1.5, 0.4),
    "usual": Size(7, 12, 0.9, 0.2),
    "large": Size(40, 40, 0.3, 0.1),
}
TASK_TIME = datetime.timedelta(seconds=0.8)
# An unreachable worker's runs are given up after the longest lease and what
# an isolated scheduler may have granted (docs/design/09-platform.md).
SETTLE_S = 45.0
READY_S = 20.0
POLL_S = 0.2
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.yaml")
FULL_CENSUS_S = 60.0  # in a longer trial every kind of fault has its turn

app = cyclopts.App(name="soak", help="Run whole processes under faults.")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold what a trial showed."""

    seed: int
    accepted: int
    refused: int
    cancelled: int
    completed: int
    faults: dict[str, int]
    violations: dict[str, list[str]]
    missing_faults: list[str]
    folder: str

    @property
    def holds(self) -> bool:
        """Tell whether every promise held and every fault happened."""
        return not any(self.violations.values()) and not self.missing_faults


class Trial:
    """Play one seed."""

    def __init__(self, seed: int, size: Size, folder: pathlib.Path) -> None:
        """Prepare; every choice comes from the seed."""
        self._seed = seed
        self._size = size
        self._folder = folder
        self._rng = random.Random(seed)
        self._platform = platform.PlatformServer(
            clocks.SystemClock(), TASK_TIME
        )
        self._links: list[proxy.Link] = []
        self._instances: list[processes.Instance] = []

    async def play(self, length_s: float) -> Report:
        """Run load and faults, let everything settle, and check."""
        await self._set_up()
        callers = clients.Callers(
            self._instances, random.Random(self._seed + 1)
        )
        faults = faults_module.Faults(
            self._platform,
            self._instances,
            callers,
            random.Random(self._seed + 2),
        )
        try:
            await self._wait_serving(callers)
            load = asyncio.ensure_future(self._load(callers, length_s))
            await self._harm(faults, length_s)
            await load
            await self._settle(callers)
            return self._report(callers, faults, length_s)
        finally:
            await callers.close()
            await self._tear_down()

    async def _set_up(self) -> None:
        await self._platform.listen()
        self._platform.configure(
            faults_module.make_configuration(1, clients.KEY)
        )
        for number in range(self._size.workers):
            self._platform.add_worker(f"w{number}")
        # A block of loopback addresses of this process's own: ports are
        # fixed, and trials may run side by side.
        block = 16 + os.getpid() % 200
        for number in range(self._size.instances):
            name = f"entry-{number}"
            link = proxy.Link(await self._platform.listen_for_client(name))
            await link.open()
            self._links.append(link)
            instance = processes.Instance(
                name, f"127.{block}.0.{number + 1}", link, self._folder
            )
            self._instances.append(instance)
            await instance.start()

    async def _wait_serving(self, callers: clients.Callers) -> None:
        async with asyncio.timeout(READY_S):
            for instance in self._instances:
                while True:
                    status, _ = await callers.call(
                        "GET", "/scan/", instance=instance
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(POLL_S)

    async def _load(self, callers: clients.Callers, length_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        rng = random.Random(self._seed + 3)
        calls: list[asyncio.Task] = []
        while loop.time() < until:
            job_id = f"{rng.getrandbits(64):016x}"
            body = make_body(rng)
            calls.append(
                asyncio.ensure_future(
                    self._caller(callers, job_id, body, rng.random())
                )
            )
            await asyncio.sleep(rng.expovariate(1 / self._size.job_every_s))
        await asyncio.gather(*calls)

    async def _caller(
        self, callers: clients.Callers, job_id: str, body: dict, luck: float
    ) -> None:
        job = await callers.submit(job_id, body)
        if not job.is_accepted:
            return
        for _ in range(5):
            await asyncio.sleep(clients.QUERY_PAUSE_S)
            await callers.look(job)
        if luck < 0.1:
            await callers.cancel(job)

    async def _harm(
        self, faults: faults_module.Faults, length_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        kinds: list[str] = []
        running: list[asyncio.Task] = []
        while loop.time() < until:
            if not kinds:  # every kind once before any comes again
                kinds = sorted(faults.kinds)
                self._rng.shuffle(kinds)
            running.append(asyncio.ensure_future(faults.inject(kinds.pop())))
            pause = self._rng.expovariate(1 / self._size.fault_every_s)
            await asyncio.sleep(min(pause, self._size.fault_every_s * 3))
        await asyncio.gather(*running)

    async def _settle(self, callers: clients.Callers) -> None:
        """Ask for every accepted job until it has ended."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                for job in callers.by_id.values():
                    while job.is_accepted:
                        if await callers.look(job) in checks.FINAL:
                            break
                        await asyncio.sleep(POLL_S / 4)

    def _report(
        self,
        callers: clients.Callers,
        faults: faults_module.Faults,
        length_s: float,
    ) -> Report:
        jobs = list(callers.by_id.values())
        violations = checks.check(jobs, self._platform.fleet, faults.reborn)
        violations["cut_at_planned_stop"] = callers.cut_at_planned_stops
        violations["void_key_served"] = faults.served_void_keys
        violations["slow_stop"] = [str(s) for s in faults.slow_stops]
        missing = []
        if length_s >= FULL_CENSUS_S:
            missing = sorted(faults.kinds.keys() - faults.counts.keys())
        return Report(
            self._seed,
            sum(job.is_accepted for job in jobs),
            sum(job.is_refused for job in jobs),
            sum(job.cancel_acknowledged for job in jobs),
            sum(job.states[-1:] == ["completed"] for job in jobs),
            dict(sorted(faults.counts.items())),
            violations,
            missing,
            str(self._folder),
        )

    async def _tear_down(self) -> None:
        for instance in self._instances:
            await instance.kill()
        for link in self._links:
            await link.close()
        await self._platform.close()


def make_body(rng: random.Random) -> dict:
    """Return a job: single tasks, gangs, and steps after one another."""
    phases = []
    for number in range(rng.choice((1, 1, 2))):
        phase = {
            "Count": rng.randint(1, 4),
            "Cpu": 500,
            "MemMb": 100,
            "Gpu": rng.choice((0, 1, 2, 4)),
            "EstimateMs": 800,
        }
        if rng.random() < 0.4:
            phase["Gang"] = True
        if number:
            phase["After"] = [0]
        phases.append(phase)
    return {"Spec": "soak", "Phases": phases}


def known_failures() -> list[tuple[int, str]]:
    """Return the seeds and sizes that failed once, each once."""
    entries = yaml.safe_load(REGRESSIONS.read_text(encoding="utf-8"))
    return sorted({(entry["seed"], entry["size"]) for entry in entries})


@app.default
def main(
    *,
    seed: int = 1,
    trials: int = 1,
    minutes: float = 1.0,
    size: str = "small",
    regressions: bool = False,
    json_output: bool = False,
) -> None:
    """Play trials from a seed on; exit 1 when a promise broke.

    Parameters
    ----------
    seed
        The first seed; each further trial takes the next.
    trials
        How many seeds to play, one after another.
    minutes
        For how long each trial has load and faults.
    size
        small (3 instances), usual (7) or large (40).
    regressions
        Play the seeds that failed once instead.
    json_output
        Print one JSON object a trial and nothing else.
    """
    plays = [(number, size) for number in range(seed, seed + trials)]
    if regressions:
        plays = known_failures()
    holds = True
    for number, name in plays:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        trial = Trial(number, SIZES[name], folder)
        report = asyncio.run(trial.play(minutes * 60))
        holds = holds and report.holds
        _print(report, json_output)
    sys.exit(0 if holds else 1)


def _print(report: Report, is_json: bool) -> None:
    if is_json:
        print(json.dumps(dataclasses.asdict(report)), flush=True)
        return
    print(
        f"seed {report.seed}: {report.accepted} accepted, "
        f"{report.refused} refused, {report.completed} completed, "
        f"{report.cancelled} cancelled, {sum(report.faults.values())} faults"
    )
    for promise, found in report.violations.items():
        for line in found:
            print(f"  {promise}: {line}")
    for kind in report.missing_faults:
        print(f"  did not happen: {kind}")
    if not report.holds:
        print(f"  logs: {report.folder}", flush=True)


if __name__ == "__main__":
    app()
