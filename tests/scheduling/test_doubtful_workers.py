"""Doubt about a worker's incarnation is handed on, and ends."""

import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import test_reborn_takeover


class HandedOnDoubtTest(test_reborn_takeover.DoubtfulRestartTestCase):
    """Two successors follow a holder that knew of a restart."""

    async def take_over_heard(self) -> str:
        """Return a successor that has heard the worker in doubt."""
        await self.restart_with_late_start()
        await self.pass_time(0.8)
        self.kill(self.holder())
        await self.wait_until(self.holder)
        successor = self.holder()
        cluster = self.nodes_by_name[successor].scheduler.cluster
        await self.wait_until(
            lambda: cluster.workers_by_id["w1"].has_inventory
        )
        return successor

    async def run_elsewhere(self) -> None:
        """Cut the worker off until its task runs on another one."""
        self.fleet.workers_by_id["w1"].is_cut = True
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )

    async def test_successor_that_heard_the_worker_counts_the_hold(self):
        """The late start's lease goes on beyond its first answer."""
        await self.take_over_heard()
        await self.run_elsewhere()

    async def test_successor_records_the_doubt_of_its_predecessor(self):
        """The next one counts the longest hold as well."""
        successor = await self.take_over_heard()
        count = len(self.fleet.running())
        self.submit(harness.make_step())
        await self.wait_until(lambda: len(self.fleet.running()) > count)
        self.assertEqual(self.recorded_birth(), 0)
        self.kill(successor)
        self.start_node(successor)
        await self.run_elsewhere()


class EndingDoubtTest(test_reborn_takeover.DoubtfulRestartTestCase):
    """The worker in doubt is unheard until its leases have expired."""

    async def test_doubt_ends_for_a_holder(self):
        """The worker was cut off right after its restart."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(3)
        self.restart_listed("w1")
        self.fleet.workers_by_id["w1"].is_cut = True
        await self.pass_time(14)
        self.fleet.workers_by_id["w1"].is_cut = False
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running(), 30)
        # The longest hold after the first answer, which a poll may put off.
        await self.wait_until(lambda: self.recorded_birth() == 2, 13)

    async def test_doubt_ends_for_a_successor(self):
        """Which knows it from the record only."""
        await self.run_with_lost_answer()
        self.start_node("b")
        self.restart_listed("w1")
        await self.pass_time(0.5)
        self.fleet.workers_by_id["w1"].is_cut = True
        self.kill("a")
        await self.pass_time(16)
        self.fleet.workers_by_id["w1"].is_cut = False
        await self.wait_until(lambda: self.fleet.running(), 30)
        # The longest hold after the first answer, which a poll may put off.
        await self.wait_until(lambda: self.recorded_birth() == 2, 13)


class UnbornEntryTest(test_reborn_takeover.RebornTakeoverTestCase):
    """An entry of another writer names no incarnation."""

    async def test_its_clock_is_not_that_of_the_worker(self):
        """A successor in doubt reads it before the worker has answered."""
        await self.run_with_lost_answer()
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(0.5)
        self.kill("a")
        self.listings["w1"] = dataclasses.replace(
            self.listings["w1"], born_ms=0, clock_ms=5_000_000
        )
        self.store.put(store.Stream.SERVERS, "w1", b"other writer")
        renew = self.fleet.renew_lease
        granted = []

        async def answer_late(address, order, timeout):
            if not granted:
                await self.clock.sleep(harness.seconds(0.15))
            worker = self.fleet.workers_by_id["w1"]
            granted.append((order.deadline_ms or 0) - worker.clock_ms())
            return await renew(address, order, timeout)

        with mock.patch.object(self.fleet, "renew_lease", answer_late):
            self.start_node("b")
            await self.pass_time(15)
        lease_ms = harness.LEASE.total_seconds() * 1000
        self.assertGreater(max(granted), 0)
        self.assertLessEqual(max(granted), lease_ms)


class OwnTokenTest(test_reborn_takeover.RebornTakeoverTestCase):
    """Orders of one holder carry two tokens around a restart."""

    async def test_holder_keeps_its_claim_against_its_own_token(self):
        """A start with the lower one is refused after the higher one."""
        self.add_workers(1)
        node = self.start_node("a")
        await self.pass_time(3)
        journal = node.scheduler.journal
        start = self.fleet.start
        refusals = []

        async def hold_first(address, order, timeout):
            if refusals:
                return await start(address, order, timeout)
            self.restart_listed("w1")
            worker = self.fleet.workers_by_id["w1"]
            while worker.token <= order.token:
                await self.clock.sleep(harness.STEP)
            refusals.append(self.fleet._start(worker, order))
            return refusals[0]

        self.fleet.start = hold_first
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(2)
        self.assertIs(refusals[0].status, fleet.OrderStatus.STALE_TOKEN)
        self.assertFalse(journal.is_claim_lost)

    async def test_holder_gives_way_to_the_token_of_a_successor(self):
        """Also where it has raised its own."""
        self.add_workers(1)
        node = self.start_node("a")
        await self.pass_time(3)
        journal = node.scheduler.journal
        self.restart_listed("w1")
        await self.pass_time(2)
        self.fleet.workers_by_id["w1"].token = 10_000
        self.submit(harness.make_step())
        await self.wait_until(lambda: journal.is_claim_lost, 3)


class LostGreetingTest(test_reborn_takeover.RebornTakeoverTestCase):
    """A start is not sent, as the greeting of its connection got lost."""

    async def test_one_lost_greeting_takes_no_worker_out(self):
        """The start is sent at its second try."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(3)
        start = self.fleet.start
        lost = []

        async def lose_first(address, order, timeout):
            if lost:
                return await start(address, order, timeout)
            lost.append(order)
            await self.clock.sleep(timeout)
            return fleet.OrderResult(fleet.OrderStatus.UNREACHED)

        self.fleet.start = lose_first
        self.submit(harness.make_step())
        took = await self.wait_until(lambda: self.fleet.running())
        self.assertTrue(lost)
        self.assertLess(took, 0.6)


