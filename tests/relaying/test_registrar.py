"""Test registration of instances in the JOBS stream."""

import asyncio

from cardamomcroft.ports import store
from cardamomcroft.relaying import registrar
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import expiry
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness


class RegistrarTest(harness.SchedulingTestCase):
    """Register instances while one node schedules."""

    async def asyncSetUp(self):
        """Start the node and wait until it schedules."""
        await super().asyncSetUp()
        self.node = self.start_node("a")
        await self.wait_until(self.holder)
        self.registering: list[asyncio.Task] = []

    async def asyncTearDown(self):
        """Cancel the registration tasks."""
        for task in self.registering:
            task.cancel()
        await super().asyncTearDown()

    def register(self, name: str) -> None:
        """Start the registration task of an instance."""
        target = registrar.Registrar(
            name,
            f"{name}:7000",
            "dc",
            self.store.client(name),
            self.node.replica,
            self.clock,
        )
        self.registering.append(asyncio.ensure_future(target.run()))

    def known(self) -> set[str]:
        """Return the instances that the node knows."""
        return set(self.node.replica.ledger.peers_by_instance)

    async def test_instances_become_known(self):
        """The node knows an instance soon after it has started."""
        self.register("b")
        await self.wait_until(lambda: self.known() == {"b"}, 2)
        peer = self.node.replica.ledger.peers_by_instance["b"]
        self.assertEqual(peer.address, "b:7000")

    async def test_registration_waits_for_the_store(self):
        """An outage at startup only delays the registration."""
        self.store.faults.refused_clients.add("b")
        self.register("b")
        await self.pass_time(3)
        self.assertEqual(self.known(), set())
        self.store.faults.refused_clients.clear()
        await self.wait_until(lambda: self.known() == {"b"}, 2)
        self.assertGreater(self.store.injected["refused"], 0)


class PeerExpiryTest(harness.SchedulingTestCase):
    """Drop the records of instances that no longer register."""

    async def test_gone_instance_is_forgotten(self):
        """An instance's record is dropped after three missed registrations."""
        node = self.start_node("a")
        await self.wait_until(self.holder)
        old = self.clock.now() - expiry.PEER_LIFETIME
        for name, seen_at in (
            ("gone", old - expiry.PEER_CHECK_PERIOD),
            ("here", self.clock.now()),
        ):
            peer = codec.Peer("x:1", "dc", seen_at.timestamp())
            self.store.put(
                store.Stream.JOBS,
                ledgers.Kind.INSTANCE.key(name),
                codec.encode_peer(peer),
            )
        await self.pass_time(expiry.PEER_CHECK_PERIOD.total_seconds() + 2)
        self.assertEqual(set(node.replica.ledger.peers_by_instance), {"here"})
