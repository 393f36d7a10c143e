"""Run a scenario against a deployment of instances and stand-ins."""

import asyncio
import collections
import collections.abc
import itertools
import os
import pathlib
import signal
import sys

import aiohttp

from standins import advice as advisers
from standins import client as clients
from standins import deployment as deployments
from standins import record as records
from standins import store as stores
from standins import worker as workers

HELD, BROKEN, CAN_NOT_RUN = 0, 1, 2
FIRST_CLAIM_S = 2.0  # the first claim of the scheduler's role
SERVICE = "dingplan"
POLL_S = 0.02  # between two looks at the stand-ins


class Scenario:
    """A deployment and what a case does with it."""

    folder: pathlib.Path
    instance_count = 3
    worker_count = 6
    routes: tuple[dict, ...] = (
        deployments.route("colour-match", "/pule252/", 2, 4),
    )
    tenants: tuple[dict, ...] = (deployments.tenant("north", "key-1", 8),)

    def __init__(self) -> None:
        """Prepare the stand-ins."""
        self.has_trouble = os.environ.get("TROUBLE") != "0"
        self.record = records.Record(self.folder)
        self.store = stores.Store(self.record)
        self.deployment = deployments.Deployment(
            self.record, self.instance_count
        )
        self.fleet: list[workers.Worker] = []
        self.client: clients.Client | None = None
        self.advice: advisers.Advice | None = None

    def describe(self, task: str, spec: str):
        """Return a task's demand and time in seconds."""
        raise NotImplementedError

    def labels(self, number: int) -> list[str]:
        """Return a worker's kind and rack."""
        return ["a", f"r1-{1 + number // 6}"]

    async def add_worker(self) -> workers.Worker:
        """Start another worker."""
        number = len(self.fleet)
        worker = workers.Worker(
            f"i-{number}",
            SERVICE,
            self.labels(number),
            self.store,
            self.record,
            self.describe,
        )
        self.fleet.append(worker)
        await worker.listen(self.deployment.host)
        return worker

    @property
    def starts(self) -> list[workers.Start]:
        """Return all starts that workers carried out."""
        return [start for worker in self.fleet for start in worker.starts]

    async def use(self) -> None:
        """Act as clients do, and bring the disruption about."""
        raise NotImplementedError

    def check(self) -> list[str]:
        """Return what broke the rule; raise RuntimeError if it can't say."""
        raise NotImplementedError

    async def wait_for(
        self, condition: collections.abc.Callable[[], bool], limit_s: float
    ) -> None:
        """Wait until the condition holds; raise TimeoutError if it doesn't."""
        until = self.record.now() + limit_s
        for _ in range(int(limit_s / POLL_S) + 1):
            if condition():
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"nothing by {until:.1f} s")

    async def _play(self) -> int:
        # The time limit ends a script with SIGTERM; its processes end too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await self.store.listen(self.deployment.host)
        if self.advice is not None:
            await self.advice.listen(self.deployment.host)
        try:
            for _ in range(self.worker_count):
                await self.add_worker()
            config = deployments.configuration(1, self.routes, self.tenants)
            await self.store.put("keyed.op", "config", config)
            async with aiohttp.ClientSession() as session:
                await self.deployment.start(
                    self.store.address,
                    session,
                    self.advice.address if self.advice else "",
                )
                await asyncio.sleep(FIRST_CLAIM_S)
                self.client = clients.Client(session, self.record)
                await self.use()
        finally:
            keep = self.folder if os.environ.get("KEEP_LOGS") else None
            self.deployment.close(keep)
            for worker in self.fleet:
                await worker.close()
            await self.store.close()
            if self.advice is not None:
                await self.advice.close()
        found = self.check()
        for line in found:
            self.record.write("check", line)
        summary = (
            f"{len(self.starts)} starts of"
            f" {len({start.task for start in self.starts})} tasks,"
            f" the rule was broken {len(found)} times"
        )
        self.record.write("check", summary)
        print(summary)
        return BROKEN if found else HELD

    def main(self) -> None:
        """Play and exit with 1 if the rule was broken, 0 if it held."""
        try:
            status = asyncio.run(self._play())
        except (Exception, asyncio.CancelledError) as error:
            self.record.write("check", f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            status = CAN_NOT_RUN
        sys.exit(status)


def breaks_of_twice(starts: list[workers.Start]) -> list[str]:
    """Return two runs of a task at one time, and starts after `done`."""
    by_task = collections.defaultdict(list)
    for start in starts:
        by_task[start.task].append(start)
    found = []
    for task, runs in by_task.items():
        runs.sort(key=lambda start: start.began_at)
        for earlier, later in itertools.pairwise(runs):
            ended_at = earlier.ended_at
            if ended_at is None or later.began_at < ended_at:
                found.append(
                    f"{task}: run {earlier.run} on {earlier.worker} from"
                    f" {earlier.began_at:.3f} to {ended_at or 0:.3f}, run"
                    f" {later.run} on {later.worker} from"
                    f" {later.began_at:.3f} to {later.ended_at or 0:.3f}"
                )
            elif (
                earlier.end == "done"
                and earlier.noted_at is not None
                and not earlier.lapsed_before_note
            ):
                found.append(
                    f"{task}: run {earlier.run} ended done at"
                    f" {ended_at:.3f}, which was taken note of at"
                    f" {earlier.noted_at:.3f}; run {later.run} began at"
                    f" {later.began_at:.3f}"
                )
    return found
