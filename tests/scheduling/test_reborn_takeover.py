"""A scheduler is replaced while workers that have restarted are cut off."""

import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness
from tests.scheduling import test_lease_safety


class RebornTakeoverTestCase(test_lease_safety.LongTaskTestCase):
    """One worker restarts under its id and is cut off near a takeover."""

    def restart_listed(self, worker_id: str) -> None:
        """Let a worker restart and write its new entry."""
        self.restart(worker_id)
        self.store.put(store.Stream.SERVERS, worker_id, b"reborn")

    async def lose_start(self) -> fleet.StartOrder:
        """Return a start that got no answer."""
        late = []

        async def lose(address, order, timeout):
            late.append(order)
            await self.clock.sleep(timeout)
            return test_lease_safety.UNANSWERED

        with mock.patch.object(self.fleet, "start", lose):
            self.submit(harness.make_step())
            await self.wait_until(lambda: late)
        return late[0]

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

    async def test_first_overlong_lease_of_an_incarnation_is_logged(self):
        """Once, and none that a successor counts as well."""
        self.add_workers(1)
        node = self.start_node("a")
        await self.pass_time(1)
        cluster = node.scheduler.cluster
        worker = cluster.workers_by_id["w1"]
        lease_ms = round(harness.LEASE.total_seconds() * 1000)
        with mock.patch.object(cluster.log, "emit", autospec=True) as emit:
            cluster.check_lease(worker, None, 0)
            cluster.check_lease(worker, lease_ms, 0)
            emit.assert_not_called()
            for _ in range(2):
                cluster.check_lease(worker, lease_ms + 1, 0)
            emit.assert_called_once()
        self.assertEqual(emit.call_args.args, ("lease_overlong",))

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


class DoubtfulRestartTestCase(RebornTakeoverTestCase):
    """A new incarnation carries out a start that was for the former one."""

    async def restart_with_late_start(self) -> None:
        """Let a start name the former clock and reach the new incarnation."""
        self.add_workers(1)
        self.start_node("a")
        self.start_node("b")
        await self.pass_time(20)  # the former clock is far ahead of the new
        late = await self.lose_start()
        self.restart("w1")
        worker = self.fleet.workers_by_id["w1"]
        longest_ms = harness.PARAMETERS.max_hold.total_seconds() * 1000
        deadline_ms = worker.clock_ms() + round(longest_ms)
        self.assertGreater(late.deadline_ms, deadline_ms)
        late_start = dataclasses.replace(late, deadline_ms=deadline_ms)
        self.fleet._start(worker, late_start)
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")

    def recorded_birth(self) -> int:
        """Return the incarnation that the worker's record names."""
        key = ledgers.Kind.ASSIGNMENT.key("w1")
        values = [
            record.value
            for record in self.store.records_by_stream[store.Stream.JOBS]
            if record.key == key
        ]
        return codec.decode_assignment(values[-1]).born_ms


class DoubtfulIncarnationTest(DoubtfulRestartTestCase):
    """The holder, which knew of the restart, dies."""

    async def test_successor_counts_the_longest_hold(self):
        """The holder, which knew of the restart, dies; the worker is cut."""
        await self.restart_with_late_start()
        await self.pass_time(1)
        self.kill(self.holder())
        self.fleet.workers_by_id["w1"].is_cut = True
        self.add_workers(1)
        took = await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )
        self.assertGreater(took, 8)
        self.assertLess(took, 12)

    async def test_doubt_outlasts_two_takeovers(self):
        """The first successor dies before it has heard the worker."""
        await self.restart_with_late_start()
        await self.pass_time(0.5)
        self.fleet.workers_by_id["w1"].is_cut = True
        self.kill(self.holder())
        await self.wait_until(self.holder)
        first = self.holder()
        self.start_node("c")
        await self.pass_time(0.5)
        self.kill(first)
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )

    async def test_doubt_ends_once_no_earlier_order_can_act(self):
        """The record names the incarnation again."""
        await self.restart_with_late_start()
        await self.wait_until(lambda: self.recorded_birth() == 0)
        took = await self.wait_until(lambda: self.recorded_birth() == 2)
        self.assertLess(took, 11)
        self.assertGreater(took, 9)


