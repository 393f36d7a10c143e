"""Cost and memory follow the work that is due, not what is declared."""

import asyncio
import datetime
import sys
import tracemalloc
from unittest import mock

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import inheriting
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import scheduler as schedulers
from tests.scheduling import harness

MONTH = 30 * 24 * 60  # minutes
MINUTE = datetime.timedelta(minutes=1)
MAX_GROWTH = 1.2  # from eight occurrences to those of a month
MAX_JOB_BYTES = 100_000  # of a timetable that runs on time


class CallCounter:
    """Count the Python functions called, which no load changes."""

    def __init__(self) -> None:
        """Count nothing yet."""
        self.count = 0

    def __enter__(self) -> "CallCounter":
        """Start counting."""
        sys.setprofile(self._count)
        return self

    def __exit__(self, *error: object) -> None:
        """Stop counting."""
        sys.setprofile(None)

    def _count(self, frame: object, event: str, argument: object) -> None:
        self.count += event == "call"


class LongTimetableTest(harness.SchedulingTestCase):
    """A job that runs each minute of a month (review/4)."""

    def submit_timetable(self, count: int, due: int = 0) -> str:
        """Submit a job that is due in a second, or that has been for long."""
        first_due = self.clock.now() + harness.seconds(1) - MINUTE * due
        return self.submit(
            harness.make_step(2, 0),
            timetable=models.Timetable(first_due, MINUTE, count),
        )

    async def count_calls(self, count: int, takes_over: bool = False) -> int:
        """Return the calls for the first occurrence of a job."""
        self.start_node("a")
        await self.wait_until(self.holder)
        if takes_over:
            job_id = self.submit_timetable(count)
            await self.wait_until(lambda: self.state(job_id) == "running")
            self.kill("a")
            self.start_node("b")
        with CallCounter() as counter:
            if not takes_over:
                job_id = self.submit_timetable(count)
            await self.pass_time(8)
        tasks = {f"{job_id}.0.0.0", f"{job_id}.0.0.1"}
        done = {interval.task for interval in self.fleet.intervals}
        self.assertEqual(done, tasks)
        self.assertIsNotNone(self.holder())
        return counter.count

    async def compare(self, **options: bool) -> None:
        """Compare the calls for a short timetable and a long one."""
        counts = []
        for count in (8, MONTH):
            await self.asyncTearDown()
            await self.asyncSetUp()
            self.add_workers(2)
            counts.append(await self.count_calls(count, **options))
        self.assertLess(counts[1], counts[0] * MAX_GROWTH)

    async def test_scheduling_costs_no_more_than_for_a_short_one(self):
        """Admission, rounds, the forecast and ends walked over all of it."""
        await self.compare()

    async def test_takeover_costs_no_more_than_for_a_short_one(self):
        """Each successor built the whole state again."""
        await self.compare(takes_over=True)

    async def test_memory_is_that_of_what_is_due(self):
        """24 such jobs took 930 MB."""
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            for _ in range(4):
                self.submit_timetable(MONTH)
            await self.pass_time(1)
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(after - before, 4 * MAX_JOB_BYTES)

    async def test_backlog_is_worked_off_in_order(self):
        """All is due at once, as after a pause of a month."""
        self.add_workers(2, accelerators=0)
        self.start_node("a")
        job_id = self.submit_timetable(MONTH, due=MONTH)
        await self.wait_until(lambda: len(self.fleet.intervals) > 300, 60)
        scheduler = self.nodes_by_name["a"].scheduler
        job = scheduler.cluster.jobs_by_id[job_id]
        self.assertLess(len(job.steps_by_key), 300)
        started = {
            int(interval.task.split(".")[1])
            for interval in self.fleet.intervals
        }
        self.assertLess(max(started), 400)

    async def test_later_steps_that_never_run_hold_up_no_first_ones(self):
        """No worker has the label that the second step requires."""
        due = 6 * occurrences.MAX_IDLE_OCCURRENCES
        self.add_workers(2)
        self.start_node("a")
        first_due = self.clock.now() - MINUTE * (due - 1)
        self.submit(
            harness.make_step(1, 0),
            harness.make_step(1, after=(0,), required_label="none"),
            timetable=models.Timetable(first_due, MINUTE, due),
        )
        await self.wait_until(lambda: len(self.fleet.intervals) == due, 30)

    async def test_task_outside_its_declared_step_is_unknown(self):
        """A worker's list may name anything, of any size."""
        self.start_node("a")
        await self.wait_until(self.holder)
        job_id = self.submit_timetable(MONTH)
        await self.pass_time(2)
        cluster = self.nodes_by_name["a"].scheduler.cluster
        for name in ("0.0.2", "0.0.-1", "0.1.0", "43200.0.0", "-1.0.0"):
            self.assertIsNone(cluster.find_task(f"{job_id}.{name}"), name)
        self.assertIsNone(cluster.find_task(f"{job_id}.0.0.{10**12}"))
        self.assertIsNotNone(cluster.find_task(f"{job_id}.43199.0.1"))

    async def test_timetable_completes_over_a_takeover(self):
        """Each occurrence runs once, in its turn, and the job ends."""
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)
        second = harness.seconds(1)
        job_id = self.submit(
            harness.make_step(),
            harness.make_step(2, after=(0,)),
            timetable=models.Timetable(self.clock.now(), second, 100),
        )
        await self.pass_time(50)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(lambda: self.state(job_id) == "completed", 90)
        done = [interval.task for interval in self.fleet.intervals]
        self.assertEqual(len(done), 300)
        self.assertEqual(len(set(done)), 300)

    async def test_late_end_of_a_closed_occurrence_is_acknowledged(self):
        """A worker lists an end again that a predecessor has recorded."""
        self.add_workers(1)
        job_id = self.submit_timetable(MONTH, due=1000)
        done = codec.Progress("running", {}, 0.0, {0: ((0, 998),)})
        self.store.put(
            store.Stream.JOBS,
            ledgers.Kind.PROGRESS.key(job_id),
            codec.encode_progress(done),
        )
        self.start_node("a")
        await self.wait_until(self.holder)
        scheduler = self.nodes_by_name["a"].scheduler
        step, index = scheduler.cluster.find_task(f"{job_id}.5.0.1")
        self.assertTrue(step.is_done)
        scheduler.cluster.record_success(step, index)
        await self.pass_time(10)
        self.assertEqual(
            {interval.task[:-4] for interval in self.fleet.intervals},
            {f"{job_id}.999", f"{job_id}.1000"},
        )


