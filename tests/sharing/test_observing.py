"""Operators see what is kept idle and what is stopped."""

from unittest import mock

from cardamomcroft.scheduling import events
from cardamomcroft.sharing import observing
from tests.scheduling import harness
from tests.sharing import load_harness


class ObservingTest(load_harness.LoadTestCase):
    """A small load with a preemption."""

    worker_count = 8
    rack_count = 2

    async def play(self, plans_ahead: bool) -> dict[str, list[dict]]:
        """Return the lines by event; keep the samples of the metrics."""
        lines: dict[str, list[dict]] = {}
        emit = events.Events.emit

        def collect(log, event, **fields):
            lines.setdefault(event, []).append(fields)
            emit(log, event, **fields)

        with mock.patch.object(events.Events, "emit", collect):
            await self.begin(plans_ahead)
            self.submit_for(harness.make_step(width=64), 30, priority=2)
            await self.play_on(1)
            urgent = harness.make_step(2, 8, is_gang=True)
            self.submit_for(urgent, 1, priority=0)
            await self.play_on(3)
        log = self.nodes_by_name["a"].scheduler.cluster.log
        self.samples = {
            (sample.name, *sample.labels.values()): sample.value
            for metric in log.metrics.registry.collect()
            for sample in metric.samples
        }
        return lines

    async def test_headroom_is_logged_and_sampled(self):
        """The lines name the rate, and there are few of them."""
        lines = (await self.play(plans_ahead=True))["headroom_changed"]
        self.assertLessEqual(len(lines), 3)
        self.assertEqual(lines[0]["rate"], 3.2)  # 16 within 5 s
        self.assertGreater(lines[0]["wanted"], 0)
        name = "cardamomcroft_headroom_accelerators"
        self.assertGreater(self.samples[name, "wanted"], 0)

    async def test_stops_are_counted(self):
        """Sixteen young runs stop; each has run for about a second."""
        await self.play(plans_ahead=True)
        name = "cardamomcroft_preempted_runs_total"
        self.assertEqual(self.samples[name, "under 2 s"], 16)
        name = "cardamomcroft_stopped_core_seconds_total"
        stopped = self.samples[name, "preempted"]
        self.assertAlmostEqual(stopped, 16 * 9, delta=16 * 9 * 0.3)

    async def test_reactive_planning_shows_nothing(self):
        """Deployments with short stops keep their lines and metrics."""
        lines = await self.play(plans_ahead=False)
        self.assertNotIn("headroom_changed", lines)
        names = {name for name, *labels in self.samples if labels}
        self.assertNotIn("cardamomcroft_headroom_accelerators", names)
        self.assertNotIn("cardamomcroft_preempted_runs_total", names)

    def test_labels_are_few(self):
        """Reasons that name jobs or texts do not become labels."""
        for reason, label in (
            ("preempted by 0123", "preempted"),
            ("gang member's start order refused", "gang broken"),
            ("slow", "slow"),
            ("some text", "other"),
        ):
            self.assertEqual(observing.reason_label(reason), label)
        self.assertEqual(observing.age_bucket(0.4), "under 0.5 s")
        self.assertEqual(observing.age_bucket(8), "8 s or more")