class TakeoverCostTest(RebornTakeoverTestCase):
    """Only tasks of workers in doubt wait longer after a takeover."""

    async def waits_by_worker(self, restarts: bool) -> dict[str, float]:
        """Return how long the tasks of two workers wait after a takeover."""
        self.add_workers(2)
        self.start_node("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        if restarts:
            self.restart_listed("w1")
            await self.pass_time(0.5)
        for _ in range(2):
            self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        await self.pass_time(1)
        task_by_worker = {
            worker: task for task, worker in self.fleet.running()
        }
        for worker in task_by_worker:
            self.fleet.workers_by_id[worker].is_cut = True
        self.kill(self.holder())
        self.add_workers(2)
        began = self.clock.monotonic()
        waits = {}
        while len(waits) < 2:
            await self.pass_time(harness.STEP.total_seconds())
            running = dict(self.fleet.running())
            for worker, task in task_by_worker.items():
                if running.get(task) in ("w3", "w4"):
                    took = self.clock.monotonic() - began
                    waits.setdefault(worker, took.total_seconds())
            self.assertLess(
                self.clock.monotonic() - began, harness.seconds(30)
            )
        return waits

    async def test_takeover_without_a_restart_waits_for_the_horizon(self):
        """That is 7.7 s after the predecessor's last record."""
        waits = await self.waits_by_worker(restarts=False)
        self.assertLess(max(waits.values()), 8.2)

    async def test_restart_delays_the_tasks_of_its_worker_only(self):
        """By the longest hold instead of the horizon."""
        waits = await self.waits_by_worker(restarts=True)
        self.assertLess(waits["w2"], 8.2)
        self.assertGreater(waits["w1"], waits["w2"] + 1)
        self.assertLess(waits["w1"], 10.8)


class RestartWithoutTakeoverTest(RebornTakeoverTestCase):
    """The holder lives on."""

    async def test_start_for_the_former_incarnation_is_refused(self):
        """Once the new one has answered; the holder keeps its claim."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        late = await self.lose_start()
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        worker = self.fleet.workers_by_id["w1"]
        result = self.fleet._start(worker, late)
        self.assertIs(result.status, fleet.OrderStatus.STALE_TOKEN)
        await self.pass_time(3)
        self.assertEqual(self.holder(), "a")

    async def test_unlisted_incarnation_runs_nothing_meant_for_the_former(
        self,
    ):
        """It is cut off, and its holder dies, before it has an entry."""
        self.add_workers(1)
        self.start_node("a")
        self.start_node("b")
        await self.pass_time(5)
        self.restart("w1")
        started = []
        start = self.fleet.start

        async def record_start(address, order, timeout):
            result = await start(address, order, timeout)
            started.append(result.status)
            return result

        with mock.patch.object(self.fleet, "start", record_start):
            self.submit(harness.make_step())
            await self.wait_until(lambda: started)
        self.assertEqual(started[0], fleet.OrderStatus.RESTARTED)
        self.fleet.workers_by_id["w1"].is_cut = True
        self.kill(self.holder())
        self.store.put(store.Stream.SERVERS, "w1", None)
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running(), 30)

    async def test_second_restart_within_a_lease_is_handled(self):
        """The worker is cut off after it, and the holder dies."""
        await self.run_with_lost_answer()
        self.start_node("b")
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(0.3)
        self.kill("a")
        self.fleet.workers_by_id["w1"].is_cut = True
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )

    async def test_restart_is_known_although_the_time_of_day_went_back(self):
        """The new incarnation has an earlier birth."""
        await self.run_with_lost_answer()
        self.restart("w1")
        for holder in (self.listings, self.fleet.workers_by_id):
            self.assertIn("w1", holder)
        listing = dataclasses.replace(self.listings["w1"], born_ms=-5)
        self.listings["w1"] = listing
        self.fleet.workers_by_id["w1"].listing = listing
        self.store.put(store.Stream.SERVERS, "w1", b"reborn")
        await self.wait_until(lambda: self.fleet.running(), 6)

    async def test_answer_of_the_former_incarnation_sets_no_clock(self):
        """It arrives after the new entry has been read."""
        self.add_workers(1)
        node = self.start_node("a")
        await self.pass_time(20)
        start = self.fleet.start
        answered = []

        async def answer_late(address, order, timeout):
            result = await start(address, order, timeout)
            if not answered:
                answered.append(result)
                self.restart_listed("w1")
                await self.clock.sleep(harness.seconds(0.3))
            return result

        self.fleet.start = answer_late
        self.submit(harness.make_step())
        await self.wait_until(lambda: answered)
        await self.pass_time(1)
        worker = node.scheduler.cluster.workers_by_id["w1"]
        now = self.clock.monotonic()
        clock_ms = self.fleet.workers_by_id["w1"].clock_ms()
        self.assertGreater(answered[0].clock_ms, clock_ms)
        self.assertLessEqual(worker.clock_floor(now), clock_ms)
