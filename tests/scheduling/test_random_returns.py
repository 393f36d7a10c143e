"""Random returns of workers whose runs were given up, with unread ends.

More seeds: CARDAMOMCROFT_SEEDS=200 python -m unittest with this module.
"""

import heapq
import os
import unittest

from tests.scheduling import return_episodes

SEEDS = int(os.environ.get("CARDAMOMCROFT_SEEDS", "24"))
LAST_JOB_S = 5.0
# A takeover, a worker's longest avoidance, and the tasks that wait for room.
BOUND_S = 60.0
NAMES = "a", "b"


class RandomReturnsTest(return_episodes.ReturnEpisodes):
    """Two instances; few workers with room for one or two tasks each."""

    def prepare(self, seed: int) -> None:
        """Draw the workers, the jobs and the cuts."""
        self.prepare_episodes(seed)
        self.follow_claims()
        self.timetables: dict = {}
        self.has_long = False
        self.read_starts = 0
        self.add_workers(self.rng.randint(2, 4), self.rng.randint(1, 4))
        for _ in range(self.rng.randint(4, 8)):
            self.plan(self.rng.uniform(0, LAST_JOB_S), self.submit_work)
        self.plan(self.rng.uniform(1.5, 4), self.begin_return)

    async def play(self) -> None:
        """Play the events, heal everything, and check what ran."""
        for name in NAMES:
            self.start_node(name)
        await self.wait_until(self.holder)
        self.began_at = self.clock.monotonic()
        while self.events:
            at_s, _, action, arguments = heapq.heappop(self.events)
            await self.pass_time(max(at_s - self.passed_s(), 0))
            action(*arguments)
        self.heal()
        await self.wait_for_jobs()
        self.check_order()

    def heal(self) -> None:
        """End every fault."""
        self.fleet.note("heal")
        self.store.faults.refused_clients.clear()
        for worker_id, worker in self.fleet.workers_by_id.items():
            worker.fails_everything = False
            if worker.is_cut:
                self.cut(worker_id, False)
        for name in NAMES:
            self.start_again(name)

    async def wait_for_jobs(self) -> None:
        """Wait until every job has ended, which is recorded for 30 s."""
        until_s = self.passed_s() + BOUND_S
        open_job_ids = set(self.timetables)
        while open_job_ids := open_job_ids - self.ended_job_ids():
            self.assertLess(self.passed_s(), until_s, f"open: {open_job_ids}")
            await self.pass_time(0.5)

    def check_single_runs(self) -> None:
        """Check the ends that workers listed at each start, too."""
        super().check_single_runs()
        starts = self.fleet.listed_ends.starts
        for start in starts[self.read_starts :]:
            self.assertEqual(start.completions(), 0, f"runs again: {start}")
            self.assertLess(
                start.failures(),
                return_episodes.ATTEMPTS,
                f"too many runs: {start}",
            )
        self.read_starts = len(starts)

    async def check(self, seed: int) -> None:
        """Play a seed; a failure shows its sequence of events."""
        self.prepare(seed)
        try:
            await self.play()
        except AssertionError as error:
            trace = "\n".join(self.fleet.trace)
            raise AssertionError(f"{error}\n{trace}") from None
        finally:
            for task in self.handovers:
                task.cancel()


def _make_test(seed: int):
    async def test(self):
        await self.check(seed)

    test.__doc__ = f"Play seed {seed}."
    return test


for _seed in range(SEEDS):
    setattr(RandomReturnsTest, f"test_seed_{_seed:03}", _make_test(_seed))


if __name__ == "__main__":
    unittest.main()
