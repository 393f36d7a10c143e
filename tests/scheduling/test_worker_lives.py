"""Workers' clocks and restarts that a holder has to bear."""

from cardamomcroft.ports import fleet
from tests.scheduling import harness
from tests.scheduling import test_reborn_takeover


class ClockRateTest(test_reborn_takeover.RebornTakeoverTestCase):
    """A worker's clock runs fast or slow."""

    async def check_no_lapse(self, rate: float) -> None:
        """Run a long task for some time."""
        self.add_workers(1)
        worker = self.fleet.workers_by_id["w1"]
        exact = worker.clock_ms
        worker.clock_ms = lambda: int(exact() * rate)
        self.start_node("a")
        self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(40)
        self.assertEqual(self.fleet.intervals, [])

    async def test_fast_clock_ends_no_run(self):
        """Leases are counted from a reading at the slowest rate."""
        await self.check_no_lapse(1.01)

    async def test_slow_clock_ends_no_run(self):
        """The slowest that the protocol allows."""
        await self.check_no_lapse(0.98)


class RebornTwiceTest(test_reborn_takeover.RebornTakeoverTestCase):
    """A worker restarts twice within one lease, then the holder dies."""

    async def check(self, pause: float) -> None:
        """Restart twice with a pause; cut off; kill the holder."""
        await self.run_with_lost_answer()
        self.start_node("b")
        await self.pass_time(1)
        self.restart_listed("w1")
        await self.pass_time(pause)
        self.restart_listed("w1")
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(0.5)
        self.kill("a")
        self.fleet.workers_by_id["w1"].is_cut = True
        self.add_workers(1)
        await self.wait_until(
            lambda: "w2" in [worker for _, worker in self.fleet.running()], 30
        )
        self.assertEqual(self.fleet.injected["reborn"], 2)

    async def test_incarnation_that_nobody_heard_is_passed_over(self):
        """It lasts for a moment."""
        await self.check(0.02)

    async def test_incarnation_that_was_heard_is_passed_over(self):
        """It has been listed and polled."""
        await self.check(0.7)


class VacantRoleTest(test_reborn_takeover.RebornTakeoverTestCase):
    """A worker restarts while no instance holds the role."""

    async def test_its_task_starts_again_once(self):
        """The successor asks the new incarnation."""
        await self.run_with_lost_answer()
        self.kill("a")
        await self.pass_time(0.3)
        self.restart_listed("w1")
        await self.pass_time(0.5)
        self.start_node("b")
        await self.wait_until(lambda: self.fleet.running())
        await self.pass_time(5)
        self.assertEqual(len(self.fleet.running()), 1)
        ends = [i.end for i in self.fleet.intervals]
        self.assertEqual(ends, [fleet.End.LAPSED])

    async def test_unlisted_and_cut_off_its_task_starts_elsewhere(self):
        """The successor counts the predecessor's longest lease."""
        await self.run_with_lost_answer()
        self.kill("a")
        await self.pass_time(0.3)
        self.restart("w1")
        self.fleet.workers_by_id["w1"].is_cut = True
        self.start_node("b")
        self.add_workers(1)
        await self.wait_until(lambda: self.fleet.running(), 20)
        await self.pass_time(5)
