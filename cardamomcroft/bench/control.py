"""Measure CPU, memory and traffic of one node at a given size."""

import asyncio
import dataclasses
import datetime
import json
import pathlib
import random
import time
import typing

import cyclopts

from cardamomcroft.bench import fakeplatform
from cardamomcroft.bench import population as populations
from cardamomcroft.cli import running
from cardamomcroft.daemon import logs
from cardamomcroft.daemon import node as nodes
from cardamomcroft.log import records
from cardamomcroft.peers import rpc
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import http
from cardamomcroft.ports import messages
from cardamomcroft.ports import metrics
from cardamomcroft.settings import instance
from cardamomcroft.standin import loopback
from cardamomcroft.state import fold
from cardamomcroft.state import models
from cardamomcroft.state import snapshots
from cardamomcroft.workers import fleet as fleets

MEASURED_STEPS = 10
DAY_S = 86_400.0
RECORDS_PER_JOB = 3  # submitted, started, settled or cancelled
BUDGET_CORE_SHARE = 0.029
BUDGET_RSS_BYTES = 128_000_000
BUDGET_BYTES_PER_S = 3_000

app = cyclopts.App(name="bench control", help="Measure control's cost.")


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Cost of one role, or of the whole node."""

    rss_bytes: int = 0
    core_share: float = 0.0
    bytes_per_s: float = 0.0
    messages_per_s: float = 0.0
    state_bytes: int = 0
    log_appends_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Rates of the events that append records."""

    jobs_per_day: float = 890.0
    workers_per_job: float = 32.0  # each appends its completions
    settings_per_day: float = 1300.0
    restarts_per_day: float = 350.0


