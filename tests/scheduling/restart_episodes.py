"""Draw restarts of workers and faults of the holder and the store."""

import asyncio
import heapq
import itertools
import random

from cardamomcroft.ports import store
from tests.scheduling import harness
from tests.scheduling import restarting_fleet

LONG_S = 18.0


class RestartEpisodes(harness.SchedulingTestCase):
    """Actions that plan others for later moments."""

    def prepare_episodes(self, seed: int) -> None:
        """Create a fleet and an empty plan."""
        self.rng = random.Random(seed)
        self.fleet = restarting_fleet.RestartingFleet(
            self.clock, self.duration, self.rng
        )
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.handovers: set[asyncio.Task] = set()

    def plan(self, at_s: float, action, *arguments) -> None:
        """Plan an action for a moment after the beginning."""
        heapq.heappush(
            self.events, (at_s, next(self.order), action, arguments)
        )

    def pick_worker(self) -> str:
        """Return a worker, rather one that has late orders or runs."""
        late = [late.worker_id for late in self.fleet.late_orders]
        busy = [worker_id for _, worker_id in self.fleet.running()]
        for preferred in (late, busy):
            if preferred and self.rng.random() < 0.7:
                return self.rng.choice(sorted(set(preferred)))
        return self.rng.choice(sorted(self.fleet.workers_by_id))

    def delay_orders(self) -> None:
        """Let workers carry out their next orders late, unanswered."""
        for worker in self.fleet.workers_by_id.values():
            worker.orders_to_delay = self.rng.randint(0, 3)
        if self.rng.random() < 0.6:
            self.after(self.rng.uniform(0, 0.4), self.submit_job)

    def begin_restart(self) -> None:
        """Let a worker restart, with faults before and after it."""
        restart_s = self.rng.uniform(0.3, 1.5)
        if self.rng.random() < 0.7:
            self.delay_orders()
        self.after(restart_s, self.restart_one)

    def restart_one(self) -> None:
        """Restart a worker, perhaps twice, and perhaps cut it off."""
        worker_id = self.pick_worker()
        if self.rng.random() < 0.3:
            self.cut(worker_id, True)
            back_s = self.rng.uniform(0, 2)
            self.after(back_s, self.cut, worker_id, False)
        self.restart(worker_id)
        if self.rng.random() < 0.25:
            again_s = self.rng.uniform(0.3, 5)
            self.after(again_s, self.restart, worker_id)
        if self.rng.random() < 0.7:
            cut_s = self.rng.uniform(0.1, 3)
            self.after(cut_s, self.begin_cut, worker_id)

    def begin_cut(self, worker_id: str | None = None) -> None:
        """Cut a worker off; the holder fails near that."""
        worker_id = worker_id or self.pick_worker()
        cut_s = self.rng.uniform(0, 1.5)
        self.after(cut_s, self.cut, worker_id, True)
        self.after(cut_s + self.rng.uniform(2, 14), self.cut, worker_id, False)
        if self.rng.random() < 0.8:
            fault = self.rng.choice(
                (
                    self.replace_holder,
                    self.replace_holder,
                    self.refuse_holder,
                    self.hand_over,
                    self.kill_all,
                )
            )
            self.after(self.rng.uniform(0, 3), fault)

    def draw_outage(self, at_s: float) -> None:
        """Plan an outage of the store."""
        self.plan(at_s, self.set_outage, True)
        self.plan(at_s + self.rng.uniform(1, 5), self.set_outage, False)

    def after(self, delay_s: float, action, *arguments) -> None:
        """Plan an action for a moment from now on."""
        self.plan(self.passed_s() + delay_s, action, *arguments)

    def passed_s(self) -> float:
        """Return the time since the beginning."""
        return (self.clock.monotonic() - self.began_at).total_seconds()

    def submit_job(self) -> None:
        """Submit a job with short or long tasks, or a gang."""
        kind = self.rng.choice(("short", "long", "long", "gang"))
        width = self.rng.randint(2, 3)
        step = harness.make_step(
            width, self.rng.randint(1, 2), is_gang=kind == "gang"
        )
        job_id = self.submit(step)
        if kind != "short":
            self.fleet.durations_by_job[job_id] = harness.seconds(LONG_S)
        self.fleet.note(f"job {job_id} {kind} {width}")

    def cut(self, worker_id: str, is_cut: bool) -> None:
        """Cut a worker off from everyone, or back."""
        worker = self.fleet.workers_by_id[worker_id]
        self.fleet.note(f"{worker_id} cut={is_cut}")
        if is_cut:
            worker.cut()
        else:
            worker.is_cut = False

    def restart(self, worker_id: str) -> None:
        """Let a worker restart; it is listed at once, later or never."""
        former = self.fleet.workers_by_id[worker_id]
        listing = self.fleet.restart(worker_id)
        if former.is_cut:
            self.fleet.workers_by_id[worker_id].cut()
        way = self.rng.choice(("at once", "later", "never", "gone"))
        self.fleet.note(f"{worker_id} restarts {listing.born_ms}, {way}")
        if way == "at once":
            self.list_worker(worker_id)
        elif way == "later":
            self.after(self.rng.uniform(0.2, 3), self.list_worker, worker_id)
        elif way == "gone":
            self.store.put(store.Stream.SERVERS, worker_id, None)

    def list_worker(self, worker_id: str) -> None:
        """Write a worker's entry."""
        self.listings[worker_id] = self.fleet.read_listing(worker_id)
        self.fleet.note(f"{worker_id} is listed")
        self.store.put(store.Stream.SERVERS, worker_id, b"listed")

    def set_outage(self, is_down: bool) -> None:
        """Begin or end an outage of the store."""
        self.fleet.note(f"store down={is_down}")
        self.store.faults.is_down = is_down

    def start_again(self, name: str) -> None:
        """Start an instance's process unless it runs."""
        if name not in self.nodes_by_name:
            self.fleet.note(f"start {name}")
            self.start_node(name)

    def replace_holder(self) -> None:
        """Kill the holder; its instance starts at once or later."""
        name = self.holder()
        if name is not None:
            self.fleet.note(f"kill holder {name}")
            self.kill(name)
            delay_s = self.rng.choice((0, 0.3, self.rng.uniform(0.5, 6)))
            self.after(delay_s, self.start_again, name)

    def refuse_holder(self) -> None:
        """Cut the holder off from the store for a while."""
        name = self.holder()
        if name is not None:
            self.fleet.note(f"refuse holder {name}")
            refused = self.store.faults.refused_clients
            refused.add(name)
            self.after(self.rng.uniform(1, 12), refused.discard, name)

    def hand_over(self) -> None:
        """Stop the holder in order; its instance starts later."""
        name = self.holder()
        if name is not None:
            self.fleet.note(f"stop holder {name}")
            task = asyncio.ensure_future(self.stop_in_order(name))
            self.handovers.add(task)

    async def stop_in_order(self, name: str) -> None:
        """Stop an instance's process and start it again."""
        node = self.nodes_by_name[name]
        await node.stop()
        if self.nodes_by_name.get(name) is node:
            self.kill(name)
            self.after(self.rng.uniform(0.3, 4), self.start_again, name)

    def kill_all(self) -> None:
        """Kill every instance; one of them starts first."""
        self.fleet.note("kill all")
        names = list(self.nodes_by_name)
        for name in names:
            self.kill(name)
        delay_s = self.rng.uniform(0.3, 8)
        for name in names:
            self.after(delay_s, self.start_again, name)
            delay_s += self.rng.uniform(0.5, 3)
