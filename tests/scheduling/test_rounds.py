"""Errors within a round affect neither other jobs nor later rounds."""

import contextlib
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import expiry
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import scheduler as schedulers
from tests.scheduling import harness
from tests.scheduling import round_harness


class UnlistedWorkerTest(round_harness.RoundTestCase):
    """A worker that runs tasks has lost its entry, but not its lease."""

    worker_count = 4

    def lose(self, worker_id: str) -> None:
        """Cut a worker off and remove its entry."""
        self.fleet.workers_by_id[worker_id].is_cut = True
        del self.listings[worker_id]
        self.store.put(store.Stream.SERVERS, worker_id, None)

    async def check_others_run(self, local_id: str) -> None:
        """Check that jobs start at once and the rack-local step goes on."""
        job_ids = []
        for _ in range(50):
            job_ids.append(self.submit(harness.make_step(accelerators=0)))
            await self.pass_time(0.1)
        for job_id in job_ids:
            await self.check_completes(job_id, 3)
        await self.wait_until(lambda: self.state(local_id) == "completed", 30)
        self.assertEqual(self.count_logged("round_crashed"), 0)

    async def test_no_run_stays_assigned_when_an_entry_is_lost(self):
        """Nor when waiting tasks of a rack-local step are placed then."""
        step = harness.make_step(width=40, accelerators=4, is_rack_local=True)
        local_id = self.submit(step)
        await self.wait_until(lambda: self.running_of(local_id) == 8, 2)
        await self.pass_time(1)
        self.lose("w1")
        await self.check_others_run(local_id)

    async def test_no_run_stays_assigned_when_a_rack_is_unknown(self):
        """A successor has never seen the entry of a worker with runs."""
        step = harness.make_step(width=40, accelerators=4, is_rack_local=True)
        local_id = self.submit(step)
        await self.wait_until(lambda: self.running_of(local_id) == 8, 2)
        self.lose("w1")
        self.kill("a")
        self.start_node("a", seed=1)
        await self.wait_until(
            lambda: self.holder() and self.scheduler.cluster.jobs_by_id
        )
        worker = self.scheduler.cluster.workers_by_id["w1"]
        self.assertIsNone(worker.listing)
        self.assertTrue(worker.runs_by_task)
        await self.check_others_run(local_id)

    async def test_refused_member_while_an_entry_is_lost(self):
        """A gang's refused member is placed without its members' entries."""
        self.fleet.workers_by_id["w1"].refuse_starts = 1
        step = harness.make_step(
            width=3, accelerators=8, is_gang=True, is_rack_local=True
        )
        original = self.fleet.start

        async def start(address, order, timeout):
            result = await original(address, order, timeout)
            if result.status is fleet.OrderStatus.UNHEALTHY:
                for worker in self.scheduler.cluster.workers_by_id.values():
                    if worker.runs_by_task:
                        listings = self.scheduler._directory.listings_by_id
                        del listings[worker.worker_id]
            return result

        with mock.patch.object(self.fleet, "start", start):
            job_id = self.submit(step)
            await self.check_completes(job_id, 10)
        self.assertEqual(self.fleet.injected["start_unhealthy"], 1)
        self.assertEqual({i.run for i in self.fleet.intervals}, {1})
        self.assertEqual(self.count_logged("round_crashed"), 0)


