"""Define the Prometheus metrics that an instance serves."""

import datetime

import prometheus_client

# Buckets from one store call (6 ms) to the longest objective of a job.
_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1, 2, 4, 8, 16, 32, 64)
# From an estimate eight times too long to one eight times too short.
_RATIOS = (0.125, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4, 8)


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        """Register every metric."""
        registry = prometheus_client.CollectorRegistry()
        self.registry = registry
        self.events = prometheus_client.Counter(
            "cardamomcroft_events",
            "Logged events, also those whose line was dropped",
            ("event", "outcome"),
            registry=registry,
        )
        self.lines_dropped = prometheus_client.Counter(
            "cardamomcroft_lines_dropped",
            "Log lines dropped because of their number or a slow reader",
            registry=registry,
        )
        self.calls = prometheus_client.Histogram(
            "cardamomcroft_call_seconds",
            "Calls to the store and to workers",
            ("target", "call", "outcome"),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.received = prometheus_client.Counter(
            "cardamomcroft_received_bytes",
            "Bytes of response bodies, also of calls that failed",
            ("target", "call", "outcome"),
            registry=registry,
        )
        self.requests = prometheus_client.Histogram(
            "cardamomcroft_request_seconds",
            "Clients' requests",
            ("method", "status"),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.waits = prometheus_client.Histogram(
            "cardamomcroft_start_wait_seconds",
            "From a job's acceptance to its first start",
            ("queue", "account"),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.completions = prometheus_client.Histogram(
            "cardamomcroft_job_seconds",
            "From a job's acceptance to its end",
            ("queue", "account", "state"),
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.takeovers = prometheus_client.Histogram(
            "cardamomcroft_takeover_seconds",
            "From the last sign of a scheduler to its successor's claim",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.age = prometheus_client.Gauge(
            "cardamomcroft_belief_age_seconds",
            "For how long a copy may have been out of date",
            ("copy",),
            registry=registry,
        )
        self.is_scheduler = prometheus_client.Gauge(
            "cardamomcroft_is_scheduler",
            "1 while this instance schedules",
            registry=registry,
        )
        self.jobs = prometheus_client.Gauge(
            "cardamomcroft_jobs",
            "Jobs that have not ended, at the scheduler",
            ("queue", "state"),
            registry=registry,
        )
        self.standing = prometheus_client.Gauge(
            "cardamomcroft_standing_jobs",
            "Jobs of which nothing has run for 3 s though a task's turn came",
            ("reason",),
            registry=registry,
        )
        self.evacuated = prometheus_client.Gauge(
            "cardamomcroft_evacuated_data_centres",
            "Data centres on whose workers nothing may start",
            registry=registry,
        )
        self.leaving = prometheus_client.Gauge(
            "cardamomcroft_leaving_workers",
            "Workers expected to drain soon, at the scheduler",
            registry=registry,
        )
        self.placements_avoided = prometheus_client.Counter(
            "cardamomcroft_placements_avoided",
            "Tasks that were kept off workers with room, or held back",
            ("reason",),
            registry=registry,
        )
        self.unmatched = prometheus_client.Gauge(
            "cardamomcroft_unmatched_cancellations",
            "Cancelled job ids without a stored submission",
            registry=registry,
        )
        self.share_ratios = prometheus_client.Gauge(
            "cardamomcroft_account_share_ratio",
            "An account's dominant share over its fair share, of the largest",
            ("account",),
            registry=registry,
        )
        self.refusals = prometheus_client.Counter(
            "cardamomcroft_late_refusals",
            "Submissions refused as they could not be served in time",
            ("queue",),
            registry=registry,
        )
        self.headroom = prometheus_client.Gauge(
            "cardamomcroft_headroom_accelerators",
            "Accelerators to keep idle for urgent jobs, and those kept",
            ("kind",),
            registry=registry,
        )
        self.preempted_runs = prometheus_client.Counter(
            "cardamomcroft_preempted_runs",
            "Runs stopped for other work, by how long they had run",
            ("age",),
            registry=registry,
        )
        self.stopped_core_seconds = prometheus_client.Counter(
            "cardamomcroft_stopped_core_seconds",
            "Work done by runs that were ordered to stop; an accelerator"
            " counts as eight cores",
            ("reason",),
            registry=registry,
        )
        self.rounds = prometheus_client.Histogram(
            "cardamomcroft_round_seconds",
            "Scheduling rounds",
            buckets=_BUCKETS_S,
            registry=registry,
        )
        self.run_time_errors = prometheus_client.Histogram(
            "cardamomcroft_run_time_error_ratio",
            "Actual to expected run times",
            ("queue",),
            buckets=_RATIOS,
            registry=registry,
        )
        self.round_lateness = prometheus_client.Histogram(
            "cardamomcroft_round_late_seconds",
            "How much later than planned a scheduling round began",
            buckets=_BUCKETS_S,
            registry=registry,
        )

    def record_call(
        self,
        target: str,
        call: str,
        outcome: str,
        duration: datetime.timedelta,
    ) -> None:
        """Count and time one call."""
        child = self.calls.labels(target, call, outcome)
        child.observe(duration.total_seconds())

    def render(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
