"""Share the parts of tests that follow the instances' records."""

import asyncio
import collections
import os

from cardamomcroft.ports import store
from cardamomcroft.relaying import peer_view
from cardamomcroft.relaying import registrar
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import metrics
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

STREAM = store.Stream.INSTANCES


class FaultyStore(store.Store):
    """A client of the store that counts calls and injects faults."""

    def __init__(self, service: standin_store.StoreService, name: str) -> None:
        """Wrap the client of an instance."""
        self._clock = service.clock
        self._client = service.client(name)
        self.calls: collections.Counter[str] = collections.Counter()
        self.injected: collections.Counter[str] = collections.Counter()
        self.expire_reads = 0
        self.is_silent = False

    async def append(
        self, stream, entries, timeout, expected_end=None, writer=None
    ):
        """Append all entries or none."""
        self.calls["append"] += 1
        return await self._client.append(
            stream, entries, timeout, expected_end, writer
        )

    async def read(self, stream, offset, wait, timeout):
        """Read, unless the connection is silent or the records expired."""
        self.calls["read"] += 1
        if self.expire_reads:
            self.expire_reads -= 1
            self.injected["expired"] += 1
            return store.ReadFailure(store.ReadStatus.EXPIRED)
        if self.is_silent:
            return await self._time_out(wait + timeout)
        return await self._client.read(stream, offset, wait, timeout)

    async def newest(self, stream, after, timeout):
        """Load, unless the connection is silent."""
        self.calls["newest"] += 1
        if self.is_silent:
            return await self._time_out(timeout)
        return await self._client.newest(stream, after, timeout)

    async def _time_out(self, timeout) -> store.ReadFailure:
        self.injected["silent"] += 1
        await self._clock.sleep(timeout)
        return store.ReadFailure(store.ReadStatus.UNAVAILABLE, "silent")


class PeersTestCase(harness.SchedulingTestCase):
    """Run views and registrars of several instances by a fake clock."""

    async def asyncSetUp(self):
        """Start with no instance."""
        await super().asyncSetUp()
        self.running: list[asyncio.Task] = []
        self.clients: dict[str, FaultyStore] = {}
        self.views: dict[str, peer_view.PeerView] = {}

    async def asyncTearDown(self):
        """Cancel the views and registrars."""
        for task in self.running:
            task.cancel()
        await super().asyncTearDown()

    def client(self, name: str) -> FaultyStore:
        """Return the store as an instance reaches it."""
        if name not in self.clients:
            self.clients[name] = FaultyStore(self.store, name)
        return self.clients[name]

    def make_log(self, name: str) -> events.Events:
        """Return an instance's log."""
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        return events.Events(self.clock, name, metrics.Metrics(), sink)

    def follow(self, name: str) -> peer_view.PeerView:
        """Start an instance's view."""
        view = peer_view.PeerView(
            self.client(name), self.clock, self.make_log(name)
        )
        self.views[name] = view
        self.running.append(asyncio.ensure_future(view.run()))
        return view

    def start(self, name: str) -> None:
        """Start the view and the registration of an instance."""
        target = registrar.Registrar(
            name,
            f"{name}:7000",
            "dc",
            1.0,
            300,
            self.client(name),
            self.follow(name),
            self.clock,
            self.make_log(name),
        )
        self.running.append(asyncio.ensure_future(target.run()))

    def known(self, name: str) -> set[str]:
        """Return the instances that an instance knows."""
        return set(self.views[name].peers_by_instance)

    def put(self, name: str, seen_at, address: str = "x:1") -> None:
        """Store the record of an instance that registered at a time."""
        peer = codec.Peer(address, "dc", seen_at.timestamp())
        self.store.put(STREAM, name, codec.encode_peer(peer))
