"""Append snapshots of the state to the log, well within its retention."""

import datetime
import uuid

import structlog

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import members
from cardamomcroft.ports import base
from cardamomcroft.state import snapshots

CHECK_PERIOD = datetime.timedelta(seconds=1)
RECORDS_PER_RANK = 200  # additional records each later rank waits for


class Snapshotter:
    """Append a snapshot when enough records follow the previous one."""

    def __init__(
        self,
        instance_id: str,
        replica: replicas.Replica,
        appender: appenders.Appender,
        membership: members.Membership,
        clock: base.Clock,
        every_records: int,
    ) -> None:
        """Append a snapshot each time the given number of records follows."""
        self._instance_id = instance_id
        self._replica = replica
        self._appender = appender
        self._membership = membership
        self._clock = clock
        self._every_records = every_records
        self._written_as_of = -1
        self._logger = structlog.get_logger()

    async def run(self) -> None:
        """Check periodically, until cancelled, whether a snapshot is due."""
        while True:
            self.step()
            await self._clock.sleep(CHECK_PERIOD)

    def step(self) -> None:
        """Append the chunks of a snapshot if this instance's is due."""
        if not self._is_due():
            return
        state = self._replica.state
        self._written_as_of = state.applied
        parts = snapshots.chunks(state, uuid.uuid4().hex)
        for part in parts:
            self._appender.submit(part, appenders.Priority.BOOKKEEPING)
        self._logger.info(
            "snapshot_written", as_of=state.applied, chunks=len(parts)
        )

    def _is_due(self) -> bool:
        state = self._replica.state
        if not self._replica.reachable or not self._replica.caught_up:
            return False
        newest = max(state.snapshot_as_of, self._written_as_of)
        live = self._membership.live_ids()
        order = members.rank(f"snapshot {newest}", live)
        own_rank = order.index(self._instance_id)
        required_records = self._every_records + own_rank * RECORDS_PER_RANK
        return state.applied - newest >= required_records
