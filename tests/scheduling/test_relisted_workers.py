"""A restart shows in the directory only, and an order comes late."""

import dataclasses

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import test_reborn_takeover


class RelistedWorkerTest(test_reborn_takeover.RebornTakeoverTestCase):
    """The holder forgot the worker before its next entry."""

    def carry_out(self, order: fleet.StartOrder) -> fleet.OrderResult:
        """Let w1 carry out a start, no longer than its longest hold."""
        worker = self.fleet.workers_by_id["w1"]
        longest = harness.PARAMETERS.max_hold.total_seconds() * 1000
        deadline_ms = worker.clock_ms() + round(longest)
        self.assertGreater(order.deadline_ms, deadline_ms)
        shortened = dataclasses.replace(order, deadline_ms=deadline_ms)
        return self.fleet._start(worker, shortened)

    async def forget(self) -> None:
        """Take the entry away until the holder tracks no such worker."""
        self.store.put(store.Stream.SERVERS, "w1", None)
        await self.wait_until(lambda: "w1" not in self.tracked(), 30)

    def tracked(self) -> dict:
        """Return the workers that the holder tracks."""
        node = self.nodes_by_name[self.holder()]
        return node.scheduler.cluster.workers_by_id

    async def test_start_for_the_former_incarnation_is_refused(self):
        """Its holder is the same, and reaches the new incarnation."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(30)  # the former clock is far ahead of the new
        late = await self.lose_start()
        self.restart("w1")
        self.fleet.workers_by_id["w1"].is_cut = True
        self.fleet.duration = harness.seconds(2)
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running(), 30)
        await self.forget()  # once the task is done elsewhere
        self.fleet.workers_by_id["w1"].is_cut = False
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")
        await self.pass_time(2)
        self.assertIn("w1", self.tracked())
        result = self.carry_out(late)
        await self.pass_time(0.2)
        self.assertIs(result.status, fleet.OrderStatus.STALE_TOKEN)
        self.assertEqual(self.holder(), "a")

    async def test_successor_heeds_an_entry_with_an_earlier_birth(self):
        """A start comes late while nobody holds the role."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(30)
        late = await self.lose_start()
        self.kill("a")
        self.restart("w1")
        worker = self.fleet.workers_by_id["w1"]
        listing = dataclasses.replace(worker.listing, born_ms=-5)
        worker.listing = self.listings["w1"] = listing
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")
        await self.pass_time(2)
        result = self.carry_out(late)
        self.assertIs(result.status, fleet.OrderStatus.DONE)
        worker.is_cut = True
        self.start_node("b")
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )

    async def test_relisted_incarnation_does_not_cost_the_claim(self):
        """It has seen the token that was raised after its restart."""
        self.add_workers(1)
        self.start_node("a")
        await self.pass_time(2)
        self.restart_listed("w1")
        await self.pass_time(2)
        worker = self.fleet.workers_by_id["w1"]
        cluster = self.nodes_by_name["a"].scheduler.cluster
        self.assertGreater(worker.token, cluster.token)
        await self.forget()
        self.store.put(store.Stream.SERVERS, "w1", b"again")
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running(), 5)
        await self.pass_time(2)
        self.assertEqual(self.holder(), "a")
