"""Accepted jobs complete, each task once, across scheduler changes."""

from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import node as nodes
from cardamomcroft.scheduling import worker_polling
from tests.scheduling import harness


class FaultFreeTest(harness.SchedulingTestCase):
    """Jobs run without injected faults."""

    async def test_job_completes(self):
        """Tasks start within 0.3 s and the job completes."""
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(lambda: self.holder() == "a")
        job_id = self.submit(harness.make_step(width=3))
        took = await self.wait_until(lambda: self.fleet.running(), 1)
        self.assertLess(took, 0.3)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_steps_keep_their_order(self):
        """A step starts after all tasks of the steps before it."""
        self.add_workers(2)
        self.start_node("a")
        first = harness.make_step(width=2)
        job_id = self.submit(first, harness.make_step(after=(0,)))
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        by_task = {i.task: i for i in self.fleet.intervals}
        second = by_task[f"{job_id}.0.1.0"]
        for index in range(2):
            ended_at = by_task[f"{job_id}.0.0.{index}"].ended_at
            self.assertGreaterEqual(second.began_at, ended_at)

    async def test_gang_shares_a_run_number(self):
        """All members run under one run number and succeed."""
        self.add_workers(3, accelerators=2)
        self.start_node("a")
        job_id = self.submit(
            harness.make_step(width=5, is_gang=True),
        )
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertEqual({i.run for i in self.fleet.intervals}, {1})

    async def test_cancelled_job_stops(self):
        """A cancelled job's tasks stop within one second."""
        self.add_workers(1)
        self.start_node("a")
        job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        self.cancel(job_id)
        took = await self.wait_until(lambda: not self.fleet.running())
        self.assertLess(took, 1)
        self.assertEqual(self.state(job_id), "cancelled")

    async def test_failing_job_ends_after_its_attempts(self):
        """A failing task runs exactly as often as its queue allows."""
        self.add_workers(1)
        self.fleet.workers_by_id["w1"].fails_everything = True
        self.start_node("a")
        queue = harness.make_queue(attempts=2)
        job_id = self.submit(harness.make_step(), queue=queue)
        await self.wait_until(lambda: self.state(job_id) == "failed")
        self.assertEqual(len(self.fleet.intervals), 2)


