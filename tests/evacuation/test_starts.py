"""Nothing starts in an evacuated data centre; other work goes on."""

from cardamomcroft.ports import store
from cardamomcroft.scheduling import runs
from tests.evacuation import harness
from tests.scheduling import harness as nodes_harness

EAST, WEST = harness.EAST, harness.WEST
TASK = nodes_harness.make_step(accelerators=8)
OPERATOR = store.Stream.OPERATOR


class EvacuatedTest(harness.EvacuationTestCase):
    """One node, two workers in each of two data centres."""

    async def asyncSetUp(self):
        """Start the node."""
        await super().asyncSetUp()
        await self.start()

    async def evacuate_known(self, data_centre: str) -> None:
        """Evacuate a data centre; wait until the holder knows."""
        self.evacuate(data_centre)
        await self.pass_time(harness.KNOWN_S)

    async def test_work_starts_elsewhere_only(self):
        """Eight tasks for four workers use the other two, one by one."""
        await self.evacuate_known(EAST)
        job_id = self.submit(nodes_harness.make_step(8, 8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 20)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])

    async def test_running_work_goes_on_there(self):
        """Its lease is renewed and its end counts; nothing is stopped."""
        job_id = await self.submit_running(
            nodes_harness.make_step(4, 8), lasts_s=15
        )
        before = len(self.starts(EAST))
        await self.evacuate_known(EAST)
        await self.pass_time(9)  # longer than a lease
        self.assertEqual(len(self.running_in(EAST)), 2)
        await self.wait_until(lambda: self.state(job_id) == "completed", 10)
        self.check_run_once(job_id)
        self.assertEqual(len(self.starts(EAST)), before)
        self.assertEqual(self.lines("stop_ordered"), [])

    async def test_urgent_work_preempts_nothing_there(self):
        """A stopped run would free capacity that nobody may use."""
        await self.submit_running(nodes_harness.make_step(4, 8))
        await self.evacuate_known(EAST)
        urgent = self.submit(
            nodes_harness.make_step(2, 8), queue=nodes_harness.make_queue(0)
        )
        await self.wait_until(lambda: len(self.running_of(urgent)) == 2, 8)
        stopped = {line["worker_id"] for line in self.lines("stop_ordered")}
        self.assertEqual(stopped, {"west-0", "west-1"})

    async def test_reservation_there_is_given_up(self):
        """Urgent work that preempts there must look elsewhere at once."""
        await self.submit_running(nodes_harness.make_step(4, 8))
        self.fleet.stop_spacing = nodes_harness.seconds(0.2)
        urgent = self.submit(
            nodes_harness.make_step(1, 8), queue=nodes_harness.make_queue(0)
        )
        await self.wait_until(lambda: self.scheduler._reservations.all(), 3)
        (entry,) = self.scheduler._reservations.all()
        there, _ = entry.worker_id.split("-")
        await self.evacuate_known(there)
        await self.wait_until(lambda: self.running_of(urgent), 1)
        (worker_id,) = self.running_of(urgent)
        self.assertFalse(worker_id.startswith(there))

    async def test_starts_resume_after_the_end(self):
        """An evacuation that was revoked must not stay in force."""
        await self.evacuate_known(EAST)
        job_id = await self.submit_running(nodes_harness.make_step(2, 8))
        self.assertEqual(self.running_in(EAST), [])
        self.revoke(EAST)
        await self.pass_time(harness.KNOWN_S)
        other = self.submit(nodes_harness.make_step(2, 8))
        await self.wait_until(lambda: len(self.running_of(other)) == 2, 1)
        self.assertEqual(len(self.running_in(EAST)), 2)
        self.assertEqual(len(self.running_of(job_id)), 2)

    async def test_two_at_once(self):
        """Each ends by itself; with all evacuated, nothing is lost."""
        await self.evacuate_known(EAST)
        await self.evacuate_known(WEST)
        job_id = self.submit(TASK)
        await self.pass_time(6)
        self.assertEqual(self.fleet.received_starts, [])
        self.revoke(WEST)
        await self.wait_until(lambda: self.state(job_id) == "completed", 5)
        self.assertEqual(self.starts(EAST), [])
        self.assertEqual(len(self.starts(WEST)), 1)

    async def test_data_centre_without_workers_has_no_effect(self):
        """A misspelt name is kept and shows in the log without workers."""
        await self.evacuate_known("north")
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 5)
        (line,) = self.lines("evacuation_began")
        self.assertEqual(line["workers"], 0)

    async def test_worker_that_is_listed_later_is_evacuated(self):
        """Replacements of workers must not become usable there."""
        await self.evacuate_known(EAST)
        await self.evacuate_known(WEST)
        self.add_worker("east-9", EAST)
        job_id = self.submit(TASK)
        await self.pass_time(4)
        self.assertEqual(self.running_of(job_id), [])

    async def test_events_tell_what_is_there(self):
        """Operators see when the holder obeys, and what still runs there."""
        await self.submit_running(nodes_harness.make_step(4, 8))
        await self.evacuate_known(EAST)
        self.revoke(EAST)
        await self.pass_time(harness.KNOWN_S)
        for event, offset in (
            ("evacuation_began", 0),
            ("evacuation_ended", 1),
        ):
            (line,) = self.lines(event)
            self.assertEqual(line["data_centre"], EAST)
            self.assertEqual(line["offset"], offset)
            self.assertEqual((line["workers"], line["runs"]), (2, 2))

    async def test_reason_of_a_standing_job(self):
        """The log must not blame the workers or the load."""
        await self.evacuate_known(EAST)
        await self.evacuate_known(WEST)
        fields = await self.check_reason(self.submit(TASK), "evacuated")
        self.assertEqual(fields["evacuated"], 4)

    async def test_gang_that_fits_no_rack_any_more_spans_racks(self):
        """The evacuated rack must not be waited for."""
        for number in range(2, 4):
            self.add_worker(f"east-{number}", EAST)
        self.add_worker("north-0", "north")
        await self.pass_time(harness.KNOWN_S)
        await self.evacuate_known(EAST)
        step = nodes_harness.make_step(3, 8, is_gang=True, is_rack_local=True)
        job_id = self.submit(step)
        await self.wait_until(lambda: len(self.running_of(job_id)) == 3, 2)
        self.assertEqual(self.starts(EAST), [])


