"""The soak's checks find each violation, and nothing else."""

import asyncio
import dataclasses
import datetime
import pathlib
import tempfile
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from soak import checks
from soak import clients

JOB = "0" * 16
STEP = models.Step(1, models.Demand(500, 100, 1), datetime.timedelta(1))
LATER_STEP = dataclasses.replace(STEP, after=(0,))


def seconds(number: float) -> datetime.timedelta:
    """Return a duration."""
    return datetime.timedelta(seconds=number)


def interval(
    run: int, began: float, ended: float, end=fleet.End.DONE, worker="w1"
) -> standin_fleet.Interval:
    """Return a run of the job's only task."""
    return standin_fleet.Interval(
        f"{JOB}.0.0.0", run, worker, seconds(began), seconds(ended), end
    )


class CheckTest(unittest.TestCase):
    """Checks of one job with one task."""

    def setUp(self):
        """Create an accepted job that a query showed as completed."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, seconds(1))
        self.fake.steps_by_job[JOB] = (STEP, LATER_STEP)
        self.job = clients.Submission(JOB, 1, [0, 200], ["completed"], 1.0)

    def violated(self) -> list[str]:
        """Return the guarantees that were violated."""
        found = checks.check([self.job], self.fake)
        return [guarantee for guarantee, lines in found.items() if lines]

    def test_completed_run_violates_nothing(self):
        """The first run failed and the second completed."""
        self.fake.intervals = [
            interval(1, 1, 2, fleet.End.FAILED),
            interval(2, 2, 3),
        ]
        self.assertEqual(self.violated(), [])

    def test_job_without_an_end_is_lost(self):
        """Unless its caller cancelled it."""
        self.fake.intervals = [interval(1, 1, 2)]
        self.job.states = ["running"]
        self.assertEqual(self.violated(), ["accepted_lost"])
        self.job.cancel_sent = True
        self.assertEqual(self.violated(), [])

    def test_start_long_after_a_cancelling_is_found(self):
        """The cancelling of a job that is stored later counts as well."""
        self.job.states = []
        self.job.accepted_at = None
        self.job.cancelled_at = seconds(1)
        self.fake.intervals = [interval(1, 7, 9)]
        self.assertEqual(self.violated(), [])
        self.fake.intervals = [interval(1, 9, 10)]
        self.assertEqual(self.violated(), ["ran_after_cancelling"])

    def test_task_at_work_long_after_a_cancelling_is_found(self):
        """Its worker has not been told to stop it."""
        self.job.cancelled_at = seconds(1) - checks.CANCEL_BOUND
        self.job.states = []
        self.job.cancel_sent = True
        self.fake.add("w1")
        worker = self.fake.workers_by_id["w1"]
        worker.lease_deadline_ms = 10**9
        worker.runs_by_task[f"{JOB}.0.0.0"] = standin_fleet.FakeRun(
            1, seconds(0), STEP.demand, 0
        )
        self.assertEqual(self.violated(), [])
        self.job.cancelled_at -= seconds(2)
        self.assertEqual(self.violated(), ["ran_after_cancelling"])

    def test_occurrence_before_its_time_is_found(self):
        """The second occurrence is due 0.7 s after the first."""
        self.job.repeats = 2
        self.job.due_at = seconds(1)
        second = dataclasses.replace(interval(1, 1.5, 2), task=f"{JOB}.1.0.0")
        self.fake.intervals = [interval(1, 0.8, 2), second]
        self.assertEqual(self.violated(), [])
        self.fake.intervals = [interval(1, 0.7, 2), second]
        self.assertEqual(self.violated(), ["out_of_turn"])
        second = dataclasses.replace(second, began_at=seconds(1.4))
        self.fake.intervals = [interval(1, 1, 2), second]
        self.assertEqual(self.violated(), ["out_of_turn"])

    def test_step_before_the_end_of_an_earlier_one_is_found(self):
        """A failed run of the earlier step's task does not count."""
        later = dataclasses.replace(interval(1, 2, 3), task=f"{JOB}.0.1.0")
        self.fake.intervals = [interval(1, 1, 2), later]
        self.assertEqual(self.violated(), [])
        self.fake.intervals = [
            interval(1, 1, 2, fleet.End.FAILED),
            later,
            interval(2, 3, 4),
        ]
        self.assertEqual(self.violated(), ["out_of_turn"])

    def test_completion_read_after_its_lease_may_be_repeated(self):
        """Only that one; a third run is one too many."""
        self.fake.intervals = [interval(1, 1, 2), interval(2, 9, 10)]
        self.assertEqual(self.violated(), ["run_twice"])
        self.fake.unread_completions = {(f"{JOB}.0.0.0", 1)}
        self.assertEqual(self.violated(), [])
        self.fake.intervals.append(interval(3, 11, 12))
        self.assertEqual(self.violated(), ["run_twice"])

    def test_gone_job_is_lost(self):
        """A query of an accepted job was answered 410."""
        self.fake.intervals = [interval(1, 1, 2)]
        self.job.gone_answers = 1
        self.assertEqual(self.violated(), ["accepted_lost"])

    def test_refused_job_must_not_run(self):
        """All submissions were answered "not run"."""
        self.fake.intervals = [interval(1, 1, 2)]
        self.job.accepted_at, self.job.states = None, []
        self.job.statuses = [503, 429]
        self.assertEqual(self.violated(), ["false_not_run"])
        self.job.statuses = [503, 504]
        self.assertEqual(self.violated(), [])

    def test_second_completion_is_found(self):
        """It is allowed if the first one was lost with its worker."""
        self.fake.intervals = [interval(1, 1, 2), interval(2, 3, 4)]
        self.assertEqual(self.violated(), ["run_twice"])
        self.fake.lost_completions = [(f"{JOB}.0.0.0", 3)]
        self.assertEqual(self.violated(), ["run_twice"])
        self.fake.lost_completions = [(f"{JOB}.0.0.0", 1)]
        self.assertEqual(self.violated(), [])

    def test_overlap_is_found(self):
        """Two runs of one task overlap in time."""
        self.fake.intervals = [
            interval(1, 1, 3, fleet.End.LAPSED),
            interval(2, 2, 4, worker="w2"),
        ]
        self.assertEqual(self.violated(), ["overlapping"])

    def test_early_completion_is_found(self):
        """The job was shown as completed before its task was."""
        self.assertEqual(self.violated(), ["completed_early"])

    def test_reverted_state_is_found(self):
        """A final state must not change."""
        self.fake.intervals = [interval(1, 1, 2)]
        self.job.states = ["completed", "running", "completed"]
        self.assertEqual(self.violated(), ["state_reverted"])

    def test_unknown_job_is_found(self):
        """A job ran that nobody had submitted."""
        self.fake.intervals = [interval(1, 1, 2)]
        other = clients.Submission("1" * 16, 1)
        found = checks.check([other], self.fake)
        self.assertEqual(found["unknown_job"], [JOB])


