"""Test the replies of the ingress when calls of the store or peers fail."""

import asyncio
import datetime
import os
import random
import types
import unittest
from unittest import mock

from cardamomcroft.platform import ingress
from cardamomcroft.platform import submissions
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.relaying import base
from cardamomcroft.relaying import forwarder as forwarders
from cardamomcroft.scheduling import codec
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
        self.timeouts: list[datetime.timedelta] = []

    async def append(self, stream, entries, timeout, *options):
        """Refuse: nothing is appended."""
        self.refused += 1
        self.timeouts.append(timeout)
        return NOT_RUN


class SlowLink:
    """Transfer bodies too slowly for any client."""

    def __init__(self, clock: clocks.FakeClock) -> None:
        """Start without a call."""
        self.clock = clock
        self.begun = 0

    async def append(self, stream, entries, timeout, *options):
        """Take the additional time that a large append gets."""
        self.begun += 1
        await self.clock.sleep(timeout + TIMEOUT)
        return store.Appended(store.AppendStatus.MAY_HAVE_RUN)


class ScriptedForwarder(base.Forwarder):
    """Return one reply to all calls and record them."""

    def __init__(
        self, clock: clocks.FakeClock, reply: base.Reply | None
    ) -> None:
        """Script the reply."""
        self.clock = clock
        self.reply = reply
        self.delay = datetime.timedelta()  # before each reply
        self.calls: list[base.Call] = []

    async def forward(self, call):
        """Return the scripted reply."""
        self.calls.append(call)
        await self.clock.sleep(self.delay)
        return self.reply


class FakeReplica:
    """A loaded replica without jobs."""

    def __init__(self, clock: clocks.FakeClock) -> None:
        """Refresh at once, or fail after a delay if one is set."""
        self._clock = clock
        self.ledger = ledger.Ledger()
        self.is_loaded = True
        self.is_reachable = True
        self.is_store_silent = False
        self.age = harness.seconds(0)
        self.failing_refresh_delay = None
        self.wait = harness.seconds(0)

    def expected_wait(self, queue):
        """Return the forecast."""
        return self.wait

    async def refresh(self, timeout):
        """Return whether the copy is current."""
        if self.failing_refresh_delay is None:
            return True
        await self._clock.sleep(self.failing_refresh_delay)
        return False


class IngressTestCase(unittest.IsolatedAsyncioTestCase):
    """Call an ingress beside fakes of the store and the peers."""

    def setUp(self):
        """Open a sink for log lines."""
        self.sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, self.sink)
        self.clock = clocks.FakeClock()
        self.replica = FakeReplica(self.clock)
        self.memory_for_jobs: int | None = None
        self.run_times = None

    def make(self, target, forwarder: base.Forwarder) -> ingress.Ingress:
        """Return an ingress with a public route."""
        current = configuration.Configuration(1, (ROUTE,), (), 0)
        config = types.SimpleNamespace(
            current=current,
            version=1,
            is_stale=False,
            age=harness.seconds(0),
            require=lambda version: None,
        )
        log = events.Events(self.clock, "me", metrics.Metrics(), self.sink)
        node = types.SimpleNamespace(
            replica=self.replica, run_times=self.run_times
        )
        return ingress.Ingress(
            node,
            target,
            config,
            self.clock,
            log,
            forwarder,
            random.Random(1),
            lambda: self.memory_for_jobs,
        )

    async def call(
        self,
        target: ingress.Ingress,
        method: str,
        timeout: datetime.timedelta = TIMEOUT,
        body: bytes = BODY,
    ) -> base.Reply:
        """Call as a client does."""
        call = base.Call(method, "h", JOB_PATH, "", body, timeout)
        task = asyncio.ensure_future(target._answer_or_forward(call))
        while not task.done():
            await self.clock.advance(harness.seconds(0.05))
        return task.result()


