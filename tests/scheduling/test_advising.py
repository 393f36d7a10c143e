"""Calls for advice follow what can start, not what waits."""

import collections
import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from tests.scheduling import harness

TERMS = models.AdviceTerms(
    harness.seconds(0.02), harness.seconds(0.004), harness.seconds(3)
)
QUEUE = dataclasses.replace(harness.make_queue(), advice=TERMS)
URGENT_QUEUE = dataclasses.replace(harness.make_queue(0), advice=TERMS)
WORKERS = 24
MAX_WAITING = 32
CALL_S = 0.116  # on all workers


class AdviceService:
    """Handle the calls of one instance in turn, also those given up."""

    def __init__(self, test: "AdvisingTest") -> None:
        """Let every worker run every step."""
        self._test = test
        self._free_at = test.clock.monotonic()
        self.factor = 1.0
        self.is_silent = False
        self.barred: set[str] = set()
        self.waiting = 0
        self.most_waiting = 0
        self.refused = 0
        self.busy = harness.seconds(0)
        self.count_by_step: collections.Counter[str] = collections.Counter()

    async def advise(self, step, worker_ids, timeout):
        """Answer in turn, or after the time-out not at all."""
        clock = self._test.clock
        now = clock.monotonic()
        self.count_by_step[step] += 1
        if self.is_silent:
            await clock.sleep(timeout)
            return None
        if self.waiting >= MAX_WAITING:
            self.refused += 1
            return None
        took = (TERMS.decision + TERMS.period * len(worker_ids)) * self.factor
        self._free_at = max(self._free_at, now) + took
        self.busy += took
        self.waiting += 1
        self.most_waiting = max(self.most_waiting, self.waiting)
        await clock.sleep(min(self._free_at - now, timeout))
        self.waiting -= 1
        if clock.monotonic() - now >= timeout:
            return None
        tickets = tuple(
            fleet.Ticket(worker_id, "ticket")
            for worker_id in worker_ids
            if worker_id not in self.barred
        )
        return fleet.Advice(tickets, TERMS.valid)


