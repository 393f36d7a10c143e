"""Draw faults from a seed and inject them from outside the processes."""

import asyncio
import collections
import collections.abc
import datetime
import random
import signal

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from cardamomcroft.standin import store as standin_store
from soak import checks
from soak import clients
from soak import instances as processes
from soak import proxy

MAX_FAULT_S = 4.0
MAX_LATE_S = 6.0
HASTY_CALLERS = 3  # who submit while writes are late
MAX_START_WAIT_S = 8.0  # of the tasks that a fault is about
CROWD_CUT_S = 1.5  # less than a lease
CROWD_OF_WORKER = standin_fleet.ENDS_PER_ANSWER + 150
MAX_CROWD = 2 * CROWD_OF_WORKER
TASKS_OF_WIDE_STEP = 8  # for each worker of the rack, which runs two at a time
LOOK_INTERVAL_S = 0.1
# Time after which the platform restarts a process that has ended.
RESTART_DELAY_S = 0.5
# Three heartbeat intervals, after which a silent worker's entry is removed.
ENTRY_LIFE_S = 4.5
# ConfigApplyMs of the instances' settings plus 0.5 s for a call.
CONFIG_APPLY_S = processes.BOUNDS["ConfigApplyMs"] / 1000 + 0.5
LINK_MODES = (
    proxy.Mode.DELAYED,
    proxy.Mode.REFUSED,
    proxy.Mode.SILENT,
    proxy.Mode.NO_ANSWERS,
    proxy.Mode.STALE,
)
Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Faults:
    """Faults of processes, links, the store and the workers."""

    def __init__(
        self,
        target: platform.PlatformServer,
        cluster: list[processes.Instance],
        callers: clients.Callers,
        rng: random.Random,
    ) -> None:
        """Create the faults; ``rng`` draws their targets and times."""
        self._platform = target
        self._instances = cluster
        self._callers = callers
        self._rng = rng
        self._version = 1
        self._least_workers = len(target.fleet.workers_by_id) // 2
        self._replacing: list[asyncio.Task] = []
        self._under_way = 0  # faults that have not ended
        self._has_begun = False  # a fault, since this was last asked for
        self.history: list[str] = []
        self._disrupted: set[str] = set()  # instances with a fault under way
        self.counts: collections.Counter[str] = collections.Counter()
        self.slow_stops: list[float] = []
        self.served_revoked_keys: list[str] = []
        self.kinds: dict[str, Action] = {
            "kill": self._kill,
            "kill_holder": self._kill_holder,
            "freeze": self._freeze,
            "freeze_holder": self._freeze_holder,
            "planned_stop": self._planned_stop,
            "hang_up": self._hang_up,
            "kill_all": self._kill_all,
            "harm_link": self._degrade_link,
            "reset_link": self._reset_link,
            "store_down": self._store_down,
            "store_slow": self._store_slow,
            "store_answers_lost": self._store_answers_lost,
            "store_writes_late": self._store_writes_late,
            "history_dropped": self._history_dropped,
            "worker_cut": self._worker_cut,
            "crowded_worker_cut": self._crowded_worker_cut,
            "worker_hangs": self._worker_hangs,
            "worker_fails": self._worker_fails,
            "worker_reborn": self._worker_reborn,
            "worker_dies": self._worker_dies,
            "worker_refuses": self._worker_refuses,
            "worker_of_wide_step_dies": self._worker_of_wide_step_dies,
            "worker_dies_at_takeover": self._worker_dies_at_takeover,
            "start_answers_lost": self._start_answers_lost,
            "configuration": self._configuration,
            "revoke_key": self._revoke_key,
        }

    def holder(self) -> processes.Instance:
        """Return the instance with the newest claim, or a random one."""
        records = self._platform.store.records_by_stream[store.Stream.JOBS]
        for record in reversed(records):
            if record.key == ledger.CLAIM_KEY and record.value:
                name = codec.decode_claim(record.value).holder.split(" ")[0]
                for instance in self._instances:
                    if instance.name == name:
                        return instance
        return self._rng.choice(self._instances)

    async def inject(self, kind: str) -> None:
        """Inject a fault of a kind, count it and undo it if it lasts."""
        self.counts[kind] += 1
        self._under_way += 1
        self._has_begun = True
        self._note(f"{kind} begins")
        try:
            await self.kinds[kind]()
        finally:
            self._under_way -= 1
            self._note(f"{kind} ends")

    def take_disturbed(self) -> bool:
        """Return whether a fault was under way since the last call."""
        is_disturbed = self._has_begun or self._under_way > 0
        self._has_begun = self._under_way > 0
        return is_disturbed

    def _note(self, what: str) -> None:
        now = datetime.datetime.now(datetime.UTC)
        self.history.append(f"{now.time()} {what}\n")

    async def finish(self) -> None:
        """Wait until the workers that died are replaced."""
        await asyncio.gather(*self._replacing)

    def _random_instance(self) -> processes.Instance:
        return self._rng.choice(self._instances)

    def _random_worker(self):
        names = sorted(self._platform.fleet.workers_by_id)
        return self._platform.fleet.workers_by_id[self._rng.choice(names)]

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.3, MAX_FAULT_S))

    async def _restart(self, instance: processes.Instance) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        await instance.start()

    async def _disrupt_process(self, instance, disrupt) -> None:
        """Disrupt a process unless a fault of it is under way."""
        if instance.name in self._disrupted:
            return
        self._note(instance.name)
        self._disrupted.add(instance.name)
        try:
            await disrupt(instance)
        finally:
            self._disrupted.discard(instance.name)

    async def _kill_one(self, instance: processes.Instance) -> None:
        await instance.kill()
        await self._restart(instance)

    async def _freeze_one(self, instance: processes.Instance) -> None:
        await instance.freeze(self._rng.uniform(0.5, MAX_FAULT_S))

    async def _stop_one(self, instance: processes.Instance) -> None:
        took_s = await instance.stop()
        if took_s >= processes.GRACE_S:
            self.slow_stops.append(took_s)
        await self._restart(instance)

    async def _kill(self) -> None:
        await self._disrupt_process(self._random_instance(), self._kill_one)

    async def _kill_holder(self) -> None:
        await self._disrupt_process(self.holder(), self._kill_one)

    async def _freeze(self) -> None:
        await self._disrupt_process(self._random_instance(), self._freeze_one)

    async def _freeze_holder(self) -> None:
        await self._disrupt_process(self.holder(), self._freeze_one)

    async def _planned_stop(self) -> None:
        await self._disrupt_process(self._random_instance(), self._stop_one)

    async def _hang_up(self) -> None:
        instance = self._random_instance()
        instance.write_settings()
        instance.send(signal.SIGHUP)

    async def _kill_all(self) -> None:
        await asyncio.gather(
            *(
                self._disrupt_process(instance, self._kill_one)
                for instance in self._instances
            )
        )

    async def _degrade_link(self) -> None:
        link = self._random_instance().link
        mode = self._rng.choice(LINK_MODES)
        self.counts[f"link_{mode.value}"] += 1
        link.set_mode(mode)
        await self._pause()
        link.set_mode(proxy.Mode.CLEAR)

    async def _reset_link(self) -> None:
        self._random_instance().link.reset()

    async def _store_down(self) -> None:
        self._platform.store.faults.is_down = True
        await self._pause()
        self._platform.store.faults.is_down = False

    async def _store_slow(self) -> None:
        faults = self._platform.store.faults
        faults.delay = standin_store.ROUND_TRIP * 40
        await self._pause()
        faults.delay = standin_store.ROUND_TRIP

    async def _store_answers_lost(self) -> None:
        faults = self._platform.store.faults
        faults.lose_answers += 3
        await self._pause()
        faults.lose_answers = 0

    async def _store_writes_late(self) -> None:
        """Carry out clients' changes 1 to 6 s later, unanswered.

        Callers submit meanwhile, and cancel when their time is over.
        """
        faults = self._platform.store.faults
        late_s = self._rng.uniform(1, MAX_LATE_S)
        faults.late_after = datetime.timedelta(seconds=late_s)
        faults.late_appends = True
        calls = [
            self._callers.submit(
                f"{self._rng.getrandbits(64):016x}",
                clients.make_body(self._rng, 5),
                is_hasty=True,
            )
            for _ in range(HASTY_CALLERS)
        ]
        submitted = asyncio.gather(*calls)
        await asyncio.sleep(clients.CALL_TIMEOUT_S)
        faults.late_appends = False
        await submitted
        await asyncio.sleep(late_s)

    async def _history_dropped(self) -> None:
        faults = self._platform.store.faults
        faults.expire_reads += 2
        await self._pause()
        faults.expire_reads = 0

    async def _worker_cut(self) -> None:
        worker = self._random_worker()
        worker.is_cut = True
        await self._pause()
        worker.is_cut = False

    async def _crowded_worker_cut(self) -> None:
        """Cut a worker off while more tasks end than it lists at once."""
        durations = self._platform.fleet.durations_by_job
        crowd = clients.make_crowd(MAX_CROWD, clients.FIRST_RACK)
        job_id = await self._submit(crowd, datetime.timedelta(minutes=1))
        worker = await self._worker_running(job_id, CROWD_OF_WORKER)
        if worker is not None:
            self.counts["ends_beyond_a_list"] += 1
            worker.is_cut = True
        durations[job_id] = datetime.timedelta()
        if worker is not None:
            await asyncio.sleep(CROWD_CUT_S)
            worker.is_cut = False

    async def _submit(self, body: dict, duration: datetime.timedelta) -> str:
        """Submit a job with tasks of a duration; return its id."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        self._platform.fleet.durations_by_job[job_id] = duration
        await self._callers.submit(job_id, body)
        return job_id

    async def _worker_running(
        self, job_id: str, least: int
    ) -> standin_fleet.FakeWorker | None:
        """Wait for a worker with so many tasks of a job; None without one."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_START_WAIT_S
        while loop.time() < until:
            for worker in self._platform.fleet.workers_by_id.values():
                tasks = map(checks.job_of, worker.runs_by_task)
                if sum(task == job_id for task in tasks) >= least:
                    return worker
            await asyncio.sleep(LOOK_INTERVAL_S)
        return None

    async def _worker_hangs(self) -> None:
        worker = self._random_worker()
        worker.hangs = True
        await self._pause()
        worker.hangs = False

    async def _worker_fails(self) -> None:
        worker = self._random_worker()
        worker.fails_everything = True
        await asyncio.sleep(1)
        worker.fails_everything = False

    async def _worker_reborn(self) -> None:
        worker_id = self._random_worker().listing.address.worker_id
        self._platform.restart_worker(worker_id)

    async def _start_answers_lost(self) -> None:
        worker = self._random_worker()
        worker.lose_start_answers += 2
        await self._pause()
        worker.lose_start_answers = 0

    async def _worker_dies(self, refuses: bool = False) -> None:
        """End a worker for good, with tasks if any has some."""
        await self._wait_for_workers()
        fleet = self._platform.fleet
        busy = sorted({worker_id for _, worker_id in fleet.running()})
        worker_id = self._rng.choice(busy or sorted(fleet.workers_by_id))
        await self._end_worker(worker_id, refuses)

    async def _wait_for_workers(self) -> None:
        """Wait for replacements if half of the workers are left."""
        if len(self._platform.fleet.workers_by_id) <= self._least_workers:
            await asyncio.gather(*self._replacing)

    async def _end_worker(self, worker_id: str, refuses: bool) -> None:
        """End a worker; let another one follow in its rack."""
        rack = self._platform.fleet.workers_by_id[worker_id].listing.rack
        self._note(f"{worker_id} dies")
        await self._platform.end_worker(worker_id, refuses)
        number = len(self._replacing)
        successor = f"w{number}-after-{worker_id.partition('-')[0]}"
        replacing = self._replace_worker(worker_id, rack, successor)
        self._replacing.append(asyncio.ensure_future(replacing))

    async def _replace_worker(
        self, worker_id: str, rack: str, successor: str
    ) -> None:
        await asyncio.sleep(ENTRY_LIFE_S)
        self._platform.remove_entry(worker_id)
        await self._pause()
        await self._platform.listen_for_worker(successor, rack)

    async def _worker_of_wide_step_dies(self) -> None:
        """End a worker with tasks of a rack-local step, of which others wait.

        They are to start while its entry is gone and its lease is not.
        """
        await self._wait_for_workers()
        rack = [
            worker
            for worker in self._platform.fleet.workers_by_id.values()
            if worker.listing.rack == clients.FIRST_RACK
        ]
        job_id = await self._submit(
            clients.make_wide(len(rack) * TASKS_OF_WIDE_STEP),
            datetime.timedelta(milliseconds=clients.LONG_TASK_TIME_MS),
        )
        worker = await self._worker_running(job_id, 1)
        if worker is not None:
            worker_id = worker.listing.address.worker_id
            await self._end_worker(worker_id, refuses=False)

    async def _worker_refuses(self) -> None:
        await self._worker_dies(refuses=True)

    async def _worker_dies_at_takeover(self) -> None:
        """End a worker shortly before or after the scheduler's holder."""
        refuses = self._rng.random() < 0.5
        actions = [self._kill_holder(), self._worker_dies(refuses)]
        self._rng.shuffle(actions)
        first = asyncio.ensure_future(actions[0])
        await self._pause()
        await asyncio.gather(first, actions[1])

    async def _configuration(self) -> None:
        self._version += 1
        data = make_configuration(self._version, self._callers.key)
        self._platform.configure(data)

    async def _revoke_key(self) -> None:
        """Revoke the callers' key; record instances that still accept it."""
        self._version += 1
        old, new = self._callers.key, f"key-{self._version}"
        self._platform.configure(make_configuration(self._version, new))
        self._callers.key = new
        await asyncio.sleep(CONFIG_APPLY_S)
        for instance in self._instances:
            status, _ = await self._callers.call(
                "GET", "/scan/", instance=instance, key=old
            )
            if status == 200:
                self.served_revoked_keys.append(f"{instance.name}: {old}")


def make_configuration(version: int, key: str) -> dict:
    """Return a configuration with three queues and one account."""
    routes = [
        platform.make_route(f"q{priority}", prefix, priority, attempts=1000)
        for priority, prefix in enumerate(clients.PREFIXES)
    ]
    account = {
        "Name": "t",
        "ApiKeys": [key],
        "Guaranteed": {"Gpu": 8},
    }
    return {"Version": version, "Routes": routes, "Tenants": [account]}
