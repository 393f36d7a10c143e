"""Cut workers off until their runs are given up, while their tasks end."""

import asyncio
import dataclasses
import datetime

from cardamomcroft.standin import links
from soak import checks
from soak import clients
from soak import rack_faults

TASKS = 6
TASK_TIMES_MS = (1000, 3500)  # they end before the leases do
# Longer than a lease on a slow clock; then the runs are given up.
GIVEN_UP_AFTER_S = 6.5
RETURN_AFTER_S = (0.0, 2.0)
# From a disruption of the holder on: before the successor has taken over, or
# when it no longer waits for the leases of before.
RETURN_AFTER_TAKEOVER_S = (0.5, 12.0)
HELD_S = (0.0, 3.0)  # from the return until the tasks may start elsewhere
LINK_BYTES_PER_S = (100, 400)  # an inventory has about as many bytes
SLOW_S = (2.0, 4.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What distinguishes the kinds of this fault."""

    is_of_rack: bool = False
    is_slow: bool = False  # the link after the return
    has_takeover: bool = False


class Return(rack_faults.RackFault):
    """One fault: workers are back with ends that nobody has read."""

    def __init__(self, kind: Kind, *trial) -> None:
        """Create a fault of a kind; draw the rest from the trial's seed."""
        super().__init__(*trial, kind.is_of_rack)
        rng = self._rng
        self._kind = kind
        self._time_ms = rng.randint(*TASK_TIMES_MS)
        self._disrupt_after_s = rng.uniform(*RETURN_AFTER_S)
        self._return_after_s = rng.uniform(
            *(RETURN_AFTER_TAKEOVER_S if kind.has_takeover else RETURN_AFTER_S)
        )
        self._held_s = rng.uniform(*HELD_S)
        self._bytes_per_s = rng.randint(*LINK_BYTES_PER_S)
        self._slow_s = rng.uniform(*SLOW_S)

    async def inject(
        self,
        prepare: rack_faults.Action,
        disrupt_holder: rack_faults.Action,
    ) -> None:
        """Inject the fault once one of its tasks is at work.

        The holder is disrupted between the end of the leases and the return.
        """
        if self._kind.has_takeover:
            await prepare()
        await self._submit()
        self._worker_ids = await self._choose_workers()
        if not self._worker_ids:
            return
        self._set_refusals(rack_faults.MANY)
        self._cut_off()
        await asyncio.sleep(GIVEN_UP_AFTER_S)
        disruption = None
        if self._kind.has_takeover:
            await asyncio.sleep(self._disrupt_after_s)
            disruption = asyncio.ensure_future(disrupt_holder())
        await asyncio.sleep(self._return_after_s)
        await asyncio.gather(self._restore_link(), self._end_refusals())
        if disruption is not None:
            await disruption

    async def _submit(self) -> None:
        """Submit a job of which only the rack's workers may run the tasks."""
        job_id = f"{self._rng.getrandbits(64):016x}"
        self._job_ids.append(job_id)
        self._platform.fleet.durations_by_job[job_id] = datetime.timedelta(
            milliseconds=self._time_ms
        )
        await self._callers.submit(
            job_id, clients.make_bound(TASKS, self._rack)
        )

    async def _restore_link(self) -> None:
        """Let the workers be back, at first over a link that they share."""
        self._platform.fleet.advance()
        unread = [
            end.task
            for worker in self._present()
            for end in worker.finished
            if checks.job_of(end.task) in self._job_ids
        ]
        self._counts["returned_with_ends"] += bool(unread)
        self._note(f"{', '.join(self._worker_ids)} back: {len(unread)} ends")
        slow = links.FairLink(self._bytes_per_s)
        if self._kind.is_slow:
            for worker_id in self._worker_ids:
                self._platform.links_by_worker[worker_id] = slow
        for worker in self._present():
            worker.is_cut = False
        if self._kind.is_slow:
            await asyncio.sleep(self._slow_s)
            for worker_id in self._worker_ids:
                self._platform.links_by_worker.pop(worker_id, None)
            slow.drain()
            now = self._platform.fleet.clock.monotonic()
            for worker in self._present():
                worker.reachable_since = now

    async def _end_refusals(self) -> None:
        await asyncio.sleep(self._held_s)
        self._set_refusals(0)
