"""Test that a view of the instances' records stays current and cheap."""

from cardamomcroft.relaying import peer_view
from cardamomcroft.scheduling import codec
from tests.relaying import harness

SILENCE_S = (peer_view.POLL_WAIT + peer_view.READ_TIMEOUT).total_seconds()
PAUSE_S = peer_view.PAGE_PAUSE.total_seconds()
FLEET = 38


class PeerViewTest(harness.PeersTestCase):
    """Follow the records over failures of the store."""

    async def start_with_one(self, name: str = "a") -> harness.FaultyStore:
        """Follow a stream with one record until it is polled for more."""
        self.put("b", self.clock.now())
        self.follow(name)
        await self.wait_until(lambda: self.known(name) == {"b"}, 1)
        client = self.client(name)
        await self.wait_until(lambda: client.calls["read"] == 1, PAUSE_S)
        return client

    async def test_failed_load_is_repeated(self):
        """A view that knows nobody tries again within a second."""
        self.put("b", self.clock.now())
        self.store.faults.refused_clients.add("a")
        self.follow("a")
        await self.pass_time(3)
        self.assertEqual(self.known("a"), set())
        self.assertGreater(self.store.injected["refused"], 3)
        self.store.faults.refused_clients.clear()
        await self.wait_until(lambda: self.known("a") == {"b"}, 1)

    async def test_new_records_are_followed(self):
        """A new, a changed and a deleted record show after one pause."""
        await self.start_with_one()
        self.put("c", self.clock.now())
        await self.wait_until(lambda: self.known("a") == {"b", "c"}, 1)
        self.put("c", self.clock.now(), "y:2")
        self.store.put(harness.STREAM, "b", None)
        await self.wait_until(lambda: self.known("a") == {"c"}, PAUSE_S + 1)
        peer = self.views["a"].peers_by_instance["c"]
        self.assertEqual(peer.address, "y:2")

    async def test_records_of_other_versions_are_read(self):
        """Fields that an earlier one lacks, or that a later one adds."""
        await self.start_with_one()
        for name, fields in (
            ("old", ["x:1", "dc", 5.0, 2.0]),
            ("new", ["x:1", "dc", 5.0, 2.0, 160, "more"]),
        ):
            self.store.put(harness.STREAM, name, codec.dump(fields))
        await self.wait_until(lambda: "new" in self.known("a"), PAUSE_S + 1)
        peers = self.views["a"].peers_by_instance
        self.assertEqual(peers["old"], codec.Peer("x:1", "dc", 5.0, 2.0))
        self.assertEqual(peers["new"].memory_mb, 160)

    async def test_peers_stay_known_while_the_store_is_lost(self):
        """A lost store takes away no peer and is not asked in haste."""
        client = await self.start_with_one()
        self.store.faults.refused_clients.add("a")
        loads = client.calls["newest"]
        for _ in range(60):
            await self.pass_time(1)
            self.assertEqual(self.known("a"), {"b"})
        self.assertGreater(self.store.injected["refused"], 3)
        self.assertLessEqual(client.calls["newest"] - loads, 60 / PAUSE_S + 1)
        self.put("c", self.clock.now())
        self.store.faults.refused_clients.clear()
        await self.wait_until(
            lambda: self.known("a") == {"b", "c"}, PAUSE_S + 1
        )

    async def test_expired_records_are_loaded_again(self):
        """The load drops what was deleted meanwhile, and nothing before."""
        client = await self.start_with_one()
        client.expire_reads = 1
        self.put("c", self.clock.now())
        await self.wait_until(lambda: self.known("a") == {"b", "c"}, 1)
        self.store.put(harness.STREAM, "b", None)
        while not client.injected["expired"]:
            self.assertEqual(self.known("a"), {"b", "c"})
            await self.pass_time(harness.harness.STEP.total_seconds())
        self.assertEqual(self.known("a"), {"b", "c"})
        await self.wait_until(lambda: self.known("a") == {"c"}, 1)

    async def test_silent_connection_ends(self):
        """A connection without any answer delays new records, once."""
        client = await self.start_with_one()
        client.is_silent = True
        self.put("c", self.clock.now())
        await self.wait_until(lambda: client.injected["silent"], 30)
        client.is_silent = False
        self.put("d", self.clock.now())
        await self.wait_until(lambda: "d" in self.known("a"), SILENCE_S + 1)
        self.assertEqual(self.known("a"), {"b", "c", "d"})

    async def test_damaged_record_leaves_the_last_valid_one(self):
        """A record that cannot be decoded harms nobody, also in a load."""
        client = await self.start_with_one()
        self.store.put(harness.STREAM, "b", b'["only an address"]')
        self.store.put(harness.STREAM, "c", b"\xff")
        await self.pass_time(1)
        self.assertEqual(self.known("a"), {"b"})
        client.expire_reads = 1
        await self.pass_time(2 * PAUSE_S)
        self.assertEqual(client.injected["expired"], 1)
        self.assertEqual(client.calls["newest"], 2)
        self.assertEqual(self.known("a"), {"b"})

    async def test_few_that_start_together_soon_know_one_another(self):
        """The first page that is read has the records of all."""
        names = {"a", "b", "c"}
        for name in sorted(names):
            self.start(name)
            await self.pass_time(harness.harness.STEP.total_seconds())
        await self.pass_time(2)
        for name in names:
            self.assertEqual(self.known(name), names)

    async def test_common_start_costs_few_calls(self):
        """All of a fleet know one another after few calls of each."""
        names = [f"n{number}" for number in range(FLEET)]
        for name in names:
            self.start(name)
            await self.pass_time(harness.harness.STEP.total_seconds())
        await self.pass_time(PAUSE_S + 1)
        for name in names:
            self.assertEqual(self.known(name), set(names))
        await self.pass_time(PAUSE_S)
        for name in names:
            # A load, a registration, two reads of records and a long poll.
            self.assertLessEqual(self.client(name).calls.total(), 5)
