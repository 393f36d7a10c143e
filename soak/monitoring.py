"""Look at the callers' jobs and the instances all through a trial."""

import asyncio
import contextlib
import datetime

from cardamomcroft.standin import fleet as standin_fleet
from soak import checks
from soak import clients
from soak import faults as faults_module
from soak import instances as processes
from soak import watch

LOOK_INTERVAL_S = 0.2
# visible_ms and 2 s, after which a job that waits counts as pending, and the
# least share of such jobs that an instance has to count.
PENDING_AFTER_S = 5.0
PENDING_SHARE = 0.5


class Monitor:
    """Look at a deployment all the time."""

    def __init__(
        self,
        fake_fleet: standin_fleet.FakeFleet,
        callers: clients.Callers,
        faults: faults_module.Faults,
        instances: list[processes.Instance],
    ) -> None:
        """Monitor the callers' jobs and the instances; ``start`` begins."""
        self._watch = watch.Watch(fake_fleet, callers.jobs_by_id)
        self._callers = callers
        self._faults = faults
        self._instances = instances
        self._still: list[str] = []
        self._miscounted: list[str] = []  # of the jobs that wait
        self._peak_mb_by_name: dict[str, float] = {}
        self._looking: asyncio.Task | None = None
        self._counting: asyncio.Task | None = None
        self._confirming: list[asyncio.Task] = []

    def start(self) -> None:
        """Look from now on."""
        self._looking = asyncio.ensure_future(self._look())

    async def stop(self) -> dict[str, list[str]]:
        """Look no more; return the violations of what was watched.

        Raise the error that ended the looks, if one did.
        """
        self._looking.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._looking
        await asyncio.gather(*self._confirming)
        return {
            "stands_still": self._still,
            "miscounted": self._miscounted,
            "memory": [
                f"{name}: {peak_mb:.0f} MB"
                for name, peak_mb in self._peak_mb_by_name.items()
                if peak_mb > processes.MEMORY_MB
            ],
        }

    async def _look(self) -> None:
        while True:
            for name in self._watch.look(self._faults.take_disturbed()):
                now = datetime.datetime.now(datetime.UTC).time()
                text = f"{name} at {now}: {self._watch.describe(name)}"
                job = self._callers.jobs_by_id[checks.job_of(name)]
                self._confirming.append(
                    asyncio.ensure_future(self._confirm(job, text))
                )
            self._look_at_memory()
            is_counting = self._counting and not self._counting.done()
            if self._watch.is_calm() and not is_counting:
                self._counting = asyncio.ensure_future(self._count_waiting())
                self._confirming.append(self._counting)
            await asyncio.sleep(LOOK_INTERVAL_S)

    def _look_at_memory(self) -> None:
        for instance in self._instances:
            used_mb = instance.used_memory_mb()
            peak_mb = self._peak_mb_by_name.get(instance.name, 0.0)
            self._peak_mb_by_name[instance.name] = max(peak_mb, used_mb)

    async def _count_waiting(self) -> None:
        """Ask an instance how many jobs wait, which the workers know."""
        before = asyncio.get_running_loop().time() - PENDING_AFTER_S
        for prefix in clients.PREFIXES:
            waiting = self._watch.waiting_since(before, prefix)
            if not waiting:
                continue
            pending = await self._callers.pending(prefix)
            # A later look shows what has begun by the answer.
            await asyncio.sleep(2 * LOOK_INTERVAL_S)
            waiting &= self._watch.waiting_since(before, prefix)
            is_short = pending is not None and pending < PENDING_SHARE * len(
                waiting
            )
            if is_short and self._watch.is_calm():
                self._miscounted.append(f"{prefix}: {pending} of {waiting}")

    async def _confirm(self, job: clients.Submission, text: str) -> None:
        """Record a job unless it has ended, which the workers cannot show."""
        if await self._callers.query(job) not in checks.FINAL_STATES:
            self._still.append(text)
