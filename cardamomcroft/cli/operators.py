"""Serve the commands of operators."""

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
    pathlib.Path, cyclopts.Parameter(help="The directory of declarations.")
]


def _load(root: pathlib.Path) -> dict[str, documents.Document]:
    loaded = directory.load(root)
    problems = (
        loaded.error
        if loaded.is_error()
        else api_settings.check_together(loaded.ok, set(loaded.ok))
    )
    if problems:
        for problem in problems:
            print(problem, file=sys.stderr)
        sys.exit(client.ExitCode.WRONG_USE)
    return loaded.ok


def validate(root: Directory, *, options: common.Json = common.TEXT) -> None:
    """Check declarations without a server."""
    by_path = _load(root)
    plain = {"paths": sorted(by_path)}
    is_json = options.json
    output.show(plain, is_json, [f"{len(by_path)} documents are valid"])


def _in_force(target: client.Target, is_json: bool) -> dict:
    result = asyncio.run(client.call(target, "GET", "/v1/settings/"))
    if result.is_error():
        output.finish(result.error, is_json)
    return result.ok["entries"]


def _compare(
    root: pathlib.Path, server: common.Server, is_json: bool, prune: bool
) -> list[changes.Change]:
    by_path = _load(root)
    entries = _in_force(server.target(), is_json)
    return changes.compare(by_path, entries, prune)


def diff(
    root: Directory,
    *,
    prune: bool = False,
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Show what apply would change.

    Parameters
    ----------
    prune
        Also remove paths that the directory does not declare.
    """
    is_json = options.json
    found = _compare(root, server, is_json, prune)
    plain = {
        "changes": [
            {"path": change.path, "kind": change.kind} for change in found
        ]
    }
    lines = [line for change in found for line in change.lines()]
    output.show(plain, is_json, lines or ["no change"])


def apply(
    root: Directory,
    *,
    prune: bool = False,
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Put declarations in force, all of them or none.

    Parameters
    ----------
    prune
        Also remove paths that the directory does not declare.
    """
    is_json = options.json
    found = _compare(root, server, is_json, prune)
    if not found:
        output.show({"changes": []}, is_json, ["no change"])
        return
    body = {"edits": [change.to_edit() for change in found]}
    result = asyncio.run(
        client.call(server.target(), "POST", "/v1/settings", body)
    )
    if result.is_error():
        output.finish(result.error, is_json)
    plain = result.ok | {"changes": [change.path for change in found]}
    lines = [f"{change.kind} {change.path}" for change in found]
    revision = result.ok["revision"]
    lines.append(f"accepted at revision {revision}")
    output.show(plain, is_json, lines)


def get(
    path: str = "",
    *,
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Show the settings in force at or under a path."""
    is_json = options.json
    plain = common.fetch(server, f"/v1/settings/{path}", is_json)
    lines = []
    for name, entry in plain["entries"].items():
        lines.append(f"# {name} (revision {entry['revision']})")
        lines.extend(changes.yaml_lines(entry["document"]))
    output.show(plain, is_json, lines)


def history(
    path: str,
    *,
    server: common.Server = common.LOCAL,
    options: common.Json = common.TEXT,
) -> None:
    """Show who changed a path, when, and what was refused and why."""
    is_json = options.json
    plain = common.fetch(server, f"/v1/history/{path}", is_json)
    lines = []
    for entry in plain["entries"]:
        verb = "accepted" if entry["accepted"] else "refused"
        reason = f": {entry['reason']}" if entry["reason"] else ""
        lines.append(
            f"{entry['at']} revision {entry['revision']} "
            f"{entry['who']} {verb}{reason}"
        )
        change = changes.Change(path, 0, entry["before"], entry["after"])
        lines.extend(f"    {line}" for line in change.lines()[2:])
    output.show(plain, is_json, lines)


def workers(
    *, server: common.Server = common.LOCAL, options: common.Json = common.TEXT
) -> None:
    """List the declared workers."""
    is_json = options.json
    plain = common.fetch(server, "/v1/workers", is_json)
    columns = (
        "worker_id",
        "region",
        "data_centre",
        "rack",
        "accelerators",
        "tasks",
        "leaving",
    )
    output.show(plain, is_json, output.table(plain["workers"], columns))


def instances(
    *, server: common.Server = common.LOCAL, options: common.Json = common.TEXT
) -> None:
    """List the instances as one of them sees them."""
    is_json = options.json
    plain = common.fetch(server, "/v1/instances", is_json)
    columns = ("instance_id", "region", "live", "applied")
    output.show(plain, is_json, output.table(plain["instances"], columns))
