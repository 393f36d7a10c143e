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
from soak import evacuations
from soak import faults as faults_module
from soak import instances as processes
from soak import monitoring
from soak import proxy


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Instances and workers of a trial, and its fault and job intervals."""

    instances: int
    workers: int
    rack_workers: int
    widest_gang: int
    fault_every_s: float
    job_every_s: float
    # Tasks of a job of small ones; a worker lists 500 ends at a time.
    crowd: int
    # For a worker to stop a run; from 600 on the scheduler plans ahead.
    stop_timeout_ms: int = processes.BOUNDS["StopTimeoutMs"]


SIZES = {
    "small": Size(3, 4, 2, 8, 0.8, 1.2, 2800),
    "usual": Size(7, 12, 4, 24, 0.6, 0.6, 1200),
    "large": Size(44, 72, 12, 39, 0.3, 0.15, 1200),
    "slow-stops": Size(3, 12, 4, 12, 0.8, 0.8, 1200, 900),
}
_MS = datetime.timedelta(milliseconds=1)
# Faults come in bursts, as what stands still shows in calm times only.
BURST_S = 9.0
CALM_S = 9.0
# Ends a trial with jobs that do not end; the watch reports them earlier.
SETTLE_TIMEOUT_S = 45.0
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
JOBS_PER_CROWD = 20
DATA_CENTRES = 3  # at most; each rack is in one
SLOW_STOP = datetime.timedelta(milliseconds=700)  # near its bound of 900
LASTING_S = 8.0  # until a job that lasts is cancelled
# Of the callers, who cancel what gets no answer instead of repeating it.
HASTY_SHARE = 0.5
REGRESSIONS = pathlib.Path(__file__).with_name("regressions.yaml")
# A trial of this length or longer must inject every kind of fault.
ALL_KINDS_MIN_S = 60.0

app = cyclopts.App(name="soak", help="Run whole processes under faults.")


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a trial."""

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
    def passed(self) -> bool:
        """Return whether all guarantees held and no fault is missing."""
        return not any(self.violations.values()) and not self.missing_faults


