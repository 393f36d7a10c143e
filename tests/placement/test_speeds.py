"""Urgent work and gangs on workers that differ in speed."""

import random
import unittest

from cardamomcroft.placement import speeds
from cardamomcroft.scheduling import capacity
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import preempting
from tests.placement import play as plays
from tests.scheduling import harness

SPEEDS = (0.8, 1.0, 1.25)


def make_play(has_speeds: bool, count: int = 12) -> plays.Play:
    """Return a play whose workers differ in speed."""
    workers = [
        plays.make_worker(f"w{n:02}", f"r{n % 2}") for n in range(count)
    ]
    speeds_by_worker = {
        worker.worker_id: SPEEDS[number % 3]
        for number, worker in enumerate(workers)
    }
    play = plays.Play(workers, speeds_by_worker=speeds_by_worker)
    if not has_speeds:
        play.known_times = estimates.Durations()
    return play


def play_jobs(has_speeds: bool, seed: int) -> tuple[plays.Play, list, list]:
    """Return a play of urgent tasks and long gangs."""
    rng = random.Random(seed)
    play = make_play(has_speeds)
    began_at = play.now
    urgent, gangs = [], []

    def script() -> None:
        if (play.now - began_at).total_seconds() > 60:
            return
        if rng.random() < 0.05:
            step = plays.make_step(1, 8, rng.uniform(1, 3))
            urgent.append(play.submit(step, priority=0))
        if rng.random() < 0.04:
            step = plays.make_step(
                rng.randint(2, 4), 8, rng.uniform(2, 6), is_gang=True
            )
            gangs.append(play.submit(step))

    play.run(100, script)
    return play, urgent, gangs


def idle_of_gangs(play: plays.Play, gangs: list) -> float:
    """Return the core-seconds for which members wait for the slowest one."""
    idle = 0.0
    starts = {}
    for start in play.started:
        if start.step.job in gangs:
            starts.setdefault(start.step, []).append(start.worker_id)
    for step, worker_ids in starts.items():
        run_s = step.model.estimate.total_seconds()
        took = [run_s / play.durations.worker_speed(n) for n in worker_ids]
        cores = preempting.core_equivalent(step.model.demand)
        idle += sum(max(took) - each for each in took) * cores
    return idle


class SpeedTest(unittest.TestCase):
    """Where work goes once the workers' speeds are known."""

    def test_urgent_work_is_faster_and_gangs_wait_less(self):
        """The first worker that fits is as often a slow one."""
        took = {True: 0.0, False: 0.0}
        idle = {True: 0.0, False: 0.0}
        for seed in range(4):
            for has_speeds in (True, False):
                play, urgent, gangs = play_jobs(has_speeds, seed)
                states = {job.final_state for job in urgent + gangs}
                self.assertEqual(states, {"completed"})
                took[has_speeds] += sum(play.took(urgent))
                idle[has_speeds] += idle_of_gangs(play, gangs)
        self.assertLess(took[True], took[False])
        self.assertLess(idle[True], idle[False])

    def test_fit_precedes_speed(self):
        """Only between workers that are otherwise equal does speed decide."""
        play = make_play(has_speeds=True)
        job = play.submit(plays.make_step(1, 4, 60))
        plays.occupy(play, play.workers_by_id["w00"], job)
        play.submit(plays.make_step(1, 4, 2), priority=0)
        play.submit(plays.make_step(1, 8, 2), priority=0)
        used = [start.worker_id for start in play.plan().starts]
        self.assertEqual(used, ["w00", "w02"])

    def test_gang_mixes_speeds_rather_than_wait(self):
        """No four workers of one speed are free."""
        play = make_play(has_speeds=True)
        for number in (0, 1, 2):
            job = play.submit(plays.make_step(1, 8, 60))
            plays.occupy(play, play.workers_by_id[f"w{number:02}"], job)
        play.submit(plays.make_step(4, 8, 2, is_gang=True))
        self.assertEqual(len(play.plan().starts), 4)

    def test_equal_speeds_make_no_classes(self):
        """Today's run times know of no speeds, which then cost nothing."""
        free = [
            capacity.free_worker(plays.make_worker(name), plays.TICK)
            for name in ("w1", "w2")
        ]
        self.assertEqual(speeds.classes(free, estimates.Durations()), {})

    def test_gang_without_demand_fits(self):
        """A task that needs nothing fits any number of times."""
        play = make_play(has_speeds=True)
        step = models.Step(
            40, models.Demand(), harness.seconds(1), is_gang=True
        )
        play.submit(step)
        self.assertEqual(len(play.plan().starts), 40)

    def test_spread_limit_is_kept(self):
        """Also where a set of one speed would be large enough."""
        play = make_play(has_speeds=True)
        step = plays.make_step(4, 1, is_gang=True, spread_limit=1)
        play.submit(step)
        used = {start.worker_id for start in play.plan().starts}
        self.assertEqual(len(used), 4)
        classes = {play.durations.worker_speed(name) for name in used}
        self.assertEqual(len(classes), 1)
