"""Test for how long a configuration counts as current."""

import asyncio

from cardamomcroft.ports import store
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

MAX_AGE = harness.seconds(2)
OUTAGE_S = 4.5


class SlowAnswers(standin_store.StoreClient):
    """A client of the store whose long polls are answered late."""

    delay = harness.seconds(0)

    async def read(self, stream, offset, wait, timeout):
        """Return the page some time after the store has made it."""
        page = await super().read(stream, offset, wait, timeout)
        await self._service.clock.sleep(self.delay)
        return page


class FreshnessTest(harness.SchedulingTestCase):
    """Follow a configuration over a store that fails or is slow."""

    async def asyncSetUp(self):
        """Store a configuration."""
        await super().asyncSetUp()
        self.store.put(store.Stream.OPERATOR, "config", b"1")
        self.source = SlowAnswers(self.store, "a")
        self.view = self.make_view(self.source, MAX_AGE)
        self.task = asyncio.ensure_future(self.view.run())
        self.addCleanup(self.task.cancel)

    async def test_configuration_loaded_after_an_outage_is_current(self):
        """The outage before the load does not count into its age."""
        self.store.faults.is_down = True
        await self.pass_time(OUTAGE_S)
        self.assertGreater(self.store.injected["refused"], 0)
        self.store.faults.is_down = False
        await self.wait_until(lambda: self.view.current is not None, 1)
        for _ in range(40):
            self.assertFalse(self.view.is_stale)
            await self.pass_time(harness.STEP.total_seconds())

    async def test_late_answer_makes_no_configuration_current(self):
        """An empty poll says nothing about the time after its wait."""
        await self.wait_until(lambda: self.view.current is not None, 1)
        self.source.delay = harness.seconds(6)
        read_at = self.view.read_at
        await self.wait_until(lambda: self.view.read_at != read_at, 10)
        self.assertGreater(self.view.age, harness.seconds(5))
