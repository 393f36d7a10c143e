"""Handlers that read and change settings."""

import dataclasses
import datetime
import json

from aiohttp import web

from cardamomcroft.api import auth
from cardamomcroft.api import bodies
from cardamomcroft.api import context as contexts
from cardamomcroft.api import errors
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.policy import feasibility
from cardamomcroft.ports import verdict
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import models
from cardamomcroft.state import settings as folds

APPLY_TIMEOUT = datetime.timedelta(seconds=5)


async def apply(request: web.Request) -> web.Response:
    """Apply all edits or none, each at its expected revision."""
    context = request.app[contexts.CONTEXT]
    checked = await bodies.read(request, bodies.ApplyBody)
    if checked.is_error():
        return errors.invalid(checked.error)
    body: bodies.ApplyBody = checked.ok
    identity = request[contexts.IDENTITY]
    refusal = _refuse_edits(identity, body)
    if refusal is not None:
        return refusal
    edits, problems = _check_edits(body)
    problems += _check_references(context.replica.state, edits, problems)
    if problems:
        return errors.invalid(problems)
    outcome = await context.appender.confirm(
        records.SettingsChanged(_actor(identity), edits),
        appenders.Priority.OPERATOR,
        APPLY_TIMEOUT,
    )
    if outcome.is_error():
        return errors.respond(outcome.error)
    return _respond_applied(outcome.ok)


def _actor(identity: auth.Operator) -> str:
    return (
        f"{identity.team}/{identity.name}"
        if identity.team
        else (identity.name)
    )


def _refuse_edits(
    identity: auth.Identity, body: bodies.ApplyBody
) -> web.Response | None:
    if not isinstance(identity, auth.Operator):
        return errors.refuse(
            verdict.Reason.FORBIDDEN, "only operators change settings"
        )
    for edit in body.edits:
        if not identity.may_change(edit.path):
            return errors.refuse(
                verdict.Reason.FORBIDDEN,
                f"{edit.path} is outside teams/{identity.team}/",
            )
    return None


def _check_edits(
    body: bodies.ApplyBody,
) -> tuple[tuple[records.Edit, ...], parsing.Problems]:
    edits, problems = [], []
    for edit in body.edits:
        document = None
        if edit.document is not None:
            checked = parsing.parse_document(edit.path, edit.document)
            if checked.is_error():
                problems.extend(checked.error)
                continue
            document = checked.ok
        edits.append(bodies.to_edit(edit, document))
    return tuple(edits), tuple(problems)


def _check_references(
    state: models.State,
    edits: tuple[records.Edit, ...],
    problems: parsing.Problems,
) -> parsing.Problems:
    if problems:
        return ()
    by_path = folds.edited_documents(state, edits)
    return check_consistency(by_path, {edit.path for edit in edits})


def check_consistency(
    by_path: dict[str, documents.Document], paths: set[str]
) -> parsing.Problems:
    """Return the problems that concern several documents at once.

    Declared jobs at ``paths`` must name an existing account and caller,
    worker ids must be unique, and the fleet must satisfy all guarantees.
    """
    problems = []
    for path in sorted(paths & set(by_path)):
        document = by_path[path]
        if not isinstance(document, documents.DeclaredJob):
            continue
        team = path.split("/")[1]
        account = by_path.get(f"teams/{team}/accounts/{document.account}")
        if account is None:
            problems.append(
                parsing.Problem(
                    path, "account", f"no account {document.account!r}"
                )
            )
        elif document.caller not in account.callers:
            problems.append(
                parsing.Problem(
                    path, "caller", f"no caller {document.caller!r}"
                )
            )
    problems.extend(_find_duplicate_workers(by_path))
    shortage = feasibility.find_shortage(by_path)
    if shortage is not None:
        detail = str(shortage).partition(": guarantee: ")[2]
        problems.append(parsing.Problem(shortage.path, "guarantee", detail))
    return tuple(problems)


def _find_duplicate_workers(
    by_path: dict[str, documents.Document],
) -> list[parsing.Problem]:
    problems = []
    path_by_worker: dict[str, str] = {}
    for path in sorted(by_path):
        document = by_path[path]
        if not isinstance(document, documents.DataCentre):
            continue
        for rack_name, rack in document.racks.items():
            for worker_id in rack.workers:
                if worker_id in path_by_worker:
                    problems.append(
                        parsing.Problem(
                            path,
                            f"racks.{rack_name}.workers.{worker_id}",
                            f"also declared in {path_by_worker[worker_id]}",
                        )
                    )
                path_by_worker[worker_id] = path
    return problems


def _respond_applied(applied: models.Applied) -> web.Response:
    if applied.accepted:
        return web.json_response(
            {"revision": applied.revision, "verdict": "ran"}
        )
    failure = verdict.not_run(verdict.Reason.CONFLICT, applied.reason)
    return errors.respond(failure, revision=applied.revision)


def _may_read(identity: auth.Identity, path: str) -> bool:
    if not isinstance(identity, auth.Operator):
        return False
    return identity.may_change(path) or path.startswith("fleet/")


async def get(request: web.Request) -> web.Response:
    """Return the readable documents at or under a path."""
    context = request.app[contexts.CONTEXT]
    identity = request[contexts.IDENTITY]
    if not isinstance(identity, auth.Operator):
        return errors.refuse(
            verdict.Reason.FORBIDDEN, "only operators read settings"
        )
    prefix = request.match_info["path"].strip("/")
    state = context.replica.state
    entries = {
        path: {
            "revision": entry.revision,
            "document": json.loads(entry.content),
        }
        for path, entry in sorted(state.settings.items())
        if _is_under(path, prefix) and _may_read(identity, path)
    }
    if prefix and not entries:
        return errors.refuse(
            verdict.Reason.NOT_FOUND, f"no settings at {prefix}"
        )
    return web.json_response({"applied": state.applied, "entries": entries})


def _is_under(path: str, prefix: str) -> bool:
    return not prefix or path == prefix or path.startswith(f"{prefix}/")


async def history(request: web.Request) -> web.Response:
    """Return the audit trail of a path."""
    context = request.app[contexts.CONTEXT]
    path = request.match_info["path"].strip("/")
    if not _may_read(request[contexts.IDENTITY], path):
        return errors.refuse(
            verdict.Reason.FORBIDDEN, f"no permission to read {path}"
        )
    entries = context.replica.state.audit.get(path)
    if entries is None:
        return errors.refuse(
            verdict.Reason.NOT_FOUND, f"no settings history at {path}"
        )
    return web.json_response(
        {"path": path, "entries": [*map(bodies.audit_to_dict, entries)]}
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """HTTP method and path with their handler."""

    method: str
    path: str
    handler: object


ROUTES = (
    Route("POST", "/v1/settings", apply),
    Route("GET", "/v1/settings/{path:.*}", get),
    Route("GET", "/v1/history/{path:.*}", history),
)
