"""Serve the stand-ins of the store and the workers over HTTP.

Implements the protocol of the users' platform on one loopback address, so
that the daemon's adapter can be tested and shown without the users' bench.
"""

import asyncio
import base64
import collections.abc
import contextlib
import dataclasses
import datetime
import json
import socket
import struct

from aiohttp import web

from cardamomcroft.ports import base
from cardamomcroft.ports import fleet as fleets
from cardamomcroft.ports import store as stores
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger
from cardamomcroft.scheduling import models
from cardamomcroft.standin import fleet
from cardamomcroft.standin import links
from cardamomcroft.standin import listed_ends
from cardamomcroft.standin import store

_STREAMS = {f"keyed.{stream.value}": stream for stream in stores.Stream}
_STREAMS |= {
    "keyed.op": stores.Stream.OPERATOR,
    "keyed.servers": stores.Stream.SERVERS,
}
_REASONS = {
    fleets.OrderStatus.STALE_TOKEN: "fence",
    fleets.OrderStatus.STALE_RUN: "old",
    fleets.OrderStatus.EXPIRED: "late",
    fleets.OrderStatus.NO_ROOM: "room",
}
_ENDS = {
    fleets.End.DONE: "done",
    fleets.End.FAILED: "failed",
    fleets.End.STOPPED: "stopped",
    fleets.End.LAPSED: "lapsed",
    fleets.End.GANG_BROKEN: "broken",
    fleets.End.GANG_INCOMPLETE: "alone",
}
WORKER_CLIENT = "http"
HOST_NAME = "jobs.example"  # clients' Host header
MAX_NEWEST_BYTES = 1_000_000
LINK_PERIOD_S = 0.02  # between two pieces of a throttled response
SILENCE_S = 15.0  # outlasts every time limit of the callers
_MS = datetime.timedelta(milliseconds=1)
_TIMEOUT = datetime.timedelta(seconds=1)


class _StoreBackedFleet(fleet.FakeFleet):
    """A fleet that reads jobs' steps from their stored submissions."""

    service: store.StoreService
    # Workers whose answers are on their way for long.
    distant_workers: collections.abc.Container[str] = ()

    def _record_answer(self, worker: fleet.FakeWorker, token: int) -> None:
        if worker.listing.address.worker_id not in self.distant_workers:
            super()._record_answer(worker, token)

    def steps_of(self, job_id: str) -> tuple[models.Step, ...]:
        """Return a job's steps."""
        if job_id not in self.steps_by_job:
            self.steps_by_job[job_id] = self._read_steps(job_id)
        return self.steps_by_job[job_id]

    def is_lasting(self, task: str) -> bool:
        """Return whether a task goes on until it is stopped."""
        job_id, _, number, _ = task.rsplit(".", 3)
        return self.steps_of(job_id)[int(number)].is_lasting

    def _read_steps(self, job_id: str) -> tuple[models.Step, ...]:
        key = ledger.Kind.SUBMISSION.key(job_id)
        for record in self.service.records_by_stream[stores.Stream.JOBS]:
            if record.key == key:
                return codec.decode_job(job_id, record.value).steps
        raise KeyError(job_id)


def make_route(
    name: str, prefix: str, priority: int = 1, attempts: int = 2
) -> dict:
    """Return the configuration of a queue of the service ``svc``."""
    return {
        "Name": name,
        "Host": HOST_NAME,
        "PathPrefix": prefix,
        "Service": "svc",
        "Priority": priority,
        "MaxAttempts": attempts,
        "SlackFactor": 3.0,
        "TargetLatencyMs": 500,
    }


