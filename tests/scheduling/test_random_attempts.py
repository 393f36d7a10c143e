"""Random attempts to submit and cancel jobs, stored in any order.

More seeds: CARDAMOMCROFT_SEEDS=200 python -m unittest with this module.
"""

import functools
import os
import random
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from tests.scheduling import harness

SEEDS = int(os.environ.get("CARDAMOMCROFT_SEEDS", "12"))
JOBS = 6
LENGTH_S = 14.0
LAST_FIRST_S = 8.0  # of the first attempts
LATE_S = 3.0  # between the first attempt of a job and the others
CANCEL_BOUND = harness.seconds(3 + 2)  # a takeover takes up to 2 s


class RandomAttemptsTest(harness.SchedulingTestCase):
    """Two instances, one of them replaced now and then."""

    duration = harness.seconds(1)

    def prepare(self, seed: int) -> None:
        """Draw what is stored when, and when the store or a holder fails."""
        self.rng = random.Random(seed)
        self.cancelled_at: dict[str, float] = {}
        self.begun_at: dict[str, list[float]] = {}
        self.events: list[tuple[float, object]] = []
        for number in range(JOBS):
            job_id = f"{number + 1:016x}"
            step = harness.make_step(width=self.rng.randint(1, 3))
            self.fleet.steps_by_job[job_id] = (step,)
            first_s = self.rng.uniform(0, LAST_FIRST_S)
            attempts = [first_s]
            for _ in range(self.rng.randint(0, 4)):
                attempts.append(first_s + self.rng.uniform(0, LATE_S))
            for at_s in attempts:
                action = functools.partial(self.store_attempt, job_id, step)
                self.events.append((at_s, action))
            if self.rng.random() < 0.5:
                self.draw(functools.partial(self.store_cancelling, job_id))
        for _ in range(self.rng.randint(0, 2)):
            self.draw(self.replace_holder)
        for _ in range(self.rng.randint(0, 12)):
            self.draw(self.disturb_store)
        self.events.sort(key=lambda event: event[0])

    def draw(self, action) -> None:
        """Plan an action for a random moment."""
        self.events.append((self.rng.uniform(0, LENGTH_S - 4), action))

    def store_attempt(self, job_id: str, step: models.Step) -> None:
        """Store an attempt with the settings of its time."""
        queue = harness.make_queue(attempts=self.rng.randint(3, 9))
        job = models.Job(
            job_id, queue, "a", "payload", (step,), None, self.clock.now()
        )
        key = ledgers.Kind.SUBMISSION.key(job_id)
        self.store.put(store.Stream.JOBS, key, codec.encode_job(job))

    def store_cancelling(self, job_id: str) -> None:
        """Store a cancelling, after which its caller has an answer."""
        self.cancel(job_id)
        self.cancelled_at[job_id] = self.clock.monotonic()

    def replace_holder(self) -> None:
        """Kill the holder and start its instance anew."""
        name = self.holder()
        if name is not None:
            self.kill(name)
            self.start_node(name)

    def disturb_store(self) -> None:
        """Lose appends or answers, or the history that instances follow."""
        kinds = "drop_appends", "drop_appends", "lose_answers", "expire_reads"
        setattr(self.store.faults, self.rng.choice(kinds), 2)

    async def check(self) -> None:
        """Play the events; check what ran."""
        self.add_workers(2)
        for name in ("a", "b"):
            self.start_node(name)
        await self.wait_until(self.holder)
        began_at = self.clock.monotonic()
        for at_s, action in self.events:
            passed = (self.clock.monotonic() - began_at).total_seconds()
            await self.pass_time(max(at_s - passed, 0))
            action()
        await self.pass_time(LENGTH_S)
        for job_id in self.fleet.steps_by_job:
            self.check_job(job_id)

    def check_job(self, job_id: str) -> None:
        """Check that a job ran once, or not after its cancelling."""
        intervals = [
            interval
            for interval in self.fleet.intervals
            if interval.task.startswith(job_id)
        ]
        done = [i.task for i in intervals if i.end is fleet.End.DONE]
        self.assertEqual(len(done), len(set(done)), "task done twice")
        if job_id not in self.cancelled_at:
            self.assertEqual(self.state(job_id), "completed")
            self.check_run_once(job_id)
            return
        self.assertIn(self.state(job_id), ledgers.FINAL_STATES)
        latest = self.cancelled_at[job_id] + CANCEL_BOUND
        for interval in intervals:
            self.assertLess(interval.began_at, latest)


def _make_test(seed: int):
    async def test(self):
        self.prepare(seed)
        await self.check()

    test.__doc__ = f"Play seed {seed}."
    return test


for _seed in range(SEEDS):
    setattr(RandomAttemptsTest, f"test_seed_{_seed:03}", _make_test(_seed))


if __name__ == "__main__":
    unittest.main()
