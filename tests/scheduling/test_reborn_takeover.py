"""A scheduler is replaced while workers that have restarted are cut off."""

from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import test_lease_safety


class RebornTakeoverTestCase(test_lease_safety.LongTaskTestCase):
    """One worker restarts under its id and is cut off near a takeover."""

    def restart_listed(self, worker_id: str) -> None:
        """Let a worker restart and write its new entry."""
        self.restart(worker_id)
        self.store.put(store.Stream.SERVERS, worker_id, b"reborn")

    async def run_with_lost_answer(self) -> str:
        """Start a task whose first start order got no answer."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.fleet.workers_by_id["w1"].lose_start_answers = 1
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(2.5)
        return job_id


class GrantedLeaseTest(RebornTakeoverTestCase):
    """A holder counts on a long lease that it did not grant itself."""

    async def test_holder_grants_no_lease_that_it_only_suspects(self):
        """Its successor would count a shorter one."""
        await self.run_with_lost_answer()
        granted = []
        start, renew = self.fleet.start, self.fleet.renew_lease

        def record(order) -> None:
            if order.deadline_ms is not None:
                worker = self.fleet.workers_by_id["w1"]
                granted.append(order.deadline_ms - worker.clock_ms())

        async def record_start(address, order, timeout):
            record(order)
            return await start(address, order, timeout)

        async def record_renewal(address, order, timeout):
            record(order)
            return await renew(address, order, timeout)

        self.restart_listed("w1")
        with (
            mock.patch.object(self.fleet, "start", record_start),
            mock.patch.object(self.fleet, "renew_lease", record_renewal),
        ):
            await self.wait_until(lambda: self.fleet.running())
            await self.pass_time(8)
        lease_ms = harness.LEASE.total_seconds() * 1000
        self.assertTrue(granted)
        self.assertLessEqual(max(granted), lease_ms)

    async def test_task_of_a_reborn_worker_does_not_run_twice(self):
        """Its holder dies and the worker is cut off just after its start."""
        await self.run_with_lost_answer()
        self.start_node("b")
        await self.pass_time(1)
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(0.5)
        self.kill("a")
        self.fleet.workers_by_id["w1"].is_cut = True
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )
        self.assertTrue(
            [i for i in self.fleet.intervals if i.end is fleet.End.LAPSED]
        )
