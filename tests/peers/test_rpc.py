"""Test the Thrift service between instances on loopback."""

import asyncio
import contextlib
import dataclasses
import datetime
import io
import unittest

import thriftpy2
from thriftpy2 import utils

from cardamomcroft.membership import digests
from cardamomcroft.peers import base
from cardamomcroft.peers import rpc
from cardamomcroft.ports import addresses
from cardamomcroft.ports import messages
from cardamomcroft.standin import loopback

CALL_TIMEOUT = datetime.timedelta(seconds=1)
LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
SLICES_PER_S = 20
SNAPSHOT_BYTES = 832_000  # 531 running and 2,000 ended jobs of 32 members
DIGEST = digests.Digest(
    "entry-1",
    "entry-1@0",
    "red-sea",
    "dahab",
    7,
    3,
    True,
    False,
    "127.0.0.1:1",
    "127.0.0.1:2",
    4,
    ("w1", "w2"),
)


class _Handler(base.PeerHandler):
    def __init__(self) -> None:
        self.received: list[digests.Digest] = []
        self.payloads = ("a", "b")
        self.snapshot_text = "x" * 200_000

    def exchange(self, digest):
        self.received.append(digest)
        return digest

    def read_log(self, offset, limit):
        return messages.LogPage(0, offset, self.payloads[:limit])

    def snapshot(self):
        return self.snapshot_text


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Call a server that listens on the running loop."""

    async def asyncSetUp(self) -> None:
        """Start a server and a client."""
        (self.address,) = loopback.free_addresses(1)
        self.handler = _Handler()
        self.server = rpc.PeerServer(self.address, self.handler)
        await self.server.start()
        self.peers = rpc.RpcPeers(datetime.timedelta(seconds=2))

    async def asyncTearDown(self) -> None:
        """Close the client and the server."""
        self.peers.close()
        await self.server.stop()

    async def test_digest_survives_the_wire(self):
        answer = await self.peers.exchange(self.address, DIGEST)
        self.assertEqual(DIGEST, answer.ok)
        self.assertEqual([DIGEST], self.handler.received)

    async def test_digest_passes_between_versions(self):
        """Older ones neither send nor expect whether they have caught up."""
        text = rpc.IDL.read_text().replace("  14: optional bool caught_up", "")
        older = thriftpy2.load_fp(io.StringIO(text), "older_peer_thrift")
        newer_bytes = utils.serialize(
            rpc.digest_to_wire(dataclasses.replace(DIGEST, caught_up=True))
        )
        received = utils.deserialize(older.Digest(), newer_bytes)
        self.assertEqual(
            list(DIGEST.leaving_workers), received.leaving_workers
        )
        older_bytes = utils.serialize(received)
        self.assertLess(len(older_bytes), len(newer_bytes))
        returned = utils.deserialize(rpc.WIRE.Digest(), older_bytes)
        self.assertEqual(DIGEST, rpc.digest_from_wire(returned))

    async def test_page_and_large_snapshot_come_whole(self):
        page = await self.peers.read_log(self.address, 5, 2)
        self.assertEqual(messages.LogPage(0, 5, ("a", "b")), page.ok)
        text = await self.peers.snapshot(self.address)
        self.assertEqual(200_000, len(text.ok))

    async def test_lost_server_is_an_error_and_its_return_is_found(self):
        await self.peers.exchange(self.address, DIGEST)
        await self.server.stop()
        self.assertTrue(
            (await self.peers.exchange(self.address, DIGEST)).is_error()
        )
        self.server = rpc.PeerServer(self.address, self.handler)
        await self.server.start()
        answer = await self.peers.exchange(self.address, DIGEST)
        self.assertTrue(answer.is_ok())


class _SlowLink:
    """Pass connections on to a server and slow its answers down."""

    def __init__(self, address: str, target: str) -> None:
        self._address = addresses.split_address(address)
        self._target = addresses.split_address(target)
        self.stalls_after_bytes = 100_000_000
        self.slices = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._pass, *self._address)

    async def stop(self) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _pass(self, reader, writer) -> None:
        upstream, downstream = await asyncio.open_connection(*self._target)
        for copy in (
            self._copy(reader, downstream, LINK_BYTES_PER_S),
            self._copy(upstream, writer, LINK_BYTES_PER_S // SLICES_PER_S),
        ):
            task = asyncio.ensure_future(copy)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(self, reader, writer, size: int) -> None:
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            await self._slow_down(reader, writer, size)

    async def _slow_down(self, reader, writer, size: int) -> None:
        passed = 0
        while part := await reader.read(size):
            if passed >= self.stalls_after_bytes:
                await asyncio.Event().wait()
            writer.write(part)
            await writer.drain()
            passed += len(part)
            self.slices += 1
            await asyncio.sleep(1 / SLICES_PER_S)


class SlowLinkTest(unittest.IsolatedAsyncioTestCase):
    """Load a state of the two-year size from a peer on a slow link."""

    async def asyncSetUp(self) -> None:
        """Start a server, a link and a client."""
        server_address, self.address = loopback.free_addresses(2)
        self.handler = _Handler()
        self.handler.snapshot_text = "x" * SNAPSHOT_BYTES
        self.handler.payloads = ("x" * 48_000,) * 17
        self.server = rpc.PeerServer(server_address, self.handler)
        await self.server.start()
        self.link = _SlowLink(self.address, server_address)
        await self.link.start()
        self.peers = rpc.RpcPeers(CALL_TIMEOUT)

    async def asyncTearDown(self) -> None:
        """Close the client, the link and the server."""
        self.peers.close()
        await self.link.stop()
        await self.server.stop()

    async def test_snapshot_comes_and_digests_do_not_wait_for_it(self):
        loading = asyncio.ensure_future(self.peers.snapshot(self.address))
        await asyncio.sleep(0.2)
        exchanged = await self.peers.exchange(self.address, DIGEST)
        self.assertTrue(exchanged.is_ok())
        self.assertFalse(loading.done())
        text = await loading
        self.assertTrue(text.is_ok())
        self.assertEqual(SNAPSHOT_BYTES, len(text.ok))

    async def test_page_comes_over_a_slow_but_steady_link(self):
        page = await self.peers.read_log(self.address, 0, 200)
        self.assertTrue(page.is_ok())
        self.assertEqual(17, len(page.ok.payloads))
        took_s = self.link.slices / SLICES_PER_S
        self.assertGreater(took_s, CALL_TIMEOUT.total_seconds())

    async def test_snapshot_that_stalls_is_given_up(self):
        self.link.stalls_after_bytes = SNAPSHOT_BYTES // 2
        text = await asyncio.wait_for(self.peers.snapshot(self.address), 6)
        self.assertTrue(text.is_error())
        self.assertGreater(self.link.slices, 0)
