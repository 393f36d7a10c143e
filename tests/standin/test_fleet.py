"""The stand-in's workers act as the workers' protocol requires."""

import asyncio
import itertools
import random
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet as standin_fleet
from tests.scheduling import harness

JOB = "0" * 16


class GangTest(unittest.IsolatedAsyncioTestCase):
    """A gang of three members on two workers."""

    async def asyncSetUp(self):
        """Start the members."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, harness.seconds(2))
        self.fake.steps_by_job[JOB] = (
            harness.make_step(width=3, is_gang=True),
        )
        for worker_id in ("w1", "w2"):
            self.fake.add(worker_id)
        for index, worker_id in enumerate(("w1", "w1", "w2")):
            order = fleet.StartOrder(
                f"{JOB}.0.0.{index}", 1, "", 60_000, 1, "", ""
            )
            address = self.fake.workers_by_id[worker_id].listing.address
            starting = asyncio.ensure_future(
                self.fake.start(address, order, harness.seconds(1))
            )
            await self.clock.advance(standin_fleet.ROUND_TRIP * 2)
            self.assertIs((await starting).status, fleet.OrderStatus.DONE)
        self.fake.advance()

    def ends(self) -> list[fleet.End]:
        """Return how the members ended."""
        return [interval.end for interval in self.fake.intervals]

    async def test_members_complete_together(self):
        """The task's run time counts from when all members run."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.advance()
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_one_completion_counts_for_all_members(self):
        """A worker that crashes afterwards does not revoke it."""
        await self.clock.advance(harness.seconds(2.1))
        self.fake.workers_by_id["w1"].advance()
        self.fake.restart("w2")
        self.assertEqual(self.ends(), [fleet.End.DONE] * 3)

    async def test_no_member_completes_without_the_others(self):
        """When one worker crashes, the other members end as broken."""
        await self.clock.advance(harness.seconds(1))
        self.fake.restart("w2")
        await self.clock.advance(harness.seconds(2))
        self.fake.advance()
        self.assertEqual(
            self.ends(),
            [fleet.End.LAPSED] + [fleet.End.GANG_BROKEN] * 2,
        )

    async def test_expired_leases_end_each_member_once(self):
        """Both workers' leases expire; no member ends as done."""
        for name in ("w1", "w2"):
            self.fake.workers_by_id[name].lease_deadline_ms = 0
        self.fake.advance()
        self.assertEqual(len(self.ends()), 3)
        self.assertNotIn(fleet.End.DONE, self.ends())


class PlaceTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in notes starts on workers that the step leaves out."""

    async def start(
        self, step: models.Step, worker_id: str, index: int = 0
    ) -> list[str]:
        """Start a task; return the tasks started out of place so far."""
        self.fake.steps_by_job[JOB] = (step,)
        order = fleet.StartOrder(
            f"{JOB}.0.0.{index}", 1, "", 60_000, 1, "", ""
        )
        address = self.fake.workers_by_id[worker_id].listing.address
        starting = asyncio.ensure_future(
            self.fake.start(address, order, harness.seconds(1))
        )
        await self.clock.advance(standin_fleet.ROUND_TRIP * 2)
        self.assertIs((await starting).status, fleet.OrderStatus.DONE)
        return self.fake.misplaced_starts

    async def asyncSetUp(self):
        """Create a worker in each of two racks."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, harness.seconds(2))
        self.fake.add("w1", rack="r1")
        self.fake.add("w2", rack="r2")

    async def test_start_without_the_label_is_noted(self):
        """The workers of a rack have its name as a label."""
        step = harness.make_step(required_label="r2")
        self.assertEqual(await self.start(step, "w2"), [])
        step = harness.make_step(2, required_label="r2")
        found = await self.start(step, "w1", index=1)
        self.assertEqual(found, [f"{JOB}.0.0.1"])

    async def test_start_beyond_the_spread_is_noted(self):
        """Tasks that have ended do not count."""
        step = harness.make_step(4, spread_limit=1)
        self.assertEqual(await self.start(step, "w1"), [])
        self.assertEqual(await self.start(step, "w2", index=1), [])
        await self.clock.advance(harness.seconds(3))
        self.assertEqual(await self.start(step, "w1", index=2), [])
        found = await self.start(step, "w1", index=3)
        self.assertEqual(found, [f"{JOB}.0.0.3"])


