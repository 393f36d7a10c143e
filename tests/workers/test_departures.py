"""Test what a takeover knows of workers that left the settings."""

import dataclasses

from cardamomcroft.log import records
from cardamomcroft.settings import parsing
from cardamomcroft.state import settings
from cardamomcroft.workers import departures
from cardamomcroft.workers import fleet
from tests import harness

PATH = "fleet/dahab"


class DeparturesCase(harness.ClusterCase):
    """Give each test a running cluster."""

    async def asyncSetUp(self) -> None:
        """Declare four workers and let the declaration age."""
        await super().asyncSetUp()
        await self.cluster.ready()
        await self.cluster.advance(60)

    async def change(self, document) -> None:
        """Replace the fleet's document, or remove it (None)."""
        state = self.cluster.node().replica.state
        content = parsing.to_json(document) if document else None
        edit = records.Edit(PATH, state.settings[PATH].revision, content)
        outcome = await self.cluster.confirm(
            records.SettingsChanged("root", (edit,))
        )
        self.assertTrue(outcome.ok.accepted)

    async def withdraw(self, victim: str) -> None:
        """Remove a worker."""
        others = [name for name in self.cluster.worker_ids if name != victim]
        await self.change(harness.fleet_document(others))


class FindTest(DeparturesCase):
    """Find departures in the log's state."""

    def find(self, since_s: float) -> departures.Departures:
        """Return the departures of so many seconds."""
        state = self.cluster.node().replica.state
        since = self.cluster.clock.now() - harness.seconds(since_s)
        declared = fleet.Fleet().by_id(state)
        return departures.find(state, harness.REGION, declared, since)

    async def test_nothing_has_left(self):
        self.assertEqual(
            departures.Departures(frozenset(), True), self.find(1000)
        )

    async def test_worker_that_left_is_found_for_so_long(self):
        await self.withdraw("w2")
        skew = departures.MAX_CLOCK_SKEW.total_seconds()
        await self.cluster.advance(20)
        self.assertEqual({"w2"}, self.find(20).worker_ids)
        await self.cluster.advance(skew + 1)
        self.assertEqual(frozenset(), self.find(20).worker_ids)
        self.assertTrue(self.find(20).is_complete)

    async def test_removed_data_centre_leaves_all_its_workers(self):
        await self.change(None)
        self.assertEqual(
            set(self.cluster.worker_ids), self.find(20).worker_ids
        )

    async def test_worker_that_is_back_has_not_left(self):
        await self.withdraw("w2")
        await self.change(harness.fleet_document(self.cluster.worker_ids))
        self.assertEqual(
            departures.Departures(frozenset(), True), self.find(20)
        )

    async def test_worker_at_another_address_makes_it_incomplete(self):
        moved = harness.fleet_document(self.cluster.worker_ids)
        workers = moved.racks["r1"].workers
        workers["w2"] = dataclasses.replace(
            workers["w2"], address="http://elsewhere"
        )
        await self.change(moved)
        found = self.find(20)
        self.assertEqual(frozenset(), found.worker_ids)
        self.assertFalse(found.is_complete)

    async def test_lost_audit_entries_make_it_incomplete(self):
        await self.withdraw("w2")
        for number in range(settings.MAX_AUDIT_ENTRIES):
            names = self.cluster.worker_ids[: 2 + number % 2]
            await self.change(harness.fleet_document(names))
        self.assertFalse(self.find(20).is_complete)


class TakeoverTest(DeparturesCase):
    """Take over after a worker has left that can't be reached."""

    async def settle(self) -> float:
        """Kill the owner; return how long the takeover waits."""
        former = self.cluster.owner.settings.instance_id
        await self.cluster.kill(former)
        began = []

        def is_settled() -> bool:
            owner = self.cluster.owner
            if owner is None or owner.scheduler.takeover is None:
                return False
            began.append(owner.scheduler.takeover.started_at)
            return owner.scheduler.takeover.is_settled

        self.assertTrue(await self.cluster.until(is_settled))
        waited = self.cluster.clock.monotonic() - began[0]
        return waited.total_seconds()

    async def withdraw_and_cut(self, victim: str) -> None:
        """Remove a worker that nobody reaches."""
        self.cluster.workers.by_id[victim].cut(True)
        await self.withdraw(victim)

    async def test_takeover_without_departures_waits_for_nothing(self):
        self.assertEqual(0.0, await self.settle())

    async def test_takeover_counts_the_leases_of_a_recent_departure(self):
        await self.withdraw_and_cut("w2")
        self.assertEqual(19.0, await self.settle())
        self.assert_injected("worker_unreachable")

    async def test_takeover_waits_only_until_it_is_no_longer_recent(self):
        await self.withdraw_and_cut("w2")
        await self.cluster.advance(20)
        self.assertLess(await self.settle(), 8)
        self.assert_injected("worker_unreachable")

    async def test_takeover_waits_for_no_earlier_departure(self):
        await self.withdraw_and_cut("w2")
        await self.cluster.advance(30)
        self.assertEqual(0.0, await self.settle())

    async def test_takeover_fences_a_worker_that_left(self):
        await self.withdraw("w2")
        self.assertEqual(0.0, await self.settle())
        takeover = self.cluster.owner.scheduler.takeover
        self.assertTrue(takeover.is_fenced("w2"))
