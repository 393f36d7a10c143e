"""Request and response bodies of the HTTP API."""

import dataclasses
import json
import typing

from aiohttp import web
import expression

from cardamomcroft.log import records
from cardamomcroft.ports import verdict
from cardamomcroft.requests import messages
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import models

MAX_DEADLINE_S = 300.0
MAX_WAIT_S = 60.0
MAX_KEY_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class EditBody:
    """Edit of the document at a path; no document removes it."""

    path: str
    expected_revision: int
    document: dict[str, typing.Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyBody:
    """Edits to apply together, all of them or none."""

    edits: tuple[EditBody, ...]

    def __post_init__(self) -> None:
        """Check that there are edits and that no path is repeated."""
        paths = [edit.path for edit in self.edits]
        if not paths:
            raise ValueError("edits must not be empty")
        if len(set(paths)) < len(paths):
            raise ValueError("edits must not repeat a path")


@dataclasses.dataclass(frozen=True, slots=True)
class RequestBody:
    """Request to run on a backend server."""

    body: str
    is_idempotent: bool = False
    deadline_s: float = 10.0
    urgency: documents.Urgency = documents.Urgency.NORMAL

    def __post_init__(self) -> None:
        """Check that the deadline is in range."""
        if not 0 < self.deadline_s <= MAX_DEADLINE_S:
            raise ValueError(
                f"deadline_s must be above 0 and at most {MAX_DEADLINE_S:g}, "
                f"found {self.deadline_s}"
            )


async def read(
    request: web.Request, body_type: type
) -> parsing.Checked[typing.Any, parsing.Problems]:
    """Parse a JSON body and check it against a type."""
    try:
        data = json.loads(await request.text())
    except (ValueError, LookupError, RecursionError) as error:
        detail = f"expected JSON: {type(error).__name__}"
        return expression.Error((parsing.Problem("body", "", detail),))
    return parsing.structure("body", data, body_type)


def read_idempotency_key(
    request: web.Request,
) -> expression.Result[str, parsing.Problems]:
    """Return the Idempotency-Key header, or an empty text without one."""
    key = request.headers.get("Idempotency-Key", "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        problem = parsing.Problem(
            "Idempotency-Key",
            "",
            f"expected at most {MAX_KEY_CHARACTERS} printable characters",
        )
        return expression.Error((problem,))
    return expression.Ok(key)


def verdict_of(job: models.Job) -> verdict.Verdict:
    """Return whether a job has run; if it ended unattempted, it has not."""
    if job.phase is models.Phase.COMPLETED:
        return verdict.Verdict.RAN
    if job.phase.is_final and not job.attempt:
        return verdict.Verdict.NOT_RUN
    return verdict.Verdict.MAY_HAVE_RUN


def job_to_dict(job: models.Job) -> dict:
    """Return the representation of a job for callers."""
    return {
        "job_id": job.job_id,
        "account": job.account,
        "caller": job.caller,
        "key": job.key,
        "region": job.region,
        "phase": job.phase.value,
        "verdict": verdict_of(job).value,
        "attempts": job.starts,
        "failures": job.failures,
        "detail": job.detail,
        "cancel_requested": job.cancel_requested,
        "submitted_at": job.submitted_at.isoformat(),
        "members": job.spec.members,
        "members_finished": len(job.finished),
        "workers": [placement.worker_id for placement in job.placements],
        "job": parsing.CONVERTER.unstructure(job.spec),
    }


def reply_to_dict(reply: messages.Reply) -> dict:
    """Return the representation of the reply to a request."""
    return {
        "request_id": reply.request_id,
        "answer": reply.body,
        "worker": reply.worker_id,
        "verdict": verdict.Verdict.RAN.value,
        "tries": reply.tries,
    }


def audit_to_dict(entry: models.AuditEntry) -> dict:
    """Return the representation of an entry of the audit trail."""

    def decoded(text: str | None) -> object:
        return None if text is None else json.loads(text)

    return {
        "revision": entry.offset,
        "at": entry.at.isoformat(),
        "who": entry.actor,
        "before": decoded(entry.before),
        "after": decoded(entry.after),
        "accepted": entry.accepted,
        "reason": entry.reason,
    }


def to_edit(body: EditBody, document: documents.Document | None):
    """Return an edit as it is stored in the log."""
    content = None if document is None else parsing.to_json(document)
    return records.Edit(body.path, body.expected_revision, content)
