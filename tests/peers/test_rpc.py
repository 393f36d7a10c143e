"""Test the Thrift service between instances on loopback."""

import datetime
import unittest

from cardamomcroft.bench import local
from cardamomcroft.membership import digests
from cardamomcroft.peers import base
from cardamomcroft.peers import rpc
from cardamomcroft.ports import messages

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

    def exchange(self, digest):
        self.received.append(digest)
        return digest

    def read_log(self, offset, limit):
        return messages.LogPage(0, offset, ("a", "b")[:limit])

    def snapshot(self):
        return "x" * 200_000


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Call a server that listens on the running loop."""

    async def asyncSetUp(self) -> None:
        """Start a server and a client."""
        (self.address,) = local.free_addresses(1)
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
