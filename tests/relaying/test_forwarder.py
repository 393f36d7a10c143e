"""Test forwarding of calls to a peer that reaches the store."""

import datetime
import os
import random
import unittest

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import rpc
from cardamomcroft.relaying import base
from cardamomcroft.relaying import forwarder
from cardamomcroft.relaying import rpc as relay_rpc
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import metrics

CLIENT_TIMEOUT = datetime.timedelta(seconds=3)
OK = relay_rpc.WIRE.Reply(200, b"{}", 0, False)
NO_STORE = relay_rpc.WIRE.Reply(503, b"{}", 0, True)
TOO_LATE = relay_rpc.WIRE.Reply(503, b"{}", 7, False)
UNKNOWN = relay_rpc.WIRE.Reply(504, b"{}", 0, False)


class ScriptedPool:
    """Return scripted answers by address and record the calls."""

    def __init__(
        self, answers: dict[str, object], clock: clocks.FakeClock
    ) -> None:
        """Script an answer, or an error to raise, for each address."""
        self.answers = answers
        self.delay = datetime.timedelta()  # before each answer
        self.asked: list[str] = []
        self._clock = clock

    async def call(self, address, operation, *arguments):
        """Return or raise the scripted answer."""
        self.asked.append(address)
        await self._clock.advance(self.delay)
        answer = self.answers[address]
        if isinstance(answer, Exception):
            raise answer
        return answer


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """Forward to peers that answer, lack the store or do not answer."""

    def setUp(self):
        """Open a sink for log lines."""
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.sink)
        self.clock = clocks.FakeClock()
        self.rng = random.Random(1)

    def make(self, answers: dict[str, object], *near: str):
        """Return a forwarder and its pool."""
        pool = ScriptedPool(answers, self.clock)
        peers = {
            name: codec.Peer(name, "near" if name in near else "far", 0.0)
            for name in answers
        }
        log = events.Events(self.clock, "me", metrics.Metrics(), self.sink)
        origin = forwarder.Origin("me", "near")
        return (
            forwarder.PeerForwarder(
                origin, lambda: peers, pool, self.clock, log, self.rng
            ),
            pool,
        )

    async def forward(self, target, method: str = "POST"):
        """Forward a call."""
        call = base.Call(method, "h", "/p", "k", b"", CLIENT_TIMEOUT)
        return await target.forward(call)

    async def test_peer_that_lacks_the_store_is_passed_over(self):
        """The next peer answers and is asked first from then on."""
        target, pool = self.make({"a": NO_STORE, "b": OK, "me": OK}, "a")
        self.assertEqual((await self.forward(target)).status, 200)
        self.assertEqual(pool.asked, ["a", "b"])
        await self.clock.advance(forwarder.NO_STORE_BACKOFF * 2)
        await self.forward(target)
        self.assertEqual(pool.asked, ["a", "b", "b"])

    async def test_nobody_reaches_the_store(self):
        """Without a peer that has access, the call was not run."""
        target, pool = self.make(
            {"a": NO_STORE, "b": rpc.UnreachedError("gone")}
        )
        self.assertIsNone(await self.forward(target))
        self.assertEqual(sorted(pool.asked), ["a", "b"])

    async def test_lost_reply_leaves_the_outcome_unknown(self):
        """A change then has an unknown outcome; a query counts as not run."""
        answers = {"a": TimeoutError(), "b": NO_STORE}
        target, _ = self.make(dict(answers), "a")
        self.assertIs(await self.forward(target), base.OUTCOME_UNKNOWN)
        target, _ = self.make(dict(answers), "a")
        self.assertIsNone(await self.forward(target, "GET"))

    async def test_lost_reply_is_made_sure_of_by_the_next_peer(self):
        """Changes are idempotent, so the next peer repeats them."""
        target, _ = self.make({"a": TimeoutError(), "b": OK}, "a")
        self.assertEqual((await self.forward(target)).status, 200)

    async def test_refusal_does_not_replace_an_unknown_outcome(self):
        """A change that a peer may have made is not said to be refused."""
        for first in (TimeoutError(), UNKNOWN):
            target, pool = self.make({"a": first, "b": TOO_LATE}, "a")
            reply = await self.forward(target)
            self.assertEqual(pool.asked, ["a", "b"])
            self.assertEqual(reply.status, 504)

    async def test_peer_busy_with_other_calls_is_asked_again_at_once(self):
        target, pool = self.make({"a": rpc.BusyError("a"), "b": NO_STORE})
        self.assertIsNone(await self.forward(target))
        pool.answers["a"] = OK
        self.assertEqual((await self.forward(target)).status, 200)
        self.assertEqual(pool.asked.count("a"), 2)

    async def test_few_silent_peers_are_asked(self):
        """Few peers may cost a time-out, so that callers wait less."""
        for error in (rpc.UnreachedError("gone"), TimeoutError()):
            target, pool = self.make({f"p{n}": error for n in range(40)})
            await self.forward(target)
            self.assertEqual(len(pool.asked), 3)

    async def test_slow_refusals_count_as_silence(self):
        """A peer that takes long to say that it lacks the store is slow."""
        target, pool = self.make({f"p{n}": NO_STORE for n in range(40)})
        pool.delay = forwarder.QUICK_REPLY * 1.1
        self.assertIsNone(await self.forward(target))
        self.assertEqual(len(pool.asked), 3)

    async def test_outage_for_all_costs_a_bounded_number_of_calls(self):
        """Calls that follow at once ask others, and then nobody."""
        target, pool = self.make({f"p{n}": NO_STORE for n in range(20)})
        for expected in (8, 16, 20, 20):
            self.assertIsNone(await self.forward(target))
            self.assertEqual(len(pool.asked), expected)
        self.assertEqual(len(set(pool.asked)), 20)

    async def test_peers_that_lack_the_store_hide_no_other(self):
        """After a restart of all, the one peer that has loaded is found."""
        near = [f"n{number}" for number in range(7)]
        answers = dict.fromkeys(near, NO_STORE) | {"n6": OK}
        for seed in range(20):
            self.rng = random.Random(seed)
            target, pool = self.make(dict(answers), *near)
            reply = await self.forward(target)
            self.assertEqual(reply and reply.status, 200, pool.asked)

    async def test_lost_data_centre_hides_no_other(self):
        """If all peers near lack the store, those far away are asked."""
        near = [f"n{number}" for number in range(20)]
        answers = dict.fromkeys(near, NO_STORE) | {"f0": OK, "f1": OK}
        target, pool = self.make(answers, *near)
        self.assertEqual((await self.forward(target)).status, 200)
        self.assertLessEqual(len(pool.asked), 5)

    async def test_quick_refusals_leave_time_for_the_client(self):
        """No peer is asked when too little of the client's time is left."""
        target, pool = self.make({f"p{n}": NO_STORE for n in range(40)})
        pool.delay = forwarder.QUICK_REPLY * 0.9
        call = base.Call(
            "POST", "h", "/p", "k", b"", forwarder.CALL_TIMEOUT + pool.delay
        )
        self.assertIsNone(await target.forward(call))
        self.assertEqual(len(pool.asked), 2)

    async def test_no_peer_is_asked_without_time(self):
        """A call whose client is about to time out is not forwarded."""
        target, pool = self.make({"a": OK})
        call = base.Call("POST", "h", "/p", "k", b"", CLIENT_TIMEOUT / 10)
        self.assertIsNone(await target.forward(call))
        self.assertEqual(pool.asked, [])


