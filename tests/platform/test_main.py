"""An unexpected error in one loop of an instance does not end the process."""

import asyncio
import datetime
import os
import unittest

from cardamomcroft.platform import main
from cardamomcroft.ports import clock as clocks
from cardamomcroft.standin import cluster


class LoopCrashTest(unittest.IsolatedAsyncioTestCase):
    """A loop that raises errors."""

    async def asyncSetUp(self):
        """Create an instance whose clock is advanced by hand."""
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        settings = cluster.make_settings("a", "127.0.0.1:1")
        self.process = main.Process(settings, sink)
        self.clock = self.process._clock = clocks.FakeClock()
        self.runs = 0
        self.run_time = datetime.timedelta(0)

    async def fail(self) -> None:
        """Run for a time, then raise an error that nobody expects."""
        self.runs += 1
        await self.clock.sleep(self.run_time)
        raise ZeroDivisionError

    async def keep_running(self) -> asyncio.Task:
        """Run the loop for ten minutes; return its guard."""
        guard = asyncio.ensure_future(
            self.process.keep_running("loop", self.fail)
        )
        await self.clock.advance(datetime.timedelta(minutes=10))
        return guard

    async def test_loop_is_started_again(self):
        """A loop that fails now and then keeps running."""
        self.run_time = main.LOOP_CRASH_MEMORY * 1.1
        guard = await self.keep_running()
        self.assertGreater(self.runs, main.MAX_LOOP_CRASHES)
        self.assertFalse(guard.done())
        guard.cancel()

    async def test_loop_that_always_fails_ends_the_process(self):
        """A restart is the only thing that may mend the state."""
        guard = await self.keep_running()
        self.assertEqual(self.runs, main.MAX_LOOP_CRASHES)
        with self.assertRaises(ZeroDivisionError):
            await guard
