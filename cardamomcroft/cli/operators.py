"""Commands for operators."""

import asyncio
import pathlib
import sys
import typing

import cyclopts

from cardamomcroft.api import settings as api_settings
from cardamomcroft.cli import changes
from cardamomcroft.cli import client
from cardamomcroft.cli import common
from cardamomcroft.cli import output
from cardamomcroft.settings import directory
from cardamomcroft.settings import documents

Directory = typing.Annotated[
    pathlib.Path,
    cyclopts.Parameter(help="Directory of settings declarations."),
]


def _load(root: pathlib.Path) -> dict[str, documents.Document]:
    loaded = directory.load(root)
    problems = (
        loaded.error
        if loaded.is_error()
        else api_settings.check_consistency(loaded.ok, set(loaded.ok))
    )
    if problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    return loaded.ok


def validate(
    root: Directory, *, options: common.OutputOptions = common.TEXT_OUTPUT
) -> None:
    """Check settings declarations without contacting a server."""
    by_path = _load(root)
    data = {"paths": sorted(by_path)}
    is_json = options.json
    output.show(data, is_json, [f"{len(by_path)} documents are valid"])


def _fetch_entries(target: client.Target, is_json: bool) -> dict:
    result = asyncio.run(client.call(target, "GET", "/v1/settings/"))
    if result.is_error():
        output.finish(result.error, is_json)
    return result.ok["entries"]


def _compare(
    root: pathlib.Path,
    server: common.ServerOptions,
    is_json: bool,
    prune: bool,
) -> list[changes.Change]:
    by_path = _load(root)
    entries = _fetch_entries(server.target(), is_json)
    return changes.compare(by_path, entries, prune)


def diff(
    root: Directory,
    *,
    prune: bool = False,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Show the changes that apply would make.

    Parameters
    ----------
    prune
        Also remove paths that the directory does not declare.
    """
    is_json = options.json
    planned = _compare(root, server, is_json, prune)
    data = {
        "changes": [
            {"path": change.path, "kind": change.kind} for change in planned
        ]
    }
    lines = [line for change in planned for line in change.lines()]
    output.show(data, is_json, lines or ["no change"])


def apply(
    root: Directory,
    *,
    prune: bool = False,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Apply settings declarations, all of them or none.

    Parameters
    ----------
    prune
        Also remove paths that the directory does not declare.
    """
    is_json = options.json
    planned = _compare(root, server, is_json, prune)
    if not planned:
        output.show({"changes": []}, is_json, ["no change"])
        return
    body = {"edits": [change.to_edit() for change in planned]}
    result = asyncio.run(
        client.call(server.target(), "POST", "/v1/settings", body)
    )
    if result.is_error():
        output.finish(result.error, is_json)
    data = result.ok | {"changes": [change.path for change in planned]}
    lines = [f"{change.kind} {change.path}" for change in planned]
    revision = result.ok["revision"]
    lines.append(f"accepted at revision {revision}")
    output.show(data, is_json, lines)


def get(
    path: str = "",
    *,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Show the settings in force at or under a path."""
    is_json = options.json
    data = common.fetch(server, f"/v1/settings/{path}", is_json)
    lines = []
    for name, entry in data["entries"].items():
        lines.append(f"# {name} (revision {entry['revision']})")
        lines.extend(changes.yaml_lines(entry["document"]))
    output.show(data, is_json, lines)


def history(
    path: str,
    *,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """Show who changed a path and when, with refused changes and why."""
    is_json = options.json
    data = common.fetch(server, f"/v1/history/{path}", is_json)
    lines = []
    for entry in data["entries"]:
        verb = "accepted" if entry["accepted"] else "refused"
        reason = f": {entry['reason']}" if entry["reason"] else ""
        lines.append(
            f"{entry['at']} revision {entry['revision']} "
            f"{entry['who']} {verb}{reason}"
        )
        change = changes.Change(path, 0, entry["before"], entry["after"])
        lines.extend(f"    {line}" for line in change.lines()[2:])
    output.show(data, is_json, lines)


def workers(
    *,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """List the declared workers."""
    is_json = options.json
    data = common.fetch(server, "/v1/workers", is_json)
    columns = (
        "worker_id",
        "region",
        "data_centre",
        "rack",
        "accelerators",
        "tasks",
        "leaving",
    )
    output.show(data, is_json, output.table(data["workers"], columns))


def instances(
    *,
    server: common.ServerOptions = common.DEFAULT_SERVER,
    options: common.OutputOptions = common.TEXT_OUTPUT,
) -> None:
    """List the instances that the called instance knows."""
    is_json = options.json
    data = common.fetch(server, "/v1/instances", is_json)
    columns = ("instance_id", "region", "live", "applied")
    output.show(data, is_json, output.table(data["instances"], columns))
