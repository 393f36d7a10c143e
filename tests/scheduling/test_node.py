"""Accepted jobs run whole, once, whoever schedules."""

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness


class CalmTest(harness.SchedulingTestCase):
    """Nothing fails."""

    async def test_job_completes(self):
        """Tasks start soon and the job is shown as completed."""
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(lambda: self.holder() == "a")
        job_id = self.submit(harness.make_step(width=3))
        took = await self.wait_until(lambda: self.fleet.running(), 1)
        self.assertLess(took, 0.3)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_steps_keep_their_order(self):
        """A step starts after all tasks of those before it."""
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
        """All members carry one run number and end together."""
        self.add_workers(3, accelerators=2)
        self.start_node("a")
        job_id = self.submit(
            harness.make_step(width=5, is_gang=True),
        )
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)
        self.assertEqual({i.run for i in self.fleet.intervals}, {1})

    async def test_cancelled_job_stops(self):
        """A cancelled job's tasks are gone within the bound."""
        self.add_workers(1)
        self.start_node("a")
        job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        self.cancel(job_id)
        took = await self.wait_until(lambda: not self.fleet.running())
        self.assertLess(took, 1)
        self.assertEqual(self.state(job_id), "cancelled")

    async def test_hopeless_job_fails_after_its_attempts(self):
        """A task runs as often as its queue allows, and no more."""
        self.add_workers(1)
        self.fleet.workers_by_id["w1"].fails_everything = True
        self.start_node("a")
        queue = harness.make_queue(attempts=2)
        job_id = self.submit(harness.make_step(), queue=queue)
        await self.wait_until(lambda: self.state(job_id) == "failed")
        self.assertEqual(len(self.fleet.intervals), 2)


class TakeoverTest(harness.SchedulingTestCase):
    """The scheduler changes."""

    duration = harness.seconds(4)

    async def asyncSetUp(self):
        """Start three nodes with a job at work."""
        await super().asyncSetUp()
        self.add_workers(3)
        for name in ("a", "b", "c"):
            self.start_node(name)
        await self.wait_until(self.holder)
        self.job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)

    async def test_killed_holder_is_replaced(self):
        """Another adopts what runs; nothing runs again."""
        self.kill(self.holder())
        took = await self.wait_until(self.holder)
        self.assertLess(took, 2.5)
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_isolated_holder_is_replaced(self):
        """A holder that only lost the store is fenced off."""
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

    async def test_store_outage_keeps_work_alive(self):
        """Running tasks outlive an outage longer than their lease."""
        self.store.faults.is_down = True
        await self.pass_time(8)
        self.store.faults.is_down = False
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_holder_outlives_an_outage(self):
        """A holder that is alive keeps the role, and what it has learnt."""
        holder = self.holder()
        epoch = self.nodes_by_name[holder].scheduler.journal.claim.epoch
        for length in (3, 3.05, 3.1, 3.15, 3.2, 3.25, 3.3, 3.35):
            self.store.faults.is_down = True
            await self.pass_time(length)
            self.store.faults.is_down = False
            await self.pass_time(2)
        self.assertGreater(self.store.injected["refused"], 0)
        scheduler = self.nodes_by_name[holder].scheduler
        self.assertIsNotNone(scheduler, "replaced without need")
        self.assertEqual(scheduler.journal.claim.epoch, epoch)

    async def test_holder_lost_in_an_outage_is_replaced(self):
        """A holder that died meanwhile is replaced soon after the outage."""
        self.store.faults.is_down = True
        await self.pass_time(2)
        self.kill(self.holder())
        await self.pass_time(2)
        self.store.faults.is_down = False
        took = await self.wait_until(self.holder)
        self.assertLess(took, 2.5)

    async def test_ends_in_an_outage_do_not_delay_leases(self):
        """An end that cannot be recorded yet must not stop the renewals."""
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
        await self.pass_time(8)
        self.store.faults.is_down = False
        await self.wait_until(lambda: self.state(second) == "completed")
        self.assertGreater(self.store.injected["refused"], 0)
        self.assertNotIn(fleet.End.LAPSED, {i.end for i in ended})

    async def test_all_nodes_restart(self):
        """A restart of every node adopts what runs on the workers."""
        for name in ("a", "b", "c"):
            self.kill(name)
        await self.pass_time(1)
        for name in ("a", "b", "c"):
            self.start_node(name, seed=1)
        await self.wait_until(lambda: self.state(self.job_id) == "completed")
        self.check_run_once(self.job_id)

    async def test_unreachable_worker_may_still_run(self):
        """A new holder waits out the leases of a worker it cannot reach."""
        worker = self.fleet.workers_by_id[self.fleet.running()[0][1]]
        worker.is_cut = True
        self.kill(self.holder())
        await self.wait_until(
            lambda: self.state(self.job_id) == "completed", 60
        )
        self.assertGreater(self.fleet.injected["unreachable"], 0)

    async def test_released_claim_is_taken_at_once(self):
        """A planned stop hands the role over without the silence."""
        holder = self.holder()
        await_stop = self.nodes_by_name[holder].stop()
        task = harness.asyncio.ensure_future(await_stop)
        took = await self.wait_until(
            lambda: self.holder() not in (None, holder)
        )
        self.assertLess(took, 1.0)
        await task


