"""Base of the faults of one worker, or of all workers of a rack."""

import asyncio
import collections
import collections.abc
import random

from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import checks
from soak import clients

MAX_START_WAIT_S = 8.0  # of the first task
LOOK_INTERVAL_S = 0.1
MANY = 10_000  # more starts than a worker gets in a trial
Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class RackFault:
    """A fault of workers that run tasks of the fault's own jobs."""

    def __init__(
        self,
        target: platform.PlatformServer,
        callers: clients.Callers,
        rng: random.Random,
        note: collections.abc.Callable[[str], None],
        counts: collections.Counter[str],
        is_of_rack: bool,
    ) -> None:
        """Draw the rack whose workers are to run the tasks."""
        self._platform = target
        self._callers = callers
        self._rng = rng
        self._note = note
        self._counts = counts
        self._is_of_rack = is_of_rack
        racks = {w.listing.rack for w in target.fleet.workers_by_id.values()}
        self._rack = rng.choice(sorted(racks))
        self._job_ids: list[str] = []
        self._worker_ids: list[str] = []

    async def _choose_workers(self) -> list[str]:
        """Wait for a worker with a task; add its rack if needed."""
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_START_WAIT_S
        while loop.time() < until:
            for worker in self._platform.fleet.workers_by_id.values():
                if self._own_tasks(worker):
                    return self._ids_beside(worker)
            await asyncio.sleep(LOOK_INTERVAL_S)
        return []

    def _own_tasks(self, worker: standin_fleet.FakeWorker) -> list[str]:
        return [
            task
            for task in worker.runs_by_task
            if checks.job_of(task) in self._job_ids
        ]

    def _ids_beside(self, worker: standin_fleet.FakeWorker) -> list[str]:
        return [
            worker_id
            for worker_id, other in self._platform.fleet.workers_by_id.items()
            if other is worker
            or (self._is_of_rack and other.listing.rack == worker.listing.rack)
        ]

    def _set_refusals(self, count: int) -> None:
        """Let the rack's other workers refuse starts as unhealthy.

        The tasks then start on those that the fault is about.
        """
        for worker_id, worker in self._platform.fleet.workers_by_id.items():
            is_beside = worker.listing.rack == self._rack
            if is_beside and worker_id not in self._worker_ids:
                worker.refuse_starts = count

    def _present(self) -> list[standin_fleet.FakeWorker]:
        """Return those of the workers that are there."""
        present = self._platform.fleet.workers_by_id
        return [present[name] for name in self._worker_ids if name in present]

    def _cut_off(self) -> list[standin_fleet.FakeWorker]:
        """Cut the workers off; return them."""
        self._note(f"{', '.join(self._worker_ids)} cut off")
        workers = self._present()
        for worker in workers:
            worker.is_cut = True
        return workers