class ReadinessTest(IngressTestCase):
    """The readiness probe promises that calls are served."""

    async def test_not_ready_before_the_copy_of_jobs_is_current(self):
        """A copy just loaded is of unknown age, and counts as stale."""
        target = self.make(RefusingStore(), base.NoForwarder())
        self.replica.age = None
        self.assertFalse(target.is_ready)
        self.replica.age = harness.seconds(0)
        self.assertTrue(target.is_ready)


class UnansweredCallsTest(IngressTestCase):
    """The store or the peers fail."""

    async def test_unknown_outcome_at_a_peer_is_not_refused(self):
        """A job that a peer may have stored is not said to be refused."""
        refusing = RefusingStore()
        forwarder = ScriptedForwarder(self.clock, UNKNOWN_AT_PEER)
        reply = await self.call(self.make(refusing, forwarder), "POST")
        self.assertTrue(refusing.refused)
        self.assertTrue(forwarder.calls)
        self.assertEqual(reply.status, 504)

    async def test_refusal_of_the_store_is_refused(self):
        """Without a peer that may have stored it, the job was not run."""
        refusing = RefusingStore()
        reply = await self.call(
            self.make(refusing, ScriptedForwarder(self.clock, None)), "POST"
        )
        self.assertEqual((reply.status, refusing.refused), (503, 1))

    async def test_forwarded_query_gets_the_time_left(self):
        """The client's time includes a refresh that failed before."""
        self.replica.failing_refresh_delay = harness.seconds(0.6)
        forwarder = ScriptedForwarder(self.clock, None)
        reply = await self.call(self.make(RefusingStore(), forwarder), "GET")
        self.assertEqual(reply.status, 503)
        timeouts = [call.timeout for call in forwarder.calls]
        self.assertEqual(timeouts, [TIMEOUT - harness.seconds(0.6)])

    async def test_nothing_is_sent_to_a_silent_store(self):
        """A job that can't be stored now is refused, not left unknown."""
        self.replica.is_reachable = False
        self.replica.is_store_silent = True
        self.replica.age = harness.seconds(4)
        link = SlowLink(self.clock)
        target = self.make(link, ScriptedForwarder(self.clock, None))
        reply = await self.call(target, "POST")
        self.assertEqual((reply.status, link.begun), (503, 0))
        self.assertGreaterEqual(reply.retry_after_s, 3)

    async def test_repeated_submission_is_confirmed_in_a_silence(self):
        """An answer that needs no append is given while the store is away."""
        self.replica.is_reachable = False
        self.replica.is_store_silent = True
        self.replica.ledger = mock.Mock(spec_set=ledger.Ledger)
        self.replica.ledger.state.return_value = "queued"
        link = SlowLink(self.clock)
        target = self.make(link, ScriptedForwarder(self.clock, None))
        reply = await self.call(target, "POST")
        self.assertEqual((reply.status, link.begun), (200, 0))

    async def test_own_append_gets_the_time_left_by_the_peers(self):
        """An append after silent peers ends before the client gives up."""
        self.replica.is_reachable = False
        forwarder = ScriptedForwarder(self.clock, None)
        forwarder.delay = harness.seconds(2.4)
        refusing = RefusingStore()
        await self.call(self.make(refusing, forwarder), "POST")
        left = TIMEOUT - forwarder.delay - ingress.ANSWER_MARGIN
        self.assertEqual(refusing.timeouts, [left])

    async def test_cancellation_gets_the_time_left_by_a_refresh(self):
        """A job that may exist costs a refresh before its cancellation."""
        self.replica.failing_refresh_delay = harness.seconds(0.6)
        forwarder = ScriptedForwarder(self.clock, UNKNOWN_AT_PEER)
        await self.call(self.make(RefusingStore(), forwarder), "DELETE")
        left = TIMEOUT - harness.seconds(0.6) - ingress.ANSWER_MARGIN
        self.assertEqual(forwarder.calls[0].timeout, left)

    async def test_slow_transfer_leaves_time_for_the_reply(self):
        """The client learns in time that the outcome is unknown."""
        link = SlowLink(self.clock)
        forwarder = ScriptedForwarder(self.clock, None)
        began_at = self.clock.monotonic()
        reply = await self.call(self.make(link, forwarder), "POST")
        self.assertEqual((reply.status, link.begun), (504, 1))
        self.assertLess(self.clock.monotonic() - began_at, TIMEOUT)

    async def test_hasty_query_is_forwarded_after_a_refresh(self):
        """A peer may answer at once although little time is left."""
        self.replica.failing_refresh_delay = harness.seconds(0.6)
        forwarder = ScriptedForwarder(self.clock, None)
        target = self.make(RefusingStore(), forwarder)
        hasty = forwarders.CALL_TIMEOUT * 1.5
        await self.call(target, "GET", hasty)
        self.assertGreaterEqual(forwarder.calls[0].timeout, hasty)


