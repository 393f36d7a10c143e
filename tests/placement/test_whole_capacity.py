"""Small tasks beside tasks and gangs that need whole workers and racks."""

import random
import unittest

from cardamomcroft.scheduling import runs
from tests.placement import play as plays
from tests.scheduling import harness

RACKS = 4
WORKERS_PER_RACK = 6


def make_workers() -> list[runs.Worker]:
    """Return workers of all racks, listed in any order."""
    return [
        plays.make_worker(f"w{number}-{rack}", f"r{rack}")
        for number in range(WORKERS_PER_RACK)
        for rack in range(RACKS)
    ]


def play_small_tasks(plans_ahead: bool, seed: int) -> list[float]:
    """Return the waits of rack-local gangs beside small tasks."""
    rng = random.Random(seed)
    play = plays.Play(make_workers(), plans_ahead)
    gangs = []

    def script() -> None:
        if play.now > harness.seconds(160):
            return
        if rng.random() < 0.5:
            step = plays.make_step(
                rng.randint(1, 3), rng.randint(1, 3), rng.uniform(2, 10)
            )
            play.submit(step, priority=2)
        if rng.random() < 0.02:
            step = plays.make_step(4, 8, 4, is_gang=True, is_rack_local=True)
            gangs.append(play.submit(step))

    play.run(90, script)
    return play.waits(gangs)


class SmallTaskTest(unittest.TestCase):
    """Where small tasks go, and what is left for large ones."""

    def test_rack_local_gangs_wait_less(self):
        """Small tasks opened idle workers in any rack."""
        waited = {True: 0.0, False: 0.0}
        for seed in range(4):
            for plans_ahead in (True, False):
                waits = play_small_tasks(plans_ahead, seed)
                waited[plans_ahead] += sum(waits)
        self.assertLess(waited[True], waited[False])

    def test_idle_workers_stay_idle(self):
        """A task without accelerators fits beside others like it."""
        play = plays.Play(make_workers())
        first = play.submit(plays.make_step(1, 0, 60))
        play.plan()
        play.submit(plays.make_step(9, 0, 60))
        play.plan()
        self.assertEqual(len({s.worker_id for s in play.started}), 1)
        self.assertTrue(first.runs)

    def test_idle_workers_are_opened_in_the_fullest_rack(self):
        """A whole rack stays free for a gang."""
        play = plays.Play(make_workers())
        for worker_id in ("w0-2", "w1-2"):
            job = play.submit(plays.make_step(1, 8, 60))
            worker = play.workers_by_id[worker_id]
            plays.occupy(play, worker, job)
        play.submit(plays.make_step(4, 5, 60))
        starts = play.plan().starts
        racks = {play.workers_by_id[s.worker_id].rack for s in starts}
        self.assertEqual(racks, {"r2"})