class PlatformServer:
    """An HTTP server for calls to the store and the workers.

    Orders to workers come from the client ``WORKER_CLIENT``.
    """

    def __init__(
        self, clock: base.Clock, duration: datetime.timedelta
    ) -> None:
        """Create the store and fleet; ``duration`` is a task's run time."""
        self.store = store.StoreService(clock)
        self.fleet = _StoreBackedFleet(clock, duration)
        self.fleet.service = self.store
        self.fleet.listed_ends.claim_of = listed_ends.Claims(
            self.store.records_by_stream[stores.Stream.JOBS]
        ).name_of
        self.address = ""
        self._clients_by_port: dict[int, str] = {}
        self._addresses_by_worker: dict[str, str] = {}
        self._sites_by_worker: dict[str, web.SockSite] = {}
        self._transports_by_worker: dict[str, set[asyncio.Transport]] = {}
        # Of the calls under way.
        self._called_by_transport: dict[
            asyncio.Transport, fleet.FakeWorker
        ] = {}
        # Of each connection, in bytes a second.
        self.link_rates_by_client: dict[str, int] = {}
        self.shared_links_by_client: dict[
            str, links.FairLink | links.QueueLink
        ] = {}
        # Of the answers of a worker, to all clients.
        self.links_by_worker: dict[str, links.FairLink | links.QueueLink] = {}
        self.fleet.distant_workers = self.links_by_worker
        self.fleet.listed_ends.distant_workers = self.links_by_worker
        self._runner: web.ServerRunner | None = None
        self._handlers = {
            "/log-append": self._append,
            "/log-read": self._read,
            "/log-newest": self._newest,
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/hold": self._hold,
        }

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Serve on a free port."""
        server = web.Server(self._handle, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, 0).start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def listen_for_client(self, client: str) -> str:
        """Listen on a further port and return its address.

        Calls on this port come from ``client``, the name by which faults
        of the store select them.
        """
        _, address = await self._open_site()
        self._clients_by_port[int(address.rpartition(":")[2])] = client
        return address

    async def _open_site(self) -> tuple[web.SockSite, str]:
        listener = socket.create_server(("127.0.0.1", 0))
        site = web.SockSite(self._runner, listener)
        await site.start()
        host, port = listener.getsockname()
        return site, f"{host}:{port}"

    async def listen_for_worker(
        self, worker_id: str, rack: str, data_centre: str = "dc"
    ) -> str:
        """Register a worker of a rack on a port of its own.

        Return its address.
        """
        site, address = await self._open_site()
        self._sites_by_worker[worker_id] = site
        self._addresses_by_worker[worker_id] = address
        self._transports_by_worker[worker_id] = set()
        listing = self.fleet.add(worker_id, rack=rack, data_centre=data_centre)
        self._register(worker_id, listing)
        return address

    async def end_worker(self, worker_id: str, refuses: bool) -> None:
        """End a worker for good, as a host or, if it refuses, a process.

        A host takes no notice of calls; without the process, a host resets
        connections and refuses new ones.
        """
        self.fleet.die(worker_id)
        if refuses:
            await self._sites_by_worker.pop(worker_id).stop()
            self._abort_connections(worker_id)
            del self._transports_by_worker[worker_id]

    def _abort_connections(
        self, worker_id: str, is_waiting_spared: bool = False
    ) -> None:
        """End the connections to a worker that has a port of its own."""
        transports = self._transports_by_worker.get(worker_id, set())
        for transport in list(transports):
            called = self._called_by_transport.get(transport)
            if is_waiting_spared and called is not None and called.is_dead:
                continue
            transports.discard(transport)
            transport.abort()

    def remove_entry(self, worker_id: str) -> None:
        """Remove a worker's entry, as the platform does after its silence."""
        self.store.put(stores.Stream.SERVERS, worker_id, None)

    def _client_name(self, request: web.BaseRequest) -> str:
        _, port = request.transport.get_extra_info("sockname")[:2]
        return self._clients_by_port.get(port, WORKER_CLIENT)

    def _store_client(self, request: web.BaseRequest) -> store.StoreClient:
        return self.store.client(self._client_name(request))

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    def add_worker(self, worker_id: str) -> None:
        """Register a worker of the service ``svc``."""
        self._register(worker_id, self.fleet.add(worker_id))

    def restart_worker(self, worker_id: str) -> None:
        """Restart a worker under its id, without its tasks.

        Its connections end with its process.
        """
        listing = self.fleet.restart(worker_id)
        self._abort_connections(worker_id)
        self._register(worker_id, listing)

    async def crash_worker(
        self, worker_id: str, silent_s: float, unlisted_s: float
    ) -> None:
        """Restart a worker's host; return when its new entry is there.

        The host is silent for a time, and then resets the connections of
        before; a call that waits on one since before sends nothing and so is
        not reset. The entry is written some time after.
        """
        listing = self.fleet.restart(worker_id)
        worker = self.fleet.workers_by_id[worker_id]
        worker.is_starting = True
        await asyncio.sleep(silent_s)
        if worker.is_dead:
            return
        self._abort_connections(worker_id, is_waiting_spared=True)
        worker.is_starting = False
        await asyncio.sleep(unlisted_s)
        if not worker.is_dead:
            self._register(worker_id, listing)

    def _register(self, worker_id: str, listing: fleets.Listing) -> None:
        entry = {
            "Service": listing.service,
            "Address": self._addresses_by_worker.get(worker_id, self.address),
            "Zone": listing.data_centre,
            "State": listing.state.value,
            "Capacity": {
                "Cpu": listing.milli_cores,
                "MemMb": listing.memory_mb,
                "Gpu": listing.accelerators,
            },
            "Labels": sorted(listing.labels),
            "ClockMs": self.fleet.workers_by_id[worker_id].clock_ms(),
            "born": listing.born_ms,
        }
        value = json.dumps(entry).encode()
        self.store.put(stores.Stream.SERVERS, worker_id, value)

    def configure(self, data: dict) -> None:
        """Store a configuration as the operator does."""
        value = json.dumps(data).encode()
        self.store.put(stores.Stream.OPERATOR, "config", value)

    def evacuate(self, data_centre: str) -> None:
        """Request the evacuation of a data centre as the operator does."""
        key = f"evacuate/{data_centre}"
        self.store.put(stores.Stream.OPERATOR, key, b"{}")

    def end_evacuation(self, data_centre: str) -> None:
        """End the evacuation of a data centre as the operator does."""
        key = f"evacuate/{data_centre}"
        self.store.put(stores.Stream.OPERATOR, key, None)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        if request.transport is None:
            return web.Response(status=503)  # the client has gone
        # A client that gives up meanwhile takes its address away.
        client = self._client_name(request)
        rate = self.link_rates_by_client.get(client)
        link = self.shared_links_by_client.get(client)
        worker_id = request.headers.get("X-Expected-Instance", "")
        link = self.links_by_worker.get(worker_id, link)
        if worker_id in self._transports_by_worker:
            response = await self._call_worker(worker_id, request, handler)
        else:
            response = await handler(request)
        if link is not None:
            return await link.send(request, response)
        if rate is None:
            return response
        return await _send_slowly(request, response, rate)

    async def _call_worker(
        self, worker_id: str, request: web.BaseRequest, handler
    ) -> web.Response:
        """Handle a call on a connection that ends with the incarnation."""
        transport = request.transport
        worker = self.fleet.workers_by_id.get(worker_id)
        self._transports_by_worker[worker_id].add(transport)
        if worker is not None:
            self._called_by_transport[transport] = worker
        try:
            return await handler(request)
        finally:
            self._called_by_transport.pop(transport, None)
            if worker is not None and worker.is_dead:
                transport.abort()

    async def _append(self, request: web.BaseRequest) -> web.Response:
        query = request.query
        writer = None
        if "Producer" in query:
            writer = stores.Writer(
                query["Producer"], int(query["epoch"]), int(query["Sequence"])
            )
        expected = query.get("Timestamp")
        answer = await self._store_client(request).append(
            _STREAMS[query["Topic"]],
            _decode_entries(await request.read()),
            _TIMEOUT,
            int(expected) if expected is not None else None,
            writer,
        )
        status = stores.AppendStatus
        if answer.status is status.APPENDED:
            return web.json_response(
                {"Offset": answer.offset, "EndOffset": answer.end_offset}
            )
        if answer.status is status.CONFLICT:
            return web.json_response(
                {"EndOffset": answer.end_offset}, status=412
            )
        if answer.status is status.FENCED:
            return web.json_response({"Reason": "fenced"}, status=409)
        if answer.status is status.OUT_OF_SEQUENCE:
            body = {"Reason": "seq", "Sequence": answer.expected_sequence}
            return web.json_response(body, status=409)
        is_too_large = answer.detail == store.TOO_LARGE
        return web.Response(status=413 if is_too_large else 503)

    async def _read(self, request: web.BaseRequest) -> web.Response:
        offset = int(request.query["From"])
        page = await self._store_client(request).read(
            _STREAMS[request.query["Topic"]],
            offset,
            int(request.query.get("WaitMs", 0)) * _MS,
            _TIMEOUT,
        )
        if isinstance(page, stores.ReadFailure):
            is_expired = page.status is stores.ReadStatus.EXPIRED
            return web.Response(status=410 if is_expired else 503)
        end = len(
            self.store.records_by_stream[_STREAMS[request.query["Topic"]]]
        )
        body = struct.pack(">QQ", end, 0)
        for record in page.records:
            key = record.key.encode()
            raw = bytes([len(key)]) + key + (record.value or b"")
            body += struct.pack(">I", len(raw)) + raw
        return web.Response(body=body)

    async def _newest(self, request: web.BaseRequest) -> web.Response:
        page = await self._store_client(request).newest(
            _STREAMS[request.query["Topic"]],
            request.query.get("After", ""),
            _TIMEOUT,
        )
        if isinstance(page, stores.ReadFailure):
            return web.Response(status=503)
        items, size = [], 0
        for record in page.records:
            size += len(record.value)
            if items and size > MAX_NEWEST_BYTES:
                break
            value = base64.b64encode(record.value).decode()
            items.append(
                {"Key": record.key, "Value": value, "Offset": record.offset}
            )
        has_more = page.has_more or len(items) < len(page.records)
        return web.json_response(
            {
                "items": items,
                "HasMore": has_more,
                "EndOffset": page.end_offset,
            }
        )

    async def _start(self, request: web.BaseRequest) -> web.Response:
        data = await request.json()
        order = fleets.StartOrder(
            data["Task"],
            data["RunId"],
            data["Spec"],
            data["DeadlineMs"],
            data["FencingToken"],
            data.get("Checkpoint", ""),
        )
        return await _to_response(
            await self.fleet.start(_worker_address(request), order, _TIMEOUT)
        )

    async def _stop(self, request: web.BaseRequest) -> web.Response:
        data = await request.json()
        return await _to_response(
            await self.fleet.stop(
                _worker_address(request),
                data["Task"],
                data["RunId"],
                data["FencingToken"],
                _TIMEOUT,
            )
        )

    async def _hold(self, request: web.BaseRequest) -> web.Response:
        data = await request.json()
        order = fleets.LeaseRenewal(
            data["FencingToken"],
            data["LastSeen"],
            data.get("DeadlineMs"),
            data.get("WaitMs", 0) * _MS,
        )
        result = await self.fleet.renew_lease(
            _worker_address(request), order, _TIMEOUT
        )
        if isinstance(result, fleets.OrderResult):
            return await _to_response(result)
        return web.json_response(
            {
                "ClockMs": result.clock_ms,
                "born": result.born_ms,
                "Running": [
                    list(dataclasses.astuple(run)) for run in result.running
                ],
                "Finished": [
                    [e.number, e.task, e.run, _ENDS[e.end], e.checkpoint]
                    for e in result.finished
                ],
            }
        )