class TakeoverInSlicesTest(harness.SchedulingTestCase):
    """A new scheduler admits hundreds of jobs and inherits their runs."""

    JOBS = 400
    WORKERS = 20

    async def asyncSetUp(self):
        """Record jobs of an earlier scheduler, with a run each."""
        await super().asyncSetUp()
        self.add_workers(self.WORKERS, accelerators=30)
        runs_by_worker: dict[str, dict[str, int]] = {}
        for number in range(self.JOBS):
            job_id = self.submit(harness.make_step())
            worker_id = f"w{1 + number % self.WORKERS}"
            runs = runs_by_worker.setdefault(worker_id, {})
            runs[f"{job_id}.0.0.0"] = 1
        for worker_id, runs in runs_by_worker.items():
            listing = self.listings[worker_id]
            record = codec.Assignment(
                listing.address.host_port, listing.born_ms, runs
            )
            key = ledgers.Kind.ASSIGNMENT.key(worker_id)
            value = codec.encode_assignment(record)
            self.store.put(store.Stream.JOBS, key, value)

    async def test_claim_is_renewed_during_a_takeover(self):
        """The loop stood still until all jobs were admitted."""
        counts = {"admit": 0, "inherit": 0}
        most = dict(counts)  # without a turn for other tasks

        def count(kind, function):
            def call(*arguments):
                if not any(counts.values()):
                    reset = dict.fromkeys(counts, 0)
                    loop = asyncio.get_running_loop()
                    loop.call_soon(counts.update, reset)
                counts[kind] += 1
                most[kind] = max(most[kind], counts[kind])
                return function(*arguments)

            return call

        admit = count("admit", occurrences.make_job_state)
        inherit = count("inherit", inheriting._inherit_run)
        with (
            mock.patch.object(occurrences, "make_job_state", admit),
            mock.patch.object(inheriting, "_inherit_run", inherit),
        ):
            self.start_node("a")
            await self.wait_until(self.holder)
            await self.pass_time(0.5)
        cluster = self.nodes_by_name["a"].scheduler.cluster
        self.assertEqual(len(cluster.jobs_by_id), self.JOBS)
        self.assertLessEqual(most["admit"], schedulers.ADMISSION_SLICE)
        self.assertLessEqual(most["inherit"], self.JOBS // self.WORKERS)


class EmptyJobTest(harness.SchedulingTestCase):
    """A job declares no tasks."""

    async def test_job_without_tasks_completes(self):
        """It stayed queued, as no end was ever listed for it."""
        self.add_workers(1)
        self.start_node("a")
        job_ids = [
            self.submit(harness.make_step(0)),
            self.submit(
                harness.make_step(0),
                timetable=models.Timetable(self.clock.now(), MINUTE, 1),
            ),
        ]
        for job_id in job_ids:
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed", 5
            )
