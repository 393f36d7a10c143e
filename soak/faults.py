"""Draw faults from a seed and inject them from outside the processes."""

import asyncio
import collections
import datetime
import functools
import random
import signal

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
from cardamomcroft.standin import platform
from cardamomcroft.standin import store as standin_store
from soak import clients
from soak import evacuations
from soak import instances as processes
from soak import proxy
from soak import rebirths
from soak import returns
from soak import worker_faults

MAX_LATE_S = 6.0
TAKEOVER_FREEZE_S = (3.0, 5.0)  # during which another takes over
MAX_KEEP_WAIT_S = 8.0
HASTY_CALLERS = 3  # who submit while writes are late
# Time after which the platform restarts a process that has ended.
RESTART_DELAY_S = 0.5
# ConfigApplyMs of the instances' settings plus 0.5 s for a call.
CONFIG_APPLY_S = processes.BOUNDS["ConfigApplyMs"] / 1000 + 0.5
LINK_MODES = (
    proxy.Mode.DELAYED,
    proxy.Mode.REFUSED,
    proxy.Mode.SILENT,
    proxy.Mode.NO_ANSWERS,
    proxy.Mode.STALE,
)


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
        self.counts: collections.Counter[str] = collections.Counter()
        self._workers = worker_faults.WorkerFaults(
            target, callers, rng, self._note, self.counts
        )
        self.evacuations = evacuations.Evacuations(target, rng, self._note)
        self._under_way = 0  # faults that have not ended
        self._has_begun = False  # a fault, since this was last asked for
        self.history: list[str] = []
        self._disrupted: set[str] = set()  # instances with a fault under way
        self._kept: set[str] = set()  # of these, spared for a later fault
        # The instances that were frozen, each with the end of that.
        self.thaws: list[tuple[str, datetime.timedelta]] = []
        self.slow_stops: list[float] = []
        self.served_revoked_keys: list[str] = []
        self.kinds: dict[str, worker_faults.Action] = self._workers.kinds | {
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
            "worker_dies_at_takeover": self._worker_dies_at_takeover,
            "worker_reborn_at_takeover": self._reborn(),
            "rack_reborn_at_takeover": self._reborn(is_of_rack=True),
            "worker_reborn_twice": self._reborn(restarts=2),
            "worker_reborn_unlisted": self._reborn(is_unlisted=True),
            "worker_returns": self._returning(),
            "rack_returns": self._returning(is_of_rack=True),
            "rack_returns_slowly": self._returning(
                is_of_rack=True, is_slow=True
            ),
            "worker_returns_at_takeover": self._returning(has_takeover=True),
            "rack_returns_at_takeover": self._returning(
                is_of_rack=True, has_takeover=True
            ),
            "rack_returns_slowly_at_takeover": self._returning(
                is_of_rack=True, is_slow=True, has_takeover=True
            ),
            "configuration": self._configuration,
            "revoke_key": self._revoke_key,
            "evacuation": self.evacuations.evacuate_one,
            "evacuation_of_two": self.evacuations.evacuate_two,
            "evacuation_revoked_in_outage": self.evacuations.revoke_in_outage,
            "evacuation_at_takeover": self._evacuate_at_takeover,
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

    def missing_kinds(self) -> list[str]:
        """Return the kinds of which no fault was injected."""
        return sorted(self.kinds.keys() - self.counts.keys())

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
        await self._workers.finish()

    def _random_instance(self) -> processes.Instance:
        return self._rng.choice(self._instances)

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.3, worker_faults.MAX_FAULT_S))

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
        await self._freeze_for(instance, 0.5, worker_faults.MAX_FAULT_S)

    async def _freeze_long(self, instance: processes.Instance) -> None:
        await self._freeze_for(instance, *TAKEOVER_FREEZE_S)

    async def _freeze_for(
        self, instance: processes.Instance, least_s: float, most_s: float
    ) -> None:
        await instance.freeze(self._rng.uniform(least_s, most_s))
        now = self._platform.fleet.clock.monotonic()
        self.thaws.append((instance.name, now))

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

    async def _worker_dies_at_takeover(self) -> None:
        """End a worker shortly before or after the scheduler's holder."""
        refuses = self._rng.random() < 0.5
        actions = [self._kill_holder(), self._workers.die(refuses)]
        self._rng.shuffle(actions)
        first = asyncio.ensure_future(actions[0])
        await self._pause()
        await asyncio.gather(first, actions[1])

    def _reborn(self, **fields) -> worker_faults.Action:
        """Return a fault of workers that restart beside a takeover."""
        return functools.partial(
            self._beside_takeover, "restart_and_cut", rebirths.Kind(**fields)
        )

    def _returning(self, **fields) -> worker_faults.Action:
        """Return a fault of workers that are back with unread ends."""
        return functools.partial(
            self._beside_takeover, "cut_and_return", returns.Kind(**fields)
        )

    async def _beside_takeover(
        self, fault: str, kind: rebirths.Kind | returns.Kind
    ) -> None:
        inject = getattr(self._workers, fault)
        try:
            await inject(kind, self._keep_processes, self._disrupt_holder)
        finally:
            self._disrupted -= self._kept
            self._kept = set()

    async def _keep_processes(self) -> None:
        """Wait until no process is disrupted; let none be until the holder is.

        Another takeover just before would hide the effect of this one.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_KEEP_WAIT_S
        while loop.time() < until:
            if not self._disrupted:
                break
            await asyncio.sleep(worker_faults.LOOK_INTERVAL_S)
        names = {instance.name for instance in self._instances}
        self._kept = names - self._disrupted
        self._disrupted |= self._kept

    async def _disrupt_holder(self) -> None:
        """Kill or stop the scheduler's holder, or freeze it for long."""
        self._disrupted -= self._kept
        self._kept = set()
        await self._disrupt_unkept_holder()

    async def _disrupt_unkept_holder(self) -> None:
        """Kill, stop or freeze the holder unless it is spared by another."""
        disrupt = self._rng.choice(
            (self._kill_one, self._freeze_long, self._stop_one)
        )
        self._note(disrupt.__name__)
        await self._disrupt_process(self.holder(), disrupt)

    async def _evacuate_at_takeover(self) -> None:
        await self.evacuations.evacuate_at_takeover(
            self._disrupt_unkept_holder
        )

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