class LateTest(IngressTestCase):
    """A job declares 2 s and waits 25 s; its kind takes 8 s."""

    BODY = b'{"Spec":"x","Phases":[{"Count":1,"Cpu":1,"EstimateMs":2000}]}'

    async def submit(self) -> base.Reply:
        """Submit the job to a store that refuses it."""
        self.replica.wait = harness.seconds(25)
        target = self.make(RefusingStore(), base.NoForwarder())
        return await self.call(target, "POST", body=self.BODY)

    async def test_declared_times_decide_without_learned_ones(self):
        """The final deadline is three times 7 s, the slack 19 s."""
        reply = await self.submit()
        self.assertIn(b"wait of 25 s is too long", reply.body)
        self.assertEqual(reply.retry_after_s, 7)


class MemoryTest(IngressTestCase):
    """The smallest instance has memory for the jobs of a ledger."""

    WIDE = b'{"Spec":"x","Phases":[{"Count":400000,"Cpu":1}]}'

    def setUp(self):
        """Accept one job of 400,000 tasks."""
        super().setUp()
        self.target = self.make(RefusingStore(), base.NoForwarder())
        self.accept("b" * 16)
        one = self.replica.ledger.footprint.total()
        self.memory_for_jobs = int(one * 1.5)

    def accept(self, job_id: str) -> None:
        """Add the wide job to the ledger under an id."""
        job = submissions.decode(
            job_id, ROUTE.queue, "a", self.WIDE, self.clock.now()
        )
        offset = self.replica.ledger.end_offset
        key = ledger.Kind.SUBMISSION.key(job_id)
        record = store.Record(offset, key, codec.encode_job(job))
        page = store.Page((record,), offset + 1)
        self.replica.ledger.apply(page, self.clock.monotonic())

    async def test_job_beyond_the_memory_left_is_refused_for_now(self):
        """It would fill the memory of a scheduler beside the others."""
        reply = await self.call(self.target, "POST", body=self.WIDE)
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.retry_after_s, ingress.MEMORY_RETRY_S)
        self.assertIn(b"of other jobs", reply.body)
        # A small one still fits; the store refuses it for its own reason.
        reply = await self.call(self.target, "POST")
        self.assertIn(b"store unavailable", reply.body)

    async def test_job_beyond_all_memory_is_refused_for_good(self):
        """No time to return would be true."""
        self.memory_for_jobs = 100_000
        reply = await self.call(self.target, "POST", body=self.WIDE)
        self.assertEqual((reply.status, reply.retry_after_s), (413, 0))
        self.assertIn(b"0.1 MB that the smallest instance", reply.body)

    async def test_accepted_job_is_confirmed_beyond_the_memory(self):
        """A repeated submission is not refused, as the job may have run."""
        refresh = self.replica.refresh

        async def read_own_job(timeout):
            self.accept("a" * 16)
            return await refresh(timeout)

        self.memory_for_jobs = 100_000
        with mock.patch.object(self.replica, "refresh", read_own_job):
            reply = await self.call(self.target, "POST", body=self.WIDE)
        self.assertEqual(reply.status, 200)
