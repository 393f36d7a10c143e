"""Malformed submissions are refused before they reach a scheduler.

What is stored is read by the scheduler and by each of its successors, so a job
that ends one of them would end all.
"""

import datetime
import json
import unittest

from cardamomcroft.platform import submissions
from tests.scheduling import harness

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
STEP = {"Count": 1, "Cpu": 1}


def decode(body: bytes):
    """Decode a submission."""
    return submissions.decode("0" * 16, harness.make_queue(), "a", body, NOW)


def encode(step: dict, **fields: object) -> bytes:
    """Return the body of a job with one step."""
    return json.dumps({"Phases": [STEP | step]} | fields).encode()


class MalformedSubmissionTest(unittest.TestCase):
    """Decode what no client should send."""

    def check_refused(self, body: bytes) -> None:
        """Check that the submission is refused with a reason."""
        with self.assertRaises(submissions.SubmissionError) as caught:
            decode(body)
        self.assertTrue(str(caught.exception))

    def test_ordinary_submission_is_accepted(self):
        """The fields that the other tests break are accepted if valid."""
        step = {"Affinity": "r1", "Image": "x", "MaxUnavailable": 0}
        job = decode(encode(step, RepeatCount=3, StartAtMs=0, IntervalMs=5))
        self.assertEqual(job.steps[0].data_rack, "r1")
        self.assertEqual(job.occurrences, 3)

    def test_long_timetable_is_accepted(self):
        """A job of the size that operators use is not over the limit."""
        fields = {"RepeatCount": 9_400, "StartAtMs": 0, "IntervalMs": 5}
        self.assertEqual(
            decode(encode({"Count": 32}, **fields)).occurrences, 9_400
        )

    def test_text_must_be_text(self):
        """A list in place of a name would fail every scheduling round."""
        for name in ("Affinity", "Image", "Requirements"):
            for value in (["a", "b"], {"a": 1}, 5):
                with self.subTest(name=name, value=value):
                    value = [value] if name == "Requirements" else value
                    self.check_refused(encode({name: value}))

    def test_budget_must_be_a_number(self):
        """A budget that can't be compared is refused."""
        self.check_refused(encode({"MaxUnavailable": "many"}))

    def test_job_that_fills_the_memory_is_refused(self):
        """Billions of tasks fit into a few bytes of JSON."""
        self.check_refused(encode({"Count": 10**9}))
        fields = {"StartAtMs": 0, "IntervalMs": 1}
        self.check_refused(encode({}, RepeatCount=10**7, **fields))
        self.check_refused(encode({"Count": 1000}, RepeatCount=1000, **fields))

    def test_numbers_that_overflow_are_refused(self):
        """Durations and dates are bounded."""
        self.check_refused(encode({"EstimateMs": 10**17}))
        self.check_refused(encode({"EstimateMs": 10**30}))
        self.check_refused(encode({"Cpu": 10**400}))
        self.check_refused(encode({"Cpu": float("inf")}))
        for start, interval in ((10**17, 1), (0, 10**10)):
            fields = {"StartAtMs": start, "IntervalMs": interval}
            self.check_refused(encode({}, RepeatCount=40_000, **fields))

    def test_deep_nesting_is_refused(self):
        """The parser's recursion limit is no reason to fail."""
        self.check_refused(b'{"Phases":' + b"[" * 100_000)
