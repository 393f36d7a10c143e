"""In-memory stand-in for the platform's store, with fault injection."""

import asyncio
import collections.abc
import dataclasses
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import store

MAX_PAGE_RECORDS = 500
POLL_INTERVAL = datetime.timedelta(milliseconds=20)
ROUND_TRIP = datetime.timedelta(milliseconds=5)
# The protocol's RecordBytes and RequestBytes.
MAX_RECORD_BYTES = 262_144
MAX_REQUEST_BYTES = 2_000_000
LENGTH_BYTES = 4  # precede each record of a request
TOO_LARGE = "too large"

_Status = store.AppendStatus


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults to inject; tests change them while the store runs."""

    is_down: bool = False
    refused_clients: set[str] = dataclasses.field(default_factory=set)
    lose_answers: int = 0  # appends applied but not answered
    drop_appends: int = 0  # appends neither applied nor answered
    # Appends of these keys get no answer and are carried out later.
    late_keys: set[str] = dataclasses.field(default_factory=set)
    late_after: datetime.timedelta = datetime.timedelta(seconds=5.5)
    late_appends: bool = False  # of any writer but the scheduler, likewise
    expire_reads: int = 0  # reads answered as if the records were deleted
    delay: datetime.timedelta = ROUND_TRIP
    upload_bytes_per_s: int | None = None  # rate of each client's link
    appends_left_by_client: dict[str, int] = dataclasses.field(
        default_factory=dict
    )  # further ones are refused


def _record_bytes(entry: store.Entry) -> int:
    return 1 + len(entry.key.encode()) + len(entry.value or b"")


def request_bytes(entries: collections.abc.Iterable[store.Entry]) -> int:
    """Return the size of an append's body."""
    return sum(LENGTH_BYTES + _record_bytes(entry) for entry in entries)


class StoreService:
    """The streams, shared by all clients."""

    def __init__(self, clock: base.Clock) -> None:
        """Create empty streams."""
        self.clock = clock
        self.faults = Faults()
        self.page_records = MAX_PAGE_RECORDS
        self.injected: dict[str, int] = {}
        self.records_by_stream: dict[store.Stream, list[store.Record]] = {
            stream: [] for stream in store.Stream
        }
        self._writers: dict[tuple[store.Stream, str], store.Writer] = {}
        self._answers: dict[tuple, store.Appended] = {}
        self._late: set[asyncio.Task] = set()

    def client(self, name: str) -> "StoreClient":
        """Return the client of an instance."""
        return StoreClient(self, name)

    def is_refused(self, name: str) -> bool:
        """Return whether a client is refused; count the refusal."""
        if self.faults.is_down or name in self.faults.refused_clients:
            self.count_fault("refused")
            return True
        return False

    def count_fault(self, fault: str) -> None:
        """Count an injected fault."""
        self.injected[fault] = self.injected.get(fault, 0) + 1

    def put(self, stream: store.Stream, key: str, value) -> None:
        """Append a record unconditionally, as operators and workers do."""
        records = self.records_by_stream[stream]
        records.append(store.Record(len(records), key, value))

    def append(self, stream, entries, expected_end, writer) -> store.Appended:
        """Append if ``expected_end`` and the writer's sequence match.

        What exceeds the store's limits is refused.
        """
        if (
            any(_record_bytes(entry) > MAX_RECORD_BYTES for entry in entries)
            or request_bytes(entries) > MAX_REQUEST_BYTES
        ):
            self.count_fault("too_large")
            return store.Appended(_Status.NOT_RUN, detail=TOO_LARGE)
        records = self.records_by_stream[stream]
        if expected_end is not None and expected_end != len(records):
            return store.Appended(_Status.CONFLICT, end_offset=len(records))
        if writer is not None:
            refusal = self._check_writer(stream, writer)
            if refusal is not None:
                return refusal
        first = len(records)
        for entry in entries:
            self.put(stream, entry.key, entry.value)
        answer = store.Appended(_Status.APPENDED, first, len(records))
        if writer is not None:
            self._writers[stream, writer.name] = writer
            key = (stream, writer.name, writer.epoch, writer.sequence)
            self._answers[key] = answer
        return answer

    def append_late(self, *append) -> None:
        """Carry out an append after a while."""
        self.count_fault("late")
        task = asyncio.ensure_future(self._append_late(append))
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    async def _append_late(self, append: tuple) -> None:
        await self.clock.sleep(self.faults.late_after)
        self.append(*append)

    def _check_writer(
        self, stream: store.Stream, writer: store.Writer
    ) -> store.Appended | None:
        last = self._writers.get((stream, writer.name))
        if last is None or writer.epoch > last.epoch:
            return None
        if writer.epoch < last.epoch:
            return store.Appended(_Status.FENCED)
        if writer.sequence == last.sequence + 1:
            return None
        key = (stream, writer.name, writer.epoch, writer.sequence)
        return self._answers.get(key) or store.Appended(
            _Status.OUT_OF_SEQUENCE, expected_sequence=last.sequence + 1
        )


