"""Access the platform's store over HTTP."""

import base64
import collections.abc
import datetime
import json
import struct
import urllib.parse

import aiohttp

from cardamomcroft.platform import errors
from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import metrics

CONNECT_TIMEOUT_S = 0.4  # two attempts fit into one second
MAX_PAGE_BYTES = 1_400_000  # 1 MB of newest records in base64
# A fifth of the slowest link, which polls and forwarded calls share. A load
# does not end over a link that carries less.
MIN_BYTES_PER_S = 125_000
READ_PAGE_KB = 512  # above the largest record; a lost page costs less
TOPICS = {
    store.Stream.JOBS: "keyed.jobs",
    store.Stream.SERVERS: "keyed.servers",
    store.Stream.OPERATOR: "keyed.op",
    store.Stream.INSTANCES: "keyed.instances",
    store.Stream.RUNTIMES: "keyed.runtimes",
}
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
# Raised before anything was sent: the store did nothing.
_CONNECT_ERRORS = (aiohttp.ClientConnectorError,)


def _describe(error: Exception) -> str:
    """Return the error with the notes that say how far its call came."""
    return "; ".join([repr(error), *getattr(error, "__notes__", ())])


def encode_entries(
    entries: collections.abc.Sequence[store.Entry],
) -> bytes:
    """Encode an append's body: length, key length, key and value of each."""
    parts = []
    for entry in entries:
        key = entry.key.encode()
        record = bytes([len(key)]) + key + (entry.value or b"")
        parts.append(_LENGTH.pack(len(record)) + record)
    return b"".join(parts)


def _decode_record(offset: int, raw: bytes) -> store.Record:
    key_end = 1 + raw[0]
    key = raw[1:key_end].decode(errors="replace")
    return store.Record(offset, key, raw[key_end:] or None)


def decode_page(offset: int, body: bytes) -> store.Page | store.ReadFailure:
    """Decode a page: end offset, first retained offset, then the records.

    Raise ValueError if the page is truncated.
    """
    try:
        end_offset, first_offset = _OFFSETS.unpack_from(body)
        raw_records = tuple(_split(body[_OFFSETS.size :]))
    except struct.error as error:
        raise ValueError(f"page of {len(body)} bytes is truncated") from error
    if first_offset > offset:
        return store.ReadFailure(store.ReadStatus.EXPIRED)
    records = tuple(
        _decode_record(number, raw)
        for number, raw in enumerate(raw_records, offset)
        if raw
    )
    # The next read continues after the last record returned, as a long
    # backlog comes in several pages.
    next_offset = offset + len(raw_records) if raw_records else end_offset
    return store.Page(records, next_offset, next_offset < end_offset)


def _split(body: bytes) -> collections.abc.Iterator[bytes]:
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        if position + length > len(body):
            raise struct.error("record exceeds the page")
        yield body[position : position + length]
        position += length


