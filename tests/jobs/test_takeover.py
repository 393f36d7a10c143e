"""Test a takeover of a large region behind a slow link."""

import asyncio
import datetime
import unittest

import expression
import structlog.testing

from cardamomcroft.jobs import takeover as takeovers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import verdict
from cardamomcroft.settings import instance
from cardamomcroft.standin import workers

WORKER_COUNT = 467  # of a region, docs/CAPACITY.md
ANSWER_BYTES = 1_080_000 / WORKER_COUNT  # docs/CAPACITY.md, Takeover
SLOW_BYTES_PER_S = 589_749  # of the incident 2026-12-04
TICK = datetime.timedelta(milliseconds=100)


class LinkedWorkers(workers.StandinWorkers):
    """Workers whose answers share a link; a call has a time limit."""

    def __init__(
        self, clock: clocks.FakeClock, timing: instance.Timing
    ) -> None:
        """Answer at the slow rate; no worker is silent."""
        super().__init__(clock)
        self.silent: frozenset[str] = frozenset()
        self.bytes_per_s = SLOW_BYTES_PER_S
        self._limit = timing.duration("call_timeout")
        self._transfers = 0
        self._bytes = 0.0
        self._served_at = datetime.timedelta()

    def _served(self) -> float:
        """Return the bytes that the link has carried for each transfer."""
        now = self._clock.monotonic()
        passed_s = (now - self._served_at).total_seconds()
        if self._transfers:
            self._bytes += self.bytes_per_s * passed_s / self._transfers
        self._served_at = now
        return self._bytes

    async def renew(self, worker_id, command):
        """Renew, and carry the answer over the link."""
        began_at = self._clock.monotonic()
        end = self._served() + ANSWER_BYTES
        is_silent = worker_id in self.silent
        self._transfers += not is_silent
        while is_silent or self._served() < end:
            if self._clock.monotonic() - began_at >= self._limit:
                self._transfers -= not is_silent
                self.injected["answer_late"] += 1
                return expression.Error(
                    verdict.may_have_run(verdict.Reason.TIMEOUT, "no answer")
                )
            await self._clock.sleep(TICK)
        self._transfers -= not is_silent
        return await super().renew(worker_id, command)


class LargeRegionTest(unittest.IsolatedAsyncioTestCase):
    """Fence the workers of a region of the two-year size."""

    async def asyncSetUp(self) -> None:
        """Take over a region in which nothing is fenced yet."""
        self.enterContext(structlog.testing.capture_logs())
        self.clock = clocks.FakeClock()
        timing = instance.Timing()
        self.workers = LinkedWorkers(self.clock, timing)
        self.ids = tuple(f"w{number}" for number in range(WORKER_COUNT))
        for worker_id in self.ids:
            self.workers.add(worker_id)
        self.takeover = takeovers.Takeover(1, self.workers, self.clock, timing)

    async def step(self) -> datetime.timedelta:
        """Advance one step to its end and return its duration."""
        began_at = self.clock.monotonic()
        task = asyncio.ensure_future(self.takeover.step(self.ids))
        while not task.done():
            await self.clock.advance(TICK)
        task.result()
        return self.clock.monotonic() - began_at

    async def test_answers_larger_than_the_link_fence_every_worker(self):
        for _ in range(3):
            await self.step()
        self.assertEqual(set(self.ids), set(self.takeover.reports_by_worker))
        self.assertTrue(self.takeover.is_settled)
        self.assertLess(self.clock.monotonic(), datetime.timedelta(seconds=10))

    async def test_silent_rack_delays_no_other_worker(self):
        self.workers.silent = frozenset(self.ids[:156])
        steps = [await self.step() for _ in range(12)]
        self.assertGreater(self.workers.injected["answer_late"], 0)
        self.assertEqual(
            set(self.ids) - self.workers.silent,
            set(self.takeover.reports_by_worker),
        )
        self.assertLessEqual(max(steps), datetime.timedelta(seconds=2))

    async def test_silent_worker_that_returns_is_fenced(self):
        self.workers.silent = frozenset(self.ids[:156])
        for _ in range(12):
            await self.step()
        self.workers.silent = frozenset()
        for _ in range(3):
            await self.step()
        self.assertEqual(set(self.ids), set(self.takeover.reports_by_worker))