class PoolTest(unittest.IsolatedAsyncioTestCase):
    """Call over loopback."""

    async def test_call_to_nobody_is_not_sent(self):
        """A refused connection is distinguished from a lost reply."""
        pool = relay_rpc.make_pool(datetime.timedelta(seconds=1))
        call = base.Call("GET", "h", "/p", "", b"", CLIENT_TIMEOUT)
        with self.assertRaises(rpc.UnreachedError):
            await relay_rpc.ask(pool, "127.0.0.1:1", call)


class EchoingAnswerer(base.Answerer):
    """Answer by the version that the call requires, plus one."""

    async def answer(self, call: base.Call) -> base.Reply:
        """Return an empty reply."""
        return base.Reply(200, config_version=call.config_version + 1)


class VersionTest(unittest.IsolatedAsyncioTestCase):
    """Versions of the configuration travel with calls and replies."""

    async def test_versions_travel_both_ways(self):
        """They may take more than 32 bits."""
        server = relay_rpc.make_server(
            "127.0.0.1:0", EchoingAnswerer(), self.fail
        )
        await server.start()
        self.addAsyncCleanup(server.stop)
        pool = relay_rpc.make_pool(CLIENT_TIMEOUT)
        self.addCleanup(pool.close)
        host, port = server._server.sockets[0].getsockname()
        call = base.Call("GET", "h", "/", "", b"", CLIENT_TIMEOUT, 2**40)
        reply = await relay_rpc.ask(pool, f"{host}:{port}", call)
        self.assertEqual(reply.config_version, 2**40 + 1)

    async def test_instance_of_a_version_before_names_none(self):
        """Its messages lack the field."""
        pool = ScriptedPool({"a": OK}, clocks.FakeClock())
        call = base.Call("GET", "h", "/", "", b"", CLIENT_TIMEOUT)
        reply = await relay_rpc.ask(pool, "a", call)
        self.assertEqual(reply.config_version, 0)
        wire = relay_rpc.WIRE.Call("GET", "h", "/", "", b"", 1)
        answer = await relay_rpc._Dispatcher(EchoingAnswerer()).answer(wire)
        self.assertEqual(answer.config_version, 1)