class OldEntryTest(test_reborn_takeover.RebornTakeoverTestCase):
    """The directory shows an old entry, at an address of another worker."""

    async def test_runs_are_not_given_up_for_it(self):
        """A successor knows of a later incarnation by the record only."""
        self.add_workers(1)
        self.start_node("a")
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(1)
        self.kill("a")
        current = self.listings["w1"]
        old = fleet.Address("w1", "old:80")
        self.listings["w1"] = dataclasses.replace(
            current, address=old, born_ms=-7
        )
        self.store.put(store.Stream.SERVERS, "w1", b"old")
        renew = self.fleet.renew_lease
        asked = []

        async def answer_at(address, order, timeout):
            asked.append(address.host_port)
            if address == old:
                status = fleet.OrderStatus.OTHER_INCARNATION
                return fleet.OrderResult(status)
            return await renew(address, order, timeout)

        self.fleet.renew_lease = answer_at
        self.add_workers(1)
        self.start_node("b")
        await self.pass_time(12)
        self.assertNotIn(old.host_port, asked)
        self.assertEqual([w for _, w in self.fleet.running()], ["w1"])

    async def test_idle_worker_is_asked_at_the_address_listed(self):
        """It has restarted there, with an earlier birth."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(2)
        self.restart("w1")
        moved = dataclasses.replace(
            self.listings["w1"],
            address=fleet.Address("w1", "moved:80"),
            born_ms=-7,
        )
        self.fleet.workers_by_id["w1"].listing = moved
        self.listings["w1"] = moved
        self.store.put(store.Stream.SERVERS, "w1", b"moved")
        start = self.fleet.start
        asked = []

        async def record(address, order, timeout):
            asked.append(address.host_port)
            return await start(address, order, timeout)

        self.fleet.start = record
        await self.pass_time(1)
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running(), 2)
        self.assertEqual(set(asked), {"moved:80"})