class TakeoverTest(harness.SchedulingTestCase):
    """The scheduler's role moves to another node."""

    duration = harness.seconds(4)

    async def asyncSetUp(self):
        """Start three nodes and a running job."""
        await super().asyncSetUp()
        self.add_workers(3)
        for name in ("a", "b", "c"):
            self.start_node(name)
        await self.wait_until(self.holder)
        self.job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)

    async def test_killed_holder_is_replaced(self):
        """The successor adopts the runs and repeats none."""
        self.kill(self.holder())
        took = await self.wait_until(self.holder)
        self.assertLess(took, 2.5)
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_isolated_holder_is_replaced(self):
        """A holder that loses the store but not the workers is fenced off."""
        holder = self.holder()
        self.store.faults.refused_clients.add(holder)
        await self.wait_until(
            lambda: any(
                node.scheduler
                for name, node in self.nodes_by_name.items()
                if name != holder
            )
        )
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)
        self.assertGreater(self.store.injected["refused"], 0)
        await self.wait_until(lambda: self.holder() not in (None, holder))

    async def test_runs_survive_a_store_outage(self):
        """Running tasks survive an outage longer than their lease."""
        self.store.faults.is_down = True
        await self.pass_time(8)
        self.store.faults.is_down = False
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_holder_keeps_the_claim_in_an_outage(self):
        """A live holder keeps its claim and with it its cluster state."""
        holder = self.holder()
        epoch = self.nodes_by_name[holder].scheduler.journal.claim.epoch
        for length in (3, 3.05, 3.1, 3.15, 3.2, 3.25, 3.3, 3.35):
            self.store.faults.is_down = True
            await self.pass_time(length)
            self.store.faults.is_down = False
            await self.pass_time(2)
        self.assertGreater(self.store.injected["refused"], 0)
        scheduler = self.nodes_by_name[holder].scheduler
        self.assertIsNotNone(scheduler, "live holder was replaced")
        self.assertEqual(scheduler.journal.claim.epoch, epoch)

    async def test_holder_keeps_the_claim_when_appends_are_lost(self):
        """Two appends lost in a row are repeated before others may claim."""
        holder = self.holder()
        epoch = self.nodes_by_name[holder].scheduler.journal.claim.epoch
        for _ in range(10):
            self.store.faults.drop_appends = 2
            await self.pass_time(2.1)
        self.assertEqual(self.store.injected["dropped"], 20)
        self.assertEqual(self.holder(), holder)
        scheduler = self.nodes_by_name[holder].scheduler
        self.assertEqual(scheduler.journal.claim.epoch, epoch)

    async def test_holder_lost_in_an_outage_is_replaced(self):
        """A holder killed during an outage is replaced soon after it."""
        self.store.faults.is_down = True
        await self.pass_time(2)
        self.kill(self.holder())
        await self.pass_time(2)
        self.store.faults.is_down = False
        took = await self.wait_until(self.holder)
        self.assertLess(took, 2.5)

    async def test_ends_in_an_outage_do_not_delay_leases(self):
        """Leases are renewed while ends cannot be recorded."""
        await self.pass_time(2)
        second = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: len(self.fleet.running()) == 6)
        self.fleet.duration = harness.seconds(12)
        ended = self.fleet.intervals
        await self.wait_until(lambda: self.clock.monotonic().seconds >= 4)
        self.fleet.workers_by_id["w1"].end(
            f"{self.job_id}.0.0.0", fleet.End.DONE
        )
        self.store.faults.is_down = True
        await self.pass_time(6.3)  # the longest one of the sites
        self.store.faults.is_down = False
        await self.wait_until(lambda: self.state(second) == "completed")
        self.assertGreater(self.store.injected["refused"], 0)
        self.assertNotIn(fleet.End.LAPSED, {i.end for i in ended})

    async def test_all_nodes_restart(self):
        """Restarted nodes adopt the runs on the workers."""
        for name in ("a", "b", "c"):
            self.kill(name)
        await self.pass_time(1)
        for name in ("a", "b", "c"):
            self.start_node(name, seed=1)
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_unreachable_worker_may_still_run(self):
        """A new holder waits for an unreachable worker's leases to expire."""
        worker = self.fleet.workers_by_id[self.fleet.running()[0][1]]
        worker.is_cut = True
        self.kill(self.holder())
        await self.wait_until(
            lambda: self.state(self.job_id) == "completed", 60
        )
        self.assertGreater(self.fleet.injected["unreachable"], 0)

    async def test_released_claim_is_taken_without_delay(self):
        """A planned stop releases the claim: no wait for HOLDER_TIMEOUT."""
        holder = self.holder()
        stopping = self.nodes_by_name[holder].stop()
        task = harness.asyncio.ensure_future(stopping)
        took = await self.wait_until(
            lambda: self.holder() not in (None, holder)
        )
        self.assertLess(took, 1.0)
        await task

    async def test_leaving_node_follows_and_claims_nothing(self):
        """Its copy went stale in its grace, and it refused what it had read.

        It is the only node, so that nobody takes the released role.
        """
        holder = self.holder()
        for name in set(self.nodes_by_name) - {holder}:
            self.kill(name)
        leaving = self.nodes_by_name[holder]
        stopping = harness.asyncio.ensure_future(leaving.stop())
        await self.pass_time(0.5)
        later = self.submit(harness.make_step())
        await self.pass_time(6)
        limit = nodes.FOLLOWER_POLL_PAUSE + nodes.RETRY_PAUSE
        self.assertLess(leaving.replica.age, limit)
        self.assertIn(later, leaving.replica.ledger.jobs_by_id)
        self.assertIsNone(leaving.scheduler)
        self.assertIsNone(self.holder())
        await stopping

    async def test_holder_grants_nothing_once_its_release_is_sent(self):
        """The release may be stored although its answer is lost."""
        holder = self.holder()
        released = self.nodes_by_name[holder]
        token = released.scheduler.cluster.token
        granted: list[fleet.StartOrder | fleet.LeaseRenewal] = []
        for name in ("start", "renew_lease"):
            call = getattr(self.fleet, name)

            async def spy(address, order, timeout, call=call):
                is_start = isinstance(order, fleet.StartOrder)
                if is_start or order.deadline_ms is not None:
                    granted.append(order)
                return await call(address, order, timeout)

            patch = mock.patch.object(self.fleet, name, spy)
            patch.start()
            self.addCleanup(patch.stop)
        self.store.faults.lose_answers = 50
        stopping = harness.asyncio.ensure_future(released.stop())
        await self.pass_time(0.05)
        granted.clear()
        later = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: self.store.injected["answer_lost"] > 1)
        await self.wait_until(lambda: self.holder() not in (None, holder))
        self.store.faults.lose_answers = 0
        await self.wait_until(lambda: self.state(later) == "completed", 60)
        await stopping
        self.assertTrue(granted)
        self.assertNotIn(token, {order.token for order in granted})


