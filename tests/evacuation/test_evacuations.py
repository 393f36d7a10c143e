"""The set of evacuations follows the operator's records."""

import asyncio

from cardamomcroft.evacuation import evacuations as evacuation_sets
from cardamomcroft.platform import configuration
from cardamomcroft.ports import store
from tests.evacuation import harness
from tests.scheduling import harness as nodes_harness


class ViewTest(harness.EvacuationTestCase):
    """A view reads the stream for one instance."""

    async def asyncSetUp(self):
        """Record the changes."""
        await super().asyncSetUp()
        self.changes = []

    async def follow(self) -> None:
        """Follow the stream and wait until it has been read."""
        self.evacuations = self.make_gate("a").evacuations
        self.addCleanup(self.view_tasks["a"].cancel)
        self.evacuations.on_change = self.changes.append
        await self.wait_until(lambda: self.views["a"].read_at is not None, 1)

    def names(self) -> set[str]:
        """Return the evacuated data centres."""
        return set(self.evacuations.offsets_by_data_centre)

    async def test_page_adds_and_removes(self):
        """An evacuation that ends must not stay in force, nor end others."""
        await self.follow()
        self.evacuate("east")
        self.evacuate("west")
        await self.pass_time(0.1)
        self.assertEqual(self.names(), {"east", "west"})
        self.revoke("east")
        await self.pass_time(0.1)
        self.assertEqual(self.names(), {"west"})
        ended = evacuation_sets.Change("east", False, 2)
        self.assertEqual(self.changes[2:], [ended])

    async def test_records_from_before_are_loaded(self):
        """An instance that starts later must obey as well."""
        self.evacuate("east")
        self.evacuate("west")
        self.revoke("east")
        await self.follow()
        self.assertEqual(self.names(), {"west"})

    async def test_load_replaces_the_whole_set(self):
        """Deletions may have left the history; the key then has no record."""
        await self.follow()
        self.evacuate("east")
        await self.pass_time(0.1)
        self.changes.clear()
        records = self.store.records_by_stream[store.Stream.OPERATOR]
        records[0] = store.Record(0, "evacuate/west", b"{}")
        self.clients["a"].expired_reads = 1
        await self.wait_until(lambda: self.names() == {"west"}, 3)
        self.assertCountEqual(
            self.changes,
            [
                evacuation_sets.Change("east", False, None),
                evacuation_sets.Change("west", True, 0),
            ],
        )

    async def test_malformed_name_is_logged_and_ignored(self):
        """It must neither stop the view nor hide the next record."""
        await self.follow()
        self.evacuate("")
        self.evacuate("west")
        await self.pass_time(0.1)
        self.assertEqual(self.names(), {"west"})
        (line,) = self.lines("evacuation_invalid")
        self.assertEqual(line["key"], "evacuate/")

    async def test_configuration_is_still_followed(self):
        """Both kinds of records share the stream."""
        await self.follow()
        self.evacuate("east")
        self.store.put(
            store.Stream.OPERATOR, "config", b'{"Version": 7, "Routes": []}'
        )
        await self.pass_time(0.1)
        self.assertEqual(self.views["a"].version, 7)
        self.assertEqual(self.names(), {"east"})


class DecodingTest(nodes_harness.SchedulingTestCase):
    """Keys of the operator's stream."""

    async def test_only_keys_with_the_prefix_evacuate(self):
        """The configuration's key must not be taken for a data centre."""
        decode = configuration.decode_evacuation
        self.assertEqual(decode("evacuate/zone-1"), "zone-1")
        self.assertEqual(decode("evacuate/a/b"), "a/b")
        for key in ("config", "evacuate", "other/evacuate/zone-1"):
            self.assertIsNone(decode(key))
        for key in ("evacuate/", "evacuate/ "):
            with self.assertRaises(ValueError):
                decode(key)
        await asyncio.sleep(0)
