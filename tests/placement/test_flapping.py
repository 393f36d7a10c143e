"""Gangs beside workers that are lost and come back again and again."""

import random
import unittest

from cardamomcroft.placement import history
from cardamomcroft.scheduling import runs
from tests.placement import play as plays
from tests.scheduling import harness

FLAPPING = ("w3", "w8")


def play_flapping(has_outlook: bool, seed: int) -> tuple[plays.Play, list]:
    """Return a play of gangs beside two workers that flap."""
    rng = random.Random(seed)
    workers = [plays.make_worker(f"w{n}", f"r{n % 2}") for n in range(12)]
    play = plays.Play(workers, has_outlook=has_outlook)
    began_at = play.now
    gangs = []

    def script() -> None:
        passed = (play.now - began_at).total_seconds()
        for number, worker_id in enumerate(FLAPPING):
            # Lost for a second of every five.
            worker = play.workers_by_id[worker_id]
            is_silent = (passed + number * 2) % 5 < 1
            if is_silent and worker.unreachable_since is None:
                play.lose(worker)
                worker.unreachable_since = play.now
            elif not is_silent:
                worker.unreachable_since = None
        if passed < 90 and rng.random() < 0.05:
            step = plays.make_step(
                rng.randint(2, 4), 4, rng.uniform(3, 8), is_gang=True
            )
            gangs.append(play.submit(step))

    play.run(140, script)
    return play, gangs


class FlappingWorkerTest(unittest.TestCase):
    """The worker is idle whenever it is back, so that gangs start there."""

    def test_gangs_lose_less_work(self):
        """Each gang that started there was lost with it."""
        wasted = {True: 0.0, False: 0.0}
        took = {True: 0.0, False: 0.0}
        for seed in range(4):
            for has_outlook in (True, False):
                play, gangs = play_flapping(has_outlook, seed)
                states = {job.final_state for job in gangs}
                self.assertEqual(states, {"completed"})
                wasted[has_outlook] += play.wasted
                took[has_outlook] += sum(play.took(gangs))
        self.assertLess(wasted[True], wasted[False])
        self.assertLess(took[True], took[False])


class FlappingHistoryTest(unittest.TestCase):
    """Which workers count as flapping."""

    def setUp(self):
        """Have two workers."""
        self.workers = [plays.make_worker(name) for name in ("w1", "w2")]
        self.by_id = {worker.worker_id: worker for worker in self.workers}
        self.past = history.History()
        self.now = harness.seconds(10)
        self.observe()

    def observe(self, later_s: float = 1.0) -> frozenset[str]:
        """Return the workers that flap in a later round."""
        self.now += harness.seconds(later_s)
        return self.past.observe(self.by_id, self.now).flapping

    def lose(self, worker: runs.Worker) -> None:
        """Let a worker be silent for a second."""
        worker.unreachable_since = self.now
        self.observe()
        worker.unreachable_since = None
        self.observe()

    def restart(self, worker: runs.Worker) -> None:
        """Let a worker be lost, unlisted, reborn and listed anew."""
        listing = worker.listing
        worker.unreachable_since = self.now
        self.observe()
        worker.withdraw_listing()
        self.observe()
        del self.by_id[worker.worker_id]
        self.observe()
        self.by_id[worker.worker_id] = worker
        worker.unreachable_since, worker.listing = None, listing
        worker.born_ms += 1
        self.observe()

    def test_one_restart_has_no_effect(self):
        """It shows as events of all kinds; a release brings one to each."""
        self.restart(self.workers[0])
        self.assertEqual(self.observe(), frozenset())

    def test_second_restart_counts(self):
        """Within the window, by any kind of event."""
        self.restart(self.workers[0])
        self.restart(self.workers[0])
        self.assertEqual(self.observe(), {"w1"})

    def test_silence_alone_counts(self):
        """A bad link shows neither a birth nor an entry."""
        self.lose(self.workers[0])
        self.assertEqual(self.observe(), frozenset())
        self.lose(self.workers[0])
        self.assertEqual(self.observe(), {"w1"})

    def test_worker_that_is_well_is_trusted_again(self):
        """Events count for a while only."""
        self.lose(self.workers[0])
        self.lose(self.workers[0])
        self.assertEqual(self.observe(27), {"w1"})
        self.assertEqual(self.observe(5), frozenset())

    def test_departed_workers_are_forgotten(self):
        """The history must not grow with each replacement."""
        for number in range(50):
            worker = plays.make_worker(f"new{number}")
            self.by_id = {worker.worker_id: worker}
            self.observe(2)
        self.observe(60)
        self.observe()
        self.assertEqual(self.past._known_by_id.keys(), self.by_id.keys())

    def test_single_tasks_go_there_all_the_same(self):
        """Only gangs lose the work of others with it."""
        for is_gang in (False, True):
            with self.subTest(is_gang=is_gang):
                workers = [plays.make_worker(f"w{n}") for n in range(3)]
                play = plays.Play(workers)
                play.run(0.1)
                for _ in range(2):
                    workers[0].unreachable_since = play.now
                    play.run(0.1)
                    workers[0].unreachable_since = None
                    play.run(0.1)
                play.submit(plays.make_step(2, 8, is_gang=is_gang))
                used = {start.worker_id for start in play.plan().starts}
                self.assertEqual("w0" in used, not is_gang)
