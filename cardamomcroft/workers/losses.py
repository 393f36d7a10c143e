"""Confirm that the log doesn't show how the tasks missing here ended."""

import collections.abc
import datetime

from cardamomcroft.jobs import overlay as overlays
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.settings import instance

EndsByWorker = collections.abc.Mapping[str, tuple[records.TaskEnd, ...]]


class Losses:
    """Track since when tasks are suspected to be lost.

    Another instance may have recorded the end of such a task and made its
    worker forget it.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        overlay: overlays.Overlay,
        freshness: freshnesses.Freshness,
        clock: base.Clock,
        timing: instance.Timing,
    ) -> None:
        """Start without suspected tasks."""
        self._replica = replica
        self._overlay = overlay
        self._freshness = freshness
        self._clock = clock
        self._timing = timing
        self._since: dict[messages.TaskId, datetime.timedelta] = {}

    async def confirm(self, suspected: EndsByWorker) -> EndsByWorker:
        """Return the losses that a state newer than the suspicion shows."""
        now = self._clock.monotonic()
        self._since = {
            end.task: self._since.get(end.task, now)
            for ends in suspected.values()
            for end in ends
        }
        if not self._since:
            return {}
        await self._refresh()
        active = self._overlay.state().tasks_by_worker
        return {
            worker_id: tuple(
                end
                for end in ends
                if end.task in active.get(worker_id, ())
                and self._is_known(self._since[end.task])
            )
            for worker_id, ends in suspected.items()
        }

    async def _refresh(self) -> None:
        """Read the log's end, unless this was done or is known to fail."""
        newest = max(self._since.values())
        if self._is_known(newest) or not self._replica.reachable:
            return
        limit = self._timing.duration("call_timeout")
        await clocks.within(self._clock, limit, self._replica.refresh())

    def _is_known(self, at: datetime.timedelta) -> bool:
        limit = self._timing.duration("call_timeout")
        return self._freshness.is_complete_as_of(at, limit)
