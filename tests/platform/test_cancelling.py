"""What was cancelled never runs, also if it is stored after the answer."""

import asyncio
import datetime
import random
import types
from unittest import mock

from cardamomcroft.platform import ingress as ingresses
from cardamomcroft.ports import store
from cardamomcroft.relaying import base
from cardamomcroft.scheduling import cancellations
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness

JOB = "a" * 16
BODY = b'{"Spec":"x","Phases":[{"Count":2,"Cpu":500,"MemMb":100,"Gpu":1}]}'
TIMEOUT = harness.seconds(3)
ACCOUNTS = tuple(
    configuration.Account(name, 1, 0, (key,))
    for key, name in (("k1", "a"), ("k2", "b"))
)


class PeerForwarder(base.Forwarder):
    """Forward all calls to one peer."""

    def __init__(self, peer: ingresses.Ingress) -> None:
        """Name the peer."""
        self._peer = peer

    async def forward(self, call: base.Call) -> base.Reply | None:
        """Return the peer's reply."""
        reply = await self._peer.answer(call)
        return None if reply.lacks_store else reply


class CancellingTest(harness.SchedulingTestCase):
    """Two instances with an ingress each; submissions may be stored late."""

    async def asyncSetUp(self):
        """Start the instances."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.ingresses_by_name: dict[str, ingresses.Ingress] = {}
        for name in ("a", "b"):
            self.start_node(name)
        await self.wait_until(self.holder)
        self.peer = self.make_ingress("b", base.NoForwarder())
        self.ingress = self.make_ingress("a", PeerForwarder(self.peer))
        self.key = "k1"

    def make_ingress(
        self, name: str, forwarder: base.Forwarder
    ) -> ingresses.Ingress:
        """Return the ingress of an instance."""
        route = configuration.Route("h", "/p/", harness.make_queue(), False)
        current = configuration.Configuration(1, (route,), ACCOUNTS, 0)
        view = types.SimpleNamespace(
            current=current,
            version=1,
            is_stale=False,
            age=harness.seconds(0),
            require=lambda version: None,
        )
        return ingresses.Ingress(
            self.nodes_by_name[name],
            self.store.client(name),
            view,
            self.clock,
            self.make_log(name),
            forwarder,
            random.Random(1),
            lambda: None,
        )

    async def call(
        self,
        method: str,
        job_id: str = JOB,
        timeout: datetime.timedelta = TIMEOUT,
    ) -> base.Reply:
        """Call the first instance as a client does."""
        call = base.Call(method, "h", f"/p/{job_id}", self.key, BODY, timeout)
        task = asyncio.ensure_future(self.ingress._answer_or_forward(call))
        await self.wait_until(task.done)
        return task.result()

    def started_jobs(self) -> set[str]:
        """Return the ids of the jobs of which a task was started."""
        tasks = [interval.task for interval in self.fleet.intervals]
        tasks += [task for task, _ in self.fleet.running()]
        return {task.split(".")[0] for task in tasks}

    async def submit_late(self) -> None:
        """Submit the job; its record is stored 5.5 s later."""
        self.store.faults.late_keys = {ledgers.Kind.SUBMISSION.key(JOB)}
        reply = await self.call("POST")
        self.assertEqual(reply.status, 504)
        self.assertTrue(self.store.injected["late"])
        self.store.faults.late_keys = set()

    async def test_submission_stored_after_its_cancelling_does_not_run(self):
        """The cancelling was answered while the write was in flight."""
        await self.submit_late()
        self.assertEqual((await self.call("DELETE")).status, 410)
        self.assertEqual((await self.call("GET")).status, 410)
        await self.pass_time(8)
        self.assertEqual(self.state(JOB), "cancelled")
        self.assertEqual(self.started_jobs(), set())
        reply = await self.call("GET")
        self.assertEqual(reply.body, b'{"State":"cancelled"}')

    async def test_cancelling_outlasts_its_instance_and_the_scheduler(self):
        """It is in the store before it is answered."""
        await self.submit_late()
        self.assertEqual((await self.call("DELETE")).status, 410)
        for name in ("a", "b"):
            self.kill(name)
        self.start_node("c")
        await self.wait_until(self.holder)
        await self.pass_time(8)
        self.assertEqual(self.state(JOB), "cancelled")
        self.assertEqual(self.started_jobs(), set())

    async def test_cancelling_through_a_peer_is_recorded(self):
        """An instance that lacks the store has a peer record it."""
        await self.submit_late()
        self.store.faults.refused_clients = {"a"}
        await self.pass_time(1)
        self.assertEqual((await self.call("DELETE")).status, 410)
        await self.pass_time(8)
        self.assertEqual(self.state(JOB), "cancelled")
        self.assertEqual(self.started_jobs(), set())

    async def test_cancelling_whose_append_alone_fails_is_recorded(self):
        """The store serves reads to an instance, and no appends."""
        await self.submit_late()
        self.store.faults.appends_left_by_client = {"a": 0}
        self.assertEqual((await self.call("DELETE")).status, 410)
        await self.pass_time(8)
        self.assertEqual(self.state(JOB), "cancelled")
        self.assertEqual(self.started_jobs(), set())

    async def test_cancelling_that_nobody_recorded_is_not_confirmed(self):
        """Neither 200 nor 410 is true without a record."""
        await self.submit_late()
        self.store.faults.appends_left_by_client = {"a": 0, "b": 0}
        self.assertEqual((await self.call("DELETE")).status, 504)

    async def test_submission_again_after_its_cancelling_does_not_run(self):
        """It remains one job: stored, shown as cancelled, never started."""
        self.assertEqual((await self.call("DELETE")).status, 410)
        self.assertEqual((await self.call("POST")).status, 200)
        await self.pass_time(3)
        reply = await self.call("GET")
        self.assertEqual(reply.body, b'{"State":"cancelled"}')
        self.assertEqual((await self.call("DELETE")).status, 200)
        self.assertEqual(self.started_jobs(), set())

    async def test_cancelled_id_is_not_told_to_come_back(self):
        """A long queue is no reason: nothing of it is to begin."""
        self.assertEqual((await self.call("DELETE")).status, 410)
        node = self.nodes_by_name["a"]
        with mock.patch.object(
            node.replica, "expected_wait", lambda queue: harness.seconds(900)
        ):
            self.assertEqual((await self.call("POST", "b" * 16)).status, 503)
            await self.pass_time(1)
            self.assertEqual((await self.call("POST")).status, 200)

    @mock.patch.object(cancellations, "MAX_UNMATCHED_PER_ACCOUNT", 3)
    async def test_invented_ids_are_refused_beyond_the_bound(self):
        """One account's ids fill neither the store nor others' room."""
        for number in range(3):
            reply = await self.call("DELETE", f"{number:016x}")
            self.assertEqual(reply.status, 410)
        await self.pass_time(1)
        appends = len(self.store.records_by_stream[store.Stream.JOBS])
        reply = await self.call("DELETE", f"{3:016x}")
        self.assertEqual(reply.status, 503)
        self.assertEqual(reply.retry_after_s, ingresses.UNMATCHED_RETRY_S)
        keys = [
            record.key
            for record in self.store.records_by_stream[store.Stream.JOBS]
        ]
        self.assertNotIn(
            ledgers.Kind.CANCELLATION.key(f"{3:016x}"), keys[appends:]
        )
        # Not another account's, nor a job that exists.
        self.assertEqual((await self.call("POST", "c" * 16)).status, 200)
        self.assertEqual((await self.call("DELETE", "c" * 16)).status, 200)
        self.key = "k2"
        reply = await self.call("DELETE", f"{3:016x}")
        self.assertEqual(reply.status, 410)

    async def test_record_names_the_account_and_the_time(self):
        """Successors drop it in time, and count it for its account."""
        await self.call("DELETE")
        await self.pass_time(1)
        ledger = self.nodes_by_name["b"].replica.ledger
        self.assertEqual(ledger.unmatched.get(JOB).account, ACCOUNTS[0].name)
        self.assertIsInstance(ledger.unmatched.get(JOB), codec.Cancellation)
        age_s = self.clock.now().timestamp() - (
            ledger.unmatched.get(JOB).requested_at
        )
        self.assertLess(age_s, 5)
