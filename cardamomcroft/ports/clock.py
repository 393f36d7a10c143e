"""Provide the system clock and a manually advanced clock for tests."""

import asyncio
import datetime
import heapq
import itertools
import time

from cardamomcroft.ports import base

MAX_SETTLE_PASSES = 10_000  # event loop passes; beyond, work counts as endless


class SystemClock(base.Clock):
    """Read the clocks of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since boot, including suspension."""
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
        return datetime.timedelta(seconds=seconds)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait for the duration."""
        await asyncio.sleep(duration.total_seconds())


class FakeClock(base.Clock):
    """Advance only when ``advance`` is called."""

    def __init__(
        self,
        start: datetime.datetime = datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        ),
    ) -> None:
        """Start at the given wall-clock time."""
        self._start = start
        self._elapsed = datetime.timedelta()
        self._sleepers: list[tuple] = []
        self._order = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the start time plus the time advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the time advanced so far."""
        return self._elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait until the clock is advanced past the duration."""
        future = asyncio.get_running_loop().create_future()
        due = self._elapsed + max(duration, datetime.timedelta())
        heapq.heappush(self._sleepers, (due, next(self._order), future))
        await future

    async def settle(self) -> None:
        """Run the event loop until no callback is ready."""
        ready = asyncio.get_running_loop()._ready
        for _ in range(MAX_SETTLE_PASSES):
            await asyncio.sleep(0)
            if not ready:
                return

    async def advance(self, duration: datetime.timedelta) -> None:
        """Advance the time and wake the sleepers due, in order."""
        target = self._elapsed + duration
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= target:
            due, _, future = heapq.heappop(self._sleepers)
            if future.done():
                continue
            self._elapsed = max(self._elapsed, due)
            future.set_result(None)
            await self.settle()
        self._elapsed = target
        await self.settle()


async def within(
    clock: base.Clock, limit: datetime.timedelta, awaitable
) -> object | None:
    """Return the result, or None and cancel the awaitable on time-out."""
    task = asyncio.ensure_future(awaitable)
    timer = asyncio.ensure_future(clock.sleep(limit))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        timer.cancel()
        task.cancel()