class LastingTest(unittest.TestCase):
    """A worker runs tasks that last until they are stopped."""

    def test_task_that_lasts_does_not_end(self):
        """It is at work after its startup."""
        clock = clocks.FakeClock()
        fake = standin_fleet.FakeFleet(clock, harness.seconds(2))
        fake.add("w1")
        fake.lasting_job_ids.add(JOB)
        worker = fake.workers_by_id["w1"]
        worker.lease_deadline_ms = 60_000
        task = f"{JOB}.0.0.0"
        run = standin_fleet.FakeRun(
            1, clock.monotonic(), harness.make_step().demand, 0
        )
        worker.runs_by_task[task] = run
        self.assertLess(worker.percent(task, run), 100)
        asyncio.run(clock.advance(harness.seconds(30)))
        self.assertEqual(fake.running(), [(task, "w1")])
        self.assertEqual(worker.percent(task, run), 100)


class WorkerTestCase(unittest.IsolatedAsyncioTestCase):
    """One worker and one task of two seconds."""

    async def asyncSetUp(self):
        """Create the worker."""
        self.clock = clocks.FakeClock()
        self.fake = standin_fleet.FakeFleet(self.clock, harness.seconds(2))
        self.fake.steps_by_job[JOB] = (harness.make_step(),)
        self.fake.add("w1")

    @property
    def worker(self) -> standin_fleet.FakeWorker:
        """Return the worker's present incarnation."""
        return self.fake.workers_by_id["w1"]

    def call(self, order) -> asyncio.Task:
        """Send a start or a renewal."""
        send = (
            self.fake.start
            if isinstance(order, fleet.StartOrder)
            else self.fake.renew_lease
        )
        address = self.worker.listing.address
        return asyncio.ensure_future(send(address, order, harness.seconds(1)))

    async def answer(self, order):
        """Return the answer to an order."""
        calling = self.call(order)
        while not calling.done():
            await self.clock.advance(standin_fleet.ROUND_TRIP)
        return calling.result()

    def start_order(self, deadline_ms: int) -> fleet.StartOrder:
        """Return an order to start the task."""
        return fleet.StartOrder(f"{JOB}.0.0.0", 1, "", deadline_ms, 1)

    def renewal(
        self, deadline_ms: int | None = None, wait_s: float = 0
    ) -> fleet.LeaseRenewal:
        """Return an order to renew the lease."""
        return fleet.LeaseRenewal(1, 0, deadline_ms, harness.seconds(wait_s))


class LeaseTest(WorkerTestCase):
    """A lease ends at its deadline, and after the longest hold at latest."""

    async def test_deadline_too_far_ahead_is_shortened(self):
        """By starts and by renewals."""
        max_ms = standin_fleet.MAX_HOLD / harness.seconds(0.001)
        for order in (self.start_order(60_000), self.renewal(60_000)):
            await self.answer(order)
            left_ms = self.worker.lease_deadline_ms - self.worker.clock_ms()
            self.assertLessEqual(left_ms, max_ms)
            self.assertGreater(left_ms, max_ms - 100)
            await self.clock.advance(harness.seconds(1))

    async def test_run_ends_when_its_lease_does(self):
        """Whenever that is seen, and on the worker's own clock."""
        self.worker.clock_rate = 0.98
        self.worker.hangs = True
        await self.answer(self.start_order(4_900))
        await self.clock.advance(harness.seconds(9))
        self.fake.advance()
        (interval,) = self.fake.intervals
        self.assertIs(interval.end, fleet.End.LAPSED)
        self.assertAlmostEqual(interval.ended_at.total_seconds(), 5, 2)

    async def complete(self) -> None:
        """Complete the task under a lease of four seconds."""
        await self.answer(self.start_order(4_000))
        await self.clock.advance(harness.seconds(2.5))
        self.fake.advance()
        self.assertIs(self.fake.intervals[0].end, fleet.End.DONE)

    async def lapse(self) -> set[tuple[str, int]]:
        """Return the completions unread at the end of the lease."""
        self.assertFalse(self.fake.unread_completions)
        await self.clock.advance(harness.seconds(4))
        self.fake.advance()
        return self.fake.unread_completions

    async def test_completion_that_no_answer_listed_is_unread(self):
        """It is read after the lease has ended."""
        await self.complete()
        self.assertEqual(await self.lapse(), {(f"{JOB}.0.0.0", 1)})

    async def test_completion_listed_in_time_is_read(self):
        """Also if it is acknowledged later, or the worker cut off later."""
        await self.complete()
        await self.answer(self.renewal())
        self.assertEqual(await self.lapse(), set())
        self.worker.is_cut = True
        self.fake.advance()
        self.assertFalse(self.fake.unread_completions)

    async def test_unacknowledged_completion_of_a_worker_cut_off_is_unread(
        self,
    ):
        """The answer may be with a scheduler that was stopped."""
        await self.complete()
        await self.answer(self.renewal())
        self.worker.is_cut = True
        self.assertEqual(await self.lapse(), {(f"{JOB}.0.0.0", 1)})


