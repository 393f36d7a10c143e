"""Log lines are bounded and never block."""

import datetime
import json
import os
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import metrics


class EventsTest(unittest.IsolatedAsyncioTestCase):
    """Events are written to a pipe whose reader stops reading."""

    def setUp(self):
        """Open a pipe."""
        self.clock = clocks.FakeClock()
        self.reader, self.writer = os.pipe()
        self.metrics = metrics.Metrics()
        self.events = events.Events(self.clock, "a", self.metrics, self.writer)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def metric_value(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self.metrics.registry.get_sample_value(name, labels)

    async def test_full_pipe_drops_lines_only(self):
        """Emitting continues; dropped lines are counted and reported."""
        for _ in range(20):
            for _line in range(events.MAX_LINES_PER_SECOND):
                self.events.emit("thing", outcome="x", text="y" * 200)
            await self.clock.advance(datetime.timedelta(seconds=1))
        total = 20 * events.MAX_LINES_PER_SECOND
        self.assertEqual(
            self.metric_value(
                "cardamomcroft_events_total", event="thing", outcome="x"
            ),
            total,
        )
        self.assertGreater(self.events.dropped, 0)
        dropped = self.metric_value("cardamomcroft_lines_dropped_total")
        self.assertEqual(dropped, self.events.dropped)

        os.set_blocking(self.reader, False)
        raw = b""
        while chunk := self.read():
            raw += chunk
            self.events.flush()
        lines = [json.loads(line) for line in raw.splitlines()]
        received = sum(line["event"] == "thing" for line in lines)
        # Each second's report of drops is a line that may be dropped too.
        reports = received + self.events.dropped - total
        self.assertIn(reports, range(20))

    def read(self) -> bytes:
        """Return the bytes in the pipe."""
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b""

    async def test_volume_is_bounded(self):
        """Lines beyond the limit per second are only counted."""
        os.set_blocking(self.reader, False)
        for _ in range(events.MAX_LINES_PER_SECOND * 3):
            self.events.emit("thing")
        self.assertEqual(self.events.dropped, events.MAX_LINES_PER_SECOND * 2)
        await self.clock.advance(datetime.timedelta(seconds=1))
        raw = self.read()
        self.events.emit("next")
        raw += self.read()
        reports = [
            json.loads(line)
            for line in raw.splitlines()
            if b"lines_dropped" in line
        ]
        self.assertEqual(
            [report["count"] for report in reports],
            [events.MAX_LINES_PER_SECOND * 2],
        )
