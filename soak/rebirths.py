"""Restart workers under their ids and cut them off beside a takeover."""

import asyncio
import dataclasses
import datetime
import random

from soak import checks
from soak import clients
from soak import rack_faults

# Of a host that restarts: until its process is up, and then until its entry.
SILENT_S = (0.3, 0.6)
MAX_UNLISTED_S = 0.5
AGAIN_AFTER_S = (0.5, 4.0)  # within one lease
# From the last restart on; the scheduler's holder is disrupted in between,
# from a share of this time on, so that it can hear of the restart before.
CUT_AFTER_S = (0.3, 2.5)
EARLIEST_DISRUPTION = 0.25
CUT_S = 9.0
LONG_TASK_TIMES_MS = (15_000, 30_000)
TASKS_OF_LONG_JOB = 4
LONG_JOB_EVERY_S = 0.15
TASK_TIME = datetime.timedelta(milliseconds=clients.TASK_TIME_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What distinguishes the kinds of this fault."""

    is_of_rack: bool = False
    restarts: int = 1
    is_unlisted: bool = False  # until it is cut off


def draw_unlisted(rng: random.Random) -> float:
    """Return how long a restarted worker has no new entry, in seconds."""
    return rng.uniform(0, MAX_UNLISTED_S)


class Rebirth(rack_faults.RackFault):
    """One fault: workers restart, start long tasks and are cut off."""

    def __init__(self, kind: Kind, *trial) -> None:
        """Create a fault of a kind; draw the rest from the trial's seed."""
        super().__init__(*trial, kind.is_of_rack)
        rng = self._rng
        self._kind = kind
        self._silent_s = rng.uniform(*SILENT_S)
        if kind.is_unlisted:
            self._cut_after_s = rng.uniform(0, MAX_UNLISTED_S)
            self._unlisted_s = MAX_UNLISTED_S
        else:
            self._cut_after_s = rng.uniform(*CUT_AFTER_S)
            self._unlisted_s = draw_unlisted(rng)
        self._disrupt_after_s = self._cut_after_s * rng.uniform(
            EARLIEST_DISRUPTION, 1
        )

    async def inject(
        self,
        prepare: rack_faults.Action,
        disrupt_holder: rack_faults.Action,
    ) -> None:
        """Inject the fault once it is prepared and a long task is at work.

        The holder is disrupted between the last restart and the cut.
        """
        await self._submit()
        self._worker_ids = await self._choose_workers()
        if self._worker_ids:
            await prepare()
            for _ in range(self._kind.restarts - 1):
                await self._restart()
                await asyncio.sleep(self._rng.uniform(*AGAIN_AFTER_S))
            await self._restart_and_cut(disrupt_holder)
        for job_id in self._job_ids:  # so that the trial ends soon
            self._platform.fleet.durations_by_job[job_id] = TASK_TIME

    async def _restart_and_cut(
        self, disrupt_holder: rack_faults.Action
    ) -> None:
        self._set_refusals(rack_faults.MANY)
        load = asyncio.ensure_future(self._submit_until_cut())
        await asyncio.sleep(self._rng.uniform(0, LONG_JOB_EVERY_S))
        restart = asyncio.ensure_future(self._restart())
        await asyncio.sleep(self._silent_s + self._disrupt_after_s)
        disruption = asyncio.ensure_future(disrupt_holder())
        await asyncio.sleep(self._cut_after_s - self._disrupt_after_s)
        self._set_refusals(0)
        await self._cut()
        await asyncio.gather(restart, disruption, load)

    async def _restart(self) -> None:
        """Restart those of the hosts that are there, all at once."""
        present = self._platform.fleet.workers_by_id
        await asyncio.gather(
            *(
                self._platform.crash_worker(
                    worker_id, self._silent_s, self._unlisted_s
                )
                for worker_id in self._worker_ids
                if worker_id in present
            )
        )

    async def _cut(self) -> None:
        workers = self._cut_off()
        at_work = {
            checks.job_of(task)
            for worker in workers
            for task in self._own_tasks(worker)
        }
        self._counts["reborn_cut_at_work"] += bool(at_work)
        for job_id in set(self._job_ids) - at_work:
            # So that there is room elsewhere for what the workers run.
            self._platform.fleet.durations_by_job[job_id] = TASK_TIME
        await asyncio.sleep(CUT_S)
        for worker in workers:
            worker.is_cut = False

    async def _submit(self) -> None:
        """Submit a job of long tasks, whose caller expects short ones."""
        time_ms = self._rng.randint(*LONG_TASK_TIMES_MS)
        job_id = f"{self._rng.getrandbits(64):016x}"
        self._job_ids.append(job_id)
        self._platform.fleet.durations_by_job[job_id] = datetime.timedelta(
            milliseconds=time_ms
        )
        body = clients.make_long(TASKS_OF_LONG_JOB, self._rack)
        await self._callers.submit(job_id, body)

    async def _submit_until_cut(self) -> None:
        seconds = LONG_JOB_EVERY_S + self._silent_s + self._cut_after_s
        calls = []
        for _ in range(round(seconds / LONG_JOB_EVERY_S)):
            calls.append(asyncio.ensure_future(self._submit()))
            await asyncio.sleep(LONG_JOB_EVERY_S)
        await asyncio.gather(*calls)
