"""Gangs on draining workers that stay for longer than they announce."""

import dataclasses
import unittest

from cardamomcroft.placement import stays
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import runs
from tests.scheduling import harness
from tests.scheduling import test_planning

NOW = test_planning.NOW


def drain(worker: runs.Worker) -> runs.Worker:
    """Let a worker drain."""
    worker.listing = dataclasses.replace(
        worker.listing,
        state=fleet.ServerState.DRAINING,
        remaining=harness.seconds(3),
    )
    return worker


class StaysTestCase(unittest.TestCase):
    """Workers of one service, some of which drain."""

    def setUp(self):
        """Create six workers."""
        self.workers = {
            f"w{n}": test_planning.make_worker(f"w{n}") for n in range(6)
        }
        self.service = self.workers["w0"].listing.service
        self.stays = stays.Stays()

    def observe(self, at_s: float) -> None:
        """Show the workers to the recorder."""
        self.stays.observe(self.workers, NOW + harness.seconds(at_s))

    def expected_s(self, at_s: float) -> float | None:
        """Return the stay expected at a time."""
        found = self.stays.expected(self.service, NOW + harness.seconds(at_s))
        return None if found is None else found.total_seconds()


class LearningTest(StaysTestCase):
    """The announced time is only the least."""

    def test_nothing_is_expected_before_a_drain(self):
        """Without evidence the announced time has to do."""
        self.observe(0)
        self.assertIsNone(self.expected_s(1))

    def test_shortest_stay_counts(self):
        """A mean would leave runs on workers that leave sooner."""
        for worker_id in ("w0", "w1"):
            drain(self.workers[worker_id])
        self.observe(0)
        del self.workers["w0"]
        self.observe(4)
        del self.workers["w1"]
        self.observe(10)
        self.assertEqual(self.expected_s(11), 4)

    def test_workers_that_are_still_there_are_evidence(self):
        """A release would be over before its first worker has left."""
        for number in range(3):
            drain(self.workers[f"w{number}"])
            self.observe(number)
        self.assertEqual(self.expected_s(7), 5)

    def test_two_that_are_still_there_are_not(self):
        """They may be exceptions."""
        for number in range(2):
            drain(self.workers[f"w{number}"])
        self.observe(0)
        self.assertIsNone(self.expected_s(9))

    def test_stay_ends_with_the_last_answer(self):
        """Its entry expires some seconds after a worker's end."""
        drain(self.workers["w0"])
        self.observe(0)
        self.workers["w0"].unreachable_since = NOW + harness.seconds(5)
        for tenth in range(50, 95):
            self.observe(tenth / 10)
        del self.workers["w0"]
        self.observe(9.5)
        self.assertEqual(self.expected_s(10), 5)

    def test_worker_that_answers_again_has_not_left(self):
        """A short silence must not teach a short stay."""
        drain(self.workers["w0"])
        self.observe(0)
        self.workers["w0"].unreachable_since = NOW + harness.seconds(1)
        self.observe(1)
        self.workers["w0"].unreachable_since = None
        self.observe(2)
        del self.workers["w0"]
        self.observe(10)
        self.assertEqual(self.expected_s(11), 10)

    def test_worker_under_the_same_id_is_another(self):
        """A release may replace a worker under its id."""
        drain(self.workers["w0"])
        self.observe(0)
        replacement = test_planning.make_worker("w0")
        replacement.listing = dataclasses.replace(
            replacement.listing, born_ms=replacement.listing.born_ms + 1
        )
        self.workers["w0"] = replacement
        self.observe(10)
        self.assertEqual(self.expected_s(11), 10)

    def test_silent_workers_are_no_evidence(self):
        """They may have left as early as they were last heard."""
        for number in range(3):
            drain(self.workers[f"w{number}"])
        self.observe(0)
        self.workers["w2"].unreachable_since = NOW + harness.seconds(1)
        self.observe(2)
        self.assertIsNone(self.expected_s(9))

    def test_worker_that_is_ready_again_has_not_left(self):
        """A drain may be called off."""
        ready = self.workers["w0"].listing
        drain(self.workers["w0"])
        self.observe(0)
        self.workers["w0"].listing = ready
        self.observe(1)
        self.assertIsNone(self.expected_s(2))

    def test_memory_is_bounded(self):
        """Years of releases must not grow it."""
        for number in range(100):
            self.workers["w0"] = drain(test_planning.make_worker("w0"))
            self.observe(number)
            del self.workers["w0"]
            self.observe(number + 0.5)
        kept = self.stays._stays_by_service[self.service]
        self.assertEqual(len(kept), stays.MAX_STAYS)


