"""Advice on where a step may run."""

import collections
import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import advising
from cardamomcroft.scheduling import models
from tests.scheduling import harness

TERMS = models.AdviceTerms(
    harness.seconds(0.05), harness.seconds(0.01), harness.seconds(20)
)
QUEUE = dataclasses.replace(harness.make_queue(), advice=TERMS)
WORKERS = 36


class AdviceTest(harness.SchedulingTestCase):
    """More workers than one call names; some may run the step."""

    duration = harness.seconds(4)

    async def asyncSetUp(self):
        """Start a node; workers may run nothing unless they are allowed."""
        await super().asyncSetUp()
        self.add_workers(WORKERS)
        self.allowed: set[str] = set()
        self.asked: list[tuple[str, ...]] = []
        patch = mock.patch.object(self.fleet, "advise", self.advise)
        patch.start()
        self.addCleanup(patch.stop)
        self.start_node("a")
        await self.wait_until(self.holder)
        await self.pass_time(1)

    async def advise(self, step: str, worker_ids: tuple[str, ...], timeout):
        """Answer as the advice service does."""
        self.asked.append(worker_ids)
        await self.clock.sleep(TERMS.decision)
        tickets = tuple(
            fleet.Ticket(worker_id, "ticket")
            for worker_id in worker_ids
            if worker_id in self.allowed
        )
        return fleet.Advice(tickets, TERMS.valid)

    async def occupy(self, count: int) -> set[str]:
        """Put work on some workers; return their ids."""
        self.submit(harness.make_step(width=count, accelerators=8))
        await self.wait_until(lambda: len(self.fleet.running()) == count)
        return {worker_id for _, worker_id in self.fleet.running()}

    def running_of(self, job_id: str) -> set[str]:
        """Return the workers with tasks of a job at work."""
        return {w for t, w in self.fleet.running() if t.startswith(job_id)}

    async def test_preemption_and_holds_follow_advice(self):
        """A task that waits for an allowed worker begins on no other."""
        self.allowed = {"w1"}
        job_id = self.submit(
            harness.make_step(accelerators=8, width=3), queue=QUEUE
        )
        await self.wait_until(lambda: self.state(job_id) == "completed", 30)
        used = {interval.worker_id for interval in self.fleet.intervals}
        self.assertEqual(used, self.allowed)

    async def test_each_worker_has_its_turn(self):
        """Only the busiest workers may run the step."""
        self.allowed = await self.occupy(4)
        job_id = self.submit(harness.make_step(accelerators=8), queue=QUEUE)
        await self.wait_until(lambda: self.running_of(job_id), 6)
        self.assertLessEqual(self.running_of(job_id), self.allowed)
        counts = collections.Counter(
            worker_id for ids in self.asked for worker_id in ids
        )
        self.assertEqual(len(counts), WORKERS)
        self.assertEqual(set(counts.values()), {1})
        self.assertLessEqual(
            max(map(len, self.asked)), advising.MAX_ADVISED_WORKERS
        )

    async def test_other_workers_are_asked_beside_busy_ones(self):
        """The first answer names a worker that is busy by now."""
        self.allowed = {"w1", f"w{WORKERS}"}
        filler = self.submit(
            harness.make_step(accelerators=8, width=1), queue=QUEUE
        )
        await self.wait_until(lambda: self.running_of(filler))
        job_id = self.submit(harness.make_step(accelerators=8), queue=QUEUE)
        took = await self.wait_until(lambda: self.running_of(job_id))
        self.assertLess(took, 1)

    async def test_step_that_may_run_nowhere_is_not_asked_for_again(self):
        """Until a worker starts anew, which may be of another kind."""
        job_id = self.submit(harness.make_step(), queue=QUEUE)
        await self.pass_time(3)
        self.assertEqual(sum(map(len, self.asked)), WORKERS)
        self.allowed = {"w1"}
        self.listings["w1"] = self.fleet.restart("w1")
        self.store.put(harness.store.Stream.SERVERS, "w1", b"again")
        await self.wait_until(lambda: self.running_of(job_id), 4)

    async def test_ticket_that_has_expired_is_renewed(self):
        """A step's later tasks need one as well."""
        self.allowed = {"w1"}
        job_id = self.submit(
            harness.make_step(accelerators=8, width=7), queue=QUEUE
        )
        await self.wait_until(lambda: self.state(job_id) == "completed", 40)
        self.check_run_once(job_id)
