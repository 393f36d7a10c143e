"""The watch finds jobs that stand still, and only in calm times."""

import dataclasses
import datetime
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from soak import clients
from soak import watch

JOB = "0" * 16
LOOK_S = 0.25
WORKERS = 4
STEP = models.Step(
    2, models.Demand(500, 100, 1), datetime.timedelta(seconds=1)
)
LATER_STEP = dataclasses.replace(STEP, after=(0,))


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


class WatchTest(unittest.IsolatedAsyncioTestCase):
    """Watch a job of two steps of two tasks on four workers."""

    def setUp(self):
        """Create idle workers and an accepted job."""
        self.clock = clocks.FakeClock()
        self.fleet = standin_fleet.FakeFleet(self.clock, seconds(1))
        for number in range(WORKERS):
            self.fleet.add(f"w{number}")
        self.fleet.steps_by_job[JOB] = (STEP, LATER_STEP)
        self.job = clients.Submission(JOB, 4, [200], ["queued"], 1.0)
        self.watch = watch.Watch(self.fleet, {JOB: self.job})

    async def look(
        self, until_s: float, is_disturbed: bool = False
    ) -> list[str]:
        """Look regularly until a time; return the jobs found."""
        found = []
        while self.clock.monotonic() < seconds(until_s):
            await self.clock.advance(seconds(LOOK_S))
            found += self.watch.look(is_disturbed)
        return found

    def run_task(self, task: str, worker_id: str = "w0") -> None:
        """Let a worker run a task for a second."""
        worker = self.fleet.workers_by_id[worker_id]
        worker.lease_deadline_ms = 10**9
        worker.runs_by_task[task] = standin_fleet.FakeRun(
            1, self.clock.monotonic(), STEP.demand, 0
        )

    def fill(self, accelerators: int, count: int) -> None:
        """Use accelerators of some workers for a job of no one."""
        for worker_id in sorted(self.fleet.workers_by_id)[:count]:
            worker = self.fleet.workers_by_id[worker_id]
            worker.lease_deadline_ms = 10**9
            worker.hangs = True
            worker.runs_by_task["f" * 16 + ".0.0.0"] = standin_fleet.FakeRun(
                1, seconds(0), models.Demand(0, 0, accelerators), 0
            )

    async def test_job_that_stands_still_is_found_once(self):
        """Calm for 4 s and still for 3 s more."""
        self.assertEqual(await self.look(6.5), [])
        self.assertEqual(await self.look(20), [JOB])
        text = self.watch.describe(JOB)
        self.assertIn("step 0 of 2: 0 of 2 done", text)
        self.assertIn("run before: none", text)

    async def test_job_that_runs_is_not_found(self):
        """A task of it begins before it has stood still for 3 s."""
        await self.look(5)
        for index in range(8):
            self.run_task(f"{JOB}.0.{index // 4}.{index % 4 // 2}")
            until_s = self.clock.monotonic().total_seconds() + 3.5
            self.assertEqual(await self.look(until_s), [])

    async def test_runs_shorter_than_a_look_count(self):
        """Each task begins and ends between two looks."""
        step = dataclasses.replace(STEP, width=100)
        self.fleet.steps_by_job[JOB] = (step,)
        for index in range(40):
            task = f"{JOB}.0.0.{index}"
            self.run_task(task)
            self.fleet.workers_by_id["w0"].end(task, fleet.End.DONE)
            until_s = self.clock.monotonic().total_seconds() + 0.5
            self.assertEqual(await self.look(until_s), [])
        self.assertEqual(await self.look(30), [JOB])

    async def test_job_found_again_after_it_ran(self):
        """It runs in between and stands still anew, which its runs show."""
        self.assertEqual(await self.look(8), [JOB])
        self.run_task(f"{JOB}.0.0.0")
        self.assertEqual(await self.look(11), [])
        self.assertEqual(await self.look(20), [JOB])
        self.assertIn("1 of 2 done", self.watch.describe(JOB))

    async def test_lost_completion_is_to_run_again(self):
        """Its worker died before the scheduler had acknowledged it."""
        self.run_task(f"{JOB}.0.0.0")
        self.run_task(f"{JOB}.0.0.1", "w1")
        await self.look(2)
        self.assertIn("step 1 of 2", await self.describe_still(4))
        self.fleet.die("w1")
        self.assertIn("step 0 of 2: 1 of 2 done", await self.describe_still(8))

    async def describe_still(self, until_s: float) -> str:
        """Look until a time and return the state of the job."""
        await self.look(until_s)
        return self.watch.describe(JOB)

    async def test_disturbed_deployment_is_not_judged(self):
        """The 4 s before the 3 s have to be calm as well."""
        self.assertEqual(await self.look(20, is_disturbed=True), [])
        self.assertEqual(await self.look(26.5), [])
        self.assertEqual(await self.look(27.5), [JOB])

    async def test_time_without_a_look_is_not_judged(self):
        """The stand-ins stood still as well."""
        await self.look(6)
        await self.clock.advance(watch.MAX_LOOK_GAP + seconds(1))
        self.assertEqual(await self.look(14), [])
        self.assertEqual(await self.look(15.5), [JOB])

    async def test_busy_deployment_is_not_judged(self):
        """Half of the accelerators are in use."""
        self.fill(8, WORKERS // 2)
        self.assertEqual(await self.look(20), [])

    async def test_lack_of_room_is_not_judged(self):
        """There is room for the gang, but not twice."""
        gang = dataclasses.replace(STEP, width=10, is_gang=True)
        self.fleet.steps_by_job[JOB] = (gang,)
        self.fill(7, 2)  # 18 of 32 are free
        self.assertEqual(await self.look(20), [])
        gang = dataclasses.replace(gang, width=9)
        self.fleet.steps_by_job[JOB] = (gang,)
        self.assertEqual(await self.look(30), [JOB])

    async def test_step_that_waits_for_another_is_not_judged(self):
        """There is room for the second step, but not for the first."""
        first = dataclasses.replace(STEP, demand=models.Demand(0, 0, 9))
        self.fleet.steps_by_job[JOB] = (first, LATER_STEP)
        self.assertEqual(await self.look(20), [])

    async def test_workers_that_may_not_run_a_step_are_no_room(self):
        """By their label, and by the number of its tasks on one worker."""
        labelled = dataclasses.replace(STEP, required_label="other")
        self.fleet.steps_by_job[JOB] = (labelled,)
        self.assertEqual(await self.look(20), [])
        self.fill(8, 1)
        apart = dataclasses.replace(STEP, is_gang=True, spread_limit=1)
        self.fleet.steps_by_job[JOB] = (apart,)
        self.assertEqual(await self.look(30), [])
        apart = dataclasses.replace(apart, spread_limit=2)
        self.fleet.steps_by_job[JOB] = (apart,)
        self.assertEqual(await self.look(40), [JOB])

    async def test_occurrences_stand_still_once_they_are_due(self):
        """The first one is done by then."""
        self.job.due_at = seconds(10)
        self.job.repeats = 2
        self.fleet.steps_by_job[JOB] = (STEP,)
        self.assertEqual(await self.look(12.5), [])
        for index in range(2):
            self.run_task(f"{JOB}.0.0.{index}")
        self.assertEqual(await self.look(16), [])
        self.assertEqual(await self.look(20), [JOB])
        self.assertIn("step 0 of 1: 0 of 2", self.watch.describe(JOB))

    async def test_task_that_lasts_is_judged_by_itself(self):
        """Another one of its job runs, and half of the room is in use."""
        self.fill(8, WORKERS // 2)
        self.job.is_lasting = True
        lasting = dataclasses.replace(STEP, is_lasting=True)
        self.fleet.steps_by_job[JOB] = (lasting,)
        self.fleet.lasting_job_ids.add(JOB)
        for index in range(2):
            self.run_task(f"{JOB}.0.0.{index}", "w3")
        self.assertEqual(await self.look(10), [])
        self.fleet.workers_by_id["w3"].end(f"{JOB}.0.0.1", fleet.End.FAILED)
        self.assertEqual(await self.look(18.5), [])
        self.assertEqual(await self.look(20), [f"{JOB}.0.0.1"])
        self.assertIn("failed on w3", self.watch.describe(f"{JOB}.0.0.1"))
        self.run_task(f"{JOB}.0.0.1", "w2")
        self.assertEqual(await self.look(25), [])

    async def test_jobs_that_have_not_begun_are_waiting(self):
        """From their acceptance until a task of them is at work."""
        self.assertEqual(self.watch.waiting_since(1.0, "/q0/"), set())
        self.assertEqual(self.watch.waiting_since(1.1, "/q0/"), {JOB})
        self.assertEqual(self.watch.waiting_since(1.1, "/q2/"), set())
        self.run_task(f"{JOB}.0.0.0")
        await self.look(2)
        self.assertEqual(self.watch.waiting_since(1.1, "/q0/"), set())

    async def test_ended_job_is_not_found(self):
        """Nor one that its caller cancels, nor one that was refused."""
        self.job.states.append("completed")
        self.assertEqual(await self.look(20), [])
        self.job.states.pop()
        self.job.cancel_sent = True
        self.assertEqual(await self.look(30), [])
        self.job.cancel_sent, self.job.accepted_at = False, None
        self.assertEqual(await self.look(40), [])

    async def test_completed_gang_is_not_found(self):
        """The end of one member counts for all."""
        gang = dataclasses.replace(STEP, is_gang=True)
        self.fleet.steps_by_job[JOB] = (gang,)
        self.fleet.intervals.append(
            standin_fleet.Interval(
                f"{JOB}.0.0.1", 1, "w0", seconds(0), seconds(0), fleet.End.DONE
            )
        )
        self.assertEqual(await self.look(20), [])
