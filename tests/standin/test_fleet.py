"""The stand-in's workers act as the workers' protocol requires."""

import asyncio
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