class NewIncarnationTest(harness.SchedulingTestCase):
    """A worker crashes and restarts under the same id."""

    async def asyncSetUp(self):
        """Start one node with two workers."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)

    def announce(self, worker_id: str, listing: fleet.Listing) -> None:
        """Put the entry of a new incarnation into the directory."""
        self.listings[worker_id] = listing
        self.store.put(store.Stream.SERVERS, worker_id, b"again")

    async def test_run_of_the_new_incarnation_is_kept(self):
        """A start accepted before the new entry is listed is not repeated."""
        listings = {
            worker_id: self.fleet.restart(worker_id)
            for worker_id in ("w1", "w2")
        }
        job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        for worker_id, listing in listings.items():
            self.announce(worker_id, listing)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertEqual(len(self.fleet.intervals), 4)

    async def test_runs_of_the_old_incarnation_start_again(self):
        """Runs missing from the new incarnation's inventory start again."""
        job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        for worker_id in ("w1", "w2"):
            self.announce(worker_id, self.fleet.restart(worker_id))
        took = await self.wait_until(lambda: len(self.fleet.running()) == 4)
        self.assertLess(took, 1)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_unreachable_new_incarnation_may_run(self):
        """Its runs are dropped only after every lease has expired."""
        listing = self.fleet.restart("w1")
        job_id = self.submit(harness.make_step(width=16))
        await self.wait_until(lambda: len(self.fleet.running()) == 16)
        self.fleet.workers_by_id["w1"].is_cut = True
        self.announce("w1", listing)
        await self.wait_until(lambda: self.state(job_id) == "completed", 60)
        self.assertGreater(self.fleet.injected["unreachable"], 0)


class LostAnswerTest(harness.SchedulingTestCase):
    """Answers are lost after the order or append took effect."""

    async def test_append_answer_lost(self):
        """A batch whose answer was lost is appended once."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.store.faults.lose_answers = 1
        job_id = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertEqual(self.store.injected["answer_lost"], 1)

    async def test_start_answer_lost(self):
        """A start without an answer is found in the inventory."""
        self.add_workers(1)
        self.fleet.workers_by_id["w1"].lose_start_answers = 1
        self.start_node("a")
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertEqual(self.fleet.injected["start_answer_lost"], 1)

    async def test_gang_loses_a_member(self):
        """When a member's worker is cut off, the complete gang runs again."""
        self.add_workers(3, accelerators=2)
        self.start_node("a")
        job_id = self.submit(harness.make_step(width=4, is_gang=True))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        victim = self.fleet.running()[0][1]
        self.fleet.workers_by_id[victim].is_cut = True
        await self.wait_until(lambda: self.state(job_id) == "completed", 60)
        ends = [i for i in self.fleet.intervals if i.end is fleet.End.DONE]
        self.assertGreaterEqual(len(ends), 4)


