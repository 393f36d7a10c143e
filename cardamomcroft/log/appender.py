"""Append records in batches; confirm each once the replica applies it."""

import asyncio
import dataclasses
import datetime
import enum
import uuid

import expression
import structlog

from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import progress
from cardamomcroft.ports import verdict
from cardamomcroft.state import models

MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 64_000
APPEND_PERIOD = datetime.timedelta(milliseconds=20)
RESEND_AFTER = datetime.timedelta(seconds=2)
RETRY_DELAY = datetime.timedelta(milliseconds=250)
APPEND_TIMEOUT = datetime.timedelta(seconds=3)
MAX_PENDING_RECORDS = 4096  # callers are refused beyond it
RETRY_AFTER = datetime.timedelta(seconds=5)


class Priority(enum.IntEnum):
    """The order in which pending records are appended, lowest first."""

    OPERATOR = 0
    START = 1
    BOOKKEEPING = 2


@dataclasses.dataclass(slots=True)
class _Entry:
    record: records.Record
    priority: Priority
    future: asyncio.Future
    sent_at: datetime.timedelta | None = None
    ever_sent: bool = False


class Appender:
    """Append records and resend them until the log confirms them."""

    def __init__(
        self,
        author: str,
        log: base.PlatformLog,
        replica: replicas.Replica,
        clock: base.Clock,
        metrics: base.Metrics,
    ) -> None:
        """Append records as the author; the replica confirms them."""
        self._author = author
        self._log = log
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._entries: dict[str, _Entry] = {}
        self._wake = asyncio.Event()
        self._logger = structlog.get_logger()
        replica.observe(self._on_applied)

    def pending(self) -> tuple[records.Record, ...]:
        """Return the unconfirmed records in order of submission."""
        return tuple(entry.record for entry in self._entries.values())

    def pending_facts(self) -> tuple[records.Record, ...]:
        """Return the unconfirmed records of events that happened at workers.

        These hold whether or not the log accepts them. A submission or a
        cancellation takes effect only when the log has accepted it.
        """
        return tuple(
            record
            for record in self.pending()
            if isinstance(record.body, records.FACT_BODIES)
        )

    def submit(
        self, body: records.Body, priority: Priority
    ) -> asyncio.Future[models.Applied]:
        """Queue a record; the future gets the result of applying it."""
        record = records.Record(
            uuid.uuid4().hex,
            self._author,
            self._clock.now(),
            self._validity_end(),
            body,
        )
        future = asyncio.get_running_loop().create_future()
        self._entries[record.record_id] = _Entry(record, priority, future)
        self._metrics.gauge("log.pending", len(self._entries))
        self._wake.set()
        return future

    async def confirm(
        self,
        body: records.Body,
        priority: Priority,
        limit: datetime.timedelta,
    ) -> expression.Result[models.Applied, verdict.Failure]:
        """Append a record and wait for its result, at most for the limit."""
        refusal = self._refusal()
        if refusal is not None:
            return expression.Error(refusal)
        future = self.submit(body, priority)
        entry = next(reversed(self._entries.values()))
        applied = await clocks.within(
            self._clock, limit, asyncio.shield(future)
        )
        if applied is None:
            return expression.Error(self._abandon(entry))
        if applied.reason == models.REPEATED_RECORD:
            # The replica loaded a snapshot that contains the first copy.
            return expression.Error(
                verdict.may_have_run(
                    verdict.Reason.TIMEOUT,
                    "the record's result was not seen in the platform log",
                )
            )
        return expression.Ok(applied)

    def _refusal(self) -> verdict.Failure | None:
        if not self._replica.reachable:
            return verdict.not_run(
                verdict.Reason.UNAVAILABLE,
                "the platform log is unreachable",
                RETRY_AFTER,
            )
        if len(self._entries) >= MAX_PENDING_RECORDS:
            return verdict.not_run(
                verdict.Reason.OVERLOADED,
                "too many records wait to be appended to the platform log",
                RETRY_AFTER,
            )
        return None

    def _abandon(self, entry: _Entry) -> verdict.Failure:
        record_id = entry.record.record_id
        self._entries.pop(record_id, None)
        if not entry.ever_sent:
            return verdict.not_run(
                verdict.Reason.UNAVAILABLE,
                "the platform log did not accept the record",
                RETRY_AFTER,
            )
        self.submit(records.RecordVoided(record_id), entry.priority)
        return verdict.may_have_run(
            verdict.Reason.TIMEOUT,
            "the platform log did not confirm the record in time",
        )

    def _validity_end(self) -> int:
        applied = self._replica.state.applied
        return applied + records.VALIDITY_OFFSETS

    def _on_applied(
        self, record: records.Record, applied: models.Applied
    ) -> None:
        entry = self._entries.get(record.record_id)
        if entry is None:
            return
        if applied.reason == "record out of date":
            entry.sent_at = None
            self._wake.set()
            return
        del self._entries[record.record_id]
        if not entry.future.done():
            entry.future.set_result(applied)

    async def run(self) -> None:
        """Append due records in batches until cancelled."""
        while True:
            batch = self._due_entries()
            if not batch:
                self._wake.clear()
                await clocks.within(
                    self._clock, RETRY_DELAY, self._wake.wait()
                )
                continue
            sent = await self._send(batch)
            await self._clock.sleep(APPEND_PERIOD if sent else RETRY_DELAY)

    def _due_entries(self) -> list[_Entry]:
        now = self._clock.monotonic()
        due = [
            entry
            for entry in self._entries.values()
            if entry.sent_at is None or self._is_lost(entry.sent_at, now)
        ]
        due.sort(key=lambda entry: entry.priority)
        return due[:MAX_BATCH_RECORDS]

    def _is_lost(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Return whether the log was read without an accepted record."""
        read_at = self._replica.confirmed_at
        is_read = read_at is not None and read_at > sent_at
        return is_read and now - sent_at >= RESEND_AFTER

    async def _send(self, batch: list[_Entry]) -> bool:
        payloads = self._encode(batch)
        batch = batch[: len(payloads)]
        sent_before = [entry.ever_sent for entry in batch]
        for entry in batch:
            entry.ever_sent = True
        size = sum(map(len, payloads))
        result = await clocks.within(
            self._clock,
            APPEND_TIMEOUT + progress.slowest_transfer(size),
            self._log.append(payloads),
        )
        if result is not None and result.is_ok():
            for entry in batch:
                entry.sent_at = self._clock.monotonic()
            self._metrics.increment("log.appended", len(payloads))
            return True
        if _is_not_run(result):
            for entry, before in zip(batch, sent_before, strict=True):
                entry.ever_sent = before
        # The whole batch stays due, ahead of newer records, to keep order.
        self._metrics.increment("log.append_failed")
        return False

    def _encode(self, batch: list[_Entry]) -> list[str]:
        payloads: list[str] = []
        size = 0
        for entry in batch:
            entry.record = dataclasses.replace(
                entry.record, valid_until=self._validity_end()
            )
            payload = records.encode(entry.record)
            size += len(payload)
            if payloads and size > MAX_BATCH_BYTES:
                break
            payloads.append(payload)
        return payloads


def _is_not_run(result: expression.Result | None) -> bool:
    if result is None:
        return False
    return result.error.verdict is verdict.Verdict.NOT_RUN