class DecisionTest(StaysTestCase):
    """A run outlasts the notice of its worker."""

    def may_end(
        self, ran_s: float, estimate_s: float, accepted_s: float, **fields
    ) -> bool:
        """Decide at the first sight of a drain; slack allows 3 runs."""
        drain(self.workers["w0"])
        self.observe(0)
        step = dataclasses.replace(
            harness.make_step(**fields), estimate=harness.seconds(estimate_s)
        )
        job = test_planning.make_job(step, priority=1)
        job.accepted_at = NOW - harness.seconds(accepted_s)
        (state,) = job.steps_by_key.values()
        run = runs.Run(
            state.key(0),
            1,
            "w0",
            state,
            runs.Phase.AT_WORK,
            NOW - harness.seconds(ran_s),
        )
        return stays.may_end_in_time(
            run, self.stays, estimates.Durations(), NOW
        )

    def test_run_that_is_mostly_done_stays(self):
        """A move loses 6 s for certain, staying at most 4 s."""
        self.assertTrue(self.may_end(6, 10, 6))

    def test_run_that_has_just_begun_moves(self):
        """It loses little."""
        self.assertFalse(self.may_end(1, 10, 1))

    def test_run_with_checkpoints_moves(self):
        """It goes on elsewhere from where it is."""
        self.assertFalse(self.may_end(6, 10, 6, is_checkpointing=True))

    def test_run_of_a_late_job_moves(self):
        """If its worker left, the job would miss its objective."""
        self.assertFalse(self.may_end(6, 10, 20))

    def test_stays_of_others_decide(self):
        """A run at its beginning may end where others stayed for long."""
        drain(self.workers["w1"])
        self.stays.observe(self.workers, NOW - harness.seconds(20))
        del self.workers["w1"]
        self.stays.observe(self.workers, NOW - harness.seconds(1))
        self.assertTrue(self.may_end(1, 10, 1))


class DrainTest(harness.SchedulingTestCase):
    """A worker announces 1 s and stays."""

    duration = harness.seconds(6)

    async def count_starts(self, plans_ahead: bool) -> int:
        """Return the starts of a task whose worker drains after 4 s."""
        parameters = dataclasses.replace(
            harness.PARAMETERS, plans_ahead=plans_ahead
        )
        self.add_workers(2)
        self.start_node("a", parameters=parameters)
        await self.wait_until(self.holder)
        step = dataclasses.replace(
            harness.make_step(), estimate=harness.seconds(6)
        )
        job_id = self.submit(step)
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(4)
        ((_, leaving),) = self.fleet.running()
        self.listings[leaving] = dataclasses.replace(
            self.listings[leaving],
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(1),
        )
        self.store.put(store.Stream.SERVERS, leaving, b"1")
        await self.wait_until(lambda: self.state(job_id) == "completed", 12)
        return len(
            [run for run in self.fleet.intervals if run.task[:16] == job_id]
        )

    async def test_task_that_is_mostly_done_ends_there(self):
        """Moved, it would begin anew and end 4 s later."""
        self.assertEqual(await self.count_starts(plans_ahead=True), 1)

    async def test_reactive_scheduling_moves_it(self):
        """Where scheduling does not plan ahead nothing changes."""
        self.assertEqual(await self.count_starts(plans_ahead=False), 2)
