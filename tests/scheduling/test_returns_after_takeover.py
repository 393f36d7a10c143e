"""A worker returns to a holder that has not given it up itself."""

from cardamomcroft.ports import fleet
from tests.scheduling import harness

ATTEMPTS = 2
GIVE_UP_S = 7.0
LONG_POLL_S = 5.7  # from a takeover until a poll waits for 5.6 s
NO_LEASE_S = 8.5  # until no lease of before is awaited


class ReturnAfterTakeoverTest(harness.SchedulingTestCase):
    """A task ends on a worker that is cut off beyond its lease."""

    duration = harness.seconds(3)
    fails_at_first = False

    async def give_up(self) -> str:
        """Return a job that has ended unheard; its holder is gone then."""
        self.add_workers(1)
        self.start_node("a")
        await self.wait_until(self.holder)
        queue = harness.make_queue(attempts=ATTEMPTS)
        job_id = self.submit(harness.make_step(), queue=queue)
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(1)
        self.worker = self.fleet.workers_by_id["w1"]
        self.worker.fails_everything = self.fails_at_first
        self.worker.is_cut = True
        await self.pass_time(GIVE_UP_S)
        self.assertEqual(len(self.worker.finished), 1)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        return job_id

    def ends(self, job_id: str) -> list[fleet.End]:
        """Return how the runs of a job's only task have ended."""
        return [
            interval.end
            for interval in self.fleet.intervals
            if interval.task.startswith(job_id)
        ]

    async def check_return(self, job_id: str) -> None:
        """Check that the end counts once the worker is back."""
        self.worker.is_cut = False
        await self.wait_until(lambda: self.state(job_id) == "completed", 12)
        self.assertEqual(self.ends(job_id), [fleet.End.DONE])

    async def test_end_counts_when_no_lease_is_awaited_any_more(self):
        """The successor's next start would be the task itself."""
        job_id = await self.give_up()
        await self.pass_time(NO_LEASE_S)
        await self.check_return(job_id)

    async def test_end_counts_while_a_poll_of_before_is_awaited(self):
        """The worker has answered the start of another task meanwhile."""
        job_id = await self.give_up()
        await self.pass_time(LONG_POLL_S)
        self.submit(harness.make_step())
        await self.check_return(job_id)

    async def test_new_run_is_renewed_while_a_poll_of_before_is_awaited(self):
        """The worker answers, so its lease does not expire."""
        await self.give_up()
        await self.pass_time(LONG_POLL_S)
        other_id = self.submit(harness.make_step())
        self.worker.is_cut = False
        await self.wait_until(lambda: self.ends(other_id), 12)
        self.assertEqual(self.ends(other_id), [fleet.End.DONE])

    async def test_failure_counts_while_a_poll_of_before_is_awaited(self):
        """The task does not start more often than its queue allows."""
        self.fails_at_first = True
        job_id = await self.give_up()
        self.add_workers(1)
        self.fleet.workers_by_id["w2"].fails_everything = True
        await self.pass_time(LONG_POLL_S)
        self.worker.is_cut = False
        await self.wait_until(lambda: self.state(job_id) == "failed", 20)
        self.assertEqual(self.ends(job_id), [fleet.End.FAILED] * ATTEMPTS)
