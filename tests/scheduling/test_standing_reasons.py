"""The log tells why nothing of a job runs though a task's turn has come."""

import dataclasses
import datetime
import unittest.mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_reasons
from tests.scheduling import harness
from tests.scheduling import standing_harness

# Larger than any worker by itself, so that nothing else is placed for it.
TOO_LARGE = harness.make_step(accelerators=16)
WHOLE_WORKER = harness.make_step(accelerators=8)


class UnsentStartTest(standing_harness.StandingTestCase):
    """Starts that are assigned and not sent."""

    async def test_start_whose_record_the_store_does_not_confirm(self):
        """The start waits for its record, which the age of records shows."""
        await self.start()
        self.store.faults.drop_appends = 1000
        job_id = self.submit(harness.make_step())
        fields = await self.check_reason(job_id, "record_awaited")
        self.assertGreater(self.store.injected["dropped"], 0)
        self.assertGreater(fields["confirmed_s"], 2)
        self.assertEqual(fields["phase"], "assigned")
        self.assertIn(fields["worker_id"], ("w1", "w2"))

    async def test_start_behind_an_unanswered_one_to_its_worker(self):
        """The other start is why this one has not been sent."""
        await self.start()
        first, second = self.submit(TOO_LARGE), self.submit(TOO_LARGE)
        await self.wait_until(lambda: second in self.cluster.jobs_by_id)
        self.assign(first, "w1", runs.Phase.STARTING)
        self.assign(second, "w1", runs.Phase.ASSIGNED)
        fields = await self.check_reason(second, "order_queued")
        self.assertEqual(fields["worker_id"], "w1")

    async def test_start_that_was_recorded_and_is_never_sent(self):
        """Nothing is awaited, so the line doesn't blame store or worker."""
        await self.start()
        job_id = self.submit(TOO_LARGE)
        await self.wait_until(lambda: job_id in self.cluster.jobs_by_id)
        run = self.assign(job_id, "w1", runs.Phase.ASSIGNED)
        fields = await self.check_reason(job_id, "start_not_sent")
        self.assertEqual(fields["task"], run.name)
        self.assertLess(fields["confirmed_s"], 1)
        self.assertGreater(fields["run_age_s"], 3)

    async def test_start_that_got_no_answer(self):
        """An uncertain run on a worker that answers is not called lost."""
        await self.start()
        job_id = self.submit(TOO_LARGE)
        await self.wait_until(lambda: job_id in self.cluster.jobs_by_id)
        run = self.assign(job_id, "w1", runs.Phase.UNCERTAIN)
        now = self.clock.monotonic()
        cause = standing_reasons.cause_of_runs(
            run.step, self.cluster.workers_by_id, now, now
        )
        reason = standing_reasons.Reason.START_UNANSWERED
        self.assertIs(cause.reason, reason)


