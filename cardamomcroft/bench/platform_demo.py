"""Run a job on the users' platform, against its stand-in."""

import asyncio
import dataclasses
import datetime

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.standin import cluster as clusters
from cardamomcroft.standin import platform

INSTANCE_NAMES = ("frontend-1", "frontend-2", "frontend-3")
CLIENT_HEADERS = {"Api-Key": "counter-key", "Host": platform.HOST_NAME}
TASK_DURATION = datetime.timedelta(seconds=0.3)
TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.05
JOB_ID = "5c0e7a21d94b36f8"
JOB_BODY = {
    "Spec": "fin box of board 7",
    "Phases": [
        {"Count": 3, "Cpu": 500, "MemMb": 100, "Gpu": 8, "Gang": True},
        {"Count": 2, "Cpu": 500, "MemMb": 100, "After": [0]},
    ],
}
CONFIGURATION = {
    "Version": 1,
    "Routes": [platform.make_route("resin-scan", "/scan/")],
    "Tenants": [{"Name": "north", "ApiKeys": ["counter-key"]}],
}


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReport:
    """Results that clients and workers observed."""

    accepted: bool  # by an instance that lacks the store
    state: str  # at another instance
    tasks_run: int
    tasks_run_twice: int


async def run_platform_demo() -> PlatformReport:
    """Run one job through three instances, one of them without the store."""
    target = platform.PlatformServer(clocks.SystemClock(), TASK_DURATION)
    await target.listen()
    target.configure(CONFIGURATION)
    for number in range(3):
        target.add_worker(f"dahab-w{number + 1}")
    cluster = clusters.Cluster(target)
    try:
        for name in INSTANCE_NAMES:
            await cluster.start(name)
        async with aiohttp.ClientSession(headers=CLIENT_HEADERS) as session:
            return await _run_job(target, cluster, session)
    finally:
        await cluster.close()
        await target.close()


async def _run_job(
    target: platform.PlatformServer,
    cluster: clusters.Cluster,
    session: aiohttp.ClientSession,
) -> PlatformReport:
    async with asyncio.timeout(TIMEOUT_S):
        await _wait_serving(cluster, session)
        target.store.faults.refused_clients.add(INSTANCE_NAMES[1])
        url = cluster.url(INSTANCE_NAMES[1], f"/scan/{JOB_ID}")
        async with session.post(url, json=JOB_BODY) as response:
            accepted = response.status == 200
        state = ""
        while accepted and state not in ("completed", "failed"):
            await asyncio.sleep(POLL_PERIOD_S)
            url = cluster.url(INSTANCE_NAMES[2], f"/scan/{JOB_ID}")
            async with session.get(url) as response:
                state = (await response.json()).get("State", "")
    done = [
        interval.task
        for interval in target.fleet.intervals
        if interval.end is fleet.End.DONE
    ]
    run_twice = len(done) - len(set(done))
    return PlatformReport(accepted, state, len(set(done)), run_twice)


async def _wait_serving(
    cluster: clusters.Cluster, session: aiohttp.ClientSession
) -> None:
    for name in INSTANCE_NAMES:
        waiting = True
        while waiting:
            await asyncio.sleep(POLL_PERIOD_S)
            waiting = not await _is_serving(cluster, session, name)


async def _is_serving(
    cluster: clusters.Cluster, session: aiohttp.ClientSession, name: str
) -> bool:
    peers = cluster.processes_by_name[name].known_peers()
    return len(peers) == len(INSTANCE_NAMES) and await cluster.is_ready(
        session, name
    )
