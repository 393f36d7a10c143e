"""Fold records into the state, deterministically on every instance."""

import collections.abc
import dataclasses

from cardamomcroft.log import records
from cardamomcroft.state import jobs
from cardamomcroft.state import models
from cardamomcroft.state import requests
from cardamomcroft.state import settings

FoldResult = tuple[models.State, models.Applied]


def fold(
    state: models.State, offset: int, record: records.Record
) -> FoldResult:
    """Apply one record at its offset."""
    state = _advance(state, offset, record)
    if record.record_id in state.seen:
        return state, models.Applied(offset, False, models.REPEATED_RECORD)
    if offset > record.valid_until:
        return state, models.Applied(offset, False, "record out of date")
    state = _mark_seen(state, offset, record.record_id)
    return _HANDLERS[type(record.body)](state, offset, record)


def skip(state: models.State, offset: int) -> models.State:
    """Advance past a record that cannot be decoded."""
    return _expire_seen(state.evolve(applied=offset), offset)


def fold_pending(
    state: models.State, pending: collections.abc.Iterable[records.Record]
) -> models.State:
    """Apply records that the log has not confirmed yet, in order."""
    offset = state.applied
    for record in pending:
        offset += 1
        provisional = dataclasses.replace(record, valid_until=offset)
        state, _ = fold(state, offset, provisional)
    return state


def _advance(
    state: models.State, offset: int, record: records.Record
) -> models.State:
    advanced = state.evolve(applied=offset, at=max(state.at, record.at))
    return _expire_seen(advanced, offset)


def _mark_seen(
    state: models.State, offset: int, record_id: str
) -> models.State:
    return state.evolve(
        seen=state.seen.set(record_id, offset),
        seen_at=state.seen_at.set(offset, record_id),
    )


def _expire_seen(state: models.State, offset: int) -> models.State:
    expired = offset - records.VALIDITY_OFFSETS - 1
    record_id = state.seen_at.get(expired)
    if record_id is None:
        return state
    return state.evolve(
        seen=state.seen.delete(record_id),
        seen_at=state.seen_at.delete(expired),
    )


def _void_record(
    state: models.State, offset: int, record: records.Record
) -> FoldResult:
    voided = record.body.record_id
    if voided in state.seen:
        return state, models.Applied(offset, False, "already applied")
    # The voiding record's own slot expires first, so the voided id takes it.
    return state.evolve(
        seen=state.seen.set(voided, offset).delete(record.record_id),
        seen_at=state.seen_at.set(offset, voided),
    ), models.Applied(offset, True)


def _claim_region(
    state: models.State, offset: int, record: records.Record
) -> FoldResult:
    body = record.body
    current = state.claims.get(body.region)
    epoch = current.epoch if current else -1
    if epoch != body.expected_epoch:
        return state, models.Applied(offset, False, "newer claim")
    claim = models.Claim(offset, body.incarnation)
    state = state.evolve(claims=state.claims.set(body.region, claim))
    return state, models.Applied(offset, True, revision=offset)


def _count_chunk(
    state: models.State, offset: int, record: records.Record
) -> FoldResult:
    body = record.body
    snapshot_id, count = state.chunks
    count = count + 1 if snapshot_id == body.snapshot_id else 1
    state = state.evolve(chunks=(body.snapshot_id, count))
    if count == body.count and body.as_of > state.snapshot_as_of:
        state = state.evolve(snapshot_as_of=body.as_of)
    return state, models.Applied(offset, True)


_HANDLERS = {
    records.SettingsChanged: settings.change,
    records.JobSubmitted: jobs.submit,
    records.JobCancelled: jobs.cancel,
    records.SchedulerClaimed: _claim_region,
    records.GangStarted: jobs.start,
    records.TasksEnded: jobs.end_tasks,
    records.AttemptSettled: jobs.settle,
    records.RequestIntended: requests.intend,
    records.RequestEnded: requests.end,
    records.RecordVoided: _void_record,
    records.SnapshotChunk: _count_chunk,
}