class HttpStore(store.Store):
    """Append to and read from the store through its HTTP interface."""

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        clock: base.Clock,
        measured: metrics.Metrics,
    ) -> None:
        """Access the store at the address, HOST:PORT."""
        self._clock = clock
        self._metrics = measured
        self._base = f"http://{address}"
        self._session = session

    async def _call(
        self,
        method: str,
        path: str,
        timeout: datetime.timedelta,
        body: bytes | None = None,
    ) -> tuple[int, bytes]:
        """Call the store; allow time for a transfer that makes progress."""
        silence_s = timeout.total_seconds()
        if body is None:
            total_s = silence_s + MAX_PAGE_BYTES / MIN_BYTES_PER_S
        else:
            # aiohttp waits for the answer as soon as it has buffered the body.
            silence_s += len(body) / MIN_BYTES_PER_S
            total_s = silence_s
        limit = aiohttp.ClientTimeout(
            total=total_s,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=silence_s,
        )
        began_at = self._clock.monotonic()
        call = path.partition("?")[0]
        outcome = "failed"
        received = bytearray()
        try:
            async with self._session.request(
                method, self._base + path, data=body, timeout=limit
            ) as response:
                async for part in response.content.iter_any():
                    received += part
                outcome = str(response.status)
                return response.status, bytes(received)
        except errors.CALL_ERRORS as error:
            took_s = (self._clock.monotonic() - began_at).total_seconds()
            error.add_note(
                f"{call} failed after {took_s:.2f} s,"
                f" {len(received)} bytes received"
            )
            raise
        finally:
            took = self._clock.monotonic() - began_at
            self._metrics.record_call("store", call, outcome, took)
            self._metrics.received.labels("store", call, outcome).inc(
                len(received)
            )

    async def append(
        self, stream, entries, timeout, expected_end=None, writer=None
    ) -> store.Appended:
        """Append all entries or none."""
        query: dict[str, object] = {"Topic": TOPICS[stream], "part": 0}
        if expected_end is not None:
            query["Timestamp"] = expected_end  # an offset, not a time
        if writer is not None:
            query["Producer"] = writer.name
            query["epoch"] = writer.epoch
            query["Sequence"] = writer.sequence
        path = "/log-append?" + urllib.parse.urlencode(query)
        try:
            status, raw = await self._call(
                "POST", path, timeout, encode_entries(entries)
            )
            return _decode_append_result(status, raw)
        except _CONNECT_ERRORS as error:
            return store.Appended(
                store.AppendStatus.NOT_RUN, detail=_describe(error)
            )
        except errors.CALL_ERRORS as error:
            return store.Appended(
                store.AppendStatus.MAY_HAVE_RUN, detail=_describe(error)
            )

    async def read(
        self, stream, offset, wait, timeout
    ) -> store.Page | store.ReadFailure:
        """Return the records from the offset on."""
        wait_ms = round(wait.total_seconds() * 1000)
        path = (
            f"/log-read?Topic={TOPICS[stream]}&part=0&From={offset}"
            f"&WaitMs={wait_ms}&MaxKb={READ_PAGE_KB}"
        )
        try:
            status, raw = await self._call("GET", path, timeout + wait)
            if status == 200:
                return decode_page(offset, raw)
        except errors.CALL_ERRORS as error:
            return store.ReadFailure(
                store.ReadStatus.UNAVAILABLE,
                _describe(error),
                isinstance(error, TimeoutError),
            )
        if status == 410:
            return store.ReadFailure(store.ReadStatus.EXPIRED)
        return store.ReadFailure(
            store.ReadStatus.UNAVAILABLE, f"status {status}"
        )

    async def newest(
        self, stream, after, timeout
    ) -> store.Page | store.ReadFailure:
        """Return the newest records of the keys after a key."""
        query = {"Topic": TOPICS[stream], "part": 0}
        if after:
            query["After"] = after
        path = "/log-newest?" + urllib.parse.urlencode(query)
        try:
            status, raw = await self._call("GET", path, timeout)
            if status != 200:
                return store.ReadFailure(
                    store.ReadStatus.UNAVAILABLE, f"status {status}"
                )
            data = json.loads(raw)
            records = tuple(map(_decode_newest_record, data["items"]))
            if data["HasMore"] and not records:
                # Neither the end of the list nor a key to go on from.
                return store.ReadFailure(
                    store.ReadStatus.UNAVAILABLE, "empty page with HasMore"
                )
            return store.Page(records, data["EndOffset"], data["HasMore"])
        except errors.CALL_ERRORS as error:
            return store.ReadFailure(
                store.ReadStatus.UNAVAILABLE, _describe(error)
            )


def _decode_newest_record(item: dict) -> store.Record:
    value = base64.b64decode(item["Value"])
    return store.Record(item["Offset"], item["Key"], value or None)


def _decode_append_result(status: int, raw: bytes) -> store.Appended:
    if status == 200:
        data = json.loads(raw)
        return store.Appended(
            store.AppendStatus.APPENDED, data["Offset"], data["EndOffset"]
        )
    if status == 412:
        data = json.loads(raw)
        return store.Appended(
            store.AppendStatus.CONFLICT, end_offset=data["EndOffset"]
        )
    if status == 409:
        data = json.loads(raw)
        if data["Reason"] == "fenced":
            return store.Appended(store.AppendStatus.FENCED)
        numbers = [v for v in data.values() if isinstance(v, int)]
        return store.Appended(
            store.AppendStatus.OUT_OF_SEQUENCE,
            expected_sequence=numbers[0] if numbers else -1,
            detail=raw.decode(errors="replace"),
        )
    # 429, 503 and the other refusals mean that nothing was appended.
    return store.Appended(
        store.AppendStatus.NOT_RUN, detail=f"status {status}"
    )
