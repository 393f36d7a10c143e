"""Starts without an answer that reach a later incarnation of their worker."""

import dataclasses
import random

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import late_starts
from cardamomcroft.scheduling import worker_polling
from tests.scheduling import harness
from tests.scheduling import restarting_fleet

BOUND_S = late_starts.LATE_START_BOUND.total_seconds()


class LateStartsFleet(restarting_fleet.RestartingFleet):
    """Workers that leave starts unanswered and carry them out late."""

    def __init__(self, clock, duration) -> None:
        """Leave no start unanswered."""
        super().__init__(clock, duration, random.Random(0))
        self.starts_to_lose = 0
        self.lost: list[tuple[str, fleet.StartOrder]] = []
        self.polls: list[str] = []

    async def start(self, address, order, timeout) -> fleet.OrderResult:
        """Start a task, or keep the order."""
        if self.starts_to_lose:
            self.starts_to_lose -= 1
            self.lost.append((address.worker_id, order))
            return await self._time_out(timeout)
        return await super().start(address, order, timeout)

    async def renew_lease(self, address, order, timeout):
        """Note the poll; a restart resets the connection of one that waits."""
        self.polls.append(address.worker_id)
        return await super().renew_lease(address, order, timeout)

    def carry_out_lost(self) -> None:
        """Carry out the starts that got no answer, wherever they arrive."""
        now = self.clock.monotonic()
        for worker_id, order in self.lost:
            self._carry_out(
                restarting_fleet.LateOrder(
                    now, worker_id, order.born_ms, order
                )
            )

    def restart(self, worker_id: str) -> fleet.Listing:
        """Replace a worker that nobody lists."""
        former = self._end_incarnation(worker_id)
        former.is_dead = True
        born_ms = former.listing.born_ms + 1
        self.add(worker_id, former.listing.accelerators)
        worker = self.workers_by_id[worker_id]
        worker.listing = dataclasses.replace(worker.listing, born_ms=born_ms)
        return worker.listing


class LateStartsTest(harness.SchedulingTestCase):
    """The workers' entries do not show their restarts."""

    duration = harness.seconds(6)

    async def asyncSetUp(self):
        """Start two nodes, of which one schedules."""
        await super().asyncSetUp()
        self.fleet = LateStartsFleet(self.clock, self.duration)
        self.follow_claims()
        self.add_workers(3)
        self.start_node("a")
        await self.wait_until(self.holder)
        await self.pass_time(1)

    def workers_of(self, job_id: str) -> set[str]:
        """Return the workers with tasks of a job at work."""
        return {w for t, w in self.fleet.running() if t.startswith(job_id)}

    async def settle_lost_start(self) -> tuple[str, str]:
        """Lose the starts of a run; return its job and worker.

        The worker has confirmed a stop, and the task runs elsewhere.
        """
        self.fleet.starts_to_lose = 2
        job_id = self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: len(self.fleet.lost) == 2, 2)
        worker_id, _ = self.fleet.lost[-1]
        self.fleet.workers_by_id[worker_id].refuse_starts = 1
        await self.wait_until(lambda: self.workers_of(job_id), 4)
        self.assertNotIn(worker_id, self.workers_of(job_id))
        return job_id, worker_id

    async def check_late_starts_are_refused(self) -> None:
        """Carry the starts out in another incarnation; nothing begins."""
        self.fleet.carry_out_lost()
        self.assertEqual(self.fleet.injected["crossing_carried_out"], 0)
        self.assertGreater(self.fleet.injected["crossing_fenced"], 0)
        self.check_single_runs()

    async def test_restart_after_the_stop_was_settled(self):
        """Guard against the task's second run beside the late first one."""
        job_id, worker_id = await self.settle_lost_start()
        self.fleet.restart(worker_id)
        await self.pass_time(2)
        await self.check_late_starts_are_refused()
        await self.wait_until(lambda: self.state(job_id) == "completed", 10)
        self.check_run_once(job_id)

    async def test_start_that_is_eleven_seconds_late(self):
        """The worker is asked for as long as the start may act."""
        _, worker_id = await self.settle_lost_start()
        await self.pass_time(8)
        self.fleet.restart(worker_id)
        await self.pass_time(2)
        await self.check_late_starts_are_refused()

    async def test_two_restarts_in_a_row(self):
        """Each incarnation gets a token of its own."""
        _, worker_id = await self.settle_lost_start()
        for _ in range(2):
            self.fleet.restart(worker_id)
            await self.pass_time(2)
            await self.check_late_starts_are_refused()

    async def test_two_restarts_while_the_store_is_down(self):
        """The token is raised by one, as no newer record allows more."""
        _, worker_id = await self.settle_lost_start()
        self.store.faults.is_down = True
        for _ in range(2):
            self.fleet.restart(worker_id)
            await self.pass_time(2)
            await self.check_late_starts_are_refused()
        self.store.faults.is_down = False
        await self.pass_time(1)

    async def test_first_start_of_a_run_that_is_done(self):
        """The second start was answered, and the run is over."""
        self.fleet.starts_to_lose = 1
        job_id = self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 10)
        worker_id, _ = self.fleet.lost[0]
        self.fleet.restart(worker_id)
        await self.pass_time(2)
        await self.check_late_starts_are_refused()
        self.check_run_once(job_id)

    async def test_member_of_a_gang(self):
        """The late start of a member begins no run of its own."""
        step = harness.make_step(width=2, accelerators=8, is_gang=True)
        self.fleet.starts_to_lose = 2
        job_id = self.submit(step)
        await self.wait_until(lambda: len(self.workers_of(job_id)) == 2, 6)
        self.fleet.restart(self.fleet.lost[0][0])
        await self.pass_time(2)
        await self.check_late_starts_are_refused()

    async def test_holder_is_killed_before_the_restart(self):
        """Its successor knows of the start, whose run no record names."""
        job_id, worker_id = await self.settle_lost_start()
        await self.pass_time(1)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.wait_until(lambda: worker_id in self.fleet.polls, 2)
        await self.pass_time(3)
        self.fleet.restart(worker_id)
        await self.pass_time(3)
        await self.check_late_starts_are_refused()
        await self.wait_until(lambda: self.state(job_id) == "completed", 20)

    async def test_holder_is_killed_before_the_start_is_settled(self):
        """Its successor knows of the run by its record alone."""
        self.fleet.starts_to_lose = 1
        self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: self.fleet.lost, 4)
        self.kill("a")
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.wait_until(self.fleet.running, 12)
        self.fleet.restart(self.fleet.lost[0][0])
        await self.pass_time(3)
        await self.check_late_starts_are_refused()

    async def test_idle_worker_is_left_alone_again(self):
        """The polls end with the time in which the start may act."""
        _, worker_id = await self.settle_lost_start()
        self.fleet.polls.clear()
        await self.pass_time(BOUND_S)
        wait_s = worker_polling.WATCH_POLL_WAIT.total_seconds()
        asked = self.fleet.polls.count(worker_id)
        self.assertLessEqual(asked, BOUND_S / wait_s + 4)
        await self.pass_time(4)
        self.fleet.polls.clear()
        await self.pass_time(6)
        self.assertNotIn(worker_id, self.fleet.polls)

    async def test_answered_starts_cost_no_polls(self):
        """A worker without runs and lost starts is not asked."""
        job_id = self.submit(harness.make_step(accelerators=8))
        await self.wait_until(lambda: self.state(job_id) == "completed", 10)
        await self.pass_time(1)
        self.fleet.polls.clear()
        await self.pass_time(6)
        self.assertEqual(self.fleet.polls, [])
