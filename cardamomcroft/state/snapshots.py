"""Encode the state as snapshots and find the newest one in the log."""

import asyncio
import base64
import datetime
import json
import zlib

import expression
import immutables

from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing
from cardamomcroft.state import models

CHUNK_CHARACTERS = 48_000
NO_WAIT = datetime.timedelta()

_CONVERTER = parsing.make_converter(strict=False)


def encode(state: models.State) -> str:
    """Encode the whole state as compressed text."""
    data = {
        "applied": state.applied,
        "at": state.at.isoformat(),
        "settings": {
            path: [entry.revision, entry.content]
            for path, entry in state.settings.items()
        },
        "audit": {
            path: _CONVERTER.unstructure(entries)
            for path, entries in state.audit.items()
        },
        "jobs": [_CONVERTER.unstructure(job) for job in state.jobs.values()],
        "final_jobs": list(state.final_jobs.items()),
        "claims": {
            region: _CONVERTER.unstructure(claim)
            for region, claim in state.claims.items()
        },
        "requests": [
            [
                offset,
                _CONVERTER.unstructure(key),
                _CONVERTER.unstructure(state.request_keys[key]),
            ]
            for offset, key in state.key_order.items()
            if key in state.request_keys
        ],
        "oldest_key": state.oldest_key,
        "seen": list(state.seen_at.items()),
        "failed_jobs": {
            worker_id: sorted(job_ids)
            for worker_id, job_ids in state.failed_jobs.items()
        },
        "snapshot_as_of": state.snapshot_as_of,
        "chunks": list(state.chunks),
    }
    packed = zlib.compress(json.dumps(data).encode(), level=6)
    return base64.b85encode(packed).decode()


def decode(text: str) -> models.State:
    """Decode a state; raise ValueError when the text is damaged."""
    try:
        data = json.loads(zlib.decompress(base64.b85decode(text)))
    except zlib.error as error:
        raise ValueError(f"damaged snapshot: {error}") from error
    jobs = _CONVERTER.structure(data["jobs"], list[models.Job])
    state = models.State(
        applied=data["applied"],
        at=datetime.datetime.fromisoformat(data["at"]),
        settings=immutables.Map(
            {
                path: models.SettingsEntry(
                    revision, content, parsing.from_json(path, content)
                )
                for path, (revision, content) in data["settings"].items()
            }
        ),
        audit=immutables.Map(
            {
                path: _CONVERTER.structure(
                    entries, tuple[models.AuditEntry, ...]
                )
                for path, entries in data["audit"].items()
            }
        ),
        jobs=immutables.Map({job.job_id: job for job in jobs}),
        final_jobs=immutables.Map(data["final_jobs"]),
        claims=immutables.Map(
            {
                region: _CONVERTER.structure(claim, models.Claim)
                for region, claim in data["claims"].items()
            }
        ),
        job_keys=immutables.Map(
            {
                models.CallerKey(job.account, job.caller, job.key): job.job_id
                for job in jobs
            }
        ),
        oldest_key=data["oldest_key"],
        seen=immutables.Map(
            {record_id: offset for offset, record_id in data["seen"]}
        ),
        seen_at=immutables.Map(data["seen"]),
        tasks_by_worker=_index_tasks(jobs),
        failed_jobs=immutables.Map(
            {
                worker_id: frozenset(job_ids)
                for worker_id, job_ids in data.get("failed_jobs", {}).items()
            }
        ),
        snapshot_as_of=data["snapshot_as_of"],
        chunks=tuple(data["chunks"]),
    )
    return _with_requests(state, data["requests"])


def _with_requests(state: models.State, rows: list) -> models.State:
    keys, requests, order = {}, {}, {}
    for offset, key_data, use_data in rows:
        key = _CONVERTER.structure(key_data, models.CallerKey)
        use = _CONVERTER.structure(use_data, models.KeyUse)
        keys[key] = use
        requests[use.entity_id] = key
        order[offset] = key
    return state.evolve(
        request_keys=immutables.Map(keys),
        requests=immutables.Map(requests),
        key_order=immutables.Map(order),
    )


def _index_tasks(jobs: list[models.Job]) -> immutables.Map:
    by_worker: dict[str, dict[messages.TaskId, int]] = {}
    for job in jobs:
        if job.phase.is_final:
            continue
        for member, placement in enumerate(job.placements):
            if member not in job.ended:
                tasks = by_worker.setdefault(placement.worker_id, {})
                tasks[job.task(member)] = member
    return immutables.Map(
        {
            worker_id: immutables.Map(tasks)
            for worker_id, tasks in by_worker.items()
        }
    )


def chunks(
    state: models.State, snapshot_id: str
) -> tuple[records.SnapshotChunk, ...]:
    """Split the encoded state into records for the log."""
    text = encode(state)
    parts = [
        text[start : start + CHUNK_CHARACTERS]
        for start in range(0, len(text), CHUNK_CHARACTERS)
    ]
    return tuple(
        records.SnapshotChunk(
            snapshot_id, state.applied, index, len(parts), part
        )
        for index, part in enumerate(parts)
    )


class LogSearch:
    """Find the newest complete snapshot in the retained log.

    A search that a failed read ended goes on from there at the next call.
    """

    def __init__(self, limit: int) -> None:
        """Read pages of ``limit`` records."""
        self._limit = limit
        self._lock = asyncio.Lock()
        self._reset()

    def _reset(self) -> None:
        self._offset = 0
        self._chunks_by_id: dict[str, dict[int, records.SnapshotChunk]] = {}
        self._newest: dict[int, records.SnapshotChunk] = {}

    async def run(
        self, log: base.PlatformLog, first: int
    ) -> expression.Result[models.State, verdict.Failure]:
        """Search from the oldest retained offset to the end of the log."""
        async with self._lock:
            return await self._run(log, first)

    async def _run(
        self, log: base.PlatformLog, first: int
    ) -> expression.Result[models.State, verdict.Failure]:
        self._offset = max(self._offset, first)
        while True:
            page = await log.read(self._offset, self._limit, NO_WAIT)
            if page.is_error():
                return page
            if not page.ok.payloads:
                break
            for payload in page.ok.payloads:
                self._collect(payload)
            self._offset = page.ok.start + len(page.ok.payloads)
        newest = self._newest
        self._reset()
        if not newest:
            return expression.Error(
                verdict.not_run(
                    verdict.Reason.UNAVAILABLE,
                    "no complete snapshot in the log",
                )
            )
        text = "".join(newest[index].data for index in sorted(newest))
        return expression.Ok(decode(text))

    def _collect(self, payload: str) -> None:
        chunk = _decode_chunk(payload)
        if chunk is None:
            return
        collected = self._chunks_by_id.setdefault(chunk.snapshot_id, {})
        collected[chunk.index] = chunk
        newest = self._newest
        is_newer = not newest or chunk.as_of >= newest[0].as_of
        if len(collected) == chunk.count and is_newer:
            self._newest = collected


def _decode_chunk(payload: str) -> records.SnapshotChunk | None:
    decoded = records.decode(payload)
    if decoded.is_error():
        return None
    body = decoded.ok.body
    return body if isinstance(body, records.SnapshotChunk) else None
