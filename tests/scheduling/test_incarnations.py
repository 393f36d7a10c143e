"""What an earlier incarnation of a worker says does not bind the next."""

import dataclasses

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import test_lease_safety


class EarlierBirthTest(test_lease_safety.LongTaskTestCase):
    """A worker's time of day is set back before it starts again."""

    async def restart_with_earlier_birth(self) -> None:
        """Let a worker with a run start again, born before its former life."""
        self.add_workers(1)
        worker = self.fleet.workers_by_id["w1"]
        worker.listing = self.listings["w1"] = dataclasses.replace(
            worker.listing, born_ms=5_000
        )
        self.start_node("a")
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(3)  # until its run is listed
        self.restart("w1")
        reborn = self.fleet.workers_by_id["w1"]
        reborn.listing = self.listings["w1"] = dataclasses.replace(
            reborn.listing, born_ms=2_000
        )
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")

    async def test_lost_run_starts_again(self):
        """The newer entry counts, not the greater birth."""
        await self.restart_with_earlier_birth()
        self.assertEqual(self.fleet.injected["reborn"], 1)
        await self.wait_until(lambda: self.fleet.running(), 20)
        await self.pass_time(15)
        ends = [interval.end for interval in self.fleet.intervals]
        self.assertEqual(ends, [fleet.End.LAPSED])  # of its former life

    async def test_successor_starts_the_lost_run_again(self):
        """The record of the former holder names the greater birth."""
        await self.restart_with_earlier_birth()
        self.start_node("b")
        await self.pass_time(1)
        self.kill("a")
        await self.wait_until(lambda: self.fleet.running(), 20)

    async def test_worker_is_not_polled_without_a_pause(self):
        """Each look at a worker has its price."""
        await self.restart_with_earlier_birth()
        polls = []
        renew = self.fleet.renew_lease

        async def count(address, order, timeout):
            polls.append(order)
            return await renew(address, order, timeout)

        self.fleet.renew_lease = count
        await self.pass_time(2)
        self.assertLess(len(polls), 40)


class LateStartAnswerTest(test_lease_safety.LongTaskTestCase):
    """The answer to a start comes after the worker's next entry."""

    async def test_clock_of_the_former_incarnation_is_not_used(self):
        """Leases are granted and given up on the clock of the new one."""
        self.add_workers(1)
        node = self.start_node("a")
        await self.pass_time(20)  # the old clock is far ahead of the new
        start = self.fleet.start
        answered = []

        async def answer_late(address, order, timeout):
            if answered:
                return await start(address, order, timeout)
            result = await start(address, order, timeout)
            answered.append(result)
            self.restart("w1")
            self.store.put(store.Stream.SERVERS, "w1", b"reborn")
            await self.clock.sleep(harness.seconds(0.35))
            return result

        self.fleet.start = answer_late
        self.submit(harness.make_step())
        await self.wait_until(lambda: answered)
        await self.pass_time(3)
        self.assertEqual(self.fleet.injected["reborn"], 1)
        worker = node.scheduler.cluster.workers_by_id["w1"]
        reborn = self.fleet.workers_by_id["w1"]
        self.assertEqual(worker.born_ms, reborn.listing.born_ms)
        self.assertLessEqual(
            worker.clock_floor(self.clock.monotonic()), reborn.clock_ms()
        )