class RebirthTest(harness.SchedulingTestCase):
    """A worker crashes and starts again under its id."""

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
        """A start that it took before its entry came does not run twice."""
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
        """What was lost with it is missing from the new one's list."""
        job_id = self.submit(harness.make_step(width=4))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        for worker_id in ("w1", "w2"):
            self.announce(worker_id, self.fleet.restart(worker_id))
        took = await self.wait_until(lambda: len(self.fleet.running()) == 4)
        self.assertLess(took, 1)
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.check_run_once(job_id)

    async def test_unreachable_new_incarnation_may_run(self):
        """Its runs are given up only when no lease can last."""
        listing = self.fleet.restart("w1")
        job_id = self.submit(harness.make_step(width=16))
        await self.wait_until(lambda: len(self.fleet.running()) == 16)
        self.fleet.workers_by_id["w1"].is_cut = True
        self.announce("w1", listing)
        await self.wait_until(lambda: self.state(job_id) == "completed", 60)
        self.assertGreater(self.fleet.injected["unreachable"], 0)


class LostAnswerTest(harness.SchedulingTestCase):
    """Answers are lost after the effect."""

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
        """When a member's worker is cut off, the gang runs whole again."""
        self.add_workers(3, accelerators=2)
        self.start_node("a")
        job_id = self.submit(harness.make_step(width=4, is_gang=True))
        await self.wait_until(lambda: len(self.fleet.running()) == 4)
        victim = self.fleet.running()[0][1]
        self.fleet.workers_by_id[victim].is_cut = True
        await self.wait_until(lambda: self.state(job_id) == "completed", 60)
        ends = [i for i in self.fleet.intervals if i.end is fleet.End.DONE]
        self.assertGreaterEqual(len(ends), 4)


class HistoryTest(harness.SchedulingTestCase):
    """The store drops its history."""

    async def test_reload_goes_on_with_new_jobs(self):
        """A holder that reads everything anew takes in what comes next."""
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


class BrokenRoundTest(harness.SchedulingTestCase):
    """An error in one round is reported and the next goes on."""

    async def test_role_survives(self):
        """The job completes although a round has raised."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        scheduler = self.nodes_by_name["a"].scheduler
        whole = scheduler._accounts
        raised = []

        def accounts():
            if len(raised) < 3:
                raised.append(True)
                raise ValueError("broken")
            return whole()

        scheduler._accounts = accounts
        job_id = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(job_id) == "completed")
        self.assertEqual(len(raised), 3)
        measured = scheduler._log.metrics.registry
        count = measured.get_sample_value(
            "cardamomcroft_events_total",
            {"event": "round_crashed", "outcome": ""},
        )
        self.assertEqual(count, 3)
