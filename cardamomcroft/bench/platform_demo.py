"""Show the path on the users' platform, against its stand-in."""

import asyncio
import dataclasses
import datetime

import aiohttp

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.standin import cluster as clusters
from cardamomcroft.standin import platform

NAMES = ("frontend-1", "frontend-2", "frontend-3")
HEADERS = {"Api-Key": "counter-key", "Host": platform.HOST_NAME}
TASK_TIME = datetime.timedelta(seconds=0.3)
LIMIT_S = 20.0
POLL_S = 0.05
JOB = "5c0e7a21d94b36f8"
BODY = {
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
    """Hold what clients and workers saw."""

    accepted: bool  # by an instance that lacks the store
    state: str  # at another instance
    tasks_run: int
    tasks_run_twice: int


async def run_platform_demo() -> PlatformReport:
    """Run one job through three instances, one of them without the store."""
    target = platform.PlatformServer(clocks.SystemClock(), TASK_TIME)
    await target.listen()
    target.configure(CONFIGURATION)
    for number in range(3):
        target.add_worker(f"dahab-w{number + 1}")
    cluster = clusters.Cluster(target)
    try:
        for name in NAMES:
            await cluster.start(name)
        async with aiohttp.ClientSession(headers=HEADERS) as session:
            return await _play(target, cluster, session)
    finally:
        await cluster.close()
        await target.close()


async def _play(
    target: platform.PlatformServer,
    cluster: clusters.Cluster,
    session: aiohttp.ClientSession,
) -> PlatformReport:
    async with asyncio.timeout(LIMIT_S):
        await _wait_serving(cluster, session)
        target.store.faults.refused_clients.add(NAMES[1])
        url = cluster.url(NAMES[1], f"/scan/{JOB}")
        async with session.post(url, json=BODY) as response:
            accepted = response.status == 200
        state = ""
        while accepted and state not in ("completed", "failed"):
            await asyncio.sleep(POLL_S)
            url = cluster.url(NAMES[2], f"/scan/{JOB}")
            async with session.get(url) as response:
                state = (await response.json()).get("State", "")
    done = [
        interval.task
        for interval in target.fleet.intervals
        if interval.end is fleet.End.DONE
    ]
    twice = len(done) - len(set(done))
    return PlatformReport(accepted, state, len(set(done)), twice)


async def _wait_serving(
    cluster: clusters.Cluster, session: aiohttp.ClientSession
) -> None:
    for name in NAMES:
        waiting = True
        while waiting:
            await asyncio.sleep(POLL_S)
            waiting = not await _is_serving(cluster, session, name)


async def _is_serving(
    cluster: clusters.Cluster, session: aiohttp.ClientSession, name: str
) -> bool:
    peers = cluster.processes_by_name[name].known_peers()
    return len(peers) == len(NAMES) and await cluster.is_ready(session, name)
