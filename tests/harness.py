"""Run several nodes in one process on stand-ins and a fake clock."""

import asyncio
import collections
import datetime
import itertools
import logging
import random
import unittest

import structlog

from cardamomcroft.bench import checks
from cardamomcroft.daemon import node as nodes
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.peers import local
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.settings import parsing
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import workers
from cardamomcroft.state import models

REGION = "red-sea"
ACCOUNT = "shops/north"
CLOCK_STEP = datetime.timedelta(milliseconds=250)
TOKEN_SHA256 = "0" * 64

structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
)


def seconds(number: float) -> datetime.timedelta:
    """Return a duration of so many seconds."""
    return datetime.timedelta(seconds=number)


def fleet_document(
    worker_ids: list[str], accelerators: int = 8
) -> documents.DataCentre:
    """Return a data centre with one rack."""
    return documents.DataCentre(
        REGION,
        {
            "r1": documents.Rack(
                {
                    worker_id: documents.Worker(
                        f"http://{worker_id}", accelerators, 64, 128
                    )
                    for worker_id in worker_ids
                }
            )
        },
    )


def account_document(**changes) -> documents.Account:
    """Return an account with two callers."""
    callers = {
        "counter": documents.Principal(TOKEN_SHA256),
        "workshop": documents.Principal("1" * 64),
    }
    return documents.Account(REGION, callers=callers, **changes)