class PlanningErrorTest(round_harness.RoundTestCase):
    """An error occurs while a job is planned."""

    @contextlib.contextmanager
    def failing(self, method: str, job_id: str, allowed: int = 0):
        """Let a method of the planner fail for a job after some calls."""
        original = getattr(planning.Planner, method)
        calls = []

        def fail(planner, step, *arguments):
            if step.job.job.job_id != job_id:
                return original(planner, step, *arguments)
            calls.append(step)
            if len(calls) % (allowed + 1) == 0:
                raise round_harness.ERROR
            return original(planner, step, *arguments)

        with mock.patch.object(planning.Planner, method, fail):
            yield calls

    async def check_others_start(
        self, step, method: str, allowed: int = 0
    ) -> None:
        """Check a job that fails beside one that needs both workers."""
        job_id = self.submit(step)
        with self.failing(method, job_id, allowed) as calls:
            other_id = self.submit(
                harness.make_step(width=2, accelerators=8, is_gang=True)
            )
            await self.wait_until(
                lambda: self.running_of(other_id) == 2, round_harness.SOON_S
            )
            await self.check_completes(other_id, 4)
            await self.pass_time(1)
            self.assertGreater(len(calls), 2 * allowed + 2, "not retried")
            self.assertEqual(self.running_of(job_id), 0)
            self.assertEqual(self.phases(), {})
        lines = self.count_logged("job_planning_failed")
        self.assertIn(lines, range(1, 5))
        self.assertEqual(self.count_logged("round_crashed"), 0)
        await self.check_completes(job_id, 4)

    async def test_other_jobs_start_in_the_same_round(self):
        """The first of them all fails before it has placed anything."""
        await self.check_others_start(harness.make_step(), "_plan_step")

    async def test_tasks_placed_before_the_error_have_no_effect(self):
        """Their capacity is free for other jobs of the round."""
        await self.check_others_start(
            harness.make_step(width=8), "_start", allowed=5
        )

    async def test_gang_placed_in_part_has_no_effect(self):
        """Neither its first member nor the capacity of all members."""
        step = harness.make_step(width=2, accelerators=8, is_gang=True)
        await self.check_others_start(step, "_start", allowed=1)

    async def test_error_in_the_order_of_jobs(self):
        """A job whose key cannot be computed is left out."""
        job_id = self.submit(harness.make_step())
        original = planning.ordering.sort_key

        def fail(job, *arguments):
            if job.job.job_id == job_id:
                raise round_harness.ERROR
            return original(job, *arguments)

        with mock.patch.object(planning.ordering, "sort_key", fail):
            other_id = self.submit(harness.make_step())
            await self.wait_until(
                lambda: self.running_of(other_id), round_harness.SOON_S
            )
            self.assertEqual(self.running_of(job_id), 0)
        await self.check_completes(job_id, 4)

    async def test_holds_and_reservations_of_a_failed_job_are_dropped(self):
        """An urgent job fails once it has chosen the runs to stop."""
        self.fleet.duration = harness.seconds(60)
        flood = self.submit(
            harness.make_step(width=16), queue=harness.make_queue(2)
        )
        await self.wait_until(lambda: self.running_of(flood) == 16, 2)
        job_id = self.submit(
            harness.make_step(accelerators=8), queue=harness.make_queue(0)
        )
        with self.failing("_hold", job_id) as calls:
            await self.pass_time(2)
            self.assertGreater(len(calls), 2)
            self.assertEqual(self.running_of(flood), 16, "stopped for nobody")
            self.assertEqual(self.scheduler._reservations.all(), [])
        await self.wait_until(lambda: self.running_of(job_id), 3)


class AssignmentErrorTest(round_harness.RoundTestCase):
    """An error occurs after some of a round's runs were attached."""

    async def check_error_in(self, method: str) -> None:
        """Check that nothing stays assigned and all tasks start later."""
        cluster = self.scheduler.cluster
        with mock.patch.object(
            cluster, method, autospec=True, side_effect=round_harness.ERROR
        ) as failing:
            gang = harness.make_step(width=2, accelerators=4, is_gang=True)
            job_ids = [
                self.submit(harness.make_step(width=4)),
                self.submit(gang),
            ]
            await self.wait_until(lambda: failing.call_count >= 4, 2)
            self.assertEqual(self.phases(), {})
            waiting = [
                len(job.steps_by_key[0, 0].waiting)
                for job in cluster.jobs_by_id.values()
            ]
            self.assertEqual(sorted(waiting), [2, 4])
        self.assertEqual(self.fleet.running(), [])
        for job_id in job_ids:
            await self.check_completes(job_id, 4)

    async def test_error_while_a_run_is_attached(self):
        """The runs attached before it wait again as well."""
        cluster = self.scheduler.cluster
        original = cluster.attach
        attached = []

        def fail(run):
            attached.append(run)
            if len(attached) in (2, 4):
                raise round_harness.ERROR
            original(run)

        with mock.patch.object(cluster, "attach", fail):
            step = harness.make_step(width=3, accelerators=2, is_gang=True)
            job_ids = [self.submit(harness.make_step(width=3))]
            job_ids.append(self.submit(step))
            for job_id in job_ids:
                await self.check_completes(job_id, 4)
        self.assertIs(attached[0].phase, runs.Phase.ENDED)
        self.assertEqual(self.count_logged("job_assignment_failed"), 2)

    async def test_error_while_an_assignment_is_staged(self):
        """No run stays assigned."""
        await self.check_error_in("stage_assignment")

    async def test_error_while_a_start_is_recorded(self):
        """The runs go on, and no job passes for started before its record."""
        cluster = self.scheduler.cluster
        with mock.patch.object(
            cluster,
            "stage_progress",
            autospec=True,
            side_effect=round_harness.ERROR,
        ):
            gang = harness.make_step(width=2, accelerators=4, is_gang=True)
            job_ids = [
                self.submit(harness.make_step(width=4)),
                self.submit(gang),
            ]
            await self.wait_until(lambda: len(self.fleet.running()) == 6, 2)
            await self.pass_time(0.5)
            self.assertEqual(self.phases(), {runs.Phase.AT_WORK: 6})
            for job_id in job_ids:
                self.assertEqual(self.state(job_id), "queued")
            self.assertGreaterEqual(self.count_logged("job_begin_failed"), 2)
        for job_id in job_ids:
            await self.check_completes(job_id, 4)

    async def test_start_is_recorded_after_an_error(self):
        """A report of the run tries again."""
        with mock.patch.object(
            self.scheduler.cluster,
            "stage_progress",
            autospec=True,
            side_effect=round_harness.ERROR,
        ):
            job_id = self.submit(harness.make_step(is_lasting=True))
            self.fleet.lasting_job_ids.add(job_id)
            await self.wait_until(lambda: self.running_of(job_id), 2)
            await self.pass_time(0.5)
            self.assertEqual(self.state(job_id), "queued")
        await self.wait_until(lambda: self.state(job_id) == "running", 4)

    async def test_error_in_one_job_does_not_delay_others(self):
        """Other jobs of the round start at once."""
        cluster = self.scheduler.cluster
        original = cluster.attach
        job_id = self.submit(harness.make_step())

        def fail(run):
            if run.key.job_id == job_id:
                raise round_harness.ERROR
            original(run)

        with mock.patch.object(cluster, "attach", fail):
            other_id = self.submit(harness.make_step())
            await self.wait_until(
                lambda: self.running_of(other_id), round_harness.SOON_S
            )
            self.assertEqual(self.running_of(job_id), 0)
        await self.check_completes(job_id, 4)


