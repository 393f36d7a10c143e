"""The capacity of evacuated workers counts nowhere."""

import dataclasses
import unittest

from cardamomcroft.scheduling import capacity
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from tests.scheduling import harness
from tests.scheduling import test_planning

NOW = test_planning.NOW


def make_workers(count: int, evacuated: int) -> list[runs.Worker]:
    """Return idle workers, of which the first ones are evacuated."""
    workers = [test_planning.make_worker(f"w{n}") for n in range(count)]
    for worker in workers[:evacuated]:
        worker.is_evacuated = True
    return workers


class EvacuatedCapacityTest(unittest.TestCase):
    """Workers of eight accelerators, some of them evacuated."""

    def test_evacuated_worker_gets_no_new_tasks(self):
        """Each way to new tasks must be closed."""
        (worker,) = make_workers(1, 1)
        self.assertFalse(capacity.is_usable(worker, NOW))
        self.assertIsNone(capacity.free_worker(worker, NOW))
        self.assertIsNone(capacity.capacity_after_stops(worker, NOW))
        worker.is_evacuated = False
        self.assertTrue(capacity.is_usable(worker, NOW))

    def test_use_of_a_service_leaves_them_out(self):
        """A busy rest must not look mostly free beside an idle evacuation."""
        _, total = capacity.use_of(make_workers(4, 3), "svc")
        self.assertEqual(total, models.Demand(64_000, 131_072, 8))

    def test_forecast_counts_the_rest_only(self):
        """Half of the workers need twice as long for the waiting work."""
        step = harness.make_step(width=4, accelerators=8)
        jobs = [test_planning.make_job(step) for _ in range(5)]
        waits = queue_waits.expected_waits(
            jobs,
            make_workers(4, 2),
            estimates.Durations(),
            NOW,
            test_planning.WALL,
        )
        self.assertEqual(waits, {"q1": 20_000})

    def test_headroom_is_a_share_of_the_rest(self):
        """Otherwise urgent work would idle too much of what is left."""
        workers = make_workers(40, 30)
        inputs = dataclasses.replace(
            test_planning.make_inputs([], workers),
            headroom=headroom.Headroom(100.0),
        )
        kept = planning.Planner(inputs)._headroom_workers()
        self.assertEqual(len(kept), 1)  # 12% of 80 accelerators, not 320

    def test_gang_waits_for_no_evacuated_rack(self):
        """Only an evacuated rack would take the whole gang."""
        workers = make_workers(4, 2)
        for worker in workers[2:]:
            worker.listing = dataclasses.replace(
                worker.listing, rack=f"of {worker.worker_id}"
            )
        step = harness.make_step(2, 8, is_gang=True, is_rack_local=True)
        inputs = test_planning.make_inputs(
            [test_planning.make_job(step)], workers
        )
        starts = planning.Planner(inputs).plan().starts
        self.assertEqual({start.worker_id for start in starts}, {"w2", "w3"})

    def test_reserved_capacity_is_not_used(self):
        """A reservation from before must not lead to a start there."""
        workers = make_workers(2, 1)
        job = test_planning.make_job(harness.make_step(1, 8))
        reserved = reservations.Reservations()
        (step,) = job.steps_by_key.values()
        reserved.add(step, ["w0"], NOW)
        inputs = test_planning.make_inputs([job], workers, reserved)
        starts = planning.Planner(inputs).plan().starts
        self.assertNotIn("w0", {start.worker_id for start in starts})

    def test_reservations_of_a_gang_end_as_a_whole(self):
        """A gang must not wait for a reservation that cannot be used."""
        gang, tasks = (
            test_planning.make_job(
                harness.make_step(2, 8, is_gang=is_gang)
            ).steps_by_key[0, 0]
            for is_gang in (True, False)
        )
        reserved = reservations.Reservations()
        for step in (gang, tasks):
            reserved.add(step, ["w0", "w1"], NOW)
        reserved.drop_workers(frozenset())
        self.assertEqual(len(reserved.all()), 4)
        reserved.drop_workers(frozenset({"w0"}))
        (entry,) = reserved.all()
        self.assertIs(entry.step, tasks)
        self.assertEqual(entry.worker_id, "w1")

    def test_hold_of_an_evacuated_worker_ends(self):
        """Its step must be able to hold others."""
        job = test_planning.make_job(harness.make_step(1, 8))
        (step,) = job.steps_by_key.values()
        holds = holding.Holds()
        holds.add(step, ["w0", "w1"], NOW)
        holds.drop_workers(frozenset({"w2"}))
        self.assertEqual(holds.of(step), ["w0", "w1"])
        holds.drop_workers(frozenset({"w1"}))
        self.assertEqual(holds.of(step), [])

    def test_data_centre_is_kept_when_the_listing_is_withdrawn(self):
        """A planned start must still be known to be for an evacuated one."""
        (worker,) = make_workers(1, 0)
        worker.withdraw_listing()
        self.assertEqual(worker.data_centre, "dc")
