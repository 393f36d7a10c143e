"""The monitor reports what the watch and the instances show."""

import asyncio
import unittest
from unittest import mock

from cardamomcroft.ports import clock as clocks
from cardamomcroft.standin import fleet as standin_fleet
from soak import monitoring
from soak import watch
from tests.soak import test_watch

JOB = test_watch.JOB
# Ends a test whose monitor has stopped looking.
LOOKS_TIMEOUT_S = 5.0


class MonitorTest(unittest.IsolatedAsyncioTestCase):
    """A monitor whose watch finds a job at every look."""

    async def asyncSetUp(self):
        """Create the monitor; its looks follow each other at once."""
        fake = standin_fleet.FakeFleet(
            clocks.FakeClock(), test_watch.seconds(1)
        )
        self.callers = mock.Mock(jobs_by_id={JOB: None})
        self.callers.query = mock.AsyncMock(return_value="queued")
        self.instance = mock.Mock()
        self.instance.name = "entry-0"
        self.instance.used_memory_mb.return_value = 60.0
        faults = mock.Mock()
        faults.take_disturbed.return_value = False
        self.monitor = monitoring.Monitor(
            fake, self.callers, faults, [self.instance]
        )
        patched = self.enterContext(
            mock.patch.multiple(
                watch.Watch, look=mock.DEFAULT, describe=mock.DEFAULT
            )
        )
        self.enterContext(
            mock.patch.object(monitoring, "LOOK_INTERVAL_S", 0.001)
        )
        self.look = patched["look"]
        self.look.return_value = [JOB]
        patched["describe"].return_value = "its tasks"

    async def stop_after_a_look(self, kind: str = "stands_still") -> list[str]:
        """Return what the monitor found of a kind."""
        self.monitor.start()
        await asyncio.sleep(0)
        return (await self.monitor.stop())[kind]

    async def test_still_job_is_reported_with_its_tasks(self):
        """A query shows that it has not ended."""
        (line,) = await self.stop_after_a_look()
        self.assertRegex(line, f"^{JOB} at .*: its tasks$")

    async def test_job_that_has_ended_is_not_reported(self):
        """The scheduler knew a completion that its worker lost."""
        self.callers.query.return_value = "completed"
        self.assertEqual(await self.stop_after_a_look(), [])

    async def test_instance_beyond_its_memory_is_reported(self):
        """Its peak counts."""
        self.assertEqual(await self.stop_after_a_look("memory"), [])
        self.instance.used_memory_mb.return_value = 200.0
        found = await self.stop_after_a_look("memory")
        self.assertEqual(found, ["entry-0: 200 MB"])

    async def test_count_of_waiting_jobs_hides_no_still_job(self):
        """The watch reports each of them once."""
        self.enterContext(
            mock.patch.multiple(
                watch.Watch,
                is_calm=mock.Mock(return_value=True),
                waiting_since=mock.Mock(return_value={JOB}),
            )
        )
        third_look = asyncio.Event()

        def look(_disturbed):
            if self.look.call_count > 2:
                third_look.set()
            return [JOB] if self.look.call_count == 2 else []

        self.look.side_effect = look
        self.callers.pending = mock.AsyncMock(return_value=1)
        self.monitor.start()
        await asyncio.wait_for(third_look.wait(), LOOKS_TIMEOUT_S)
        found = await self.monitor.stop()
        self.assertEqual(len(found["stands_still"]), 1)

    async def test_count_of_too_few_waiting_jobs_is_reported(self):
        """Half of them is enough, and so is no answer."""
        waiting = {JOB, "1" * 16, "2" * 16}
        patched = self.enterContext(
            mock.patch.multiple(
                watch.Watch, is_calm=mock.DEFAULT, waiting_since=mock.DEFAULT
            )
        )
        patched["waiting_since"].side_effect = lambda *_: set(waiting)
        for pending in (2, None):
            self.callers.pending = mock.AsyncMock(return_value=pending)
            self.assertEqual(await self.stop_after_a_look("miscounted"), [])
        self.callers.pending = mock.AsyncMock(return_value=1)
        found = await self.stop_after_a_look("miscounted")
        self.assertRegex(found[0], "^/q0/: 1 of ")

    async def test_error_of_the_watch_fails_the_trial(self):
        """A trial must not pass because nobody watched."""
        self.look.side_effect = KeyError(JOB)
        with self.assertRaises(KeyError):
            await self.stop_after_a_look()