class AdvisingTest(harness.SchedulingTestCase):
    """One instance schedules with advice that takes time."""

    duration = harness.seconds(4)

    async def asyncSetUp(self):
        """Start a node; the service may become slow or silent."""
        await super().asyncSetUp()
        self.add_workers(WORKERS)
        self.service = AdviceService(self)
        patch = mock.patch.object(self.fleet, "advise", self.service.advise)
        patch.start()
        self.addCleanup(patch.stop)
        self.start_node("a")
        await self.wait_until(self.holder)
        await self.pass_time(1)

    async def fill(self, duration_s: float) -> str:
        """Fill all workers for a while, without advice."""
        job_id = self.submit(
            harness.make_step(WORKERS, 8), queue=harness.make_queue(0)
        )
        self.fleet.durations_by_job[job_id] = harness.seconds(duration_s)
        await self.wait_until(lambda: len(self.fleet.running()) == WORKERS)
        return job_id

    def submit_many(self, count: int, accelerators: int = 1) -> list[str]:
        """Submit jobs of one step of two tasks that need advice."""
        step = harness.make_step(2, accelerators)
        return [self.submit(step, queue=QUEUE) for _ in range(count)]

    def standing(self, job_ids: list[str]) -> list[str]:
        """Return the jobs of which nothing runs or has run."""
        begun = {task.partition(".")[0] for task, _ in self.fleet.running()}
        begun.update(i.task.partition(".")[0] for i in self.fleet.intervals)
        return [job_id for job_id in job_ids if job_id not in begun]

    async def check_all_begin(self, job_ids: list[str], limit_s: float):
        """Check that all jobs begin within a time."""
        await self.wait_until(lambda: not self.standing(job_ids), limit_s)

    async def test_backlog_begins_once_there_is_room(self):
        """Guard against a service that works for what can't start."""
        await self.fill(8)
        job_ids = self.submit_many(70)
        await self.wait_until(lambda: len(self.fleet.running()) < WORKERS, 10)
        # All fit at once: one call a step, on a third of the workers.
        await self.check_all_begin(job_ids, 70 * 0.052 + 1)
        self.assertLessEqual(self.service.most_waiting, 2)
        self.assertEqual(self.service.refused, 0)

    async def test_load_without_room_does_not_follow_the_backlog(self):
        """Ten times the steps cost the service no more of its time."""
        await self.fill(60)
        shares = []
        for count in (20, 180):
            self.submit_many(count)
            await self.pass_time(1)
            before = self.service.busy
            await self.pass_time(5)
            shares.append((self.service.busy - before).total_seconds() / 5)
        self.assertLessEqual(max(shares), 0.55)
        self.assertLessEqual(shares[1], shares[0] * 1.2)

    async def test_step_with_room_goes_before_those_without(self):
        """Many larger steps wait for whole workers, one has room."""
        for _ in range(WORKERS):
            job_id = self.submit(harness.make_step(1, 5))
            self.fleet.durations_by_job[job_id] = harness.seconds(60)
        await self.wait_until(lambda: len(self.fleet.running()) == WORKERS)
        self.submit_many(200, accelerators=8)
        await self.pass_time(2)
        small = self.submit_many(1)
        await self.check_all_begin(small, 2 * CALL_S + 0.5)

    async def test_queue_without_advice_does_not_notice(self):
        """Its jobs begin at once beside hundreds that wait for advice."""
        self.service.is_silent = True
        self.submit_many(200)
        await self.pass_time(2)
        job_id = self.submit(harness.make_step(2, 1))
        await self.check_all_begin([job_id], 0.5)

    async def test_urgent_step_without_room_is_asked_for(self):
        """It preempts where it may run, beside many that wait."""
        tasks = WORKERS * 8
        job_id = self.submit(harness.make_step(tasks))
        self.fleet.durations_by_job[job_id] = harness.seconds(60)
        await self.wait_until(lambda: len(self.fleet.running()) == tasks)
        self.submit_many(200)
        await self.pass_time(1)
        urgent = self.submit(harness.make_step(), queue=URGENT_QUEUE)
        await self.check_all_begin([urgent], 2.7)

    async def test_late_answers_are_used(self):
        """A call takes three seconds, more than calls used to wait."""
        self.service.factor = 30.0
        (job_id,) = self.submit_many(1)
        await self.check_all_begin([job_id], 6)

    async def test_slow_service_is_not_overloaded(self):
        """Its calls are no more than a few, and each is answered."""
        self.service.factor = 10.0
        job_ids = self.submit_many(20)
        await self.pass_time(5)
        self.assertLessEqual(self.service.most_waiting, 6)
        # Half a second a call, one by one.
        await self.check_all_begin(job_ids, 20 * 0.52 * 1.5)
        self.assertEqual(self.service.refused, 0)

    async def test_silent_service_that_comes_back(self):
        """Calls that are lost keep the next from being sent no longer."""
        self.service.is_silent = True
        job_ids = self.submit_many(10)
        await self.pass_time(30)
        self.assertLess(self.service.count_by_step.total(), 40)
        self.service.is_silent = False
        await self.check_all_begin(job_ids, 3)

    async def test_refusals_are_those_of_the_service(self):
        """Hundreds of steps do not each ask a service that refuses."""
        self.service.waiting = MAX_WAITING
        job_ids = self.submit_many(200)
        await self.pass_time(10)
        self.assertLess(self.service.refused, 15)
        self.service.waiting = 0
        await self.check_all_begin(job_ids[:1], 3)

    async def test_first_workers_that_are_barred(self):
        """The next call names others."""
        (job_id,) = self.submit_many(1)
        await self.wait_until(lambda: not self.standing([job_id]), 2)
        first = {w for _, w in self.fleet.running()}
        self.service.barred = first | {f"w{n}" for n in range(1, 20)}
        (second,) = self.submit_many(1)
        await self.check_all_begin([second], 5 * CALL_S + 0.5)
        used = {w for t, w in self.fleet.running() if t.startswith(second)}
        self.assertTrue(used.isdisjoint(self.service.barred))

    async def test_wide_gang_begins_after_few_calls(self):
        """All members need tickets at the same time."""
        step = harness.make_step(WORKERS, 8, is_gang=True)
        job_id = self.submit(step, queue=QUEUE)
        await self.check_all_begin([job_id], 3 * CALL_S + 0.5)
        self.assertLessEqual(self.service.count_by_step.total(), 3)

    async def test_takeover_with_a_backlog(self):
        """The successor asks as its predecessor did."""
        await self.fill(20)
        job_ids = self.submit_many(70)
        await self.pass_time(2)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.wait_until(lambda: len(self.fleet.running()) < WORKERS, 30)
        await self.check_all_begin(job_ids, 70 * 0.052 + 2)

    async def test_steps_that_need_no_advice_any_more(self):
        """A cancelled job is not asked for."""
        await self.fill(10)
        job_ids = self.submit_many(30)
        await self.pass_time(1)
        for job_id in job_ids:
            self.cancel(job_id)
        await self.pass_time(1)
        counts = self.service.count_by_step.copy()
        await self.pass_time(3)
        self.assertEqual(counts, self.service.count_by_step)