async def _send_slowly(
    request: web.BaseRequest, response: web.Response, bytes_per_s: int
) -> web.StreamResponse:
    """Send a response at the rate of a slow link."""
    slow = web.StreamResponse(status=response.status)
    size = max(1, round(bytes_per_s * LINK_PERIOD_S))
    body = response.body or b""
    with contextlib.suppress(ConnectionResetError):  # the client gave up
        await slow.prepare(request)
        for start in range(0, len(body), size):
            await slow.write(body[start : start + size])
            await asyncio.sleep(LINK_PERIOD_S)
        await slow.write_eof()
    return slow


def _worker_address(request: web.BaseRequest) -> fleets.Address:
    return fleets.Address(request.headers["X-Expected-Instance"], "")


async def _to_response(result: fleets.OrderResult) -> web.Response:
    if result.status is fleets.OrderStatus.MAY_HAVE_RUN:
        # A 503 would say that the worker has done nothing.
        await asyncio.sleep(SILENCE_S)
    body = {"ClockMs": result.clock_ms or 0}
    if result.status is fleets.OrderStatus.DONE:
        return web.json_response(body)
    reason = _REASONS.get(result.status)
    if reason is None:
        return web.Response(status=503)
    return web.json_response(body | {"Reason": reason}, status=409)


def _decode_entries(body: bytes) -> list[stores.Entry]:
    entries = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        raw = body[position + 4 : position + 4 + length]
        split = 1 + raw[0]
        key = raw[1:split].decode()
        entries.append(stores.Entry(key, raw[split:] or None))
        position += 4 + length
    return entries
