"""Log what has been learned and measure how wrong the estimates were."""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.runtimes import accuracy
from cardamomcroft.runtimes import kinds
from cardamomcroft.runtimes import learned
from cardamomcroft.scheduling import events

PERIOD = datetime.timedelta(seconds=10)
MAX_ROWS = 12  # of an event, about 2 KB


class Reports:
    """Emit ``run_times_learned`` and the ratios of actual to expected."""

    def __init__(
        self,
        clock: base.Clock,
        log: events.Events,
        times: learned.LearnedRunTimes,
    ) -> None:
        """Report on ``times``."""
        self._clock = clock
        self._log = log
        self._times = times
        self._next_at = clock.monotonic() + PERIOD

    def emit_due(self) -> None:
        """Report what has ended since the last report, every 10 s."""
        for queue, ratio in self._times.accuracy.take_ratios():
            self._log.metrics.run_time_errors.labels(queue).observe(ratio)
        if self._clock.monotonic() < self._next_at:
            return
        self._next_at = self._clock.monotonic() + PERIOD
        errors = self._times.accuracy.take_errors()
        if not errors:
            return
        most = sorted(errors.items(), key=lambda pair: -pair[1].runs)
        self._log.emit(
            "run_times_learned",
            kinds=[self._row(*pair) for pair in most[:MAX_ROWS]],
            omitted=max(len(most) - MAX_ROWS, 0),
        )

    def _row(self, subject: kinds.Subject, error: accuracy.Error) -> dict:
        found = self._times.known.estimate(subject)
        kind = self._times.known.by_key.get(subject.keys()[0])
        quantiles = (
            [round(found.quantile_s(share), 3) for share in (0.5, 0.9, 0.99)]
            if found
            else []
        )
        return {
            "account": subject.account,
            "queue": subject.queue,
            "shape": subject.shape,
            "image": subject.image,
            "ended": error.runs,
            "error": round(error.total / error.runs, 3),
            "weight": round(kind.weight, 1) if kind else 0.0,
            "quantiles_s": quantiles,
        }
