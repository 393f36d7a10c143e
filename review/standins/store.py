"""The platform's store: a log with keyed topics, over HTTP."""

import asyncio
import base64
import collections
import dataclasses
import json
import struct
import time

from aiohttp import web

from standins import record as records

APPEND_S = 0.001  # AppendMs
ANSWER_S = 0.004  # of the deployment's sheet
MAX_ITEMS = 500
REMEMBERED_APPENDS = 5


@dataclasses.dataclass
class Append:
    """An append as it arrived."""

    topic: str
    keys: list[str]
    raw_records: list[bytes]
    expected_end: int | None
    producer: str | None
    epoch: int
    sequence: int


@dataclasses.dataclass
class Producer:
    """What a partition knows of a producer."""

    epoch: int = -1
    sequence: int | None = None
    answers: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict
    )


class Store:
    """A store that loses nothing that it has acknowledged."""

    def __init__(self, record: records.Record) -> None:
        """Create an empty store."""
        self._record = record
        self.topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self._producers: dict[tuple[str, str], Producer] = (
            collections.defaultdict(Producer)
        )
        self._grown = asyncio.Condition()
        self.reset_topics: set[str] = set()  # calls for them are reset
        # Returns None to serve an append, or the seconds after which it is
        # carried out although its answer is lost.
        self.lose = lambda append: None
        self.appends_served = 0
        self.appends_lost = 0
        self.address = ""
        self._runner: web.ServerRunner | None = None
        self._late: set[asyncio.Task] = set()

    async def listen(self, host: str) -> None:
        """Serve on a free port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        self.address = ":".join(map(str, self._runner.addresses[0][:2]))

    async def close(self) -> None:
        """Stop serving."""
        for task in self._late:
            task.cancel()
        await self._runner.cleanup()

    def newest(self, topic: str, key: str) -> bytes | None:
        """Return the newest value of a key."""
        for raw in reversed(self.topics[topic]):
            if split(raw)[0] == key:
                return split(raw)[1]
        return None

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as the operator or a worker does."""
        raw = bytes([len(key)]) + key.encode() + value
        return await self._store(topic, [raw])

    async def _store(self, topic: str, raw_records: list[bytes]) -> int:
        first = len(self.topics[topic])
        self.topics[topic] += raw_records
        async with self._grown:
            self._grown.notify_all()
        return first

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        query = request.query
        if query.get("Topic") in self.reset_topics:
            return _reset(request)
        await asyncio.sleep(ANSWER_S)
        if request.path == "/log-append":
            return await self._append(request, body)
        if request.path == "/log-read":
            return await self._read(request)
        if request.path == "/log-newest":
            return self._newest(query)
        return web.Response(status=404)

    async def _append(
        self, request: web.BaseRequest, body: bytes
    ) -> web.Response:
        query = request.query
        raw_records = list(_unpack(body))
        append = Append(
            query["Topic"],
            [split(raw)[0] for raw in raw_records],
            raw_records,
            int(query["Timestamp"]) if "Timestamp" in query else None,
            query.get("Producer"),
            int(query.get("epoch", 0)),
            int(query.get("Sequence", 0)),
        )
        delay_s = self.lose(append)
        if delay_s is None:
            self.appends_served += 1
            return await self._carry_out(append)
        self.appends_lost += 1
        self._record.write(
            "store",
            f"append of {append.keys} gets no answer, carried out after"
            f" {delay_s:.1f} s",
        )
        self._late.add(
            asyncio.ensure_future(self._late_append(append, delay_s))
        )
        # The connection returns nothing further.
        await asyncio.sleep(3600)
        return web.Response(status=503)

    async def _late_append(self, append: Append, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        response = await self._carry_out(append)
        self._record.write(
            "store", f"late append of {append.keys}: {response.status}"
        )

    async def _carry_out(self, append: Append) -> web.Response:
        await asyncio.sleep(APPEND_S)
        end = len(self.topics[append.topic])
        producer = None
        if append.producer is not None:
            producer = self._producers[append.topic, append.producer]
            refusal = _refuse(append, producer)
            if refusal is not None:
                return refusal
        if append.expected_end is not None and append.expected_end != end:
            return _json({"EndOffset": end}, 412)
        if producer is not None:
            if append.epoch > producer.epoch:
                producer.answers.clear()
            producer.epoch = append.epoch
            producer.sequence = append.sequence
        answer = {"Offset": end, "EndOffset": end + len(append.raw_records)}
        if producer is not None:
            producer.answers[append.sequence] = answer
            while len(producer.answers) > REMEMBERED_APPENDS:
                producer.answers.popitem(last=False)
        await self._store(append.topic, append.raw_records)
        return _json(answer)

    async def _read(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        topic, offset = query["Topic"], int(query["From"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while len(self.topics[topic]) <= offset:
            left = until - time.monotonic()
            if left <= 0:
                break
            async with self._grown:
                try:
                    await asyncio.wait_for(self._grown.wait(), left)
                except TimeoutError:
                    break
        if topic in self.reset_topics:
            return _reset(request)
        body = bytearray(struct.pack(">QQ", len(self.topics[topic]), 0))
        most = int(query.get("MaxKb", 1024)) * 1024
        for raw in self.topics[topic][offset:]:
            if len(body) > 16 and len(body) + len(raw) + 4 > most:
                break
            body += struct.pack(">I", len(raw)) + raw
        return web.Response(body=bytes(body))

    def _newest(self, query) -> web.Response:
        raw_records = self.topics[query["Topic"]]
        newest = {}
        for offset, raw in enumerate(raw_records):
            key, value = split(raw)
            newest[key] = offset, value
        after = query.get("After", "")
        kept = sorted(
            (key, offset, value)
            for key, (offset, value) in newest.items()
            if value and key > after
        )
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, offset, value in kept[:MAX_ITEMS]
        ]
        return _json(
            {
                "items": items,
                "HasMore": len(kept) > MAX_ITEMS,
                "EndOffset": len(raw_records),
            }
        )


def split(raw: bytes) -> tuple[str, bytes]:
    """Return a keyed record's key and value."""
    return raw[1 : 1 + raw[0]].decode(), raw[1 + raw[0] :]


def _refuse(append: Append, producer: Producer) -> web.Response | None:
    """Return the answer to an append out of turn, or to a repeated one."""
    if append.epoch < producer.epoch:
        return _json({"Reason": "fenced"}, 409)
    if append.epoch > producer.epoch:
        return None
    known = producer.answers.get(append.sequence)
    if known is not None:
        return _json(known)
    expected = producer.sequence + 1
    if append.sequence != expected:
        return _json({"Reason": "seq", "Sequence": expected}, 409)
    return None


def _reset(request: web.BaseRequest) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


def _unpack(body: bytes):
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        yield body[position + 4 : position + 4 + length]
        position += 4 + length


def _json(data: dict, status: int = 200) -> web.Response:
    return web.Response(
        body=json.dumps(data).encode(),
        status=status,
        content_type="application/json",
    )
