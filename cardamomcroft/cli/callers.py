"""Commands for callers of client accounts."""

import asyncio
import pathlib
import sys
import typing

import cyclopts

from cardamomcroft.cli import client
from cardamomcroft.cli import common
from cardamomcroft.cli import output
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing

LONG_POLL_S = 5.0
FINAL_PHASES = ("completed", "cancelled", "failed")

JobFile = typing.Annotated[
    pathlib.Path,
    cyclopts.Parameter(help="YAML file with one job specification."),
]


def _read_job(file: pathlib.Path) -> dict:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: {error}", file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    checked = parsing.parse_yaml(str(file), text).bind(
        lambda data: parsing.structure(str(file), data, documents.JobSpec)
    )
    if checked.is_error():
        for problem in checked.error:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    return parsing.CONVERTER.unstructure(checked.ok)


def submit(
    file: JobFile,
    *,
    key: str = "",
    wait: bool = False,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Submit a job.

    Parameters
    ----------
    key
        Idempotency key; submitting again with the same key returns the
        same job.
    wait
        Wait until the job has ended.
    """
    is_json = options.json
    result = asyncio.run(
        client.call(server.target(), "POST", "/v1/jobs", _read_job(file), key)
    )
    if result.is_error():
        output.finish(result.error, is_json)
    _show_job(server, result.ok, wait, is_json)


def status(
    job_id: str = "",
    *,
    wait: bool = False,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Show a job, or list the newest jobs if no id is given.

    Parameters
    ----------
    wait
        Wait until the job has ended.
    """
    is_json = options.json
    if job_id:
        data = common.fetch(server, f"/v1/jobs/{job_id}", is_json)
        _show_job(server, data, wait, is_json)
        return
    data = common.fetch(server, "/v1/jobs", is_json)
    columns = ("job_id", "account", "caller", "phase", "attempts", "detail")
    output.show(data, is_json, output.table(data["jobs"], columns))


def _show_job(
    server: common.ServerOptions, data: dict, wait: bool, is_json: bool
) -> None:
    while wait and data["phase"] not in FINAL_PHASES:
        output.progress(
            f"{data['job_id']} {data['phase']}, "
            f"{data['members_finished']} of {data['members']} finished"
        )
        path = f"/v1/jobs/{data['job_id']}?wait_s={LONG_POLL_S:g}"
        data = common.fetch(server, path, is_json)
    output.end_progress()
    lines = [f"{data['job_id']} {data['phase']}"]
    if data["detail"]:
        lines.append(f"  {data['detail']}")
    if data["workers"]:
        lines.append(f"  on {', '.join(data['workers'])}")
    output.show(data, is_json, lines)
    if wait and data["phase"] != "completed":
        sys.exit(client.ExitCode.REFUSED)


def cancel(
    job_id: str,
    *,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Request the cancellation of a job."""
    is_json = options.json
    result = asyncio.run(
        client.call(server.target(), "DELETE", f"/v1/jobs/{job_id}")
    )
    if result.is_error():
        output.finish(result.error, is_json)
    output.show(result.ok, is_json, [f"{job_id} {result.ok['phase']}"])


def request(
    body: str,
    *,
    key: str = "",
    idempotent: bool = False,
    deadline_s: float = 10.0,
    urgency: documents.Urgency = documents.Urgency.NORMAL,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Run a request on a backend server and print its answer.

    Parameters
    ----------
    key
        Idempotency key; a non-idempotent request with a key runs at
        most once.
    idempotent
        Declare that the request may safely run more than once.
    deadline_s
        Seconds until the request times out.
    """
    is_json = options.json
    data = {
        "body": body,
        "is_idempotent": idempotent,
        "deadline_s": deadline_s,
        "urgency": urgency.value,
    }
    result = asyncio.run(
        client.call(server.target(), "POST", "/v1/requests", data, key)
    )
    if result.is_error():
        output.finish(result.error, is_json)
    output.show(result.ok, is_json, [result.ok["answer"]])