class FakeCluster:
    """Run nodes on stand-ins whose faults tests can inject."""

    def __init__(
        self,
        instance_count: int = 3,
        worker_count: int = 4,
        policy: str = "cardamomcroft",
        timing: instance.Timing | None = None,
        seed: int = 1,
    ) -> None:
        """Set up the stand-ins; ``start`` starts the nodes."""
        self.clock = clocks.FakeClock()
        self.log = log.StandinLog(self.clock)
        self.instances = instances.StandinInstances(self.clock)
        self.workers = workers.StandinWorkers(self.clock)
        self.network = local.LocalNetwork()
        self.policy = policy
        self.timing = timing or instance.Timing()
        self.generator = random.Random(seed)
        self.ids = [f"entry-{number + 1}" for number in range(instance_count)]
        self.nodes: dict[str, nodes.Node] = {}
        self.metrics: dict[str, metrics.MemoryMetrics] = {}
        self.worker_ids = [f"w{number + 1}" for number in range(worker_count)]
        for worker_id in self.worker_ids:
            self.workers.add(worker_id)
        self._keys = itertools.count()

    async def start(self, instance_ids: list[str] | None = None) -> None:
        """Start the listed nodes, or all."""
        for instance_id in instance_ids or self.ids:
            await self.start_node(instance_id)

    async def start_node(self, instance_id: str) -> nodes.Node:
        """Start a new incarnation of an instance."""
        settings = instance.InstanceSettings(
            instance_id,
            "dahab",
            REGION,
            "127.0.0.1:1",
            f"{instance_id}:1",
            instance.Platform("", ""),
            peers={other: f"{other}:1" for other in self.ids},
            timing=self.timing,
            policy=self.policy,
        )
        self.metrics[instance_id] = metrics.MemoryMetrics()
        ports = nodes.Ports(
            self.log,
            self.instances,
            self.workers,
            self.network.client(f"{instance_id}:1"),
            self.clock,
            self.metrics[instance_id],
        )
        node = nodes.Node(settings, ports, self.generator)
        self.nodes[instance_id] = node
        self.network.handlers[f"{instance_id}:1"] = node.exchange
        self.instances.put(
            messages.ListedInstance(
                instance_id,
                messages.InstanceState.LIVE,
                REGION,
                "dahab",
                f"{instance_id}:1",
            )
        )
        await node.start()
        return node

    async def kill(self, instance_id: str, delist: bool = True) -> None:
        """Kill a node; it stays on the instance list unless ``delist``."""
        self.network.handlers.pop(f"{instance_id}:1", None)
        if delist:
            self.instances.remove(instance_id)
        await self.nodes.pop(instance_id).kill()

    async def stop(self) -> None:
        """Kill every node."""
        for instance_id in list(self.nodes):
            await self.kill(instance_id)

    async def advance(self, duration: float) -> None:
        """Advance the clock by so many seconds."""
        await self.clock.advance(seconds(duration))

    async def until(self, condition, limit: float = 60.0) -> bool:
        """Advance the clock until the condition holds or the limit ends."""
        for _ in range(int(limit / CLOCK_STEP.total_seconds())):
            if condition():
                return True
            await self.clock.advance(CLOCK_STEP)
        return condition()

    async def reach(
        self, job_id: str, phase: models.Phase, limit: float = 60.0
    ) -> bool:
        """Advance the clock until a job is in a phase or the limit ends."""
        return await self.until(lambda: self.job(job_id).phase is phase, limit)

    async def run(self, awaitable, limit: float = 60.0):
        """Advance the clock until an awaitable is done; return its result."""
        task = asyncio.ensure_future(awaitable)
        if not await self.until(task.done, limit):
            task.cancel()
            raise AssertionError("the call did not end within the limit")
        return task.result()

    def node(self, instance_id: str = "") -> nodes.Node:
        """Return the named node, or the first one."""
        if instance_id:
            return self.nodes[instance_id]
        return next(iter(self.nodes.values()))

    @property
    def owner(self) -> nodes.Node | None:
        """Return the node that holds the region's claim, if any."""
        for node in self.nodes.values():
            if node.scheduler.holds_claim():
                return node
        return None

    async def confirm(self, body, instance_id: str = ""):
        """Append through one node and wait for the outcome."""
        return await self.run(
            self.node(instance_id).appender.confirm(
                body, appenders.Priority.OPERATOR, seconds(30)
            )
        )

    async def declare(
        self, by_path: dict[str, documents.Document]
    ) -> models.Applied:
        """Declare documents at new paths and wait for the outcome."""
        edits = tuple(
            records.Edit(path, -1, parsing.to_json(document))
            for path, document in by_path.items()
        )
        result = await self.confirm(records.SettingsChanged("root", edits))
        return result.ok

    async def ready(self, **account) -> None:
        """Start, declare fleet and account, and await a settled takeover."""
        await self.start()
        await self.until(lambda: self.node().lifecycle.state == "serving")
        await self.declare(
            {
                "fleet/dahab": fleet_document(self.worker_ids),
                "teams/shops/accounts/north": account_document(**account),
            }
        )
        await self.until(
            lambda: (
                self.owner is not None
                and self.owner.scheduler.takeover is not None
                and self.owner.scheduler.takeover.is_settled
            )
        )

    def submission(self, key: str = "", **spec) -> records.JobSubmitted:
        """Return a submission with a unique id and, by default, key."""
        number = next(self._keys)
        return records.JobSubmitted(
            f"job-{number}",
            ACCOUNT,
            spec.pop("caller", "counter"),
            key or f"key-{number}",
            REGION,
            documents.JobSpec("scan", **spec),
        )

    async def submit(self, instance_id: str = "", **spec) -> str:
        """Submit a job and return its id."""
        body = self.submission(**spec)
        result = await self.confirm(body, instance_id)
        return result.ok.entity_id

    def job(self, job_id: str) -> models.Job:
        """Return a job from the node that has applied the most records."""
        newest = max(
            self.nodes.values(), key=lambda node: node.replica.state.applied
        )
        return newest.replica.state.jobs[job_id]

    def violations(self) -> dict[str, int]:
        """Return the counts above 0 of violations that the workers saw."""
        return {
            kind: count
            for kind, count in checks.count_violations(self.workers).items()
            if count
        }

    def runs(self, job_id: str) -> list[workers.Run]:
        """Return all runs of a job's members."""
        return [
            run
            for worker in self.workers.by_id.values()
            for run in worker.runs
            if run.task.job_id == job_id
        ]

    def injected(self) -> collections.Counter:
        """Count the faults that took effect, by kind."""
        return (
            self.log.injected + self.workers.injected + self.network.injected
        )


class ClusterCase(unittest.IsolatedAsyncioTestCase):
    """Give each test a cluster; check for violations at its end."""

    async def asyncSetUp(self) -> None:
        """Create the cluster; the test starts its nodes."""
        self.cluster = FakeCluster()

    async def asyncTearDown(self) -> None:
        """Kill the nodes and check that the workers saw no violation."""
        await self.cluster.stop()
        self.assertEqual({}, self.cluster.violations())

    def assert_injected(self, fault: str) -> None:
        """Fail unless the fault took effect at least once."""
        self.assertGreater(self.cluster.injected()[fault], 0, fault)