def rss_bytes() -> int:
    """Return the resident memory of the process."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


@dataclasses.dataclass(frozen=True, slots=True)
class StepCost:
    """Mean cost of one step of a role."""

    cpu_s: float
    bytes_moved: float


class Meter:
    """Measures the roles of one node, step by step."""

    def __init__(
        self,
        size: populations.Size,
        rates: Rates,
        timing: instance.Timing,
    ) -> None:
        """Build the stand-ins and the node, and fill the log."""
        self.size = size
        self.rates = rates
        self.timing = timing
        self.rss_after_imports = rss_bytes()
        self.platform = fakeplatform.Platform(size)
        self.node = self._make_node()
        self._fill_platform()
        self.rss_with_platform = rss_bytes()
        self.platform.start()

    def _make_node(self) -> nodes.Node:
        platform = self.platform
        settings = instance.InstanceSettings(
            "entry-0",
            "dc0",
            "region-0",
            loopback.free_addresses(1)[0],
            platform.target_addresses["node"],
            instance.Platform("", ""),
            timing=self.timing,
        )
        client = http.HttpClient(self.timing.duration("call_timeout"))
        self._client = client
        self._peers = rpc.RpcPeers(self.timing.duration("call_timeout"))
        ports = nodes.Ports(
            http.HttpLog(f"http://{platform.relay_addresses['log']}", client),
            http.HttpInstances(
                f"http://{platform.relay_addresses['list']}", client
            ),
            http.HttpWorkers(self._address_of, client),
            self._peers,
            clocks.SystemClock(),
            metrics.MemoryMetrics(),
        )
        return nodes.Node(settings, ports, random.Random(1))

    def _address_of(self, worker_id: str) -> str:
        return f"http://{self.platform.relay_addresses['workers']}/{worker_id}"

    def _fill_platform(self) -> None:
        population = populations.Population(
            self.size,
            self.platform.log,
            self.platform.workers,
            self.platform.clock,
            self.platform.relay_addresses["workers"],
        )
        population.fill(self.node.incarnation)
        for number in range(self.size.instances):
            self.platform.instances.put(
                messages.ListedInstance(
                    f"entry-{number}",
                    messages.InstanceState.LIVE,
                    population.region(number),
                    "dc0",
                    self.platform.relay_addresses["peers"],
                    "10.0.0.1:7400",
                )
            )

    def _receive_digests(self) -> None:
        for number in range(1, self.size.instances):
            if number % self.size.regions == 0:
                digest = self.platform.digest(number)
                self.node.membership.record_digest(digest)

    async def measure(self) -> dict[str, Cost]:
        """Return the cost of each role."""
        costs = {}
        costs["replica"] = await self._measure_replica()
        self.node.replica.caught_up = True
        self._receive_digests()
        costs["peer"] = await self._measure_peer()
        self._receive_digests()
        costs["lease_renewer"] = await self._measure_renewer()
        costs["scheduler"] = await self._measure_scheduler()
        costs["gateway"] = self._measure_gateway()
        rss = rss_bytes()
        self.rss_node = self.rss_after_imports + max(
            0, rss - self.rss_with_platform
        )
        await self._client.close()
        self._peers.close()
        self.platform.stop()
        return costs

    async def _measure_step(
        self, relay_name: str, step, steps: int = MEASURED_STEPS
    ):
        relay = self.platform.relays[relay_name]
        await step()
        before = relay.total
        began = time.thread_time()
        for _ in range(steps):
            await step()
        cpu_s = (time.thread_time() - began) / steps
        moved = (relay.total - before) / steps
        return StepCost(cpu_s, moved)

    async def _measure_replica(self) -> Cost:
        replica = self.node.replica
        began = time.thread_time()
        await replica.refresh()
        fold_s = time.thread_time() - began
        count = max(1, replica.state.applied + 1)
        per_record_s = fold_s / count
        idle_step = await self._measure_step(
            "log", lambda: replica.poll(datetime.timedelta())
        )
        listing = await self._measure_step("list", self.node.listing.step)
        rate = self._records_per_s()
        poll_rate = 1 / self.timing.read_wait_s
        list_rate = 1 / self.timing.list_period_s
        text = snapshots.encode(replica.state)
        snapshot_rate = rate / self.timing.snapshot_every_records
        snapshot_s = self._measure_snapshot_cpu()
        self.snapshot_bytes = len(text)
        self.snapshot_decode_s = self._measure_decode_cpu(text)
        share = snapshot_rate / max(1, self.size.instances)
        return Cost(
            core_share=(per_record_s + idle_step.cpu_s) * rate
            + idle_step.cpu_s * poll_rate
            + listing.cpu_s * list_rate
            + snapshot_s * share,
            bytes_per_s=self._records_bytes_per_s()
            + idle_step.bytes_moved * rate
            + idle_step.bytes_moved * poll_rate
            + listing.bytes_moved * list_rate
            + len(text) * snapshot_rate,
            messages_per_s=2 * (poll_rate + rate + list_rate),
            state_bytes=len(text),
            log_appends_per_s=rate + len(text) / 48_000 * snapshot_rate,
        )

    def _records_per_s(self) -> float:
        per_day = (
            self.rates.jobs_per_day
            * (RECORDS_PER_JOB + self.rates.workers_per_job)
            + self.rates.settings_per_day
        )
        return per_day / DAY_S

    def _records_bytes_per_s(self) -> float:
        """Return the bytes per second of reading ordinary records."""
        state = self.node.replica.state
        jobs = [job for job in state.jobs.values() if job.placements]
        job = max(jobs, key=lambda one: len(one.placements))
        task = job.task(0)
        path, content = _median_document(state)
        rates = self.rates
        daily = (
            (
                records.JobSubmitted(
                    job.job_id,
                    job.account,
                    job.caller,
                    job.key,
                    job.region,
                    job.spec,
                ),
                rates.jobs_per_day,
            ),
            (
                records.GangStarted(job.job_id, 1 << 40, 9, job.placements),
                rates.jobs_per_day,
            ),
            (
                records.TasksEnded(
                    job.placements[0].worker_id,
                    (records.TaskEnd(task, records.EndKind.FINISHED),),
                ),
                rates.jobs_per_day * rates.workers_per_job,
            ),
            (
                records.SettingsChanged(
                    "operator", (records.Edit(path, 1 << 20, content),)
                ),
                rates.settings_per_day,
            ),
        )
        return sum(
            self._encoded_size(body) * per_day / DAY_S
            for body, per_day in daily
        )

    def _encoded_size(self, body: records.Body) -> int:
        record = records.Record(
            "0" * 32,
            self.node.incarnation,
            self.platform.clock.now(),
            1 << 20,
            body,
        )
        # A log page is JSON and holds each payload as a JSON string.
        return len(json.dumps(records.encode(record)))

    def _measure_snapshot_cpu(self) -> float:
        began = time.thread_time()
        snapshots.chunks(self.node.replica.state, "x")
        return time.thread_time() - began

    def _measure_decode_cpu(self, text: str) -> float:
        began = time.thread_time()
        snapshots.decode(text)
        return time.thread_time() - began

    async def _measure_peer(self) -> Cost:
        count = self.timing.digest_fanout
        exchange_cost = await self._measure_step(
            "peers", self.node.exchange.step
        )
        rate = 1 / self.timing.digest_period_s
        # Each exchange that the node begins is matched by one it answers.
        return Cost(
            core_share=2 * exchange_cost.cpu_s * rate,
            bytes_per_s=2 * exchange_cost.bytes_moved * rate,
            messages_per_s=4 * count * rate,
        )

    async def _measure_renewer(self) -> Cost:
        step = await self._measure_step("workers", self.node.renewer.step)
        rate = 1 / self.timing.renew_period_s
        state = self.node.replica.state
        regional = fleets.Fleet().region(state, "region-0")
        share = len(regional) / max(
            1, len(self.node.membership.live_ids("region-0"))
        )
        return Cost(
            core_share=step.cpu_s * rate,
            bytes_per_s=step.bytes_moved * rate,
            messages_per_s=2 * share * rate,
        )

    async def _measure_scheduler(self) -> Cost:
        scheduler = self.node.scheduler
        relay = self.platform.relays["workers"]
        before = relay.total
        began = time.thread_time()
        while scheduler.takeover is None or not scheduler.takeover.is_settled:
            await self._schedule()
        self.takeover_cpu_s = time.thread_time() - began
        self.takeover_bytes = relay.total - before
        idle_step = await self._measure_step("workers", self._schedule)
        began = time.thread_time()
        scheduler.decide()
        self.round_s = time.thread_time() - began
        rate = 1 / self.timing.schedule_period_s
        return Cost(
            core_share=idle_step.cpu_s * rate
            + self.round_s * self._records_per_s(),
            bytes_per_s=idle_step.bytes_moved * rate,
            log_appends_per_s=self._records_per_s(),
        )

    async def _schedule(self) -> None:
        self.node.replica.confirmed_at = self.node.ports.clock.monotonic()
        await self.node.scheduler.step()

    def _measure_gateway(self) -> Cost:
        """Measure folding one change, the cost that grows with size."""
        state = self.node.replica.state
        path = next(iter(state.settings))
        entry = state.settings[path]
        body = records.SettingsChanged(
            "x", (records.Edit(path, entry.revision, entry.content),)
        )
        record = records.Record(
            "x", "x", self.platform.clock.now(), state.applied + 9, body
        )
        began = time.thread_time()
        for _ in range(MEASURED_STEPS):
            fold.fold(state, state.applied + 1, record)
        per_change_s = (time.thread_time() - began) / MEASURED_STEPS
        rate = self.rates.settings_per_day / DAY_S
        return Cost(
            core_share=per_change_s * rate,
            bytes_per_s=2 * len(entry.content) * rate,
            messages_per_s=2 * rate,
            log_appends_per_s=rate,
        )


def _median_document(state: models.State) -> tuple[str, str]:
    """Return the path and content of the document of median size."""
    by_size = sorted(
        (len(entry.content), path) for path, entry in state.settings.items()
    )
    _, path = by_size[len(by_size) // 2]
    return path, state.settings[path].content


def total(costs: dict[str, Cost], rss: int) -> Cost:
    """Return the cost of the whole node."""
    values = costs.values()
    return Cost(
        rss,
        sum(cost.core_share for cost in values),
        sum(cost.bytes_per_s for cost in values),
        sum(cost.messages_per_s for cost in values),
        sum(cost.state_bytes for cost in values),
        max(cost.log_appends_per_s for cost in values),
    )


def measure(
    size: populations.Size,
    timing: instance.Timing,
    rates: Rates | None = None,
) -> dict[str, typing.Any]:
    """Return the report of one size."""
    meter = Meter(size, rates or Rates(), timing)
    costs = asyncio.run(meter.measure())
    node = total(costs, meter.rss_node)
    return {
        "size": dataclasses.asdict(size),
        "timing": dataclasses.asdict(timing),
        "nodes": {
            role: dataclasses.asdict(cost) for role, cost in costs.items()
        },
        "node": dataclasses.asdict(node),
        "budget": {
            "core_share": BUDGET_CORE_SHARE,
            "rss_bytes": BUDGET_RSS_BYTES,
            "bytes_per_s": BUDGET_BYTES_PER_S,
        },
        "start_up": {
            "snapshot_bytes": meter.snapshot_bytes,
            "decode_s": meter.snapshot_decode_s,
        },
        "takeover": {
            "cpu_s": meter.takeover_cpu_s,
            "bytes": meter.takeover_bytes,
        },
        "round_s": meter.round_s,
    }


def is_within_budget(report: dict[str, typing.Any]) -> bool:
    """Return whether the whole node stays within every budget."""
    return all(
        report["node"][name] <= limit
        for name, limit in report["budget"].items()
    )


@app.default
def main(
    *,
    workers: int = 24,
    accelerators: int = 192,
    tasks: int = 100,
    instances: int = 7,
    accounts: int = 4,
    settings: int = 20,
    waiting: int = 10,
    regions: int = 1,
    data_centres: int = 4,
    timing: pathlib.Path | None = None,
    json_output: bool = False,
) -> None:
    """Measure one node's roles at a size; exit 1 over budget.

    Parameters
    ----------
    timing
        A YAML file with periods and limits.
    json_output
        Print one JSON object.
    """
    logs.configure(instance.Logging(level="error"))
    size = populations.Size(
        workers,
        accelerators,
        tasks,
        instances,
        accounts,
        settings,
        waiting,
        regions,
        data_centres,
    )
    report = measure(size, instance.load_timing(timing))
    if json_output:
        print(json.dumps(report))
    else:
        for role, cost in (report["nodes"] | {"node": report["node"]}).items():
            print(role, cost)
    raise SystemExit(0 if is_within_budget(report) else 1)


if __name__ == "__main__":
    running.run(app)
