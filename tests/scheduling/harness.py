"""Run several nodes against fakes of the store and the workers."""

import asyncio
import collections.abc
import datetime
import itertools
import os
import random
import unittest

from cardamomcroft.evacuation import gate as gates
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import candidate as candidates
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import configuration_view
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import metrics
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import node as nodes
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import listed_ends
from cardamomcroft.standin import store as standin_store

STEP = datetime.timedelta(milliseconds=50)
HEARTBEAT = datetime.timedelta(seconds=1.5)
LEASE = datetime.timedelta(seconds=6)
PARAMETERS = cluster_state.SchedulingParameters(
    LEASE,
    datetime.timedelta(seconds=7.5),
    datetime.timedelta(seconds=10),
    datetime.timedelta(milliseconds=200),
    0,
    datetime.timedelta(seconds=30),
)


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


def make_queue(priority: int = 1, attempts: int = 3) -> models.Queue:
    """Return a queue of the fake fleet's service."""
    return models.Queue(
        f"q{priority}", "svc", priority, attempts, 3.0, seconds(1)
    )


def make_step(
    width: int = 1, accelerators: int = 1, **fields: object
) -> models.Step:
    """Return a step with a small demand per task."""
    demand = models.Demand(1000, 1024, accelerators)
    return models.Step(width, demand, seconds(2), **fields)


class SchedulingTestCase(unittest.IsolatedAsyncioTestCase):
    """Drive nodes by a fake clock."""

    duration = seconds(2)

    async def asyncSetUp(self):
        """Create the fake store and fleet."""
        self.clock = clocks.FakeClock()
        self.store = standin_store.StoreService(self.clock)
        self.fleet = standin_fleet.FakeFleet(self.clock, self.duration)
        self.follow_claims()
        self.sink = os.open(
            os.environ.get("EVENTS", os.devnull), os.O_WRONLY | os.O_CREAT
        )
        self.nodes_by_name: dict[str, nodes.Node] = {}
        self.tasks_by_name: dict[str, asyncio.Task] = {}
        self.numbers = itertools.count(1)
        self.listings: dict[str, fleet.Listing] = {}

    def follow_claims(self) -> None:
        """Let the fleet know which claim a token belongs to."""
        self.fleet.listed_ends.claim_of = listed_ends.Claims(
            self.store.records_by_stream[store.Stream.JOBS]
        ).name_of

    async def asyncTearDown(self):
        """Stop every node."""
        for name in list(self.nodes_by_name):
            self.kill(name)
        await asyncio.sleep(0)
        os.close(self.sink)

    def make_log(self, name: str) -> events.Events:
        """Return an instance's log."""
        return events.Events(self.clock, name, metrics.Metrics(), self.sink)

    def make_view(
        self, source: store.Store, max_age: datetime.timedelta
    ) -> configuration_view.ConfigurationView:
        """Return a view of configurations that are numbers."""
        return configuration_view.ConfigurationView(
            source,
            self.clock,
            self.make_log("a"),
            lambda raw: configuration.Configuration(int(raw), (), (), 0),
            "config",
            max_age,
        )

    def make_gate(self, name: str) -> gates.Gate | None:
        """Return what an instance's starts have to pass, if anything."""
        return None

    def add_workers(self, count: int, accelerators: int = 8) -> None:
        """Add workers with their entries in the directory."""
        for number in range(count):
            worker_id = f"w{len(self.listings) + 1}"
            listing = self.fleet.add(worker_id, accelerators)
            self.listings[worker_id] = listing
            self.store.put(
                store.Stream.SERVERS, worker_id, str(number).encode()
            )

    def start_node(
        self,
        name: str,
        seed: int = 0,
        cores: float = 1.0,
        peers: collections.abc.Callable[[], dict[str, codec.Peer]] = dict,
        parameters: cluster_state.SchedulingParameters | None = None,
    ) -> nodes.Node:
        """Start a node as a new process of an instance."""
        node = nodes.Node(
            f"{name} {next(self.numbers)}",
            self.store.client(name),
            self.fleet,
            self.clock,
            self.make_log(name),
            lambda record: self.listings.get(record.key),
            parameters or PARAMETERS,
            random.Random(f"{name}{seed}"),
            candidates.Rank(cores, peers),
            self.make_gate(name),
        )
        self.nodes_by_name[name] = node
        self.tasks_by_name[name] = asyncio.ensure_future(node.run())
        return node

    def kill(self, name: str) -> None:
        """Kill a node's process without releasing its claim."""
        node = self.nodes_by_name.pop(name)
        self.tasks_by_name.pop(name).cancel()
        if node._scheduler_task is not None:
            node._scheduler_task.cancel()

    def submit(
        self, *steps: models.Step, queue=None, account="a", timetable=None
    ) -> str:
        """Store a submission as an instance's ingress does."""
        job_id = f"{next(self.numbers):016x}"
        job = models.Job(
            job_id,
            queue or make_queue(),
            account,
            "payload",
            steps,
            timetable,
            self.clock.now(),
        )
        self.fleet.steps_by_job[job_id] = steps
        key = ledgers.Kind.SUBMISSION.key(job_id)
        self.store.put(store.Stream.JOBS, key, codec.encode_job(job))
        return job_id

    def cancel(self, job_id: str, account: str = "a") -> None:
        """Store a cancellation as an instance's ingress does."""
        key = ledgers.Kind.CANCELLATION.key(job_id)
        now = self.clock.now().timestamp()
        value = codec.encode_cancellation(codec.Cancellation(account, now))
        self.store.put(store.Stream.JOBS, key, value)

    def holder(self) -> str | None:
        """Return the instance that schedules, if there is exactly one."""
        holders = [
            name
            for name, node in self.nodes_by_name.items()
            if node.scheduler is not None
        ]
        return holders[0] if len(holders) == 1 else None

    def state(self, job_id: str) -> str | None:
        """Return a job's state according to the stored records."""
        ledger = ledgers.Ledger()
        records = self.store.records_by_stream[store.Stream.JOBS]
        page = store.Page(tuple(records), len(records))
        ledger.apply(page, self.clock.monotonic())
        return ledger.state(job_id)

    async def pass_time(self, number: float) -> None:
        """Advance the clock in steps, checking invariants at each."""
        until = self.clock.monotonic() + seconds(number)
        while self.clock.monotonic() < until:
            await self.clock.advance(STEP)
            self.fleet.advance()
            self.check_single_runs()

    async def wait_until(self, condition, limit: float = 20) -> float:
        """Advance the clock until the condition holds; return the seconds."""
        began = self.clock.monotonic()
        until = began + seconds(limit)
        while not condition():
            self.assertLess(self.clock.monotonic(), until, "not in time")
            await self.pass_time(STEP.total_seconds())
        return (self.clock.monotonic() - began).total_seconds()

    def check_single_runs(self) -> None:
        """Assert that no task has two runs at the same time."""
        tasks = [task for task, _ in self.fleet.running()]
        self.assertEqual(len(tasks), len(set(tasks)), "task runs twice")
        self.assertEqual(self.fleet.duplicate_starts, [])

    def check_run_once(self, job_id: str) -> None:
        """Assert that every task of a job succeeded exactly once."""
        done = [
            interval.task
            for interval in self.fleet.intervals
            if interval.end is fleet.End.DONE
            and interval.task.startswith(job_id)
        ]
        self.assertEqual(len(done), len(set(done)), "task done twice")
        width = sum(step.width for step in self.fleet.steps_by_job[job_id])
        self.assertEqual(len(done), width)