class SlowStoreTest(harness.SchedulingTestCase):
    """Each append takes longer than a poll waits for it."""

    async def asyncSetUp(self):
        """Start a worker and a node; slow the store down."""
        await super().asyncSetUp()
        self.add_workers(1)
        self.worker = self.fleet.workers_by_id["w1"]
        self.start_node("a")
        await self.wait_until(self.holder)
        self.store.faults.delay = worker_polling.COMMIT_TIMEOUT * 1.2

    async def test_ends_are_acknowledged(self):
        """A worker forgets its ends once they are durable."""
        job_id = self.submit(harness.make_step(width=3))
        await self.wait_until(lambda: self.state(job_id) == "completed")
        await self.wait_until(lambda: not self.worker.finished, 3)
        self.check_run_once(job_id)

    async def start_unlisted(self) -> str:
        """Let the worker's entry vanish while a job runs; return its id."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.workers = self.nodes_by_name["a"].scheduler.cluster.workers_by_id
        tracked = self.workers["w1"]
        self.store.put(store.Stream.SERVERS, "w1", None)
        await self.wait_until(lambda: tracked.listing is None)
        self.assertTrue(self.fleet.running())
        return job_id

    async def test_ends_of_an_unlisted_worker_are_acknowledged(self):
        """An entry that is missing for a while hides no end of a run."""
        job_id = await self.start_unlisted()
        await self.wait_until(lambda: self.state(job_id) == "completed")
        await self.wait_until(lambda: not self.worker.finished, 3)
        await self.wait_until(lambda: "w1" not in self.workers, 3)
        self.check_run_once(job_id)

    async def test_unlisted_worker_that_is_silent_is_dropped(self):
        """A worker that is gone is not polled for ever."""
        tracked = self.nodes_by_name["a"].scheduler.cluster.workers_by_id["w1"]
        job_id = await self.start_unlisted()
        await self.wait_until(lambda: tracked.received_end)
        self.worker.is_cut = True
        await self.wait_until(lambda: "w1" not in self.workers, 5)
        self.assertTrue(self.worker.finished)
        await self.wait_until(lambda: self.state(job_id) == "completed")

    async def test_reborn_worker_keeps_its_own_ends(self):
        """A commit of the old incarnation's ends acknowledges no new one."""
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.store.faults.delay = harness.seconds(3)
        await self.wait_until(lambda: self.worker.finished)
        await self.pass_time(0.5)
        cluster = self.nodes_by_name["a"].scheduler.cluster
        worker = cluster.workers_by_id["w1"]
        self.assertGreater(worker.received_end, worker.durable_end)
        self.listings["w1"] = self.fleet.restart("w1")
        await self.pass_time(0.5)
        self.assertEqual(worker.received_end, 0)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.assertEqual(worker.durable_end, 0)


class HistoryDroppedTest(harness.SchedulingTestCase):
    """The store drops its history, so that reads expire."""

    async def test_new_jobs_run_after_a_reload(self):
        """A holder that reloads everything applies later submissions."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        first = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.store.faults.expire_reads = 1
        self.submit(harness.make_step())
        await self.pass_time(0.5)
        third = self.submit(harness.make_step())
        for job_id in (first, third):
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )
            self.check_run_once(job_id)
        self.assertEqual(self.store.injected["expired"], 1)


class RoundErrorTest(harness.SchedulingTestCase):
    """An error in one round is logged and the next round runs."""

    async def test_scheduler_continues(self):
        """The job completes although three rounds raise an error."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        scheduler = self.nodes_by_name["a"].scheduler
        original = scheduler._guarantees
        raised = []

        def guarantees():
            if len(raised) < 3:
                raised.append(True)
                raise ValueError("injected error in a round")
            return original()

        scheduler._guarantees = guarantees
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.assertEqual(len(raised), 3)
        process_registry = scheduler._log.metrics.registry
        count = process_registry.get_sample_value(
            "cardamomcroft_events_total",
            {"event": "round_crashed", "outcome": ""},
        )
        self.assertEqual(count, 3)


class ProgressOverTakeoverTest(harness.SchedulingTestCase):
    """A job without a timetable is half done when its scheduler ends."""

    async def test_tasks_that_are_done_do_not_run_again(self):
        """The successor reads the record of the job's progress."""
        self.add_workers(1, accelerators=2)
        self.start_node("a")
        job_id = self.submit(
            harness.make_step(4), harness.make_step(2, after=(0,))
        )
        await self.wait_until(lambda: len(self.fleet.intervals) == 2)
        await self.pass_time(1)
        for name in ("b", "c"):
            self.kill(self.holder())
            self.start_node(name)
            await self.wait_until(lambda n=name: self.holder() == n)
            await self.pass_time(2.5)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_attempts_that_failed_count_under_the_successor(self):
        """A task has three attempts in all, not under each scheduler."""
        self.add_workers(1, accelerators=1)
        self.fleet.workers_by_id["w1"].fails_everything = True
        self.start_node("a")
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: len(self.fleet.intervals) == 2, 30)
        await self.pass_time(0.5)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(lambda: self.state(job_id) == "failed", 30)
        self.assertEqual(len(self.fleet.intervals), 3)
