"""Log the jobs that stand, and measure whether rounds come in time."""

import collections
import datetime
import traceback

from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import headroom as headrooms
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import standing

# A round that takes this long, or begins so much later than planned, makes
# every job wait.
LATE_AFTER = datetime.timedelta(seconds=1)
CRASH_PAUSE = datetime.timedelta(seconds=10)  # bounds the lines about errors
# After a look the pause is 50 times its duration, which bounds all looks to 2%
# of the processor.
PAUSE_FACTOR = 50
_ZERO = datetime.timedelta()


class StandingWatch:
    """Observe the cluster after each round, without changing it."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        room_reservations: reservations.Reservations,
        holds: holding.Holds,
        headroom: headrooms.Headroom,
    ) -> None:
        """Observe ``cluster`` and what the planner keeps between rounds."""
        self._cluster = cluster
        self._reservations = room_reservations
        self._holds = holds
        self._headroom = headroom
        self._standing = standing.StandingJobs()
        self._next_round_by: datetime.timedelta | None = None
        self._paused_until = _ZERO
        self._next_look = _ZERO

    def count_by_reason(self) -> collections.Counter[str]:
        """Count the jobs that stand by reason."""
        return self._standing.count_by_reason()

    def after_round(
        self,
        began_at: datetime.timedelta,
        took: datetime.timedelta,
        max_wait: datetime.timedelta,
    ) -> None:
        """Record a round and look for jobs that stand; never raise.

        The next round is to begin within ``max_wait`` of this one's end.
        """
        now = self._cluster.clock.monotonic()
        if now < self._paused_until:
            self._next_round_by = None
            return
        try:
            self._record_round(began_at, took)
            if now >= self._next_look:
                self._look(now)
        except Exception as error:
            self._paused_until = now + CRASH_PAUSE
            self._cluster.log.emit(
                "standing_watch_crashed",
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
        self._next_round_by = self._cluster.clock.monotonic() + max_wait

    def _record_round(
        self, began_at: datetime.timedelta, took: datetime.timedelta
    ) -> None:
        late = _ZERO
        if self._next_round_by is not None:
            late = max(began_at - self._next_round_by, _ZERO)
        metrics = self._cluster.log.metrics
        metrics.rounds.observe(took.total_seconds())
        metrics.round_lateness.observe(late.total_seconds())
        if max(late, took) >= LATE_AFTER:
            self._cluster.log.emit(
                "round_late",
                late_s=late.total_seconds(),
                took_s=took.total_seconds(),
                jobs=len(self._cluster.jobs_by_id),
            )

    def _look(self, now: datetime.timedelta) -> None:
        cluster = self._cluster
        view = standing.View(
            cluster.jobs_by_id,
            cluster.workers_by_id,
            now,
            cluster.clock.now(),
            cluster.journal.confirmed_at,
            self._reservations,
            self._holds,
            self._headroom,
            cluster.durations,
        )
        for line in self._standing.look(view):
            cluster.log.emit(line.event, **line.fields)
        look_took = cluster.clock.monotonic() - now
        self._next_look = now + look_took * (PAUSE_FACTOR + 1)