class PlannedStartTest(harness.EvacuationTestCase):
    """Starts that are planned when the evacuation becomes known."""

    async def asyncSetUp(self):
        """Start the node."""
        await super().asyncSetUp()
        await self.start()

    async def plan_and_evacuate(self, *steps, **fields) -> str:
        """Evacuate a data centre between a plan and its confirmation."""
        self.clients["a"].holds_appends = True
        job_id = self.submit(*steps, **fields)
        await self.wait_until(lambda: job_id in self.cluster.jobs_by_id, 1)
        await self.pass_time(0.1)
        workers = {run.worker_id for run in self.job(job_id).runs}
        self.assertLessEqual({"east-0", "east-1"}, workers)
        self.evacuate(EAST)
        await self.pass_time(0.2)
        self.assertEqual(self.fleet.received_starts, [])
        self.clients["a"].holds_appends = False
        return job_id

    def job(self, job_id: str) -> runs.JobState:
        """Return what the scheduler knows of a job."""
        return self.cluster.jobs_by_id[job_id]

    async def test_start_planned_before_and_sent_after(self):
        """It is withdrawn and the task runs in the other data centre."""
        job_id = await self.plan_and_evacuate(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 8)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])
        reasons = {line["reason"] for line in self.lines("start_withdrawn")}
        self.assertEqual(reasons, {"data centre is evacuated"})

    async def test_gang_planned_before_is_placed_elsewhere(self):
        """Its missing members are placed anew within a round or two."""
        self.add_worker("west-2", WEST)
        self.add_worker("west-3", WEST)
        await self.pass_time(harness.KNOWN_S)
        job_id = await self.plan_and_evacuate(
            nodes_harness.make_step(4, 8, is_gang=True)
        )
        await self.wait_until(lambda: self.state(job_id) == "completed", 8)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])

    async def start_half_a_gang(self) -> str:
        """Evacuate a data centre while a gang's first starts are under way.

        The worker there leaves its first order unanswered.
        """
        for worker in self.fleet.workers_by_id.values():
            if worker.listing.data_centre == EAST:
                worker.delay_starts = 9
        job_id = self.submit(nodes_harness.make_step(4, 8, is_gang=True))
        await self.wait_until(lambda: len(self.starts(WEST)) == 2, 2)
        self.evacuate(EAST)
        return job_id

    async def test_unanswered_order_is_not_repeated(self):
        """The second order would be sent to an evacuated data centre."""
        await self.start_half_a_gang()
        await self.pass_time(2)
        self.assertEqual(len(self.starts(EAST)), 2)
        self.assertEqual(self.fleet.injected["start_late"], 2)

    async def test_gang_half_started_runs_whole_or_not_at_all(self):
        """Its members at work are stopped, and it waits for the end."""
        job_id = await self.start_half_a_gang()
        await self.pass_time(8)
        self.assertEqual(self.fleet.running(), [])
        self.assertNotEqual(self.state(job_id), "completed")
        for worker in self.fleet.workers_by_id.values():
            worker.delay_starts = 0
        self.revoke(EAST)
        await self.wait_until(lambda: self.state(job_id) == "completed", 12)
        self.check_run_once(job_id)

    async def test_gang_half_started_continues_elsewhere(self):
        """Workers that don't answer must not hold it to the data centre."""
        for number in range(2, 4):
            self.add_worker(f"west-{number}", WEST)
        await self.pass_time(harness.KNOWN_S)
        worker = self.fleet.workers_by_id["east-0"]
        self.fleet.workers_by_id["east-1"].is_cut = True
        worker.is_cut = True
        job_id = self.submit(nodes_harness.make_step(4, 8, is_gang=True))
        self.evacuate(EAST)
        await self.wait_until(lambda: self.state(job_id) == "completed", 12)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])


