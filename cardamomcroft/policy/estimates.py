"""Estimate run times from declared ones and the history of runs."""

import dataclasses
import datetime

import immutables

from cardamomcroft.settings import documents

RATIO_QUANTILE = 0.75
MAX_SAMPLES = 32  # for each account and kind
MAX_RUN_TIME = datetime.timedelta(days=36_500)  # dates end in the year 9999
OVERRUN_FACTOR = 1.5  # expected total over elapsed time of an overdue run


@dataclasses.dataclass(frozen=True, slots=True)
class Estimates:
    """Keep ratios of actual to declared run time by account and kind."""

    ratios: immutables.Map[tuple[str, str], tuple[float, ...]] = (
        dataclasses.field(default_factory=immutables.Map)
    )

    def observe(
        self, account: str, spec: documents.JobSpec, actual_s: float
    ) -> "Estimates":
        """Return estimates that include one more run."""
        key = (account, spec.kind)
        recent = self.ratios.get(key, ())[-MAX_SAMPLES + 1 :]
        ratio = actual_s / spec.run_s
        return Estimates(self.ratios.set(key, (*recent, ratio)))

    def ratio(self, account: str, kind: str) -> float:
        """Return the quantile of the recent ratios, 1 without samples."""
        samples = self.ratios.get((account, kind))
        if not samples:
            return 1.0
        ordered = sorted(samples)
        return ordered[
            min(len(ordered) - 1, int(RATIO_QUANTILE * len(ordered)))
        ]

    def run_time(
        self, account: str, spec: documents.JobSpec, checkpoint_s: float
    ) -> datetime.timedelta:
        """Return the expected run time of a job that starts now."""
        expected_s = spec.run_s * self.ratio(account, spec.kind)
        remaining_s = max(expected_s - checkpoint_s, 0.1 * expected_s)
        limit_s = MAX_RUN_TIME.total_seconds()
        return datetime.timedelta(seconds=min(remaining_s, limit_s))

    def expected_end(
        self,
        account: str,
        spec: documents.JobSpec,
        started_at: datetime.datetime,
        now: datetime.datetime,
    ) -> datetime.datetime:
        """Return the expected end of a running gang."""
        end = started_at + self.run_time(account, spec, 0.0)
        if end > now:
            return end
        return now + (now - started_at) * (OVERRUN_FACTOR - 1)
