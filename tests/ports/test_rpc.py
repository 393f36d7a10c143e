"""Test calls over Thrift to servers and on links that are slow."""

import asyncio
import datetime
import unittest

from cardamomcroft.bench import local
from cardamomcroft.peers import rpc as peer_rpc
from cardamomcroft.ports import rpc

CALL_TIMEOUT = datetime.timedelta(seconds=1)
ANSWER_DELAY_S = 0.75  # above the time-out for a connection


class _SlowHandler:
    async def snapshot(self):
        await asyncio.sleep(ANSWER_DELAY_S)
        return "x"


class SlowServerTest(unittest.IsolatedAsyncioTestCase):
    """Call a server that needs most of the time-out for its answer."""

    async def test_answer_within_the_time_out_is_received(self):
        (address,) = local.free_addresses(1)
        server = rpc.Server(
            address, peer_rpc.WIRE.Peer, _SlowHandler(), self.fail
        )
        await server.start()
        pool = rpc.Pool(peer_rpc.WIRE.Peer, CALL_TIMEOUT)
        try:
            answer = await pool.call(address, "snapshot")
        finally:
            pool.close()
            await server.stop()
        self.assertEqual("x", answer)
