"""Test registration of instances in the INSTANCES stream."""

from cardamomcroft.ports import store
from cardamomcroft.relaying import peer_view
from cardamomcroft.relaying import registrar
from tests.relaying import harness

PAUSES_S = (peer_view.FIRST_PAUSE + peer_view.PAGE_PAUSE).total_seconds()


class RegistrarTest(harness.PeersTestCase):
    """Register instances while another one follows them."""

    async def asyncSetUp(self):
        """Start to follow the records and wait until that has begun."""
        await super().asyncSetUp()
        view = self.follow("a")
        await self.wait_until(lambda: view.is_loaded)

    async def test_instances_become_known(self):
        """Another instance knows an instance soon after it has started."""
        self.start("b")
        await self.wait_until(lambda: self.known("a") == {"b"}, 2)
        peer = self.views["a"].peers_by_instance["b"]
        self.assertEqual(peer.address, "b:7000")
        self.assertEqual((peer.cores, peer.memory_mb), (1.0, 300))

    async def test_registration_waits_for_the_store(self):
        """An outage at startup only delays the registration."""
        self.store.faults.refused_clients.add("b")
        self.start("b")
        await self.pass_time(3)
        self.assertEqual(self.known("a"), set())
        self.store.faults.refused_clients.clear()
        await self.wait_until(lambda: self.known("a") == {"b"}, 2)
        self.assertGreater(self.store.injected["refused"], 0)

    async def test_registration_needs_no_jobs(self):
        """Nothing is read from the stream of jobs or appended to it."""
        self.store.put(store.Stream.JOBS, "damaged", b"")
        self.start("b")
        await self.wait_until(lambda: self.known("a") == {"b"}, 2)
        jobs = self.store.records_by_stream[store.Stream.JOBS]
        self.assertEqual(len(jobs), 1)

    async def test_live_instance_stays_known(self):
        """An instance registers again three times in a record's lifetime."""
        self.start("b")
        await self.wait_until(lambda: self.known("a") == {"b"}, 2)
        began_at = self.clock.now()
        period = registrar.PEER_LIFETIME / 3
        await self.pass_time(period.total_seconds() + PAUSES_S)
        seen_at = self.views["a"].peers_by_instance["b"].seen_at
        self.assertGreater(seen_at, began_at.timestamp())


class PeerExpiryTest(harness.PeersTestCase):
    """Drop the records of instances that no longer register."""

    def put_old(self) -> None:
        """Store a record that is just too old and one that is not yet."""
        oldest = self.clock.now() - registrar.PEER_LIFETIME
        self.put("gone", oldest - harness.harness.seconds(1))
        self.put("late", oldest + harness.harness.seconds(10))

    async def test_gone_instance_is_forgotten(self):
        """An instance's record is dropped after three missed registrations."""
        self.put_old()
        self.start("here")
        await self.wait_until(
            lambda: self.known("here") == {"here", "late"}, PAUSES_S + 2
        )
        period_s = registrar.REGISTER_PERIOD.total_seconds()
        await self.pass_time(period_s + PAUSES_S)
        self.assertEqual(self.known("here"), {"here"})

    async def test_record_renewed_meanwhile_is_not_dropped(self):
        """Instances that all return after a long outage keep one another."""
        old = self.clock.now() - registrar.PEER_LIFETIME * 2
        names = {f"n{number}" for number in range(5)}
        for name in sorted(names):
            self.put(name, old)
        for name in sorted(names):
            self.start(name)
        await self.pass_time(2 * PAUSES_S)
        for name in names:
            self.assertEqual(self.known(name), names)

    async def test_two_may_drop_the_same_record(self):
        """A record that is dropped twice stays dropped."""
        self.put_old()
        self.start("b")
        await self.wait_until(lambda: "b" in self.known("b"))
        self.start("c")
        await self.pass_time(PAUSES_S)
        for name in ("b", "c"):
            self.assertEqual(self.known(name), {"b", "c", "late"})
