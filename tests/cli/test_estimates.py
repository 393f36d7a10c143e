"""Check the summary of learned run times from logs."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from cardamomcroft.cli import estimates
from cardamomcroft.cli import explain
from tests.cli import test_explain


def report(second: float, **fields: object) -> str:
    """Return a log line that reports one kind."""
    row = {
        "account": "blue",
        "queue": "batch",
        "shape": "1000/1024/1",
        "image": "",
        "ended": 10,
        "error": 0.2,
        "weight": 5.0,
        "quantiles_s": [8.0, 12.0, 20.0],
    } | fields
    rest = f'"event":"run_times_learned","kinds":[{json.dumps(row)}]'
    return test_explain.line(second, "a", rest)


class EstimatesTest(unittest.TestCase):
    """Reports may be out of order, malformed or of several kinds."""

    def test_newest_report_counts_and_errors_add_up(self):
        """An older report must not replace a newer estimate."""
        lines = [
            report(20, weight=9.0, error=0.4, quantiles_s=[9.0, 13.0, 21.0]),
            report(10),
        ]
        (kind,) = estimates.summarize(explain.parse(lines))
        found = kind.fields()
        self.assertEqual(found["ended"], 20)
        self.assertEqual(found["weight"], 9.0)
        self.assertEqual(found["median_s"], 9.0)
        self.assertEqual(found["error_factor"], 1.35)

    def test_malformed_rows_are_passed_over(self):
        """A line of a later version must not hide the others."""
        lines = [
            report(1, ended="many"),
            test_explain.line(
                2, "a", '"event":"run_times_learned","kinds":[7,{}]'
            ),
            report(3, account="north", ended=30),
            report(4),
        ]
        found = estimates.summarize(explain.parse(lines))
        self.assertEqual(
            [(kind.names[0], kind.ended) for kind in found],
            [("north", 30), ("blue", 10)],
        )

    def test_command_prints_a_table(self):
        """It reads files with a log collector's prefix."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "a.log"
        path.write_text(report(1))
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            estimates.estimates(path)
        self.assertIn("median_s", printed.getvalue())
        self.assertIn("1.22", printed.getvalue())

    def test_logs_without_reports_are_refused(self):
        """Learning may be switched off."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "a.log"
        path.write_text("")
        with (
            contextlib.redirect_stderr(io.StringIO()),
            self.assertRaises(SystemExit),
        ):
            estimates.estimates(path)


if __name__ == "__main__":
    unittest.main()
