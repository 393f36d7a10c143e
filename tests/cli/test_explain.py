"""Check the history of a job from the logs of several instances."""

import unittest

from cardamomcroft.cli import explain

JOB = "53890e985b027f06"


def line(second: float, instance: str, rest: str) -> str:
    """Return a line of an instance's log with a log collector's prefix."""
    at = f"2026-12-04T10:00:{second:06.3f}+00:00"
    return f' 12.5 {instance} {{"at":"{at}","instance":"{instance}",{rest}}}'


LINES = [
    line(7, "b", f'"event":"job_ended","job_id":"{JOB}","state":"completed"'),
    line(1, "a", f'"event":"job_submitted","job_id":"{JOB}"'),
    line(2, "b", f'"event":"start_ordered","task":"{JOB}.0.0.1",'
                 '"worker_id":"w1"'),
    line(3, "b", '"event":"worker_lost","worker_id":"w1"'),
    line(3, "b", '"event":"worker_lost","worker_id":"w2"'),
    line(4, "b", '"event":"start_ordered","task":"0000000000000000.0.0.1",'
                 '"worker_id":"w1"'),
    line(5, "c", '"event":"scheduler_claimed","outcome":"appended"'),
    line(30, "c", '"event":"scheduler_claimed","outcome":"appended"'),
    "not an event",
    ' 12.5 a {"at":"2026-12-04T10:0',
]  # fmt: skip


class ExplainTest(unittest.TestCase):
    """Lines may be out of order, truncated or without an event."""

    def setUp(self):
        """Parse the lines and select the job's history."""
        events = explain.parse(LINES)
        self.found = explain.history(events, JOB)

    def test_own_events_come_by_time(self):
        """The events of the job and of its tasks are listed by time."""
        own = [e.event for e in self.found if e.concerns(JOB)]
        self.assertEqual(own, ["job_submitted", "start_ordered", "job_ended"])

    def test_evacuations_are_context(self):
        """A task's long wait may be due to an evacuation."""
        around = [
            line(6, "b", '"event":"evacuation_began","data_centre":"east"'),
            line(6.5, "b", '"event":"evacuation_ended","data_centre":"east"'),
            line(60, "b", '"event":"evacuation_began","data_centre":"east"'),
        ]
        found = explain.history(explain.parse(LINES + around), JOB)
        shown = [e.event for e in found if e.event.startswith("evacuation")]
        self.assertEqual(shown, ["evacuation_began", "evacuation_ended"])

    def test_context_events_are_shown(self):
        """Events of its workers and of the scheduler's role are included."""
        others = [e.fields for e in self.found if not e.concerns(JOB)]
        self.assertEqual(
            [(o["event"], o.get("worker_id")) for o in others],
            [("worker_lost", "w1"), ("scheduler_claimed", None)],
        )

    def test_job_that_stands_shows_with_what_its_reason_needs(self):
        """Its lines, its worker's events, and rounds that failed or lagged."""
        lines = [
            line(1, "b", '"event":"worker_lost","worker_id":"w1"'),
            line(1, "b", '"event":"worker_lost","worker_id":"w2"'),
            line(2, "b", '"event":"round_crashed","error":"KeyError()"'),
            line(2, "b", '"event":"round_late","late_s":2.5'),
            line(2, "b", f'"event":"job_stands","job_id":"{JOB}",'
                         '"reason":"lease_awaited","worker_id":"w1"'),
            line(2, "b", '"event":"job_stands","job_id":"0000000000000000"'),
            line(4, "b", f'"event":"job_moves","job_id":"{JOB}"'),
        ]  # fmt: skip
        found = explain.history(explain.parse(lines), JOB)
        self.assertEqual(
            [(e.event, e.fields.get("worker_id")) for e in found],
            [
                ("worker_lost", "w1"),
                ("round_crashed", None),
                ("round_late", None),
                ("job_stands", "w1"),
                ("job_moves", None),
            ],
        )
        self.assertIn("reason=lease_awaited", found[3].detail())

    def test_unknown_job_has_no_history(self):
        """An id that occurs in no line has an empty history."""
        events = explain.parse(LINES)
        self.assertEqual(explain.history(events, "f" * 16), [])
