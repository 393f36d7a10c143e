"""Start orders that get no answer, or are carried out late."""

from cardamomcroft.ports import fleet
from tests.scheduling import harness


class UnansweredStartTest(harness.SchedulingTestCase):
    """One node orders starts on workers that leave some unanswered."""

    async def asyncSetUp(self):
        """Start a node and two workers."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.start_node("a")
        await self.wait_until(self.holder)

    def ends(self) -> set[fleet.End]:
        """Return how the runs have ended."""
        return {interval.end for interval in self.fleet.intervals}

    async def check_gang_runs_at_once(self, fault: str) -> None:
        """Check that a gang begins soon and is not stopped."""
        step = harness.make_step(width=2, accelerators=8, is_gang=True)
        job_id = self.submit(step)
        await self.wait_until(lambda: len(self.fleet.running()) == 2, 0.8)
        await self.wait_until(lambda: self.state(job_id) == "completed", 6)
        await self.pass_time(4)  # a late order comes
        self.check_run_once(job_id)
        self.assertEqual(self.fleet.injected[fault], 1)
        self.assertEqual(self.ends(), {fleet.End.DONE})
        self.assertEqual({i.run for i in self.fleet.intervals}, {1})

    async def test_start_that_is_carried_out_late(self):
        """The second order is carried out at once, the first has no effect."""
        self.fleet.workers_by_id["w1"].delay_starts = 1
        await self.check_gang_runs_at_once("start_late")

    async def test_start_whose_answer_is_lost(self):
        """The worker confirms the run that it has."""
        self.fleet.workers_by_id["w1"].lose_start_answers = 1
        await self.check_gang_runs_at_once("start_answer_lost")

    async def test_refusal_after_an_unanswered_order(self):
        """The first order may still be carried out, so it is stopped there."""
        worker = self.fleet.workers_by_id["w1"]
        worker.delay_starts = 1
        job_id = self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: self.fleet.injected["start_late"], 1)
        worker.refuse_starts = 1
        await self.wait_until(lambda: self.fleet.injected["start_unhealthy"])
        await self.pass_time(8)
        self.assertEqual(self.state(job_id), "completed")
        started = [interval.run for interval in self.fleet.intervals]
        self.assertEqual(started, [2], "the late order was carried out")
        self.assertEqual(self.fleet.running(), [])

    async def test_no_start_after_the_claim_may_have_expired(self):
        """Orders that wait behind a silent one need a confirmed claim.

        Another instance may hold the role by the time that they are sent.
        """
        worker = self.fleet.workers_by_id["w1"]
        worker.is_cut = True
        self.fleet.workers_by_id["w2"].is_cut = True
        self.submit(harness.make_step(width=8))
        await self.wait_until(lambda: self.fleet.injected["unreachable"], 1)
        self.store.faults.refused_clients.add("a")
        await self.pass_time(0.6)
        worker.is_cut = False
        self.fleet.workers_by_id["w2"].is_cut = False
        await self.pass_time(0.4)
        started = len(self.fleet.running())
        await self.pass_time(1)
        self.assertGreater(self.store.injected["refused"], 0)
        self.assertLessEqual(len(self.fleet.running()), started)
        self.store.faults.refused_clients.clear()
