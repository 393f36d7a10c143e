"""Bundle the collaborators that the scheduling classes share."""

import asyncio
import collections.abc
import dataclasses
import datetime

import structlog

from cardamomcroft.jobs import history as histories
from cardamomcroft.jobs import launch as launches
from cardamomcroft.jobs import overlay as overlays
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.membership import members
from cardamomcroft.policy import base as policies
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.settings import instance
from cardamomcroft.workers import health as healths


class BackgroundTasks:
    """Track the asyncio tasks that run alongside the scheduling rounds."""

    def __init__(self) -> None:
        """Track each task until it is done."""
        self._tasks: set[asyncio.Task] = set()
        self._logger = structlog.get_logger()

    def spawn(self, coroutine: collections.abc.Coroutine) -> None:
        """Run a coroutine concurrently with the caller."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._record_end)

    def _record_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._logger.error(
                "background_task_failed", exc_info=task.exception()
            )

    def tasks(self) -> tuple[asyncio.Task, ...]:
        """Return the unfinished tasks."""
        return tuple(self._tasks)


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Bundle the roles and ports that scheduling uses."""

    region: str
    incarnation: str
    replica: replicas.Replica
    appender: appenders.Appender
    overlay: overlays.Overlay
    workers: base.WorkerClient
    membership: members.Membership
    freshness: freshnesses.Freshness
    clock: base.Clock
    metrics: base.Metrics
    timing: instance.Timing
    policy: policies.Policy
    health: healths.Health
    history: histories.RunHistory
    background: BackgroundTasks = dataclasses.field(
        default_factory=BackgroundTasks
    )

    async def stop_until_confirmed(
        self,
        worker_id: str,
        command: messages.Stop,
        since: datetime.timedelta | None = None,
    ) -> messages.Done | None:
        """Stop a task, or wait until its lease must have expired.

        The log shows ``since`` when its lease is not to be renewed, by
        default from now on.
        """
        if since is None:
            since = self.clock.monotonic()
        expires_at = since + launches.lease_expiry_bound(self.timing)
        return await launches.stop_until_confirmed(
            self.workers, self.clock, worker_id, command, expires_at
        )

    async def confirm(self, at: datetime.timedelta) -> bool:
        """Return whether the state is complete as of then; read if not."""
        limit = self.timing.duration("call_timeout")
        is_known = self.freshness.is_complete_as_of(at, limit)
        if not is_known and self.replica.reachable:
            await clocks.within(self.clock, limit, self.replica.refresh())
            is_known = self.freshness.is_complete_as_of(at, limit)
        return is_known

    def holds_claim(self) -> bool:
        """Return whether the newest known claim is this incarnation's."""
        claim = self.replica.state.claims.get(self.region)
        if claim is None or claim.incarnation != self.incarnation:
            return False
        return self.membership.known_epoch <= claim.epoch

    def may_act(self) -> bool:
        """Return whether this instance may send commands as the owner."""
        return self.holds_claim() and self.freshness.is_fresh()
