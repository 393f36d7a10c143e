"""Write one JSON line for each decision, without ever blocking."""

import collections
import json
import os

from cardamomcroft.ports import base
from cardamomcroft.scheduling import metrics

STDOUT = 1  # file descriptor
MAX_LINES_PER_SECOND = 400  # 80 kB/s at 200 bytes a line, 1% of a small link
MAX_BUFFERED_BYTES = 256 * 1024  # covers a reader's pause of some seconds


class Events:
    """Write lines to a descriptor; drop and count what does not fit."""

    def __init__(
        self,
        clock: base.Clock,
        instance: str,
        process_metrics: metrics.Metrics,
        descriptor: int = STDOUT,
    ) -> None:
        """Make the descriptor non-blocking."""
        self.metrics = process_metrics
        self._clock = clock
        self._instance = instance
        self._descriptor = descriptor
        self._backlog: collections.deque[bytes] = collections.deque()
        self._backlog_bytes = 0
        self._second = -1
        self._lines = 0
        self.dropped = 0
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def emit(self, event: str, **fields: object) -> None:
        """Log an event with the inputs of the decision."""
        outcome = fields.get("outcome") or fields.get("status") or ""
        self.metrics.events.labels(event, str(outcome)).inc()
        now = self._clock.now()
        second = int(now.timestamp())
        if second != self._second:
            self._second, self._lines = second, 0
            self._report_dropped()
        self._lines += 1
        if self._lines > MAX_LINES_PER_SECOND:
            self._drop(1)
            return
        self._write(event, now, fields)

    def _drop(self, count: int) -> None:
        self.dropped += count
        self.metrics.lines_dropped.inc(count)

    def _report_dropped(self) -> None:
        if self.dropped > self._reported_drops:
            count = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            self._write("lines_dropped", self._clock.now(), {"count": count})

    def _write(self, event: str, now, fields: dict) -> None:
        data = {
            "at": now.isoformat(timespec="milliseconds"),
            "instance": self._instance,
            "event": event,
            **fields,
        }
        line = json.dumps(data, separators=(",", ":"), default=str)
        raw = line.encode() + b"\n"
        if self._backlog_bytes + len(raw) > MAX_BUFFERED_BYTES:
            self._drop(1)
            return
        self._backlog.append(raw)
        self._backlog_bytes += len(raw)
        self.flush()

    def flush(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        while self._backlog:
            raw = self._backlog[0]
            try:
                written = os.write(self._descriptor, raw)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so no line can be delivered.
                self._drop(len(self._backlog))
                self._backlog.clear()
                self._backlog_bytes = 0
                return
            self._backlog_bytes -= written
            if written < len(raw):
                self._backlog[0] = raw[written:]
                return
            self._backlog.popleft()
