"""Serve the commands of callers."""

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

WAIT_STEP_S = 5.0
FINAL_PHASES = ("completed", "cancelled", "failed")

JobFile = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(help="A YAML file with one job.")
]


def _read_job(file: pathlib.Path) -> dict:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: {error}", file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    checked = parsing.parse_yaml(str(file), text).bind(
        lambda plain: parsing.structure(str(file), plain, documents.JobSpec)
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
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Submit a job.

    Parameters
    ----------
    key
        The same key gives the same job, however often it is sent.
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
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Show one job, or the newest jobs.

    Parameters
    ----------
    wait
        Wait until the job has ended.
    """
    is_json = options.json
    if job_id:
        plain = common.fetch(server, f"/v1/jobs/{job_id}", is_json)
        _show_job(server, plain, wait, is_json)
        return
    plain = common.fetch(server, "/v1/jobs", is_json)
    columns = ("job_id", "account", "caller", "phase", "attempts", "detail")
    output.show(plain, is_json, output.table(plain["jobs"], columns))


def _show_job(
    server: common.Server, plain: dict, wait: bool, is_json: bool
) -> None:
    while wait and plain["phase"] not in FINAL_PHASES:
        output.progress(
            f"{plain['job_id']} {plain['phase']}, "
            f"{plain['members_finished']} of {plain['members']} finished"
        )
        path = f"/v1/jobs/{plain['job_id']}?wait_s={WAIT_STEP_S:g}"
        plain = common.fetch(server, path, is_json)
    output.end_progress()
    lines = [f"{plain['job_id']} {plain['phase']}"]
    if plain["detail"]:
        lines.append(f"  {plain['detail']}")
    if plain["workers"]:
        lines.append(f"  on {', '.join(plain['workers'])}")
    output.show(plain, is_json, lines)
    if wait and plain["phase"] != "completed":
        sys.exit(client.ExitCode.REFUSED)


def cancel(
    job_id: str,
    *,
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Ask for the end of a job."""
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
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Send a request to a backend server and show its answer.

    Parameters
    ----------
    key
        A non-idempotent request with a key runs at most once.
    idempotent
        The request may safely run more than once.
    deadline_s
        Seconds to wait for the answer.
    """
    is_json = options.json
    plain = {
        "body": body,
        "is_idempotent": idempotent,
        "deadline_s": deadline_s,
        "urgency": urgency.value,
    }
    result = asyncio.run(
        client.call(server.target(), "POST", "/v1/requests", plain, key)
    )
    if result.is_error():
        output.finish(result.error, is_json)
    output.show(result.ok, is_json, [result.ok["answer"]])