class AwaitedRunTest(standing_harness.StandingTestCase):
    """Runs that were started and of which nothing certain is known."""

    async def test_run_on_a_worker_that_died(self):
        """The line names the silent worker and when its lease runs out."""
        await self.start()
        job_id = await self.submit_running(WHOLE_WORKER)
        (worker_id,) = self.running_of(job_id)
        self.fleet.workers_by_id[worker_id].is_cut = True
        fields = await self.wait_until_stands(job_id)
        self.assertGreater(self.fleet.injected["unreachable"], 0)
        self.assertEqual(fields["reason"], "lease_awaited")
        self.assertEqual(fields["worker_id"], worker_id)
        self.assertLess(fields["silent_s"], fields["stood_s"])
        self.assertLess(fields["lease_left_s"], 6)
        given_up_at = fields["at"].total_seconds() + fields["lease_left_s"]
        await self.wait_until(lambda: self.lines("run_lost"))
        lost_at = self.lines("run_lost")[0]["at"].total_seconds()
        self.assertAlmostEqual(lost_at, given_up_at, delta=0.3)
        await self.wait_until(lambda: self.lines("job_moves", job_id))

    async def test_run_inherited_on_a_worker_that_died(self):
        """A takeover shows as the run's phase, with the longer lease."""
        await self.start()
        job_id = await self.submit_running(WHOLE_WORKER)
        (worker_id,) = self.running_of(job_id)
        killed_at = self.clock.monotonic()
        self.kill("a")
        self.fleet.workers_by_id[worker_id].is_cut = True
        self.start_node("b")
        await self.wait_until(self.holder)
        fields = await self.check_reason(job_id, "lease_awaited")
        self.assertEqual(fields["phase"], "inherited")
        self.assertEqual(fields["worker_id"], worker_id)
        given_up_at = fields["at"].total_seconds() + fields["lease_left_s"]
        lease = harness.PARAMETERS.predecessor_lease
        self.assertAlmostEqual(
            given_up_at, (killed_at + lease).total_seconds(), delta=0.5
        )

    async def test_inherited_run_whose_worker_answers_slowly(self):
        """A slow inventory is told from a silent worker."""
        await self.start()
        job_id = await self.submit_running(WHOLE_WORKER)
        self.kill("a")

        async def hang(address, order, timeout):
            await self.clock.sleep(harness.seconds(60))

        self.fleet.renew_lease = hang
        self.start_node("b")
        await self.wait_until(self.holder)
        fields = await self.check_reason(job_id, "inherited_unheard")
        self.assertNotIn("silent_s", fields)

    async def test_stop_that_its_worker_never_confirms(self):
        """The line shows why the run is stopped."""
        await self.start()
        job_id = await self.submit_running(WHOLE_WORKER)

        async def ignore(address, task, run, token, timeout):
            return await self.fleet._time_out(timeout)

        self.fleet.stop = ignore
        (run,) = self.cluster.jobs_by_id[job_id].runs
        self.scheduler._orders.stop(run, "slow")
        fields = await self.check_reason(job_id, "run_stopping")
        self.assertEqual(fields["stop_reason"], "slow")
        self.assertEqual(fields["worker_id"], run.worker_id)

    async def test_state_that_no_reason_explains(self):
        """A run that its worker's entry lacks is reported as unknown."""
        await self.start()
        job_id = await self.submit_running(WHOLE_WORKER)
        (run,) = self.cluster.jobs_by_id[job_id].runs
        del self.cluster.workers_by_id[run.worker_id].runs_by_task[run.name]
        fields = await self.check_reason(job_id, "unknown")
        self.assertEqual(fields["phase"], "at_work")


