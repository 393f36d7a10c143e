"""A scheduler that plans ahead beside fakes of the store and the workers."""

import dataclasses
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import round_harness

AHEAD = dataclasses.replace(harness.PARAMETERS, plans_ahead=True)


class PlacementTestCase(round_harness.RoundTestCase):
    """One node and eight workers in two racks."""

    worker_count = 0
    parameters = AHEAD

    async def asyncSetUp(self):
        """Start the node with the parameters of the case."""
        patch = mock.patch.object(harness, "PARAMETERS", self.parameters)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        for number in range(8):
            listing = self.fleet.add(f"w{number}", rack=f"r{number // 4}")
            self.put_entry(f"w{number}", listing, version="v1")
        await self.pass_time(round_harness.SOON_S)

    def put_entry(
        self, worker_id: str, listing: fleet.Listing, **changes: object
    ) -> None:
        """Store a worker's entry."""
        listing = dataclasses.replace(listing, **changes)
        self.listings[worker_id] = listing
        self.store.put(store.Stream.SERVERS, worker_id, b"")

    def drain(self, worker_id: str) -> None:
        """Let a worker announce that it leaves."""
        self.put_entry(
            worker_id,
            self.listings[worker_id],
            state=fleet.ServerState.DRAINING,
            remaining=harness.seconds(1),
        )

    async def begin_release(self) -> None:
        """Replace a worker by one of another version, and drain the next."""
        self.put_entry("w0", self.fleet.restart("w0"), version="v2")
        await self.pass_time(round_harness.SOON_S)
        self.drain("w1")
        await self.pass_time(round_harness.SOON_S)

    def fields_of(self, event: str) -> list[dict]:
        """Return the fields of the lines of an event."""
        return [fields for name, fields in self.logged if name == event]


class ReleaseTest(PlacementTestCase):
    """A release goes on while a job arrives."""

    async def test_long_task_goes_to_a_replaced_worker(self):
        """The avoidance shows in the log and in the metrics."""
        await self.begin_release()
        self.assertEqual(self.scheduler.count_leaving(), 6)
        step = dataclasses.replace(
            harness.make_step(accelerators=8), estimate=harness.seconds(9)
        )
        job_id = self.submit(step)
        await self.wait_until(lambda: self.running_of(job_id), 3)
        self.assertEqual([name for _, name in self.fleet.running()], ["w0"])
        (line,) = self.fields_of("placement_avoided")
        self.assertEqual(line["reason"], "leaving")
        self.assertEqual((line["tasks"], line["leaving"]), (1, 6))
        self.assertEqual(line["job_id"], job_id)
        self.assertEqual(self.count_logged("round_crashed"), 0)

    async def test_error_in_the_history_stops_no_placement(self):
        """It only advises."""
        with mock.patch.object(
            self.scheduler._history,
            "observe",
            autospec=True,
            side_effect=round_harness.ERROR,
        ):
            await self.check_completes(self.submit(harness.make_step()), 5)
        self.assertGreater(self.count_logged("round_crashed"), 0)


class FailingGangTest(PlacementTestCase):
    """A gang whose members fail wherever they run."""

    async def test_job_fails_after_all_attempts_only(self):
        """The gang is held back from the third attempt on."""
        step = harness.make_step(width=2, accelerators=8, is_gang=True)
        job_id = self.submit(step, queue=harness.make_queue(0, attempts=4))

        def is_over() -> bool:
            running = self.fleet.running()
            if len(running) == 2:
                task, worker_id = min(running)
                worker = self.fleet.workers_by_id[worker_id]
                worker.end(task, fleet.End.FAILED)
            return self.state(job_id) == "failed"

        await self.wait_until(is_over, 60)
        numbers = {interval.run for interval in self.fleet.intervals}
        self.assertGreaterEqual(len(numbers), 4)
        (line,) = self.fields_of("job_failed")
        self.assertEqual(line["attempts"], 4)
        reasons = {f["reason"] for f in self.fields_of("placement_avoided")}
        self.assertIn("failing_gang", reasons)


class FlappingTest(PlacementTestCase):
    """A worker restarts again and again."""

    async def test_restarts_are_counted_once_each(self):
        """One restart, with all that shows of it, has no effect."""
        for number, expected in enumerate((0, 1), 1):
            self.fleet.workers_by_id["w0"].is_cut = True
            await self.pass_time(1)
            listing = self.fleet.restart("w0")
            listing = dataclasses.replace(listing, born_ms=number + 1)
            self.fleet.workers_by_id["w0"].listing = listing
            self.put_entry("w0", listing, version="v1")
            await self.pass_time(2)
            self.assertEqual(len(self.scheduler._outlook.flapping), expected)


class ReactiveReleaseTest(PlacementTestCase):
    """The same where the scheduler does not plan ahead."""

    parameters = harness.PARAMETERS

    async def test_nothing_is_followed_or_logged(self):
        """The earlier deployments see no new line and no new decision."""
        await self.begin_release()
        self.assertEqual(self.scheduler.count_leaving(), 0)
        await self.check_completes(self.submit(harness.make_step()), 5)
        self.assertEqual(self.count_logged("placement_avoided"), 0)