class PhaseErrorTest(round_harness.RoundTestCase):
    """An error occurs in one phase of every round."""

    async def check_error_in(self, target: object, method: str) -> None:
        """Check that a job starts and ends although a method fails."""
        with mock.patch.object(
            target, method, autospec=True, side_effect=round_harness.ERROR
        ) as failing:
            job_id = self.submit(harness.make_step())
            await self.wait_until(
                lambda: self.running_of(job_id), round_harness.SOON_S
            )
            await self.check_completes(job_id, 4)
        self.assertGreater(failing.call_count, 1)
        self.assertGreater(self.count_logged("round_crashed"), 1)

    async def test_phases_after_one_that_fails_run(self):
        """Starts come last."""
        scheduler = self.scheduler
        for target, method in (
            (scheduler._poller, "expire_leases"),
            (scheduler._orders, "stop_unanswered_starts"),
            (scheduler._orders, "stop_open_gangs"),
            (scheduler._forecast, "refresh"),
            (schedulers.stragglers, "runs_to_move"),
            (expiry.Expiry, "pop_due"),
        ):
            with self.subTest(method):
                await self.check_error_in(target, method)

    async def test_errors_name_their_phase(self):
        """The log tells phases apart."""
        forecast = self.scheduler._forecast
        with mock.patch.object(
            forecast, "refresh", autospec=True, side_effect=round_harness.ERROR
        ):
            await self.pass_time(0.5)
        phases = {
            fields.get("phase")
            for event, fields in self.logged
            if event == "round_crashed"
        }
        self.assertEqual(phases, {"forecast"})

    def recorded(self, job_id: str) -> str:
        """Return the state in a job's newest progress record."""
        progress = self.scheduler._replica.ledger.progress_by_id
        return progress[job_id].state

    async def test_one_job_that_cannot_end_does_not_stop_others(self):
        """Nor does it pass for cancelled before that is recorded."""
        self.fleet.duration = harness.seconds(60)
        job_ids = [self.submit(harness.make_step()) for _ in range(2)]
        await self.wait_until(lambda: len(self.fleet.running()) == 2, 2)
        cluster = self.scheduler.cluster
        original = cluster.stage_progress

        def fail(job):
            if job.job.job_id == job_ids[0]:
                raise round_harness.ERROR
            original(job)

        with mock.patch.object(cluster, "stage_progress", fail):
            for job_id in job_ids:
                self.cancel(job_id)
            await self.pass_time(1)
            self.assertEqual(self.recorded(job_ids[0]), "running")
            self.assertEqual(self.recorded(job_ids[1]), "cancelled")
            self.assertEqual(self.running_of(job_ids[1]), 0)
        await self.pass_time(1)
        self.assertEqual(self.recorded(job_ids[0]), "cancelled")
        self.assertEqual(self.fleet.running(), [])
