"""A planned stop leaves time to close connections before the grace ends."""

import datetime
import os
import unittest
from unittest import mock

from cardamomcroft.platform import ingress as ingresses
from cardamomcroft.platform import main
from cardamomcroft.ports import clock as clocks
from cardamomcroft.scheduling import node as nodes
from cardamomcroft.standin import cluster


class GraceTest(unittest.IsolatedAsyncioTestCase):
    """An instance is stopped while clients go on calling it."""

    async def asyncSetUp(self):
        """Create an instance whose clock is advanced by hand."""
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        self.settings = cluster.make_settings("a", "127.0.0.1:1")
        self.process = main.Process(self.settings, sink)
        self.clock = self.process._clock = clocks.FakeClock()

    async def leave(self, handover: datetime.timedelta) -> float:
        """Return when the wait for calls may end, in seconds."""

        async def stop() -> None:
            await self.clock.advance(handover)

        node = mock.Mock(stop=stop)
        waits = mock.AsyncMock()
        with mock.patch.object(ingresses, "wait_until_idle", waits):
            await self.process._leave(mock.Mock(in_flight=1), node)
        _, _, limit_s = waits.await_args.args
        return self.clock.monotonic().total_seconds() + limit_s

    async def test_handover_without_the_store_is_within_the_grace(self):
        """The wait for calls ends when it would after a quick one."""
        grace_s = self.settings.grace.total_seconds()
        for handover in (datetime.timedelta(), nodes.RELEASE_TIMEOUT):
            self.assertLessEqual(
                await self.leave(handover), grace_s - main.STOP_MARGIN_S
            )
            self.clock = self.process._clock = clocks.FakeClock()
