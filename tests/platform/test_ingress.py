"""Test the replies of the ingress when calls of the store or peers fail."""

import asyncio
import os
import types
import unittest

from cardamomcroft.platform import ingress
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.relaying import base
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger
from cardamomcroft.scheduling import metrics
from tests.scheduling import harness

JOB_PATH = "/p/" + "a" * 16
BODY = b'{"Spec":"x","Phases":[{"Count":1,"Cpu":1}]}'
ROUTE = configuration.Route("h", "/p/", harness.make_queue(), True)
TIMEOUT = harness.seconds(3)
NOT_RUN = store.Appended(store.AppendStatus.NOT_RUN, detail="status 503")
# What arrives from a peer that replied so: equal, not the same object.
UNKNOWN_AT_PEER = base.Reply(504, b'{"error":"outcome unknown"}')


class RefusingStore:
    """Refuse all appends."""

    def __init__(self) -> None:
        """Start without a call."""
        self.refused = 0

    async def append(self, stream, entries, timeout, *options):
        """Refuse: nothing is appended."""
        self.refused += 1
        return NOT_RUN


class ScriptedForwarder(base.Forwarder):
    """Return one reply to all calls and record them."""

    def __init__(self, reply: base.Reply | None) -> None:
        """Script the reply."""
        self.reply = reply
        self.calls: list[base.Call] = []

    async def forward(self, call):
        """Return the scripted reply."""
        self.calls.append(call)
        return self.reply


class FakeReplica:
    """A loaded replica without jobs."""

    def __init__(self, clock: clocks.FakeClock) -> None:
        """Refresh at once; without success after a delay is set."""
        self._clock = clock
        self.ledger = ledger.Ledger()
        self.is_loaded = True
        self.is_reachable = True
        self.failing_refresh_delay = None

    def expected_wait(self, queue):
        """Return no wait."""
        return harness.seconds(0)

    async def refresh(self, timeout):
        """Return whether the copy is current."""
        if self.failing_refresh_delay is None:
            return True
        await self._clock.advance(self.failing_refresh_delay)
        return False


class IngressTest(unittest.IsolatedAsyncioTestCase):
    """Call an ingress beside fakes of the store and the peers."""

    def setUp(self):
        """Open a sink for log lines."""
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.sink)
        self.clock = clocks.FakeClock()
        self.replica = FakeReplica(self.clock)

    def make(self, target, forwarder: base.Forwarder) -> ingress.Ingress:
        """Return an ingress with a public route."""
        current = configuration.Configuration(1, (ROUTE,), {}, 0)
        config = types.SimpleNamespace(current=current, is_stale=False)
        log = events.Events(self.clock, "me", metrics.Metrics(), self.sink)
        node = types.SimpleNamespace(replica=self.replica)
        return ingress.Ingress(
            node, target, config, self.clock, log, forwarder
        )

    async def call(self, target: ingress.Ingress, method: str) -> base.Reply:
        """Call as a client does."""
        call = base.Call(method, "h", JOB_PATH, "", BODY, TIMEOUT)
        task = asyncio.ensure_future(target._answer_or_forward(call))
        while not task.done():
            await self.clock.advance(harness.seconds(0.05))
        return task.result()

    async def test_unknown_outcome_at_a_peer_is_not_refused(self):
        """A job that a peer may have stored is not said to be refused."""
        refusing = RefusingStore()
        forwarder = ScriptedForwarder(UNKNOWN_AT_PEER)
        reply = await self.call(self.make(refusing, forwarder), "POST")
        self.assertTrue(refusing.refused)
        self.assertTrue(forwarder.calls)
        self.assertEqual(reply.status, 504)

    async def test_refusal_of_the_store_is_refused(self):
        """Without a peer that may have stored it, the job was not run."""
        refusing = RefusingStore()
        reply = await self.call(
            self.make(refusing, ScriptedForwarder(None)), "POST"
        )
        self.assertEqual((reply.status, refusing.refused), (503, 1))
