"""Run seven daemons as processes under load and faults for a minute."""

import asyncio
import collections
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import uuid

import aiohttp
import cyclopts
import fault_checks
import fault_processes

from cardamomcroft.bench import local
from cardamomcroft.cli import running

LOAD_DURATION_S = 32.0
OWNER_TIMEOUT_S = 8.0
COMPLETION_TIMEOUT_S = 20.0
JOB_PERIOD_S = 0.4
REQUEST_PERIOD_S = 0.05
READY_POLL_PERIOD_S = 0.3
SETTINGS_PERIOD_S = 2.0
CALLER = "dahab-boards-workshop-token"
CHANGED_PATH = "teams/north-shops/accounts/blue-hole"

app = cyclopts.App(
    name="bench faults", help="Inject faults into real processes."
)


@dataclasses.dataclass
class Tally:
    """Counts and times that callers and operators observed."""

    jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    refused_keys: set[str] = dataclasses.field(default_factory=set)
    answered: int = 0
    cut_requests: int = 0
    crossed_answers: int = 0
    false_not_run: int = 0
    doubled_requests: int = 0
    reverted_settings: int = 0
    in_force_s: list[float] = dataclasses.field(default_factory=list)
    takeover_s: list[float] = dataclasses.field(default_factory=list)
    leaving_s: list[float] = dataclasses.field(default_factory=list)
    not_run_bodies: set[str] = dataclasses.field(default_factory=set)
    faults: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def boot_s() -> float:
    """Return the boot-time clock, with which stand-ins stamp runs."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Trial:
    """Sends load, injects faults and reports what was observed."""

    def __init__(
        self, processes: fault_processes.Processes, seed: int
    ) -> None:
        """Draw the load and the order of faults from the seed."""
        self._processes = processes
        self._random = random.Random(seed)
        self.tally = Tally()
        self._session: aiohttp.ClientSession | None = None
        self._ready: set[int] = set()
        self._revision = -1
        self._is_load_done = False
        self._usage: tuple[fault_processes.Usage, ...] = ()
        self._stopping: frozenset[int] = frozenset()

    async def run(self) -> dict:
        """Return the report."""
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(total=12, sock_connect=2)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as self._session:
            await self._start_system()
            load = [
                asyncio.ensure_future(self._repeat(period_s, action))
                for period_s, action in (
                    (JOB_PERIOD_S, self._submit_job),
                    (REQUEST_PERIOD_S, self._send_request),
                    (SETTINGS_PERIOD_S, self._change_settings),
                    (READY_POLL_PERIOD_S, self._poll_ready),
                )
            ]
            await self._inject_faults()
            self._usage = self._processes.usage()
            self._is_load_done = True
            await asyncio.gather(*load)
            return await self._collect_report()

    async def _start_system(self) -> None:
        await self._processes.start_standins()
        await self._wait_until(self._are_standins_ready)
        for number in range(fault_processes.INSTANCES):
            await self._register_instance(number)
            await self._processes.start_daemon(number)
        await self._wait_until(self._are_all_ready)
        await local.apply_all(
            self._session, self._processes.url(0), self._processes.by_path
        )
        await asyncio.sleep(2)

    async def _register_instance(self, number: int) -> None:
        http_address, peer_address = self._processes.addresses[number]
        await self._put(
            f"http://{self._processes.list_address}/instances",
            {
                "instance_id": f"entry-{number}",
                "state": "live",
                "region": "red-sea",
                "data_centre": "dahab",
                "peer_address": peer_address,
                "http_address": http_address,
            },
        )

    async def _put(self, url: str, body: dict) -> None:
        async with self._session.put(url, json=body) as response:
            await response.read()

    async def _wait_until(self, condition, limit_s: float = 20.0) -> None:
        deadline_s = boot_s() + limit_s
        while boot_s() < deadline_s:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{condition.__name__} took over {limit_s} s")

    async def _are_standins_ready(self) -> bool:
        try:
            for address, path in (
                (
                    self._processes.log_address,
                    "records?offset=0&limit=1&wait_s=0",
                ),
                (self._processes.list_address, "instances"),
                (self._processes.workers_address, "runs"),
            ):
                url = f"http://{address}/{path}"
                async with self._session.get(url) as response:
                    await response.read()
        except aiohttp.ClientError:
            return False
        return True

    async def _are_all_ready(self) -> bool:
        await self._poll_ready()
        return len(self._ready) == fault_processes.INSTANCES

    async def _poll_ready(self) -> None:
        await asyncio.gather(
            *(
                self._poll_instance(number)
                for number in range(fault_processes.INSTANCES)
            )
        )

    async def _poll_instance(self, number: int) -> None:
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with self._session.get(
                f"{self._processes.url(number)}/readyz", timeout=timeout
            ) as response:
                is_ready = response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            is_ready = False
        if is_ready:
            self._ready.add(number)
        else:
            self._ready.discard(number)

    async def _repeat(self, period_s: float, action) -> None:
        tasks = set()
        while not self._is_load_done:
            task = asyncio.ensure_future(action())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(period_s)
        if tasks:
            await asyncio.gather(*tasks)

    def _pick_ready(self) -> int | None:
        ready = sorted(self._ready)
        return self._random.choice(ready) if ready else None

    async def _submit_job(self) -> str | None:
        """Submit a job, retrying with the same key until it is answered."""
        members = self._random.choice((1, 1, 2, 3))
        spec = {
            "kind": "scan",
            "members": members,
            "accelerators": self._random.choice((1, 2, 4, 8)),
            "run_s": self._random.choice((0.5, 1.0, 3.0)),
        }
        key = uuid.uuid4().hex
        for _ in range(6):
            number = self._pick_ready()
            if number is not None:
                answer = await self._post(
                    number, "/v1/jobs", spec, key, count_cut=False
                )
                if answer is not None and "job_id" in answer:
                    self.tally.jobs[answer["job_id"]] = members
                    return answer["job_id"]
            await asyncio.sleep(0.5)
        return None

    async def _post(
        self, number: int, path: str, body: dict, key: str, count_cut: bool
    ) -> dict | None:
        """Return the JSON answer, or None when there was none."""
        try:
            async with self._session.post(
                f"{self._processes.url(number)}{path}",
                json=body,
                headers=local.headers(CALLER, key),
            ) as response:
                return await response.json()
        except aiohttp.ClientConnectorError:
            return None
        except (TimeoutError, aiohttp.ClientError):
            process = self._processes.daemons[number]
            is_planned = number in self._stopping
            if count_cut and is_planned and process.returncode in (None, 0):
                self.tally.cut_requests += 1
            return None

    async def _send_request(self) -> None:
        number = self._pick_ready()
        if number is None:
            return
        is_idempotent = self._random.random() < 0.5
        text = uuid.uuid4().hex
        body = {
            "body": text,
            "is_idempotent": is_idempotent,
            "deadline_s": 5.0,
        }
        key = "" if is_idempotent else text
        answer = await self._post(number, "/v1/requests", body, key, True)
        if answer is None:
            return
        if "answer" in answer:
            self.tally.answered += 1
            is_matching = answer["answer"].startswith(f"{text} ")
            self.tally.crossed_answers += not is_matching
        elif answer["error"]["verdict"] == "not_run":
            self.tally.not_run_bodies.add(text)

    async def _change_settings(self) -> None:
        """Change a weight and time its arrival at every ready instance."""
        number = self._pick_ready()
        if number is None:
            return
        found = await self._fetch_settings(number)
        if found is None:
            return
        entry = found["entries"][CHANGED_PATH]
        self._revision = max(self._revision, entry["revision"])
        document = entry["document"]
        document["weight"] = 1.0 + self._random.random()
        body = {
            "edits": [
                {
                    "path": CHANGED_PATH,
                    "expected_revision": entry["revision"],
                    "document": document,
                }
            ]
        }
        try:
            async with self._session.post(
                f"{self._processes.url(number)}/v1/settings",
                json=body,
                headers=local.headers(local.OPERATOR_TOKEN),
            ) as response:
                answer = await response.json()
        except (TimeoutError, aiohttp.ClientError):
            return
        if "revision" in answer and "error" not in answer:
            began = boot_s()
            await self._wait_in_force(answer["revision"])
            self.tally.in_force_s.append(boot_s() - began)

    async def _fetch_settings(self, number: int) -> dict | None:
        try:
            async with self._session.get(
                f"{self._processes.url(number)}/v1/settings/{CHANGED_PATH}",
                headers=local.headers(local.OPERATOR_TOKEN),
                timeout=aiohttp.ClientTimeout(total=2),
            ) as response:
                return await response.json() if response.ok else None
        except (TimeoutError, aiohttp.ClientError):
            return None

    async def _wait_in_force(self, revision: int) -> None:
        deadline_s = boot_s() + fault_checks.MAX_IN_FORCE_S + 1
        lagging = set(self._ready)
        while lagging and boot_s() < deadline_s:
            for number in list(lagging):
                found = await self._fetch_settings(number)
                if number not in self._ready:
                    lagging.discard(number)
                elif found is not None:
                    applied_revision = found["entries"][CHANGED_PATH][
                        "revision"
                    ]
                    if applied_revision >= revision:
                        lagging.discard(number)
            await asyncio.sleep(0.02)

    async def _inject_faults(self) -> None:
        """Inject each kind of fault once, in a seeded order."""
        began = boot_s()
        injections = [
            self._kill_owner,
            self._pause_owner,
            self._stop_as_planned,
            self._stop_as_planned,
            self._fail_log,
            self._lose_appends,
            self._lose_worker,
            self._leave_worker,
        ]
        self._random.shuffle(injections)
        for kind in injections:
            await asyncio.sleep(0.8)
            await kind()
        await asyncio.sleep(max(0.0, LOAD_DURATION_S - (boot_s() - began)))

    async def _wait_for_owner(self) -> int | None:
        """Return the region's owner, or None if none appears in time."""
        deadline_s = boot_s() + OWNER_TIMEOUT_S
        while boot_s() < deadline_s:
            owner = await self._find_owner()
            if owner is not None:
                return owner
            await asyncio.sleep(0.2)
        return None

    async def _find_owner(self) -> int | None:
        for number in sorted(self._ready):
            try:
                async with self._session.get(
                    f"{self._processes.url(number)}/v1/state",
                    headers=local.headers(local.OPERATOR_TOKEN),
                ) as response:
                    data = await response.json()
            except (TimeoutError, aiohttp.ClientError):
                continue
            if data["holds_claim"]:
                return number
        return None

    async def _kill_owner(self) -> None:
        owner = await self._wait_for_owner()
        if owner is None:
            return
        self.tally.faults["owner_killed"] += 1
        process = self._processes.daemons[owner]
        # Stop the owner first, so that it cannot start the submitted job.
        process.send_signal(signal.SIGSTOP)
        self._ready.discard(owner)
        job_id = await self._submit_job()
        process.kill()
        killed_at_s = boot_s()
        await process.wait()
        if job_id is not None:
            await self._record_takeover(job_id, killed_at_s)
        await self._processes.start_daemon(owner)

    async def _record_takeover(self, job_id: str, since: float) -> None:
        deadline_s = boot_s() + fault_checks.MAX_TAKEOVER_S + 2
        while boot_s() < deadline_s:
            runs = await self._fetch_runs()
            started = [
                run["started_s"]
                for run in runs["runs"]
                if run["job_id"] == job_id
            ]
            if started:
                self.tally.takeover_s.append(max(0.0, min(started) - since))
                return
            await asyncio.sleep(0.2)
        self.tally.takeover_s.append(fault_checks.MAX_TAKEOVER_S + 2)

    async def _fetch_runs(self) -> dict:
        url = f"http://{self._processes.workers_address}/runs"
        async with self._session.get(url) as response:
            return await response.json()

    async def _pause_owner(self) -> None:
        owner = await self._wait_for_owner()
        if owner is None:
            return
        self.tally.faults["owner_paused"] += 1
        process = self._processes.daemons[owner]
        process.send_signal(signal.SIGSTOP)
        self._ready.discard(owner)
        await asyncio.sleep(7)
        process.send_signal(signal.SIGCONT)

    async def _stop_as_planned(self) -> None:
        number = self._pick_ready()
        if number is None:
            return
        self.tally.faults["planned_stop"] += 1
        process = self._processes.daemons[number]
        self._stopping = self._stopping | {number}
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.wait(), 40)
        await asyncio.sleep(0.2)
        self._stopping = self._stopping - {number}
        await self._processes.start_daemon(number)

    async def _set_log_faults(self, **faults) -> None:
        await self._put(f"http://{self._processes.log_address}/faults", faults)

    async def _fail_log(self) -> None:
        self.tally.faults["log_down"] += 1
        await self._set_log_faults(down=True)
        await asyncio.sleep(4)
        await self._set_log_faults(down=False)

    async def _lose_appends(self) -> None:
        self.tally.faults["append_answers_lost"] += 3
        await self._set_log_faults(lost_answers=3)

    def _pick_worker(self) -> str:
        # Requests prefer the data centre of the daemons.
        fleet = self._processes.by_path["fleet/dahab"]
        return self._random.choice(list(fleet.racks["r1"].workers))

    async def _set_worker_faults(self, worker_id: str, **faults) -> None:
        url = f"http://{self._processes.workers_address}/{worker_id}/faults"
        await self._put(url, faults)

    async def _lose_worker(self) -> None:
        self.tally.faults["worker_lost"] += 1
        await self._set_worker_faults(self._pick_worker(), lose=True)

    async def _leave_worker(self) -> None:
        """Let a worker announce that it leaves but still accept work.

        Record how long after the announcement it was given work.
        """
        self.tally.faults["worker_leaving"] += 1
        worker_id = self._pick_worker()
        await self._set_worker_faults(
            worker_id, leaving=True, accepts_while_leaving=True
        )
        began = boot_s()
        await asyncio.sleep(fault_checks.MAX_LEAVING_S + 2)
        last = (await self._fetch_runs())["last_work_s"][worker_id]
        self.tally.leaving_s.append(max(0.0, last - began))
        await self._set_worker_faults(worker_id, leaving=False)

    async def _collect_report(self) -> dict:
        await self._set_log_faults(down=False, lost_answers=0, delay_s=0)
        deadline_s = boot_s() + COMPLETION_TIMEOUT_S
        phases = {}
        while boot_s() < deadline_s:
            phases = await self._fetch_phases()
            if all(
                phases.get(job_id) == "completed" for job_id in self.tally.jobs
            ):
                break
            await asyncio.sleep(0.5)
        found = await self._fetch_settings(self._pick_ready())
        revision = found["entries"][CHANGED_PATH]["revision"]
        self.tally.reverted_settings += revision < self._revision
        worker_report = await self._fetch_runs()
        self._print_unexpected_runs(worker_report)
        return self._make_report(phases, worker_report)

    def _print_unexpected_runs(self, worker_report: dict) -> None:
        """Print the runs of jobs that did not run exactly once."""
        for job_id, members in self.tally.jobs.items():
            runs = [
                run for run in worker_report["runs"] if run["job_id"] == job_id
            ]
            if not fault_checks.is_run_once(runs, members):
                print(json.dumps(runs), file=sys.stderr)

    async def _fetch_phases(self) -> dict[str, str]:
        number = self._pick_ready()
        if number is None:
            return {}
        try:
            async with self._session.get(
                f"{self._processes.url(number)}/v1/jobs",
                headers=local.headers(CALLER),
            ) as response:
                data = await response.json()
        except (TimeoutError, aiohttp.ClientError):
            return {}
        return {job["job_id"]: job["phase"] for job in data["jobs"]}

    def _make_report(
        self, phases: dict[str, str], worker_report: dict
    ) -> dict:
        tally = self.tally
        runs_by_job = collections.defaultdict(list)
        for run in worker_report["runs"]:
            runs_by_job[run["job_id"]].append(run)
        bodies = worker_report["executed_bodies"]
        times = collections.Counter(bodies)
        not_run = sum(bool(times[text]) for text in tally.not_run_bodies)
        return {
            "accepted": len(tally.jobs),
            "run_once": sum(
                fault_checks.is_run_once(runs_by_job[job_id], members)
                for job_id, members in tally.jobs.items()
            ),
            "lost": sum(
                phases.get(job_id) != "completed" for job_id in tally.jobs
            ),
            "doubled": sum(
                map(fault_checks.count_overlapping_runs, runs_by_job.values())
            ),
            "partial_gangs": sum(
                fault_checks.count_partial_gangs(runs_by_job[job_id], members)
                for job_id, members in tally.jobs.items()
            ),
            "answered": tally.answered,
            "cut_requests": tally.cut_requests,
            "crossed_answers": tally.crossed_answers,
            "false_not_run": not_run,
            "reverted_settings": tally.reverted_settings,
            "leaving_s": max(tally.leaving_s, default=0.0),
            "settings_in_force_s": max(tally.in_force_s, default=0.0),
            "settings_in_force_median_s": sorted(tally.in_force_s)[
                len(tally.in_force_s) // 2
            ],
            "settings_changes": len(tally.in_force_s),
            "takeover_s": max(tally.takeover_s, default=0.0),
            "daemon_rss_bytes": max(one.rss_bytes for one in self._usage),
            "daemon_core_share": round(
                max(one.core_share for one in self._usage), 4
            ),
            "faults": dict(tally.faults),
        }


async def run_trial(seed: int, folder: pathlib.Path) -> dict:
    """Run one trial and stop every process."""
    processes = fault_processes.Processes(folder)
    try:
        return await Trial(processes, seed).run()
    finally:
        await processes.stop_all()


@app.default
def main(
    *, seed: int = 1, json_output: bool = False, keep: bool = False
) -> None:
    """Inject faults into real processes; exit 1 when a bound fails.

    Parameters
    ----------
    seed
        The seed of the load and the order of faults.
    json_output
        Print one JSON object.
    keep
        Keep the folder with the logs and print it.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(run_trial(seed, pathlib.Path(folder)))
        if keep:
            kept = pathlib.Path(tempfile.mkdtemp())
            for file in pathlib.Path(folder).iterdir():
                (kept / file.name).write_bytes(file.read_bytes())
            print(f"logs in {kept}", file=sys.stderr)
    failed_bounds = fault_checks.shortfalls(report)
    report["shortfalls"] = failed_bounds
    if json_output:
        print(json.dumps(report))
    else:
        for name, value in report.items():
            print(f"{name}: {value}")
    sys.exit(1 if failed_bounds else 0)


if __name__ == "__main__":
    os.environ.setdefault("PYTHONWARNINGS", "ignore")
    running.run(app)
