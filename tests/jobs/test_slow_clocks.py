"""Test that leases on the workers' slowest clocks end before new starts."""

import asyncio
import datetime
import unittest

import expression
import structlog.testing

from cardamomcroft.jobs import launch as launches
from cardamomcroft.jobs import takeover as takeovers
from cardamomcroft.log import records
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.standin import workers
from cardamomcroft.state import models

CLOCK_RATE = 0.98
FORMER_EPOCH, EPOCH = 1, 2
CELL = messages.Cell(0, 4)
RUN_S = 600.0
TICK = datetime.timedelta(milliseconds=20)


class SlowWorkers(workers.StandinWorkers):
    """Workers whose clocks are slow, so that they hold and run on longer."""

    def __init__(self, clock: clocks.FakeClock) -> None:
        """Carry out every order at once; leave stops without an answer."""
        super().__init__(clock)
        self.start_delay: datetime.timedelta | None = None
        self.late: tuple[datetime.timedelta, messages.Start] | None = None

    async def reserve(self, worker_id, command):
        """Reserve for longer."""
        slow = messages.Reserve(
            command.task,
            command.token,
            command.cell,
            command.hold_s / CLOCK_RATE,
        )
        return await super().reserve(worker_id, slow)

    async def start(self, worker_id, command):
        """Start under a longer lease, at once or late and unanswered."""
        slow = messages.Start(
            command.task,
            command.token,
            command.lease_s / CLOCK_RATE,
            command.payload,
            command.run_s,
        )
        if self.start_delay is None:
            return await super().start(worker_id, slow)
        if self.late is None:
            self.late = self._clock.monotonic() + self.start_delay, slow
        return expression.Error(
            verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
        )

    async def carry_out_late(self, worker_id: str) -> None:
        """Carry out the delayed start once it is due."""
        if self.late and self._clock.monotonic() >= self.late[0]:
            command, self.late = self.late[1], None
            result = await super().start(worker_id, command)
            self.injected["start_late"] += result.is_ok()

    async def stop(self, worker_id, command):
        """Answer nothing."""
        self.injected["silent_stop"] += 1
        return expression.Error(
            verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
        )

    def is_running(self, worker_id: str) -> bool:
        """Return whether the worker runs anything."""
        worker = self.by_id[worker_id]
        worker.refresh()
        return any(run.ended_at is None for run in worker.runs)


class SlowClockTest(unittest.IsolatedAsyncioTestCase):
    """Start a task on a slow worker as late as it may be."""

    async def asyncSetUp(self) -> None:
        """Create one slow worker."""
        self.enterContext(structlog.testing.capture_logs())
        self.clock = clocks.FakeClock()
        self.timing = instance.Timing()
        self.workers = SlowWorkers(self.clock)
        self.workers.add("w1")

    async def test_takeover_waits_for_the_former_owners_last_lease(self):
        takeover = takeovers.Takeover(
            EPOCH, self.workers, self.clock, self.timing
        )
        await self.clock.advance(self.timing.duration("self_lease"))
        launched = await self.start_late(await_end=False)
        self.workers.by_id["w1"].cut(True)
        while not takeover.is_settled:
            await takeover.step(("w1",))
            await self.clock.advance(TICK)
        self.assertGreater(self.workers.injected["worker_unreachable"], 0)
        self.assertFalse(self.workers.is_running("w1"))
        launched.cancel()

    async def test_launch_that_failed_waits_for_the_lease_it_may_have(self):
        launched = await self.start_late(await_end=True)
        self.assertIs(launches.LaunchOutcome.FAILED, launched.result().outcome)
        self.assertGreater(self.workers.injected["silent_stop"], 0)
        self.assertFalse(self.workers.is_running("w1"))

    async def start_late(self, await_end: bool) -> asyncio.Future:
        """Launch a gang whose start is carried out as late as the hold allows.

        Return the launch, which goes on unless its end is awaited.
        """
        job = models.Job(
            "job-1",
            "shops/north",
            "counter",
            "key",
            "red-sea",
            documents.JobSpec("scan", run_s=RUN_S),
            0,
            self.clock.now(),
        )
        launch = launches.Launch(
            job,
            1,
            FORMER_EPOCH,
            (records.Placement("w1", CELL),),
            self.workers,
            self.clock,
            self.timing,
            lambda: True,
            lambda worker_id: None,
        )
        held_s = self.timing.ordered_hold_s / CLOCK_RATE
        self.workers.start_delay = datetime.timedelta(seconds=held_s) - TICK
        launched = asyncio.ensure_future(launch.run())
        while not launched.done():
            await self.clock.advance(TICK)
            await self.workers.carry_out_late("w1")
            if not await_end and self.workers.injected["start_late"]:
                break
        self.assertEqual(1, self.workers.injected["start_late"])
        return launched

    def test_takeover_waits_no_longer_than_the_periods_add_up_to(self):
        periods = map(self.timing.duration, ("self_lease", "hold", "lease"))
        self.assertEqual(
            sum(periods, datetime.timedelta()),
            launches.lease_expiry_bound(self.timing),
        )
