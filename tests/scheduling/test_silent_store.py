"""An instance notices soon that a silent store answers again."""

import asyncio

from cardamomcroft.ports import store
from cardamomcroft.scheduling import node
from cardamomcroft.scheduling import replica
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

MAX_AGE = harness.seconds(2)
STEP_S = harness.STEP.total_seconds()
# A probe, the pause after it, and two steps of the clock.
SOON_S = store.PROBE_TIMEOUT.total_seconds() + 0.15 + 2 * STEP_S


class SilentStore(standin_store.StoreClient):
    """A client of the store whose reads get no answer for some time."""

    is_silent = False
    slowness = harness.seconds(0)

    async def read(self, stream, offset, wait, timeout):
        """Return the page, or a failure once the time is over."""
        clock = self._service.clock
        if self.is_silent or self.slowness > timeout:
            await clock.sleep(wait + timeout)
            return store.ReadFailure(
                store.ReadStatus.UNAVAILABLE, "silent", is_silent=True
            )
        await clock.sleep(self.slowness)
        return await super().read(stream, offset, wait, timeout)


class SilentStoreTest(harness.SchedulingTestCase):
    """Follow a configuration and the jobs."""

    async def asyncSetUp(self):
        """Load both."""
        await super().asyncSetUp()
        self.store.put(store.Stream.OPERATOR, "config", b"1")
        self.source = SilentStore(self.store, "a")
        self.view = self.make_view(self.source, MAX_AGE)
        self.replica = replica.Replica(
            self.source, self.clock, self.make_log("a")
        )
        for loop in (self.view.run(), self.follow()):
            task = asyncio.ensure_future(loop)
            self.addCleanup(task.cancel)
        await self.wait_until(self.can_serve, 2)

    async def follow(self) -> None:
        """Read the jobs as a node does that doesn't schedule."""
        while True:
            answered = await self.replica.update()
            await self.clock.sleep(
                node.FOLLOWER_POLL_PAUSE if answered else node.RETRY_PAUSE
            )

    def can_serve(self) -> bool:
        """Return whether the instance can serve clients."""
        is_current = self.view.current and not self.view.is_stale
        return bool(is_current) and self.replica.is_reachable

    async def test_instance_serves_soon_after_the_silence(self):
        """In two of three cases one probe is enough."""
        delays_s = []
        for number in range(15):
            self.source.is_silent = True
            await self.pass_time(4 + number * 0.15)
            self.assertFalse(self.can_serve())
            self.source.is_silent = False
            delays_s.append(await self.wait_until(self.can_serve, 2))
            await self.pass_time(1.2)
        soon = [delay_s for delay_s in delays_s if delay_s <= SOON_S]
        self.assertGreaterEqual(len(soon), len(delays_s) * 2 / 3)
        limit = replica.READ_TIMEOUT + node.RETRY_PAUSE + harness.STEP * 2
        self.assertLessEqual(max(delays_s), limit.total_seconds())

    async def test_very_slow_store_gets_through(self):
        """An answer that takes longer than a probe comes now and then."""
        self.source.is_silent = True
        await self.pass_time(4)
        self.source.is_silent = False
        self.source.slowness = store.PROBE_TIMEOUT * 1.5
        await self.wait_until(self.can_serve, 9)
