"""No call meets an older configuration than an answer before it showed."""

import asyncio
import random

from cardamomcroft.platform import ingress as ingresses
from cardamomcroft.relaying import base
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import configuration_view
from tests.platform import test_cancelling
from tests.scheduling import harness

ROUTE = configuration.Route("h", "/p/", harness.make_queue(), True)
MAX_AGE = harness.seconds(2)


class ForwardedConfigurationTest(harness.SchedulingTestCase):
    """A new queue is known to one of two instances."""

    async def asyncSetUp(self):
        """Start the instances; the second one has the newer version."""
        await super().asyncSetUp()
        for name in ("a", "b"):
            self.start_node(name)
        await self.wait_until(self.holder)
        await self.pass_time(0.5)
        self.new_view = self.make_current(2, ROUTE)
        self.old_view = self.make_current(1)
        self.answering = self.make_ingress("b", self.new_view)
        self.ingress = self.make_ingress(
            "a", self.old_view, test_cancelling.PeerForwarder(self.answering)
        )

    def make_current(
        self, version: int, *routes: configuration.Route
    ) -> configuration_view.ConfigurationView:
        """Return a view that has just read a version."""
        view = self.make_view(self.store.client("a"), MAX_AGE)
        view.current = configuration.Configuration(version, routes, (), 0)
        view.read_at = self.clock.monotonic()
        return view

    def make_ingress(
        self,
        name: str,
        view: configuration_view.ConfigurationView,
        forwarder: base.Forwarder | None = None,
    ) -> ingresses.Ingress:
        """Return the ingress of an instance."""
        return ingresses.Ingress(
            self.nodes_by_name[name],
            self.store.client(name),
            view,
            self.clock,
            self.make_log(name),
            forwarder or base.NoForwarder(),
            random.Random(1),
            lambda: None,
        )

    async def count_pending(self) -> int:
        """Call the first instance; return the status of its answer."""
        call = base.Call("GET", "h", "/p/", "", b"", harness.seconds(3))
        task = asyncio.ensure_future(self.ingress._answer_or_forward(call))
        await self.wait_until(task.done)
        return task.result().status

    async def test_answer_after_a_forwarded_one_is_not_older(self):
        """A read that was under way makes the old version current again."""
        self.old_view.read_at = None
        self.assertEqual(await self.count_pending(), 200)
        self.old_view.read_at = self.clock.monotonic()
        self.assertEqual(await self.count_pending(), 200)
        self.ingress._forwarder = base.NoForwarder()
        self.assertEqual(await self.count_pending(), 503)
        self.old_view.current = self.new_view.current
        self.assertEqual(await self.count_pending(), 200)

    async def test_peer_with_an_older_version_does_not_answer(self):
        """It learns that there is a newer one, and answers nobody."""
        self.ingress = self.make_ingress(
            "a",
            self.new_view,
            test_cancelling.PeerForwarder(
                self.make_ingress("b", self.old_view)
            ),
        )
        self.assertFalse(self.old_view.is_stale)
        self.new_view.read_at = None
        self.assertEqual(await self.count_pending(), 503)
        self.assertTrue(self.old_view.is_stale)
