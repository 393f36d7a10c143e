"""Print results and failures as text or JSON."""

import json
import sys
import typing

from cardamomcroft.cli import client


def finish(failure: client.CallFailure, is_json: bool) -> typing.NoReturn:
    """Print a failure and exit with its code."""
    if is_json:
        print(json.dumps(failure.data))
    else:
        for line in failure.lines():
            print(line, file=sys.stderr)
    sys.exit(failure.exit_code)


def show(data: object, is_json: bool, lines: list[str]) -> None:
    """Print a result as JSON or as lines of text."""
    if is_json:
        print(json.dumps(data))
    else:
        for line in lines:
            print(line)


def table(
    rows: list[dict[str, typing.Any]], columns: tuple[str, ...]
) -> list[str]:
    """Return lines with a header and the rows, in aligned columns."""
    cells = [columns] + [
        tuple(str(row.get(column, "")) for column in columns) for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    ]


def progress(line: str) -> None:
    """Replace the progress line, if standard error is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{line}", end="", file=sys.stderr, flush=True)


def end_progress() -> None:
    """Clear the progress line."""
    if sys.stderr.isatty():
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)
