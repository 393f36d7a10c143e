"""Random mixes of work with crashes: nothing stands beside room for long.

More seeds: CARDAMOMCROFT_SEEDS=20 python -m unittest with this module; the
first one by CARDAMOMCROFT_FIRST_SEED. Seeds 6 and 9 are played always.
"""

import collections
import collections.abc
import dataclasses
import datetime
import functools
import os
import random
import unittest

from cardamomcroft.ports import store
from cardamomcroft.scheduling import models
from tests.scheduling import harness

SEEDS = int(os.environ.get("CARDAMOMCROFT_SEEDS", "0"))
FIRST_SEED = int(os.environ.get("CARDAMOMCROFT_FIRST_SEED", "0"))
WORKERS = 24
RACKS = 4
ACCELERATORS = 8  # of a worker
GUARANTEES = {"b": 56}
LENGTH_S = 100.0  # 2,000 rounds of the harness
LAST_ARRIVAL_S = 85.0
WATCH_S = 0.25
RELISTING_S = 2.0  # until the platform drops the entry of a dead worker
# The rule: what stands beside room twice over for so long is lost, a task
# that lasts from some time after its last run, and not around crashes.
STANDING = harness.seconds(3)
ALLOWED_AWAY = harness.seconds(6)
CALM = harness.seconds(4)
# The round that starts the work, its order, and the worker's answer.
MARGIN = harness.seconds(0.5)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of job, how long its tasks run and how often it comes."""

    name: str
    priority: int
    step: models.Step
    duration_s: tuple[float, float]
    per_minute: float
    account: str = "a"

    @property
    def queue(self) -> models.Queue:
        """Return the queue of the kind's priority."""
        return harness.make_queue(self.priority)


def make_kinds(rng: random.Random) -> dict[str, Kind]:
    """Draw the sizes of the kinds and how often each comes, by name."""

    def step(width: int, accelerators: int, **fields: object) -> models.Step:
        model = harness.make_step(width, accelerators, **fields)
        estimate = harness.seconds(rng.uniform(2, 12))
        return dataclasses.replace(model, estimate=estimate)

    gang = {"is_gang": True}
    lasting = {"is_lasting": True}
    rack_local = {"is_gang": True, "is_rack_local": True}
    near_data = {"data_rack": "r1"}
    kinds = (
        Kind("lasting", 1, step(rng.randint(1, 3), 8, **lasting), (0, 0), 3),
        Kind("serving", 1, step(rng.randint(1, 6), 1, **lasting), (0, 0), 2),
        Kind("urgent", 0, step(2, 8, **gang), (2, 4), rng.uniform(5, 40), "b"),
        Kind(
            "large",
            1,
            step(rng.randint(1, 4), 8),
            (4, 12),
            rng.uniform(1, 8),
        ),
        Kind(
            "rack-local",
            1,
            step(rng.randint(2, 6), 8, **rack_local),
            (4, 12),
            rng.uniform(1, 5),
        ),
        Kind(
            "near data",
            1,
            step(rng.randint(1, 4), 4, **near_data),
            (4, 12),
            rng.uniform(1, 8),
        ),
        Kind(
            "batch",
            2,
            step(rng.randint(40, 90), 1),
            (5, 11),
            rng.uniform(2, 18),
        ),
    )
    return {kind.name: kind for kind in kinds}


@dataclasses.dataclass(frozen=True)
class Room:
    """What the workers that are up have free."""

    free: tuple[models.Demand, ...]

    @property
    def is_mostly_free(self) -> bool:
        """Return whether under half of all accelerators are in use."""
        left = sum(demand.accelerators for demand in self.free)
        return left * 2 > WORKERS * ACCELERATORS

    def fits_twice(self, model: models.Step) -> bool:
        """Return whether two tasks fit, or a gang with twice its width."""
        wanted = 2 * (model.width if model.is_gang else 1)
        for free in self.free:
            while wanted and model.demand.fits(free):
                free = free.minus(model.demand)
                wanted -= 1
        return not wanted