class StoreClient(store.Store):
    """The store as one instance reaches it, with injected faults."""

    def __init__(self, service: StoreService, name: str) -> None:
        """Create a client; faults are injected by its ``name``."""
        self._service = service
        self._name = name

    async def append(
        self, stream, entries, timeout, expected_end=None, writer=None
    ) -> store.Appended:
        """Append all entries or none."""
        service = self._service
        await service.clock.sleep(service.faults.delay)
        if not await self._upload(entries, timeout):
            return store.Appended(_Status.MAY_HAVE_RUN, detail="slow link")
        if service.is_refused(self._name) or self._has_no_append_left():
            return store.Appended(_Status.NOT_RUN, detail="refused")
        if service.faults.drop_appends:
            service.faults.drop_appends -= 1
            service.count_fault("dropped")
            await service.clock.sleep(timeout)
            return store.Appended(_Status.MAY_HAVE_RUN, detail="dropped")
        if self._is_late(entries, writer):
            service.append_late(stream, entries, expected_end, writer)
            await service.clock.sleep(timeout)
            return store.Appended(_Status.MAY_HAVE_RUN, detail="late")
        answer = service.append(stream, entries, expected_end, writer)
        if service.faults.lose_answers:
            service.faults.lose_answers -= 1
            service.count_fault("answer_lost")
            await service.clock.sleep(timeout)
            return store.Appended(_Status.MAY_HAVE_RUN, detail="lost")
        return answer

    def _is_late(self, entries, writer: store.Writer | None) -> bool:
        faults = self._service.faults
        if faults.late_appends and writer is None:
            return True
        return bool(faults.late_keys & {entry.key for entry in entries})

    async def _upload(self, entries, timeout: datetime.timedelta) -> bool:
        """Send a body over the link; return whether it arrived in time."""
        service = self._service
        rate = service.faults.upload_bytes_per_s
        if rate is None:
            return True
        size = request_bytes(entries)
        needed = datetime.timedelta(seconds=size / rate)
        await service.clock.sleep(min(needed, timeout))
        if needed > timeout:
            service.count_fault("upload_given_up")
        return needed <= timeout

    def _has_no_append_left(self) -> bool:
        service = self._service
        left = service.faults.appends_left_by_client.get(self._name)
        if left:
            service.faults.appends_left_by_client[self._name] = left - 1
        if left == 0:
            service.count_fault("refused")
        return left == 0

    async def read(
        self, stream, offset, wait, timeout
    ) -> store.Page | store.ReadFailure:
        """Return the records from the offset on."""
        service = self._service
        await service.clock.sleep(service.faults.delay)
        until = service.clock.monotonic() + wait
        while True:
            if service.is_refused(self._name):
                return store.ReadFailure(store.ReadStatus.UNAVAILABLE)
            if service.faults.expire_reads and stream is store.Stream.JOBS:
                service.faults.expire_reads -= 1
                service.count_fault("expired")
                return store.ReadFailure(store.ReadStatus.EXPIRED)
            records = service.records_by_stream[stream]
            if len(records) > offset or service.clock.monotonic() >= until:
                end = min(offset + service.page_records, len(records))
                page = tuple(records[offset:end])
                return store.Page(page, end, end < len(records))
            await service.clock.sleep(POLL_INTERVAL)

    async def newest(
        self, stream, after, timeout
    ) -> store.Page | store.ReadFailure:
        """Return the newest records of the keys after a key."""
        service = self._service
        await service.clock.sleep(service.faults.delay)
        if service.is_refused(self._name):
            return store.ReadFailure(store.ReadStatus.UNAVAILABLE)
        records = service.records_by_stream[stream]
        newest = {record.key: record for record in records}
        kept = sorted(
            (
                record
                for record in newest.values()
                if record.value is not None and record.key > after
            ),
            key=lambda record: record.key,
        )
        page = tuple(kept[: service.page_records])
        return store.Page(page, len(records), len(page) < len(kept))