class Trial:
    """A run of instances under load and faults, drawn from a seed."""

    def __init__(self, seed: int, size: Size, folder: pathlib.Path) -> None:
        """Create the platform; ``folder`` takes settings files and logs."""
        self._seed = seed
        self._size = size
        self._folder = folder
        self._rng = random.Random(seed)
        self._platform = platform.PlatformServer(
            clocks.SystemClock(), clients.TASK_TIME_MS * _MS
        )
        self._platform.fleet.clock_rng = random.Random(seed + 4)
        if size.stop_timeout_ms > processes.BOUNDS["StopTimeoutMs"]:
            self._platform.fleet.stop_bound = size.stop_timeout_ms * _MS
            self._platform.fleet.stop_time = SLOW_STOP
        self._links: list[proxy.Link] = []
        self._instances: list[processes.Instance] = []

    async def run(self, length_s: float) -> Report:
        """Run load and faults, wait for the jobs to end, and check."""
        await self._set_up()
        callers = clients.Callers(
            self._instances,
            random.Random(self._seed + 1),
            self._platform.fleet.clock,
        )
        faults = faults_module.Faults(
            self._platform,
            self._instances,
            callers,
            random.Random(self._seed + 2),
        )
        try:
            await self._wait_serving(callers)
            monitor = monitoring.Monitor(
                self._platform.fleet, callers, faults, self._instances
            )
            monitor.start()
            load = asyncio.ensure_future(self._run_load(callers, length_s))
            await self._inject_faults(faults, length_s)
            await load
            await self._wait_for_ends(callers)
            watched = await monitor.stop()
            return self._report(callers, faults, watched, length_s)
        finally:
            await callers.close()
            await self._tear_down()

    async def _set_up(self) -> None:
        await self._platform.listen()
        self._platform.configure(
            faults_module.make_configuration(1, clients.INITIAL_KEY)
        )
        for number in range(self._size.workers):
            rack = number // self._size.rack_workers
            await self._platform.listen_for_worker(
                f"w{number}", f"r{rack}", f"dc{rack % DATA_CENTRES}"
            )
        # Ports are fixed, so each process uses its own block of loopback
        # addresses; trials may run in parallel.
        first, second = divmod(os.getpid(), 250)
        block = f"127.{16 + first % 230}.{second}"
        for number in range(self._size.instances):
            name = f"entry-{number}"
            link = proxy.Link(await self._platform.listen_for_client(name))
            await link.open()
            self._links.append(link)
            instance = processes.Instance(
                name,
                f"{block}.{number + 1}",
                link,
                self._folder,
                self._size.stop_timeout_ms,
            )
            self._instances.append(instance)
            await instance.start()

    async def _wait_serving(self, callers: clients.Callers) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for instance in self._instances:
                while True:
                    status, _ = await callers.call(
                        "GET", "/scan/", instance=instance
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _run_load(
        self, callers: clients.Callers, length_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        rng = random.Random(self._seed + 3)
        calls: list[asyncio.Task] = []
        while loop.time() < until:
            job_id = f"{rng.getrandbits(64):016x}"
            if len(calls) % JOBS_PER_CROWD == JOBS_PER_CROWD // 2:
                body = clients.make_crowd(self._size.crowd)
            else:
                body = clients.make_body(rng, self._size.widest_gang)
            self._platform.fleet.durations_by_job[job_id] = (
                body["Phases"][0]["EstimateMs"] * _MS
            )
            calls.append(
                asyncio.ensure_future(
                    self._submit_and_query(callers, job_id, body, rng.random())
                )
            )
            await asyncio.sleep(rng.expovariate(1 / self._size.job_every_s))
        await asyncio.gather(*calls)

    async def _submit_and_query(
        self,
        callers: clients.Callers,
        job_id: str,
        body: dict,
        cancel_draw: float,
    ) -> None:
        is_hasty = cancel_draw > 1 - HASTY_SHARE
        job = await callers.submit(job_id, body, is_hasty)
        if not job.is_accepted:
            return
        for _ in range(5):
            await asyncio.sleep(clients.QUERY_INTERVAL_S)
            await callers.query(job)
        if job.is_lasting:
            await asyncio.sleep(LASTING_S)
        if job.is_lasting or cancel_draw < 0.1:
            await callers.cancel(job)

    async def _inject_faults(
        self, faults: faults_module.Faults, length_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + length_s
        kinds: list[str] = []
        needs_all = length_s >= ALL_KINDS_MIN_S
        while loop.time() < until or (needs_all and faults.missing_kinds()):
            burst_until = min(loop.time() + BURST_S, until)
            is_last = needs_all and burst_until == until
            await self._inject_burst(faults, kinds, burst_until, is_last)
            await asyncio.sleep(min(CALM_S, max(0, until - loop.time())))
        await faults.finish()

    async def _inject_burst(
        self,
        faults: faults_module.Faults,
        kinds: list[str],
        until: float,
        is_last: bool,
    ) -> None:
        """Inject faults for a time; in the last burst also what is missing."""
        loop = asyncio.get_running_loop()
        running: list[asyncio.Task] = []
        while loop.time() < until or (is_last and faults.missing_kinds()):
            if not kinds:  # inject every kind once before any repeats
                kinds += sorted(faults.kinds)
                self._rng.shuffle(kinds)
            running.append(asyncio.ensure_future(faults.inject(kinds.pop())))
            pause = self._rng.expovariate(1 / self._size.fault_every_s)
            await asyncio.sleep(min(pause, self._size.fault_every_s * 3))
        await asyncio.gather(*running)

    async def _wait_for_ends(self, callers: clients.Callers) -> None:
        """Query every accepted job until it has ended or time is up."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                for job in callers.jobs_by_id.values():
                    while job.is_lasting and not job.cancelled_at:
                        await callers.cancel(job)
                    while job.is_accepted:
                        if await callers.query(job) in checks.FINAL_STATES:
                            break
                        await asyncio.sleep(POLL_INTERVAL_S / 4)
        await self._wait_until_due(callers)

    async def _wait_until_due(self, callers: clients.Callers) -> None:
        """Wait until what was cancelled would have begun."""
        clock = self._platform.fleet.clock
        due_at = [
            job.due_at
            for job in callers.jobs_by_id.values()
            if job.cancelled_at is not None
        ]
        left = max(due_at, default=clock.monotonic()) - clock.monotonic()
        await asyncio.sleep(max(left.total_seconds(), 0) + POLL_INTERVAL_S)

    def _report(
        self,
        callers: clients.Callers,
        faults: faults_module.Faults,
        watched: dict[str, list[str]],
        length_s: float,
    ) -> Report:
        history = self._folder / "faults.txt"
        history.write_text("".join(faults.history), encoding="utf-8")
        jobs = list(callers.jobs_by_id.values())
        violations = checks.check(jobs, self._platform.fleet)
        violations |= watched
        violations["restarted_beside_listed_end"] = (
            checks.restarted_beside_listed_end(
                self._platform.fleet, faults.thaws
            )
        )
        violations["started_in_evacuated"] = evacuations.started_in_evacuated(
            self._platform.fleet.received_starts, faults.evacuations.requests
        )
        violations["unexpected_error"] = checks.unexpected_errors(
            instance.log for instance in self._instances
        )
        violations["cut_at_planned_stop"] = callers.cut_at_planned_stops
        violations["void_key_served"] = faults.served_revoked_keys
        violations["slow_stop"] = [str(s) for s in faults.slow_stops]
        missing = []
        if length_s >= ALL_KINDS_MIN_S:
            missing = faults.missing_kinds()
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


def regression_trials() -> list[tuple[int, str]]:
    """Return the distinct seeds and sizes of trials that once failed."""
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
    """Run seeded trials; exit 1 if any of them failed.

    A trial fails if a guarantee was violated or, in trials of a minute or
    longer, if a kind of fault was not injected.

    Parameters
    ----------
    seed
        The first seed; each further trial takes the next.
    trials
        The number of trials, run one after another.
    minutes
        The duration of load and faults in each trial.
    size
        small (3 instances), usual (7) or large (44).
    regressions
        Run instead the recorded trials that once failed.
    json_output
        Print one JSON object per trial and nothing else.
    """
    planned = [(number, size) for number in range(seed, seed + trials)]
    if regressions:
        planned = regression_trials()
    passed = True
    for number, name in planned:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        trial = Trial(number, SIZES[name], folder)
        report = asyncio.run(trial.run(minutes * 60))
        passed = passed and report.passed
        _print_report(report, json_output)
    sys.exit(0 if passed else 1)


def _print_report(report: Report, is_json: bool) -> None:
    if is_json:
        print(json.dumps(dataclasses.asdict(report)), flush=True)
        return
    print(
        f"seed {report.seed}: {report.accepted} accepted, "
        f"{report.refused} refused, {report.completed} completed, "
        f"{report.cancelled} cancelled, {sum(report.faults.values())} faults"
    )
    for guarantee, found in report.violations.items():
        for line in found:
            print(f"  {guarantee}: {line}")
    for kind in report.missing_faults:
        print(f"  did not happen: {kind}")
    if not report.passed:
        print(f"  logs: {report.folder}", flush=True)


if __name__ == "__main__":
    app()
