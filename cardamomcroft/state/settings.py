"""Fold changes of settings."""

import cattrs.errors

from cardamomcroft.log import records
from cardamomcroft.policy import feasibility
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import models

MAX_AUDIT_ENTRIES = 20  # per path


def change(state: models.State, offset: int, record: records.Record):
    """Apply all edits if every path is at its expected revision."""
    body = record.body
    reason = _rejection_reason(state, body)
    state = _audit(state, offset, record, reason)
    if reason:
        revision = max(revision_of(state, edit.path) for edit in body.edits)
        return state, models.Applied(offset, False, reason, "", revision)
    for edit in body.edits:
        state = _apply(state, offset, edit)
    return state, models.Applied(offset, True, revision=offset)


def revision_of(state: models.State, path: str) -> int:
    """Return the offset that set the path, or -1."""
    entry = state.settings.get(path)
    return entry.revision if entry else -1


def _rejection_reason(
    state: models.State, body: records.SettingsChanged
) -> str:
    if not body.edits:
        return "no edits"
    for edit in body.edits:
        found = revision_of(state, edit.path)
        if found != edit.expected_revision:
            return f"{edit.path} is at revision {found}"
    try:
        documents_by_path = edited_documents(state, body.edits)
    except (cattrs.errors.BaseValidationError, ValueError, TypeError):
        return "unreadable document"
    shortage = feasibility.find_shortage(documents_by_path)
    return str(shortage) if shortage else ""


def edited_documents(
    state: models.State, edits: tuple[records.Edit, ...]
) -> dict[str, documents.Document]:
    """Return all documents by path with the edits applied."""
    by_path = {path: entry.document for path, entry in state.settings.items()}
    for edit in edits:
        if edit.content is None:
            by_path.pop(edit.path, None)
        else:
            by_path[edit.path] = parsing.from_json(edit.path, edit.content)
    return by_path


def _audit(
    state: models.State, offset: int, record: records.Record, reason: str
) -> models.State:
    audit = state.audit
    for edit in record.body.edits:
        before = state.settings.get(edit.path)
        entry = models.AuditEntry(
            offset,
            record.at,
            record.body.actor,
            before.content if before else None,
            edit.content,
            not reason,
            reason,
        )
        entries = (*audit.get(edit.path, ()), entry)
        audit = audit.set(edit.path, entries[-MAX_AUDIT_ENTRIES:])
    return state.evolve(audit=audit)


def _apply(
    state: models.State, offset: int, edit: records.Edit
) -> models.State:
    if edit.content is None:
        if edit.path not in state.settings:
            return state
        return state.evolve(settings=state.settings.delete(edit.path))
    document = parsing.from_json(edit.path, edit.content)
    entry = models.SettingsEntry(offset, edit.content, document)
    return state.evolve(settings=state.settings.set(edit.path, entry))