class RoomTest(standing_harness.StandingTestCase):
    """Tasks that wait for room on a worker."""

    async def test_all_workers_are_full(self):
        """Nothing but room is missing."""
        await self.start()
        await self.submit_running(harness.make_step(width=16))
        job_id = self.submit(harness.make_step())
        fields = await self.check_reason(job_id, "no_room")
        self.assertEqual(fields["usable"], 2)
        self.assertEqual(fields["fitting"], 0)
        self.assertEqual(fields["tasks"], {"waiting": 1})

    async def test_no_worker_is_large_enough(self):
        """Waiting would not help this job."""
        await self.start()
        job_id = self.submit(TOO_LARGE)
        fields = await self.check_reason(job_id, "no_worker")
        self.assertEqual(fields["workers"], 2)

    async def test_room_only_on_avoided_and_draining_workers(self):
        """They are counted by why they get no tasks.

        At most one of three that are ready is avoided, so the others are full.
        """
        await self.start(4)
        self.listings["w4"] = dataclasses.replace(
            self.listings["w4"], state=fleet.ServerState.DRAINING
        )
        self.store.put(store.Stream.SERVERS, "w4", b"")
        await self.pass_time(0.5)
        full = harness.make_step(width=2, accelerators=8)
        filling = await self.submit_running(
            full, queue=harness.make_queue(priority=0)
        )
        self.fleet.durations_by_job[filling] = harness.seconds(60)
        (free_id,) = {"w1", "w2", "w3"} - set(self.running_of(filling))
        worker = self.cluster.workers_by_id[free_id]
        worker.avoid_until = self.clock.monotonic() + harness.seconds(60)
        await self.pass_time(0.5)
        job_id = self.submit(harness.make_step())
        fields = await self.check_reason(job_id, "unusable_workers")
        self.assertEqual((fields["avoided"], fields["draining"]), (1, 1))
        self.assertEqual(fields["fitting_unusable"], 16)

    async def fill_but_one_worker(self) -> str:
        """Leave room for three tasks on one worker; return its id."""
        await self.start(3)
        urgent = harness.make_queue(priority=0)
        first = harness.make_step(width=3, accelerators=5)
        second = harness.make_step(width=2, accelerators=3)
        ids = set(self.listings)
        for step in (first, second):
            job_id = await self.submit_running(step, queue=urgent)
            used = set(self.running_of(job_id))
            self.assertEqual(len(used), step.width)
        (free_id,) = ids - used
        return free_id

    async def test_room_only_on_a_worker_held_for_other_work(self):
        """Room that exists but is kept is not called unused."""
        free_id = await self.fill_but_one_worker()
        urgent = harness.make_queue(priority=0)
        large = self.submit(WHOLE_WORKER, queue=urgent)
        await self.wait_until(lambda: large in self.cluster.jobs_by_id)
        step = self.cluster.jobs_by_id[large].steps_by_key[0, 0]
        self.scheduler._holds.add(step, [free_id], self.clock.monotonic())
        job_id = self.submit(harness.make_step(), queue=urgent)
        fields = await self.check_reason(job_id, "held_workers")
        self.assertEqual((fields["held"], fields["fitting_held"]), (1, 3))

    async def test_room_only_on_headroom_for_urgent_jobs(self):
        """Headroom is kept from less urgent jobs, not unused by mistake."""
        await self.fill_but_one_worker()
        job_id = self.submit(harness.make_step())
        fields = await self.check_reason(job_id, "held_workers")
        self.assertEqual((fields["held"], fields["headroom"]), (0, 1))
        self.assertEqual(fields["fitting_held"], 3)

    async def test_room_that_is_reserved_for_another_job(self):
        """Reserved room is in use, not unused by mistake."""
        await self.start(1)
        other = self.submit(TOO_LARGE)
        await self.wait_until(lambda: other in self.cluster.jobs_by_id)
        step = self.cluster.jobs_by_id[other].steps_by_key[0, 0]
        reservations = self.scheduler._reservations
        reservations.add(step, ["w1"], self.clock.monotonic())
        job_id = self.submit(harness.make_step())
        for _ in range(4):
            await self.pass_time(1)
            reservations.add(step, ["w1"], self.clock.monotonic())
        fields = await self.check_reason(job_id, "no_room")
        self.assertEqual(fields["fitting"], 0)

    async def test_gang_that_fits_no_rack_at_present(self):
        """Room in several racks is not room for a rack-local gang."""
        self.add_workers(3)
        self.listings["w2"] = dataclasses.replace(
            self.listings["w2"], rack="r2"
        )
        self.start_node("a")
        await self.wait_until(self.holder)
        urgent = harness.make_queue(priority=0)
        filling = await self.submit_running(WHOLE_WORKER, queue=urgent)
        self.assertNotEqual(self.running_of(filling), ["w2"])
        gang = models.Step(
            2,
            models.Demand(1000, 1024, 8),
            harness.seconds(20),
            is_gang=True,
            is_rack_local=True,
        )
        job_id = self.submit(gang)
        fields = await self.check_reason(job_id, "rack_awaited")
        self.assertEqual((fields["fitting"], fields["wanted"]), (2, 2))

    async def test_room_that_no_round_uses_because_rounds_fail(self):
        """Lines come although each round raises an error."""
        await self.start()
        error = unittest.mock.patch.object(
            planning.Planner, "plan", side_effect=ValueError
        )
        with error:
            job_id = self.submit(harness.make_step())
            fields = await self.check_reason(job_id, "room_unused")
        self.assertTrue(self.lines("round_crashed"))
        self.assertEqual(fields["fitting"], 16)
        await self.wait_until(lambda: self.lines("job_moves", job_id))

    async def test_advice_that_does_not_come(self):
        """The advice service, not the workers, keeps the job."""
        await self.start()
        second = datetime.timedelta(seconds=1)
        queue = dataclasses.replace(
            harness.make_queue(),
            advice=models.AdviceTerms(second, second, second),
        )
        job_id = self.submit(harness.make_step(), queue=queue)
        await self.check_reason(job_id, "advice_awaited")

    async def test_preempted_runs_that_do_not_end(self):
        """Room that is being freed is told from room that is in use."""
        await self.start(1)
        self.scheduler._guarantees = lambda: {"b": 8}
        flood = harness.make_queue(priority=2)
        await self.submit_running(harness.make_step(width=8), queue=flood)

        async def ignore(address, task, run, token, timeout):
            return await self.fleet._time_out(timeout)

        self.fleet.stop = ignore
        urgent = harness.make_queue(priority=0)
        job_id = self.submit(WHOLE_WORKER, queue=urgent, account="b")
        fields = await self.check_reason(job_id, "being_freed")
        self.assertEqual(fields["worker_id"], "w1")