class UnexpectedErrorTest(unittest.TestCase):
    """Read the log of an instance."""

    def errors(self, *lines: str) -> list[str]:
        """Return the errors found in a log of these lines."""
        with tempfile.TemporaryDirectory() as folder:
            log = pathlib.Path(folder) / "entry-0.log"
            log.write_text("\n".join(lines), encoding="utf-8")
            return checks.unexpected_errors([log])

    def test_errors_are_counted(self):
        """Each is shown once, whatever else the log has."""
        for event in checks.ERROR_EVENTS:
            line = f'{{"event":"{event}","error":"E()"}}'
            self.assertEqual(
                self.errors(line, '{"event":"started"}', line, "Traceback"),
                [f'{event} "E()"}}: 2 times'],
            )

    def test_line_cut_short_is_counted(self):
        """The process was killed while it wrote the error."""
        line = '{"event":"round_crashed","error":"E'
        self.assertEqual(self.errors(line), ['round_crashed "E: 1 times'])

    def test_log_without_errors_is_clean(self):
        """Other events may mention one."""
        line = '{"event":"note","text":"round_crashed","error":"E()"}'
        self.assertEqual(self.errors(line, line[:20]), [])


class ListedEndTest(unittest.IsolatedAsyncioTestCase):
    """A worker is back with an end of the task, which starts again."""

    async def asyncSetUp(self):
        """Let a task end on a worker that is cut off, and its lease expire."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, seconds(1))
        self.fake.listed_ends.claim_of = lambda token: f"entry-{token} x 7"
        self.fake.steps_by_job[JOB] = (STEP,)
        for worker_id in ("w1", "w2"):
            self.fake.add(worker_id)
        await self.start("w1", 1)
        self.away = self.fake.workers_by_id["w1"]
        self.away.is_cut = True
        await self.pass_time(1.1)
        await self.pass_time(7)
        (end,) = self.away.finished
        self.assertIs(end.end, fleet.End.DONE)

    async def pass_time(self, number: float) -> None:
        """Advance the clock and the workers."""
        await self.clock.advance(seconds(number))
        self.fake.advance()

    async def call(self, coroutine):
        """Return the result of a call, which takes a round trip."""
        call = asyncio.ensure_future(coroutine)
        await self.pass_time(0.01)
        return await call

    async def start(self, worker_id: str, run: int, token: int = 0) -> None:
        """Start the task."""
        address = fleet.Address(worker_id, "")
        deadline_ms = round(self.clock.monotonic().total_seconds() * 1000)
        order = fleet.StartOrder(
            f"{JOB}.0.0.0", run, "", deadline_ms + 6000, token, ""
        )
        result = await self.call(self.fake.start(address, order, seconds(1)))
        self.assertIs(result.status, fleet.OrderStatus.DONE)

    async def poll(self, token: int = 0) -> None:
        """Let the holder of a token read the worker's inventory."""
        order = fleet.LeaseRenewal(token, 0, None, seconds(0))
        address = fleet.Address("w1", "")
        await self.call(self.fake.renew_lease(address, order, seconds(1)))

    def found(self, *thaws) -> int:
        """Return how many starts violate the guarantee."""
        return len(checks.restarted_beside_listed_end(self.fake, thaws))

    async def test_start_while_the_worker_is_away_is_allowed(self):
        """Nobody waits for an end that may never be heard."""
        await self.start("w2", 2)
        self.assertEqual(self.found(), 0)

    async def test_start_is_allowed_for_a_second(self):
        """It is found on any worker after that, without any answer."""
        self.away.is_cut = False
        await self.pass_time(0.95)
        await self.start("w2", 2)
        self.assertEqual(self.found(), 0)
        await self.pass_time(1.1)
        await self.start("w1", 3)
        self.assertEqual(self.found(), 1)

    async def test_start_after_an_answer_is_found(self):
        """One on its way as the answer came is not."""
        self.away.is_cut = False
        await self.poll()
        await self.start("w2", 2)
        self.assertEqual(self.found(), 0)
        await self.pass_time(0.1)
        await self.start("w1", 3)
        self.assertEqual(self.found(), 1)

    async def test_answer_to_a_former_holder_is_none_to_the_next_one(self):
        """Which has its own second."""
        self.away.is_cut = False
        await self.poll(token=1)
        await self.pass_time(5)
        await self.start("w2", 2, token=2)
        self.assertEqual(self.found(), 0)
        await self.pass_time(1.1)
        await self.start("w1", 3, token=2)
        self.assertEqual(self.found(), 1)

    async def test_answer_before_the_cut_does_not_count(self):
        """The end was not listed then."""
        await self.start("w2", 2)
        self.away.is_cut = False
        await self.pass_time(0.2)
        await self.start("w1", 3)
        self.assertEqual(self.found(), 0)

    async def test_frozen_holder_reads_nothing(self):
        """It has its second from the end of the freeze; others do not."""
        self.away.is_cut = False
        await self.poll(token=1)
        await self.pass_time(5)
        thawed_at = self.clock.monotonic()
        await self.start("w2", 2, token=1)
        self.assertEqual(self.found(("entry-1", thawed_at)), 0)
        self.assertEqual(self.found(("entry-2", thawed_at)), 1)
        self.assertEqual(self.found(("entry-1", thawed_at - seconds(1))), 1)

    async def test_starts_beside_ends_of_one_worker_are_counted_together(self):
        """One line names the first; another holder's are another line."""
        self.away.is_cut = False
        await self.poll(token=1)
        await self.poll(token=2)
        await self.pass_time(1.1)
        for run, token in ((2, 1), (3, 1), (4, 2)):
            await self.start("w2", run, token)
        lines = checks.restarted_beside_listed_end(self.fake)
        self.assertEqual(len(lines), 2)
        self.assertIn("2 starts, first", lines[0])
        self.assertIn("1 starts, first", lines[1])

    async def test_start_after_an_acknowledged_end_is_found(self):
        """Its worker lists it no more."""
        self.away.is_cut = False
        order = fleet.LeaseRenewal(0, 1, None, seconds(0))
        address = fleet.Address("w1", "")
        await self.call(self.fake.renew_lease(address, order, seconds(1)))
        self.assertEqual(self.away.finished, [])
        await self.start("w2", 2)
        self.assertEqual(self.found(), 1)