class StaleViewTest(harness.EvacuationTestCase):
    """Instances that have not read the stream for some time."""

    def hold(self, name: str, *streams: store.Stream) -> None:
        """Hold an instance's calls on some streams."""
        self.client(name).held.update(streams)

    async def test_successor_that_has_not_read_the_stream(self):
        """It would start tasks in a data centre evacuated long ago."""
        await self.start("a")
        self.evacuate(EAST)
        await self.pass_time(harness.KNOWN_S)
        self.hold("b", OPERATOR)
        self.kill("a")
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.start("b")
        await self.pass_time(8)
        self.assertGreater(self.store.injected["held"], 0)
        self.assertEqual(self.fleet.received_starts, [])
        self.client("b").held.clear()
        await self.wait_until(lambda: self.state(job_id) == "completed", 10)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])

    async def test_successor_logs_what_is_in_force(self):
        """Its log must explain why nothing starts there."""
        await self.start("a")
        self.evacuate(EAST)
        await self.pass_time(harness.KNOWN_S)
        self.kill("a")
        await self.start("b")
        await self.pass_time(1)
        lines = self.lines("evacuation_began")
        self.assertEqual([line["workers"] for line in lines], [2, 2])

    async def test_holder_that_was_frozen(self):
        """All its calls stand still; it resumes before it has read."""
        await self.start("a")
        self.client("a").holds_appends = True
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: self.assigned_worker(job_id), 2)
        self.hold("a", *store.Stream)
        await self.pass_time(1)
        self.evacuate(EAST)
        await self.pass_time(harness.BOUND.total_seconds())
        self.client("a").holds_appends = False
        self.client("a").held -= {store.Stream.JOBS}
        await self.pass_time(3)
        self.assertTrue(self.cluster.is_claim_confirmed)
        self.assertEqual(self.fleet.received_starts, [])
        self.client("a").held.clear()
        await self.wait_until(lambda: self.state(job_id) == "completed", 12)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST), [])

    async def test_stale_view_stops_all_starts_until_it_is_read(self):
        """Appends succeed, but an evacuation would not be noticed."""
        await self.start("a")
        self.hold("a", OPERATOR)
        await self.pass_time(harness.BOUND.total_seconds())
        self.evacuate(EAST)
        closed_at = self.clock.monotonic()
        job_id = self.submit(nodes_harness.make_step(2, 8))
        await self.check_reason(job_id, "view_awaited")
        self.assertTrue(self.scheduler.cluster.is_claim_confirmed)
        self.assertEqual(self.fleet.received_starts, [])
        self.client("a").held.clear()
        await self.wait_until(lambda: self.state(job_id) == "completed", 8)
        self.check_run_once(job_id)
        self.assertEqual(self.starts(EAST, closed_at), [])

    async def test_starts_go_on_while_the_view_is_young_enough(self):
        """A short outage of the stream must not delay urgent work."""
        await self.start("a")
        self.hold("a", OPERATOR)
        await self.pass_time(1.5)
        job_id = self.submit(TASK)
        await self.wait_until(lambda: self.running_of(job_id), 1)

    async def test_worker_that_begins_to_drain_meanwhile(self):
        """A start that waited for the view must not be sent to it."""
        await self.start("a")
        self.hold("a", OPERATOR)
        await self.pass_time(harness.BOUND.total_seconds())
        job_id = self.submit(TASK)
        await self.wait_until(lambda: self.assigned_worker(job_id), 2)
        worker_id = self.assigned_worker(job_id)
        worker = self.cluster.workers_by_id[worker_id]
        worker.avoid_until = self.clock.monotonic() + nodes_harness.seconds(60)
        await self.pass_time(1)
        self.client("a").held.clear()
        await self.wait_until(lambda: self.running_of(job_id), 3)
        self.assertNotEqual(self.running_of(job_id), [worker_id])
        (line,) = self.lines("start_withdrawn")
        self.assertEqual(line["reason"], "worker gets no new tasks")

    def assigned_worker(self, job_id: str) -> str:
        """Return the worker of a job's run, if it has one."""
        job = self.cluster.jobs_by_id.get(job_id)
        return next((run.worker_id for run in job.runs), "") if job else ""

    async def test_revoked_during_an_outage(self):
        """The newest record counts once the store is back."""
        await self.start("a")
        self.evacuate(EAST)
        await self.pass_time(harness.KNOWN_S)
        self.store.faults.is_down = True
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.pass_time(1)
        self.revoke(EAST)
        await self.pass_time(3)
        self.assertEqual(self.fleet.received_starts, [])
        self.assertGreater(self.store.injected["refused"], 0)
        self.store.faults.is_down = False
        await self.wait_until(lambda: len(self.running_of(job_id)) == 4, 6)

    async def test_requested_and_revoked_during_an_outage(self):
        """The holder must end up without the evacuation."""
        await self.start("a")
        self.store.faults.is_down = True
        await self.pass_time(1)
        self.evacuate(EAST)
        await self.pass_time(1)
        self.revoke(EAST)
        self.store.faults.is_down = False
        await self.pass_time(6)
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: len(self.running_of(job_id)) == 4, 2)


class NoBoundTest(harness.EvacuationTestCase):
    """A deployment whose contract has no evacuations."""

    bound = None

    async def test_starts_need_no_view_but_obey_it(self):
        """The eight earlier deployments must not wait for the stream."""
        self.client("a").held.add(OPERATOR)
        await self.start("a")
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: len(self.running_of(job_id)) == 4, 1)
        self.client("a").held.clear()
        self.evacuate(EAST)
        await self.wait_until(lambda: self.state(job_id) == "completed", 5)
        since = self.clock.monotonic()
        job_id = self.submit(nodes_harness.make_step(4, 8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 8)
        self.assertEqual(self.starts(EAST, since), [])
