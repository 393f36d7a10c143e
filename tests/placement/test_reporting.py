"""Lines and counts of avoided placements."""

import unittest

from cardamomcroft.placement import reporting
from cardamomcroft.ports import clock as clocks
from cardamomcroft.scheduling import metrics
from cardamomcroft.scheduling import plans
from tests.scheduling import harness


class FakeLog:
    """Collects what is logged."""

    def __init__(self) -> None:
        """Start without lines."""
        self.metrics = metrics.Metrics()
        self.lines: list[tuple[str, dict]] = []

    def emit(self, event: str, **fields: object) -> None:
        """Collect a line."""
        self.lines.append((event, fields))


class AvoidanceLogTest(unittest.IsolatedAsyncioTestCase):
    """Rounds avoid placements many times a second."""

    async def test_lines_are_sampled_and_counts_are_not(self):
        """A line for each round would crowd out others."""
        clock, log = clocks.FakeClock(), FakeLog()
        avoidances = reporting.AvoidanceLog(clock, log)
        for number in range(21):
            avoidance = plans.Avoidance("leaving", f"j{number}", 3)
            avoidances.report([avoidance], 40, 0)
            await clock.advance(harness.seconds(0.1))
        self.assertEqual(
            [(name, f["tasks"], f["jobs"]) for name, f in log.lines],
            [
                ("placement_avoided", 3, 1),
                ("placement_avoided", 30, 10),
                ("placement_avoided", 30, 10),
            ],
        )
        self.assertEqual(log.lines[1][1]["leaving"], 40)
        text = log.metrics.render().decode()
        self.assertIn(
            'cardamomcroft_placements_avoided_total{reason="leaving"} 63.0',
            text,
        )
