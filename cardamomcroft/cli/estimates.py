"""Show what schedulers have learned about run times, from their logs."""

import dataclasses
import math
import pathlib
import sys
import typing

from cardamomcroft.cli import client
from cardamomcroft.cli import explain
from cardamomcroft.cli import output

EVENT = "run_times_learned"
_NAMES = ("account", "queue", "shape", "image")


@dataclasses.dataclass(slots=True)
class Summary:
    """All reports of one kind of run."""

    names: tuple[str, ...]
    ended: int = 0
    total_error: float = 0.0  # of |log(actual / expected)|
    weight: float = 0.0  # newest
    quantiles_s: tuple[float, ...] = ()  # newest

    def add(self, row: dict[str, typing.Any]) -> None:
        """Add a later report; raise ValueError if it is malformed."""
        ended, error = int(row["ended"]), float(row["error"])
        quantiles_s = tuple(map(float, row["quantiles_s"]))
        weight = float(row["weight"])
        self.ended += ended
        self.total_error += ended * error
        self.weight, self.quantiles_s = weight, quantiles_s

    def fields(self) -> dict[str, object]:
        """Return the columns to show."""
        typical = math.exp(self.total_error / self.ended) if self.ended else 1
        median, upper, most = (*self.quantiles_s, "", "", "")[:3]
        return dict(zip(_NAMES, self.names, strict=True)) | {
            "ended": self.ended,
            "weight": self.weight,
            "median_s": median,
            "q90_s": upper,
            "q99_s": most,
            "error_factor": round(typical, 2),
        }


def summarize(events: list[explain.LogEvent]) -> list[Summary]:
    """Return the kinds in the events, those with the most runs first."""
    by_names: dict[tuple[str, ...], Summary] = {}
    for event in events:
        if event.event != EVENT:
            continue
        for row in event.fields.get("kinds", ()):
            try:
                names = tuple(str(row[name]) for name in _NAMES)
                by_names.setdefault(names, Summary(names)).add(row)
            except (KeyError, TypeError, ValueError):
                continue  # of a later version
    return sorted(by_names.values(), key=lambda kind: -kind.ended)


def estimates(*logs: pathlib.Path, json_output: bool = False) -> None:
    """Show expected run times and how wrong they were, by kind of run.

    Parameters
    ----------
    logs
        Files with the standard output of instances; if none is given,
        standard input is read.
    json_output
        Print the kinds as one JSON list.
    """
    lines: list[str] = []
    for path in logs:
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            sys.exit(client.ExitCode.WRONG_USE)
        lines.extend(text.splitlines())
    if not logs:
        lines.extend(sys.stdin)
    rows = [kind.fields() for kind in summarize(explain.parse(lines))]
    if not rows:
        print(f"no {EVENT} event in the logs", file=sys.stderr)
        sys.exit(client.ExitCode.REFUSED)
    output.show(rows, json_output, output.table(rows, tuple(rows[0])))
