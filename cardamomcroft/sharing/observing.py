"""Show operators what urgent work keeps idle and what it stops."""

import collections.abc
import datetime

from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import headroom as headrooms
from cardamomcroft.scheduling import metrics as process_metrics
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import runs

# The headroom follows each arrival; lines more frequent than this are noise.
SAMPLE_PERIOD = datetime.timedelta(seconds=2)
MIN_CHANGE = 0.1  # of the accelerators wanted or kept at the last line
# Upper ends of the age buckets: before the first, a run has lost next to
# nothing; beyond the last, more than a mean run.
AGES_S = (0.5, 2, 8)
PREEMPTED = "preempted by"  # begins the reason of a stop for other work
_REASONS = frozenset(
    {"worker drains", "stalled", "slow", "cancelled", "failed"}
)


class HeadroomWatch:
    """Log the headroom as it changes, and keep its gauges."""

    def __init__(
        self, headroom: headrooms.Headroom, log: events.Events
    ) -> None:
        """Observe ``headroom`` without changing it."""
        self._headroom = headroom
        self._log = log
        self._next_line = datetime.timedelta()
        self._logged = (0.0, 0.0)

    def after_round(
        self,
        workers: collections.abc.Iterable[runs.Worker],
        now: datetime.timedelta,
    ) -> None:
        """Show what the round wanted to keep and kept."""
        rate = self._headroom.rate
        if rate is None:
            return  # scheduling does not plan ahead
        total = sum(
            w.listing.accelerators for w in capacities.counted(workers)
        )
        wanted, kept = self._headroom.wanted(total), self._headroom.kept
        gauge = self._log.metrics.headroom
        gauge.labels("wanted").set(wanted)
        gauge.labels("kept").set(kept)
        if now < self._next_line or not self._has_changed(wanted, kept):
            return
        self._next_line = now + SAMPLE_PERIOD
        self._logged = (wanted, kept)
        self._log.emit(
            "headroom_changed",
            rate=round(rate.per_second(now), 1),
            wanted=round(wanted, 1),
            kept=kept,
            accelerators=total,
        )

    def _has_changed(self, *values: float) -> bool:
        return any(
            abs(new - old) > max(old * MIN_CHANGE, 1)
            for new, old in zip(values, self._logged, strict=True)
        )


def record_stop(
    metrics: process_metrics.Metrics,
    run: runs.Run,
    reason: str,
    now: datetime.timedelta,
) -> None:
    """Count a run that is ordered to stop, and the work that it has done."""
    age_s = max((now - run.began_at).total_seconds(), 0.0)
    if reason.startswith(PREEMPTED):
        metrics.preempted_runs.labels(age_bucket(age_s)).inc()
    done = age_s * preempting.core_equivalent(run.step.model.demand)
    metrics.stopped_core_seconds.labels(reason_label(reason)).inc(done)


def age_bucket(age_s: float) -> str:
    """Return the label of a run's age."""
    for bound_s in AGES_S:
        if age_s < bound_s:
            return f"under {bound_s:g} s"
    return f"{AGES_S[-1]:g} s or more"


def reason_label(reason: str) -> str:
    """Return the label of a stop's reason, one of a few."""
    if reason.startswith(PREEMPTED):
        return "preempted"
    if reason.startswith("gang member"):
        return "gang broken"
    return reason if reason in _REASONS else "other"
