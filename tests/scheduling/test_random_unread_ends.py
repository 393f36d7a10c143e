"""Random cuts of workers, whose tasks end unread, beside takeovers."""

import datetime
import os
import random

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from tests.scheduling import harness

SEEDS = range(int(os.environ.get("CARDAMOMCROFT_SEEDS", "4")))
FOUND_SEEDS = (14, 21, 24)  # of starts beside ends that could be read
EPISODES = 2
EPISODE_S = 26.0
# TWICE allows a start so long after an end was taken note of.
SLACK = harness.seconds(1)
ENTRY_LIFETIME_S = 4.5


class RandomUnreadEndTest(harness.SchedulingTestCase):
    """Nobody restarts, so each end can be read once its worker is back."""

    duration = harness.seconds(3)

    async def test_no_task_starts_beside_an_end_that_can_be_read(self):
        """Its worker has been back, and listed, for over a second."""
        self.unreachable = 0
        for seed in sorted({*SEEDS, *FOUND_SEEDS}):
            with self.subTest(seed=seed):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.play(seed)
        self.assertTrue(self.unreachable)

    async def play(self, seed: int) -> None:
        """Cut workers off and replace the holder at random."""
        self.rng = random.Random(seed)
        self.readable_at: dict[str, datetime.timedelta] = {}
        self.events: list[tuple] = []
        self.late: list[str] = []
        self.fleet.ends_per_answer = self.rng.choice((2, 500))
        start = self.fleet._start

        def check_start(worker, order):
            result = start(worker, order)
            if result.status is fleet.OrderStatus.DONE:
                self.check_no_readable_end(order)
            return result

        self.fleet._start = check_start
        self.add_workers(4, accelerators=4)
        for worker_id in self.fleet.workers_by_id:
            self.readable_at[worker_id] = self.clock.monotonic()
        self.start_node("a")
        self.start_node("b")
        for episode in range(EPISODES):
            self.plan_episode(3 + episode * EPISODE_S)
        self.events.sort(key=lambda event: event[0])
        for at_s, action, arguments in self.events:
            await self.pass_time(max(at_s - self.passed_s(), 0))
            action(*arguments)
        await self.pass_time(10)
        self.unreachable += self.fleet.injected["unreachable"]
        self.assertEqual(self.late, [])

    def plan_episode(self, at_s: float) -> None:
        """Plan jobs, cuts of most workers and replacements of the holder."""
        rng = self.rng
        for _ in range(rng.randint(1, 4)):
            is_gang = rng.random() < 0.3
            step = harness.make_step(rng.randint(1, 5), is_gang=is_gang)
            self.plan(at_s + rng.uniform(-2.5, 0), self.submit, step)
        for worker_id in self.fleet.workers_by_id:
            if rng.random() < 0.8:
                self.plan_cut(worker_id, at_s + rng.uniform(0, 1))
        for _ in range(rng.randint(0, 2)):
            self.plan(at_s + rng.uniform(0, 20), self.replace_holder)

    def plan_cut(self, worker_id: str, at_s: float) -> None:
        """Plan a cut, in which the worker's entry may expire."""
        cut_s = self.rng.uniform(2, 22)
        self.plan(at_s, self.cut, worker_id)
        if cut_s > ENTRY_LIFETIME_S and self.rng.random() < 0.5:
            unlisted_at_s = at_s + self.rng.uniform(ENTRY_LIFETIME_S, cut_s)
            servers = store.Stream.SERVERS
            self.plan(unlisted_at_s, self.store.put, servers, worker_id, None)
        self.plan(at_s + cut_s, self.bring_back, worker_id)

    def plan(self, at_s: float, action, *arguments) -> None:
        """Plan an action for a moment after the beginning."""
        self.events.append((at_s, action, arguments))

    def cut(self, worker_id: str) -> None:
        """Cut a worker off."""
        self.fleet.workers_by_id[worker_id].is_cut = True

    def bring_back(self, worker_id: str) -> None:
        """Let a worker be reached and listed again."""
        self.fleet.workers_by_id[worker_id].is_cut = False
        self.readable_at[worker_id] = self.clock.monotonic()
        self.store.put(store.Stream.SERVERS, worker_id, b"back")

    def replace_holder(self) -> None:
        """Kill the holder and start its instance again."""
        name = self.holder()
        if name is not None:
            self.kill(name)
            self.start_node(name)

    def passed_s(self) -> float:
        """Return the time since the beginning."""
        return self.clock.monotonic().total_seconds()

    def check_no_readable_end(self, order: fleet.StartOrder) -> None:
        """Note a start beside an end as done that could have been read."""
        now = self.clock.monotonic()
        for interval in self.fleet.intervals:
            if interval.task != order.task or interval.run == order.run:
                continue
            worker = self.fleet.workers_by_id[interval.worker_id]
            readable_at = max(
                interval.ended_at, self.readable_at[interval.worker_id]
            )
            if (
                interval.end is fleet.End.DONE
                and not worker.is_cut
                and now - readable_at > SLACK
            ):
                self.late.append(
                    f"{now} {order.task} run {order.run}: run {interval.run}"
                    f" is done on {interval.worker_id} since {readable_at}"
                )
