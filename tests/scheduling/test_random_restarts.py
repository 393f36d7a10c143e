"""Random restarts of workers beside faults of the holder and the store.

More seeds: CARDAMOMCROFT_SEEDS=200 python -m unittest with this module;
CARDAMOMCROFT_FIRST_SEED=200 lets them begin there.
"""

import collections
import datetime
import heapq
import os
import unittest

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness
from tests.scheduling import restart_episodes
from tests.scheduling import restarting_fleet

SEEDS = int(os.environ.get("CARDAMOMCROFT_SEEDS", "24"))
FIRST_SEED = int(os.environ.get("CARDAMOMCROFT_FIRST_SEED", "0"))
LENGTH_S = 18.0
LAST_EPISODE_S = 12.0
# The longest hold, a takeover, a worker's longest avoidance and a long task,
# with a second run of it.
BOUND_S = 50.0
NAMES = "a", "b", "c"


class RandomRestartsTest(restart_episodes.RestartEpisodes):
    """Three instances; one of them holds the role."""

    def prepare(self, seed: int) -> None:
        """Draw the workers, the jobs and the first events."""
        self.prepare_episodes(seed)
        self.fleet.may_cross = self.may_cross
        self.known_at: dict[tuple[str, int], datetime.timedelta] = {}
        self.add_workers(self.rng.randint(4, 6))
        for _ in range(self.rng.randint(3, 5)):
            self.plan(self.rng.uniform(0, 8), self.submit_job)
        for _ in range(self.rng.randint(2, 4)):
            at_s = self.rng.uniform(2, LAST_EPISODE_S)
            episode = self.rng.choice(
                (self.begin_restart, self.begin_restart, self.begin_cut)
            )
            self.plan(at_s, episode)
        if self.rng.random() < 0.4:
            self.draw_outage(self.rng.uniform(1, LAST_EPISODE_S))

    async def play(self) -> None:
        """Play the events, heal everything, and check what ran."""
        for name in NAMES:
            self.start_node(name)
        await self.wait_until(self.holder)
        self.began_at = self.clock.monotonic()
        while self.events and self.events[0][0] < LENGTH_S:
            at_s, _, action, arguments = heapq.heappop(self.events)
            await self.pass_time(max(at_s - self.passed_s(), 0))
            action(*arguments)
        await self.pass_time(max(LENGTH_S - self.passed_s(), 0))
        self.heal()
        await self.wait_for_jobs()
        self.check_completions()

    async def wait_for_jobs(self) -> None:
        """Wait until every job is completed, which is recorded for 30 s."""
        self.open_job_ids = set(self.fleet.steps_by_job)
        until_s = self.passed_s() + BOUND_S
        while not self.is_everything_completed():
            self.assertLess(
                self.passed_s(), until_s, f"open: {self.open_job_ids}"
            )
            await self.pass_time(0.5)

    def heal(self) -> None:
        """End every fault."""
        self.fleet.note("heal")
        self.store.faults.is_down = False
        self.store.faults.refused_clients.clear()
        for worker_id, worker in self.fleet.workers_by_id.items():
            worker.is_cut = False
            worker.orders_to_delay = 0
            self.list_worker(worker_id)
        for name in NAMES:
            self.start_again(name)

    def is_everything_completed(self) -> bool:
        """Return whether every job is completed."""
        self.open_job_ids = {
            job_id
            for job_id in self.open_job_ids
            if self.state(job_id) != "completed"
        }
        return not self.open_job_ids

    def check_single_runs(self) -> None:
        """Check the leases granted, too; note which restarts are known."""
        super().check_single_runs()
        # Clocks and deadlines are whole milliseconds.
        lease_ms = harness.LEASE.total_seconds() * 1000 + 1
        self.assertLessEqual(self.fleet.longest_lease_ms, lease_ms)
        now = self.clock.monotonic()
        for node in self.nodes_by_name.values():
            if node.scheduler is not None:
                for worker in node.scheduler.cluster.workers_by_id.values():
                    key = worker.worker_id, worker.born_ms
                    self.known_at.setdefault(key, now)

    def is_recorded(self, worker_id: str, order: fleet.StartOrder) -> bool:
        """Return whether a start's run is in its worker's last record."""
        key = ledgers.Kind.ASSIGNMENT.key(worker_id)
        values = [
            record.value
            for record in self.store.records_by_stream[store.Stream.JOBS]
            if record.key == key
        ]
        if not values or values[-1] is None:
            return False
        recorded = codec.decode_assignment(values[-1]).runs_by_task
        return recorded.get(order.task) == order.run

    def may_cross(self, worker, late: restarting_fleet.LateOrder) -> bool:
        """Return whether an order may reach a later incarnation."""
        key = late.worker_id, worker.listing.born_ms
        is_recorded = isinstance(
            late.order, fleet.StartOrder
        ) and self.is_recorded(late.worker_id, late.order)
        self.fleet.note(
            f"restart known: {key in self.known_at}, "
            f"run recorded: {is_recorded}, cut off: {worker.is_cut}"
        )
        return True

    def check_completions(self) -> None:
        """Assert that a task completes again only if its end was lost."""
        numbers_by_task = collections.defaultdict(list)
        for interval in self.fleet.intervals:
            if interval.end is fleet.End.DONE:
                numbers_by_task[interval.task].append(interval.run)
        lost = self.fleet.unreadable.union(self.fleet.lost_completions)
        for task, numbers in numbers_by_task.items():
            kept = [n for n in numbers if (task, n) not in lost]
            self.assertLessEqual(len(kept), 1, f"{task} done twice")

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


for _seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
    setattr(RandomRestartsTest, f"test_seed_{_seed:03}", _make_test(_seed))


if __name__ == "__main__":
    unittest.main()
