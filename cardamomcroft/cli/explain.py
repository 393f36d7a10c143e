"""Merge the log events of all instances about a job."""

import collections.abc
import dataclasses
import datetime
import json
import pathlib
import sys
import typing

from cardamomcroft.cli import client
from cardamomcroft.cli import output

# Changes of the cluster state and of the scheduler's role within this margin
# of the job's events are listed too, since they may explain its outcome.
CONTEXT_MARGIN = datetime.timedelta(seconds=2)
CONTEXT_EVENTS = frozenset(
    {
        "append_answered",
        "append_unanswered",
        "configuration_in_force",
        "evacuation_began",
        "evacuation_ended",
        "handover_failed",
        "leaving",
        "round_crashed",
        "round_late",
        "scheduler_claimed",
        "scheduler_lost",
        "scheduler_started",
        "started",
        "stopped",
        "store_lost",
        "store_regained",
        "worker_avoided",
        "worker_listed",
        "worker_lost",
        "worker_reborn",
        "worker_regained",
        "worker_unlisted",
    }
)
_FIELDS_OUTSIDE_DETAIL = frozenset({"at", "instance", "event", "worker_id"})


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Event parsed from a log line."""

    at: datetime.datetime
    instance: str
    event: str
    fields: dict[str, typing.Any]

    def concerns(self, job_id: str) -> bool:
        """Return whether a field of the event contains the job id."""
        return any(
            isinstance(value, str) and job_id in value
            for value in self.fields.values()
        )

    def detail(self) -> str:
        """Return the remaining fields as ``name=value`` pairs."""
        return " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in _FIELDS_OUTSIDE_DETAIL
        )


def parse(lines: collections.abc.Iterable[str]) -> list[LogEvent]:
    """Return the events of log lines by time.

    Text before an event, such as a log collector's prefix, is ignored.
    """
    events = []
    for line in lines:
        start = line.find('{"at"')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            at = datetime.datetime.fromisoformat(fields["at"])
            event = LogEvent(at, fields["instance"], fields["event"], fields)
        except (ValueError, KeyError, TypeError):
            continue  # truncated line
        events.append(event)
    return sorted(events, key=lambda event: event.at)


def history(events: list[LogEvent], job_id: str) -> list[LogEvent]:
    """Return the job's events with the context events around them."""
    job_events = [event for event in events if event.concerns(job_id)]
    if not job_events:
        return []
    workers = {event.fields.get("worker_id") for event in job_events} - {None}
    since, until = (
        job_events[0].at - CONTEXT_MARGIN,
        job_events[-1].at + CONTEXT_MARGIN,
    )
    return [
        event
        for event in events
        if event in job_events
        or (
            event.event in CONTEXT_EVENTS
            and since <= event.at <= until
            and event.fields.get("worker_id") in workers | {None}
        )
    ]


def explain(
    job_id: str, /, *logs: pathlib.Path, json_output: bool = False
) -> None:
    """Show the history of a job from the logs of all instances.

    Parameters
    ----------
    job_id
        Id of the job, as chosen by the client.
    logs
        Files with the standard output of instances; if none is given,
        standard input is read.
    json_output
        Print the events as one JSON list.
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
    found = history(parse(lines), job_id)
    if not found:
        print(f"no log event contains job id {job_id}", file=sys.stderr)
        sys.exit(client.ExitCode.REFUSED)
    rows = [
        {
            "time": event.at.strftime("%H:%M:%S.%f")[:-3],
            "instance": event.instance,
            "event": event.event,
            "worker": event.fields.get("worker_id", ""),
            "detail": event.detail(),
        }
        for event in found
    ]
    columns = ("time", "instance", "event", "worker", "detail")
    data = [event.fields for event in found]
    output.show(data, json_output, output.table(rows, columns))
