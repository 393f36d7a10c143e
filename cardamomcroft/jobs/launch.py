"""Launch gangs all or nothing."""

import asyncio
import collections.abc
import dataclasses
import datetime
import enum

from cardamomcroft.charts import loading
from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import instance
from cardamomcroft.state import models

STOP_RETRY_DELAY = datetime.timedelta(milliseconds=500)
MAX_CLOCK_RATE = 1.02  # fastest rate


Confirm = collections.abc.Callable[
    [datetime.timedelta], collections.abc.Awaitable[bool]
]
Prepare = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class LaunchOutcome(enum.Enum):
    """Name the outcomes of a launch.

    RELEASED: no start command was sent. FAILED: a start command failed.
    """

    RUNNING = "running"
    RELEASED = "released"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class LaunchResult:
    """Report the outcome of a launch and the worker that failed, if any."""

    outcome: LaunchOutcome
    worker_id: str = ""
    detail: str = ""


class Launch:
    """Reserve the cells of all members, then start them."""

    def __init__(
        self,
        job: models.Job,
        attempt: int,
        token: int,
        placements: tuple[records.Placement, ...],
        workers: base.WorkerClient,
        clock: base.Clock,
        timing: instance.Timing,
        may_act: collections.abc.Callable[[], bool],
        report_missed: collections.abc.Callable[[str], None],
        confirm: Confirm | None = None,
        before_start: Prepare | None = None,
    ) -> None:
        """Launch as planned; ``may_act`` gates the reserves and the start.

        ``report_missed`` gets the worker that failed, before the release.
        ``confirm`` returns whether the state, and so the claim, is complete
        as of the latest birth of a worker's process. ``before_start`` runs
        while the cells are held, so it has to be short.
        """
        self.job = job
        self.attempt = attempt
        self.placements = placements
        self.state = ""
        self._token = token
        self._workers = workers
        self._clock = clock
        self._timing = timing
        self._may_act = may_act
        self._report_missed = report_missed
        self._confirm = confirm
        self._before_start = before_start
        self._failure = LaunchResult(LaunchOutcome.RELEASED)
        self._reserved: list[int] = []
        self._held_until = clock.monotonic()

    def _task(self, member: int) -> messages.TaskId:
        return messages.TaskId(self.job.job_id, self.attempt, member)

    async def run(self) -> LaunchResult:
        """Start every member, or stop and release all of them."""
        chart = loading.load("gang")
        chart.attach(self)
        try:
            return await self._run()
        finally:
            chart.detach(self)

    async def _run(self) -> LaunchResult:
        await self.reserve()
        if not await self._reserve_all():
            return await self._release_all()
        await self.hold()
        if self._before_start is not None:
            await self._before_start()
        await self.start()
        if not await self._start_all():
            return await self._release_all()
        await self.trigger("run")  # Launch.run shadows the trigger
        return LaunchResult(LaunchOutcome.RUNNING)

    async def _reserve_all(self) -> bool:
        if not self._may_act():
            return self._record_failure(
                None, "claim lost or self-lease expired", False
            )
        members = range(len(self.placements))
        results = await asyncio.gather(*map(self._reserve_member, members))
        self._reserved = [
            member for member in members if results[member].is_ok()
        ]
        self.placements = tuple(
            dataclasses.replace(placement, incarnation=result.ok.incarnation)
            if result.is_ok()
            else placement
            for placement, result in zip(self.placements, results, strict=True)
        )
        hold = self._timing.duration("hold")
        self._held_until = self._clock.monotonic() + hold
        for member, result in enumerate(results):
            if result.is_error():
                self._record_failure(member, result.error.detail, False)
        if len(self._reserved) < len(members):
            return False
        return await self._confirm_births([result.ok for result in results])

    async def _confirm_births(self, answers: list[messages.Done]) -> bool:
        """Return whether a later claim's fence reaches these processes.

        One that began after a claim unknown here has not seen its fence.
        """
        ages = [answer.age_s for answer in answers if answer.incarnation]
        if self._confirm is None or not ages:
            return True
        age = datetime.timedelta(seconds=min(ages))
        latest_birth = self._clock.monotonic() - age / MAX_CLOCK_RATE
        if await self._confirm(latest_birth):
            return True
        return self._record_failure(
            None, "no read of the log since a worker restarted", False
        )

    async def _reserve_member(self, member: int):
        placement = self.placements[member]
        command = messages.Reserve(
            self._task(member),
            self._token,
            placement.cell,
            self._timing.ordered_hold_s,
        )
        return await self._workers.reserve(placement.worker_id, command)

    async def _start_all(self) -> bool:
        if not self._may_act():
            return self._record_failure(
                None, "claim lost or self-lease expired", False
            )
        results = await asyncio.gather(
            *map(self._start_member, range(len(self.placements)))
        )
        for member, result in enumerate(results):
            if result.is_error():
                return self._record_failure(member, result.error.detail, True)
        return True

    async def _start_member(self, member: int):
        placement = self.placements[member]
        command = messages.Start(
            self._task(member),
            self._token,
            self._timing.ordered_lease_s,
            self.job.spec.payload,
            max(0.0, self.job.spec.run_s - self.job.checkpoint_s),
            placement.incarnation,
        )
        worker_id = placement.worker_id
        result = await self._workers.start(worker_id, command)
        unknown = (
            result.is_error()
            and result.error.verdict is verdict.Verdict.MAY_HAVE_RUN
        )
        # A start is idempotent, so retry once if the outcome is unknown.
        if unknown:
            return await self._workers.start(worker_id, command)
        return result

    def _record_failure(
        self, member: int | None, detail: str, failed: bool
    ) -> bool:
        outcome = LaunchOutcome.FAILED if failed else LaunchOutcome.RELEASED
        worker_id = "" if member is None else self.placements[member].worker_id
        self._failure = LaunchResult(outcome, worker_id, detail)
        if worker_id:
            self._report_missed(worker_id)
        return False

    async def _release_all(self) -> LaunchResult:
        await self.miss()
        is_started = self._failure.outcome is LaunchOutcome.FAILED
        stop = self._stop_member if is_started else self._release_member
        await asyncio.gather(*map(stop, self._reserved))
        await self.release()
        return self._failure

    def _stop_command(self, member: int) -> messages.Stop:
        incarnation = self.placements[member].incarnation
        return messages.Stop(
            self._task(member), self._token, incarnation=incarnation
        )

    async def _release_member(self, member: int) -> None:
        """Release a reservation, which otherwise expires by itself."""
        await self._workers.stop(
            self.placements[member].worker_id, self._stop_command(member)
        )

    async def _stop_member(self, member: int) -> None:
        # A worker starts held members only; nobody renews before the record.
        expires_at = self._held_until + self._timing.duration("lease")
        await stop_until_confirmed(
            self._workers,
            self._clock,
            self.placements[member].worker_id,
            self._stop_command(member),
            expires_at,
        )


ATTEMPTS_PER_EPOCH = 65_536  # attempt numbers available to each epoch


def attempt_base(epoch: int) -> int:
    """Return the number just below an epoch's first attempt number."""
    return epoch * ATTEMPTS_PER_EPOCH


async def stop_until_confirmed(
    workers: base.WorkerClient,
    clock: base.Clock,
    worker_id: str,
    command: messages.Stop,
    expires_at: datetime.timedelta,
) -> messages.Done | None:
    """Retry a stop until confirmed, or until the lease must have expired.

    Without a confirmation, return None.
    """
    while True:
        result = await workers.stop(worker_id, command)
        if result.is_ok():
            return result.ok
        stale = result.error.reason is verdict.Reason.STALE
        if stale or clock.monotonic() >= expires_at:
            return None
        await clock.sleep(STOP_RETRY_DELAY)


def lease_expiry_bound(timing: instance.Timing) -> datetime.timedelta:
    """Return the time after which no unknown task can still hold cells.

    An instance that lost contact may act until its self-lease expires,
    reserve for the hold time and renew once more within its self-lease.
    """
    return (
        timing.duration("self_lease")
        + timing.duration("hold")
        + timing.duration("lease")
    )