class RandomMixesTest(harness.SchedulingTestCase):
    """One instance and workers in four racks; some workers crash."""

    def prepare(self, seed: int) -> None:
        """Draw what is submitted and which workers crash, and when."""
        self.seed = seed
        self.rng = random.Random(seed)
        self.fleet.duration_of = self.duration_of
        self.kind_by_job: dict[str, Kind] = {}
        self.accepted_at_by_job: dict[str, datetime.timedelta] = {}
        self.ended: set[str] = set()
        self.crashed_at = -CALM
        self.unlist_at_by_worker: dict[str, datetime.timedelta] = {}
        self.stands_since_by_name: dict[str, datetime.timedelta] = {}
        self.found_by_name: dict[str, str] = {}
        self.events: list[tuple[float, collections.abc.Callable]] = []
        kinds = make_kinds(self.rng)
        self.draw_arrivals(kinds)
        self.draw_crashes(kinds["batch"])
        self.events.sort(key=lambda event: event[0])

    def draw_arrivals(self, kinds: dict[str, Kind]) -> None:
        """Plan the jobs of each kind; one that lasts comes first."""
        first = functools.partial(self.submit_kind, kinds["lasting"])
        self.events.append((0.0, first))
        for kind in kinds.values():
            at_s = self.rng.expovariate(kind.per_minute / 60)
            while at_s < LAST_ARRIVAL_S:
                action = functools.partial(self.submit_kind, kind)
                self.events.append((at_s, action))
                at_s += self.rng.expovariate(kind.per_minute / 60)

    def draw_crashes(self, batch: Kind) -> None:
        """Plan crashes, most of them in a burst of batch work."""
        for _ in range(self.rng.randint(1, 3)):
            crash_s = self.rng.uniform(10, 80)
            self.events.append((crash_s, self.crash))
            if self.rng.random() < 0.75:
                for _ in range(self.rng.randint(3, 6)):
                    at_s = crash_s - self.rng.uniform(0, 3)
                    action = functools.partial(self.submit_kind, batch)
                    self.events.append((at_s, action))

    def duration_of(self, task: str) -> datetime.timedelta:
        """Return how long a task runs; members of a gang end together."""
        kind = self.kind_by_job[task[:16]]
        name = task[:16] if kind.step.is_gang else task
        rng = random.Random(f"{self.seed} {name}")
        return harness.seconds(rng.uniform(*kind.duration_s))

    def submit_kind(self, kind: Kind) -> None:
        """Submit a job; work that lasts gets a third of the workers."""
        if kind.step.is_lasting and self.lasting_share(kind.step) > 1 / 3:
            return
        job_id = self.submit(kind.step, queue=kind.queue, account=kind.account)
        self.kind_by_job[job_id] = kind
        self.accepted_at_by_job[job_id] = self.clock.monotonic()
        if kind.step.is_lasting:
            self.fleet.lasting_job_ids.add(job_id)

    def lasting_share(self, further: models.Step) -> float:
        """Return the part of all accelerators that would be for good."""
        steps = [self.kind_by_job[j].step for j in self.fleet.lasting_job_ids]
        wanted = sum(
            step.width * step.demand.accelerators for step in [*steps, further]
        )
        return wanted / (WORKERS * ACCELERATORS)

    def crash(self) -> None:
        """Lose a worker that runs a large task that lasts."""
        loaded = sorted(
            worker_id
            for task, worker_id in self.fleet.running()
            if self.kind_by_job[task[:16]].name == "lasting"
        )
        if loaded:
            worker_id = self.rng.choice(loaded)
            self.fleet.die(worker_id)
            self.crashed_at = self.clock.monotonic()
            unlist_at = self.crashed_at + harness.seconds(RELISTING_S)
            self.unlist_at_by_worker[worker_id] = unlist_at

    def unlist(self) -> None:
        """Drop the entries of workers that have been dead for long."""
        for worker_id, at in list(self.unlist_at_by_worker.items()):
            if self.clock.monotonic() >= at:
                del self.unlist_at_by_worker[worker_id]
                self.store.put(store.Stream.SERVERS, worker_id, None)

    async def start(self) -> None:
        """Start the instance beside its workers."""
        for number in range(WORKERS):
            worker_id, rack = f"w{number + 1}", f"r{number % RACKS + 1}"
            listing = self.fleet.add(worker_id, ACCELERATORS, rack)
            self.listings[worker_id] = listing
            self.store.put(store.Stream.SERVERS, worker_id, b"1")
        self.start_node("a")
        await self.wait_until(self.holder)
        self.nodes_by_name["a"].scheduler._guarantees = lambda: GUARANTEES
        await self.pass_time(1)

    async def check(self) -> None:
        """Play the events; nothing may stand beside room."""
        await self.start()
        began_at = self.clock.monotonic()
        while (now := self.clock.monotonic() - began_at) < harness.seconds(
            LENGTH_S
        ):
            while self.events and harness.seconds(self.events[0][0]) <= now:
                self.events.pop(0)[1]()
            self.unlist()
            await self.pass_time(WATCH_S)
            self.watch()
        found = sorted(self.found_by_name.items())
        self.assertEqual(found, [], "stands beside room")

    def watch(self) -> None:
        """Note what stands beside room now, and for how long."""
        now = self.clock.monotonic()
        standing: set[str] = set()
        if now >= self.crashed_at + CALM:
            workers = self.fleet.workers_by_id.values()
            room = Room(tuple(worker.free_capacity() for worker in workers))
            standing.update(self.lasting_tasks_away(room))
            if room.is_mostly_free:
                standing.update(self.jobs_without_runs(room))
        self.stands_since_by_name = {
            name: self.stands_since_by_name.get(name, now) for name in standing
        }
        for name, since in self.stands_since_by_name.items():
            if now - since > STANDING + MARGIN:
                kind = self.kind_by_job[name[:16]].name
                stood_s = (now - since).total_seconds()
                self.found_by_name[name] = f"{kind} for {stood_s:.1f} s"

    def lasting_tasks_away(self, room: Room) -> collections.abc.Iterator[str]:
        """Yield the tasks that last, have been away and have room."""
        now = self.clock.monotonic()
        running = {task for task, _ in self.fleet.running()}
        ended_at_by_task = {
            interval.task: interval.ended_at
            for interval in self.fleet.intervals
            if interval.ended_at is not None
        }
        for job_id in self.fleet.lasting_job_ids:
            step = self.kind_by_job[job_id].step
            accepted_at = self.accepted_at_by_job[job_id]
            for index in range(step.width):
                task = f"{job_id}.0.0.{index}"
                since = ended_at_by_task.get(task, accepted_at)
                is_away = task not in running and now >= since + ALLOWED_AWAY
                if is_away and room.fits_twice(step):
                    yield task

    def jobs_without_runs(self, room: Room) -> collections.abc.Iterator[str]:
        """Yield the jobs that have an end, no runs, and room."""
        running = {task[:16] for task, _ in self.fleet.running()}
        for job_id, kind in self.kind_by_job.items():
            if (
                job_id in running
                or job_id in self.ended
                or kind.step.is_lasting
                or not room.fits_twice(kind.step)
            ):
                continue
            # The record of an ended job is dropped after a while.
            if self.state(job_id) in ("queued", "running"):
                yield job_id
            else:
                self.ended.add(job_id)


def _make_test(seed: int):
    async def test(self):
        self.prepare(seed)
        await self.check()

    test.__doc__ = f"Play seed {seed}."
    return test


for _seed in {6, 9, *range(FIRST_SEED, FIRST_SEED + SEEDS)}:
    setattr(RandomMixesTest, f"test_seed_{_seed:03}", _make_test(_seed))


if __name__ == "__main__":
    unittest.main()
