"""Draw faults of the workers from a seed and inject them."""

import asyncio
import collections
import collections.abc
import datetime
import random

from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import checks
from soak import clients
from soak import rebirths
from soak import returns

MAX_FAULT_S = 4.0
MAX_START_WAIT_S = 8.0  # of the tasks that a fault is about
CROWD_CUT_S = 1.5  # less than a lease
CROWD_OF_WORKER = standin_fleet.ENDS_PER_ANSWER + 150
MAX_CROWD = 2 * CROWD_OF_WORKER
TASKS_OF_WIDE_STEP = 8  # for each worker of the rack, which runs two at a time
LOOK_INTERVAL_S = 0.1
# Three heartbeat intervals, after which a silent worker's entry is removed.
ENTRY_LIFE_S = 4.5
Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class WorkerFaults:
    """Faults of the workers, and of the answers to their callers."""

    def __init__(
        self,
        target: platform.PlatformServer,
        callers: clients.Callers,
        rng: random.Random,
        note: collections.abc.Callable[[str], None],
        counts: collections.Counter[str],
    ) -> None:
        """Create the faults; ``note`` takes a line of a trial's history.

        What a fault brought about, if it may not, is counted in ``counts``.
        """
        self._platform = target
        self._callers = callers
        self._rng = rng
        self._note = note
        self._least_workers = len(target.fleet.workers_by_id) // 2
        self._replacing: list[asyncio.Task] = []
        self._counts = counts
        self.kinds: dict[str, Action] = {
            "worker_cut": self._cut,
            "crowded_worker_cut": self._cut_crowded,
            "worker_hangs": self._hang,
            "worker_fails": self._fail,
            "worker_reborn": self._restart,
            "worker_dies": self.die,
            "worker_refuses": self._refuse,
            "worker_of_wide_step_dies": self._die_with_wide_step,
            "start_answers_lost": self._lose_start_answers,
        }

    async def finish(self) -> None:
        """Wait until the workers that died are replaced."""
        await asyncio.gather(*self._replacing)

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.3, MAX_FAULT_S))

    async def _cut(self) -> None:
        worker = self._random_worker()
        worker.is_cut = True
        await self._pause()
        worker.is_cut = False

    async def _cut_crowded(self) -> None:
        """Cut a worker off while more tasks end than it lists at once."""
        durations = self._platform.fleet.durations_by_job
        crowd = clients.make_crowd(MAX_CROWD, clients.FIRST_RACK)
        job_id = await self._submit(crowd, datetime.timedelta(minutes=1))
        worker = await self._worker_running(job_id, CROWD_OF_WORKER)
        if worker is not None:
            self._counts["ends_beyond_a_list"] += 1
            worker.is_cut = True
        durations[job_id] = datetime.timedelta()
        if worker is not None:
            await asyncio.sleep(CROWD_CUT_S)
            worker.is_cut = False

    async def _hang(self) -> None:
        worker = self._random_worker()
        worker.hangs = True
        await self._pause()
        worker.hangs = False

    async def _fail(self) -> None:
        worker = self._random_worker()
        worker.fails_everything = True
        await asyncio.sleep(1)
        worker.fails_everything = False

    async def _restart(self) -> None:
        """Restart a worker's process, or its host, which is silent then."""
        worker_id = self._random_worker().listing.address.worker_id
        if self._rng.random() < 0.5:
            self._platform.restart_worker(worker_id)
            return
        await self._platform.crash_worker(
            worker_id,
            self._rng.uniform(*rebirths.SILENT_S),
            rebirths.draw_unlisted(self._rng),
        )

    def _trial(self) -> tuple:
        """Return what a fault of its own class needs of the trial."""
        return (
            self._platform,
            self._callers,
            self._rng,
            self._note,
            self._counts,
        )

    async def restart_and_cut(
        self, kind: rebirths.Kind, prepare: Action, disrupt_holder: Action
    ) -> None:
        """Restart workers and cut them off beside a takeover."""
        rebirth = rebirths.Rebirth(kind, *self._trial())
        await rebirth.inject(prepare, disrupt_holder)

    async def cut_and_return(
        self, kind: returns.Kind, prepare: Action, disrupt_holder: Action
    ) -> None:
        """Cut workers off beyond their leases while their tasks end."""
        fault = returns.Return(kind, *self._trial())
        await fault.inject(prepare, disrupt_holder)

    async def _lose_start_answers(self) -> None:
        worker = self._random_worker()
        worker.lose_start_answers += 2
        await self._pause()
        worker.lose_start_answers = 0

    async def die(self, refuses: bool = False) -> None:
        """End a worker for good, with tasks if any has some."""
        await self._wait_for_workers()
        workers = self._platform.fleet
        busy = sorted({worker_id for _, worker_id in workers.running()})
        worker_id = self._rng.choice(busy or sorted(workers.workers_by_id))
        await self._end_worker(worker_id, refuses)

    async def _refuse(self) -> None:
        await self.die(refuses=True)

    async def _die_with_wide_step(self) -> None:
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

    def _random_worker(self):
        names = sorted(self._platform.fleet.workers_by_id)
        return self._platform.fleet.workers_by_id[self._rng.choice(names)]

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

    async def _wait_for_workers(self) -> None:
        """Wait for replacements if half of the workers are left."""
        if len(self._platform.fleet.workers_by_id) <= self._least_workers:
            await asyncio.gather(*self._replacing)

    async def _end_worker(self, worker_id: str, refuses: bool) -> None:
        """End a worker; let another one follow in its rack."""
        listing = self._platform.fleet.workers_by_id[worker_id].listing
        self._note(f"{worker_id} dies")
        await self._platform.end_worker(worker_id, refuses)
        number = len(self._replacing)
        successor = f"w{number}-after-{worker_id.partition('-')[0]}"
        replacing = self._replace_worker(listing, successor)
        self._replacing.append(asyncio.ensure_future(replacing))

    async def _replace_worker(
        self, lost: fleet.Listing, successor: str
    ) -> None:
        await asyncio.sleep(ENTRY_LIFE_S)
        self._platform.remove_entry(lost.address.worker_id)
        await self._pause()
        await self._platform.listen_for_worker(
            successor, lost.rack, lost.data_centre
        )