class IncarnationTest(WorkerTestCase):
    """A worker restarts under its id."""

    async def test_long_poll_ends_with_its_incarnation(self):
        """It lists neither the ends of one nor the tasks of the other."""
        await self.answer(self.start_order(9_000))
        polling = self.call(self.renewal(9_000, 5))
        await self.clock.advance(harness.seconds(0.5))
        self.fake.restart("w1")
        while not polling.done():
            await self.clock.advance(harness.seconds(0.1))
        self.assertIs(polling.result().status, fleet.OrderStatus.MAY_HAVE_RUN)

    async def test_order_on_its_way_does_not_reach_the_next_incarnation(self):
        """Its connection ends with the process."""
        starting = self.call(self.start_order(9_000))
        await asyncio.sleep(0)
        self.fake.restart("w1")
        while not starting.done():
            await self.clock.advance(harness.seconds(0.1))
        self.assertIs(starting.result().status, fleet.OrderStatus.MAY_HAVE_RUN)
        self.assertEqual(self.fake.running(), [])

    async def test_late_order_ends_with_its_incarnation(self):
        """It was delayed in the process."""
        self.worker.delay_starts = 1
        await self.answer(self.start_order(9_000))
        former = self.worker
        self.fake.restart("w1")
        await self.clock.advance(standin_fleet.START_DELAY * 2)
        self.assertEqual(self.fake.running(), [])
        self.assertFalse(self.fake.late_starts or former.runs_by_task)
        self.assertEqual(self.fake.injected["start_late"], 1)

    async def test_late_order_does_not_extend_a_lease_that_has_ended(self):
        """The run of the lease ends before the late one starts."""
        await self.answer(self.start_order(1_000))
        self.worker.delay_starts = 1
        late = fleet.StartOrder(f"{JOB}.0.0.0", 2, "", 9_000, 1)
        await self.answer(late)
        await self.clock.advance(standin_fleet.START_DELAY)
        self.fake.advance()
        self.assertIs(self.fake.intervals[0].end, fleet.End.LAPSED)
        self.assertEqual(len(self.fake.running()), 1)

    async def test_worker_is_silent_until_its_process_is_up(self):
        """Orders of this time are lost."""
        self.worker.is_starting = True
        result = await self.answer(self.start_order(9_000))
        self.assertIs(result.status, fleet.OrderStatus.MAY_HAVE_RUN)
        self.worker.is_starting = False
        self.assertEqual(self.fake.running(), [])
        result = await self.answer(self.start_order(9_000))
        self.assertIs(result.status, fleet.OrderStatus.DONE)


class ClockTest(unittest.TestCase):
    """Each incarnation of a worker has a steady clock of its own."""

    def clocks(self, seed: int | None) -> list[int]:
        """Return the clocks of ten incarnations, each after ten seconds."""
        clock = clocks.FakeClock()
        fake = standin_fleet.FakeFleet(clock, harness.seconds(2))
        if seed is not None:
            fake.clock_rng = random.Random(seed)
        fake.add("w1")
        readings = []
        for _ in range(10):
            worker = fake.workers_by_id["w1"]
            self.assertEqual(worker.clock_ms(), worker.first_clock_ms)
            asyncio.run(clock.advance(harness.seconds(10)))
            readings.append(worker.clock_ms())
            lived_ms = worker.clock_ms() - worker.first_clock_ms
            self.assertTrue(9_800 <= lived_ms <= 10_100)
            fake.restart("w1")
        return readings

    def test_clocks_begin_at_zero_by_default(self):
        """They run at the fleet's rate."""
        self.assertEqual(self.clocks(None), [10_000] * 10)

    def test_drawn_clocks_go_back_at_some_restarts(self):
        """The seed determines them."""
        readings = self.clocks(1)
        self.assertEqual(readings, self.clocks(1))
        self.assertNotEqual(readings, self.clocks(2))
        steps = [
            later - earlier for earlier, later in itertools.pairwise(readings)
        ]
        self.assertLess(min(steps), 0)
        self.assertGreater(max(steps), 0)
