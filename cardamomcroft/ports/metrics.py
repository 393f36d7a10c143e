"""Send metrics to statsd, or store them in memory for tests."""

import collections
import datetime

import statsd

from cardamomcroft.ports import base


class StatsdMetrics(base.Metrics):
    """Send metrics to a statsd server over UDP."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        """Send to this server, with the prefix before every name."""
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Record a duration."""
        self._client.timing(name, duration)


class MemoryMetrics(base.Metrics):
    """Store metrics in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.counters: collections.Counter[str] = collections.Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, datetime.timedelta] = {}

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Store the last duration."""
        self.timings[name] = duration
