"""Play loads against a node and measure what callers get."""

import dataclasses
import datetime
import statistics
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import preempting
from cardamomcroft.standin import fleet as standin_fleet
from tests.scheduling import harness

STOP_BOUND = harness.seconds(0.9)
STOP_TIME = harness.seconds(0.7)  # what a stop takes, near its bound


def parameters(plans_ahead: bool):
    """Return the parameters of a deployment whose stops are slow."""
    return dataclasses.replace(
        harness.PARAMETERS, stop_bound=STOP_BOUND, plans_ahead=plans_ahead
    )


@dataclasses.dataclass(slots=True)
class Outcome:
    """What the callers of one play got."""

    waits_s: list[float]  # until all tasks were at work at once
    stopped_core_s: float  # of runs that were stopped

    @property
    def mean_wait_s(self) -> float:
        """Return the mean of the waits."""
        return statistics.fmean(self.waits_s)


class LoadTestCase(harness.SchedulingTestCase):
    """One node and workers in racks; stops take long."""

    worker_count = 24
    rack_count = 4

    async def begin(self, plans_ahead: bool) -> None:
        """Start a node that plans ahead or not, on fresh fakes."""
        for name in list(self.nodes_by_name):
            self.kill(name)
        await super().asyncTearDown()
        await super().asyncSetUp()
        self.fleet.stop_bound = STOP_BOUND
        self.fleet.stop_time = STOP_TIME
        for number in range(self.worker_count):
            self.add_worker(f"w{number}", f"r{number % self.rack_count}")
        patch = mock.patch.object(
            harness, "PARAMETERS", parameters(plans_ahead)
        )
        with patch:
            self.start_node("a")
        await self.wait_until(self.holder)
        self._pending: dict[str, datetime.timedelta] = {}
        self._waits_s: list[float] = []

    def add_worker(self, worker_id: str, rack: str) -> None:
        """Add a worker of eight accelerators with its entry."""
        self.listings[worker_id] = self.fleet.add(worker_id, 8, rack)
        number = str(len(self.listings)).encode()
        self.store.put(harness.store.Stream.SERVERS, worker_id, number)

    def guarantee(self, accelerators: dict[str, int]) -> None:
        """Guarantee accelerators to accounts."""
        scheduler = self.nodes_by_name["a"].scheduler
        scheduler._guarantees = lambda: accelerators

    def submit_for(
        self,
        step: models.Step,
        run_s: float,
        priority: int,
        account: str = "a",
    ) -> str:
        """Submit a job whose tasks run for a time; watch urgent ones."""
        queue = harness.make_queue(priority)
        job_id = self.submit(step, queue=queue, account=account)
        self.fleet.durations_by_job[job_id] = harness.seconds(run_s)
        if priority == 0:
            self._pending[job_id] = self.clock.monotonic()
        return job_id

    async def play_on(self, number: float) -> None:
        """Pass time and note the urgent jobs that have begun in full."""
        until = self.clock.monotonic() + harness.seconds(number)
        while self.clock.monotonic() < until:
            await self.pass_time(harness.STEP.total_seconds())
            self._note_begins()

    def _note_begins(self) -> None:
        now = self.clock.monotonic()
        tasks = [task for task, _ in self.fleet.running()]
        for job_id, since in list(self._pending.items()):
            width = sum(s.width for s in self.fleet.steps_by_job[job_id])
            if sum(task.startswith(job_id) for task in tasks) == width:
                self._waits_s.append((now - since).total_seconds())
                del self._pending[job_id]

    def outcome(self) -> Outcome:
        """Return what the urgent jobs submitted so far got.

        One that has not begun counts with its wait up to now.
        """
        now = self.clock.monotonic()
        open_waits = [
            (now - since).total_seconds() for since in self._pending.values()
        ]
        return Outcome(self._waits_s + open_waits, self.stopped_core_s())

    def stopped_core_s(self) -> float:
        """Return the core-seconds of the runs that were stopped."""
        return sum(
            (i.ended_at - i.began_at).total_seconds()
            * preempting.core_equivalent(self._demand_of(i))
            for i in self.fleet.intervals
            if i.end in (fleet.End.STOPPED, fleet.End.GANG_BROKEN)
        )

    def stop_count(self, job_id: str = "") -> int:
        """Count the stopped runs, of one job or all."""
        return sum(
            i.end is fleet.End.STOPPED and i.task.startswith(job_id)
            for i in self.fleet.intervals
        )

    def _demand_of(self, interval: standin_fleet.Interval) -> models.Demand:
        job_id, _, number, _ = interval.task.rsplit(".", 3)
        return self.fleet.steps_by_job[job_id][int(number)].demand
