"""Replies of the ingress to submissions that the forecast refuses."""

import types
import unittest
from unittest import mock

from cardamomcroft.platform import ingress as ingresses
from cardamomcroft.platform import submissions
from cardamomcroft.ports import store
from cardamomcroft.relaying import base as relaying
from cardamomcroft.runtimes import learned
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import replica as replicas
from cardamomcroft.sharing import refusals
from tests.platform import test_ingress
from tests.scheduling import harness

# The test's route is public, so its callers have no account.
QUEUE = test_ingress.ROUTE.queue.name
OWN_ENTRY = refusals.entry_name(QUEUE, "")
JOB_ID = "a" * 16


class CountingStore:
    """Accept all appends and count them."""

    def __init__(self) -> None:
        """Start without a call."""
        self.entries: list[store.Entry] = []

    async def append(self, stream, entries, timeout, *options):
        """Accept the entries."""
        self.entries += entries
        return store.Appended(store.AppendStatus.APPENDED, len(self.entries))


class RefusedCallTest(test_ingress.IngressTestCase):
    """The claim's record tells the account to wait for 60 s."""

    def setUp(self):
        """Collect events, and use the waits of a real replica."""
        super().setUp()
        self.logged: list[tuple[str, dict]] = []
        emit = events.Events.emit

        def collect(log, event, **fields):
            self.logged.append((event, fields))
            emit(log, event, **fields)

        patch = mock.patch.object(events.Events, "emit", collect)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = CountingStore()
        self.real = replicas.Replica(self.store, self.clock, None)
        self.real.ledger = self.replica.ledger
        self.replica.expectation = self.real.expectation
        self.replica.expected_wait = self.real.expected_wait
        self.waits = {OWN_ENTRY: 60_000}
        self.claim()

    def claim(self) -> None:
        """Read a renewal of the holder's claim now."""
        ledger = self.replica.ledger
        ledger.claim = codec.Claim("holder", 0, 1, self.waits)
        ledger.holder_seen_at = self.clock.monotonic()

    def make_ahead(self, plans_ahead: bool = True) -> ingresses.Ingress:
        """Return an ingress beside a scheduler that plans ahead."""
        target = self.make(self.store, relaying.NoForwarder())
        target._plans_ahead = plans_ahead
        return target

    def refusals(self) -> list[dict]:
        """Return the fields of the refusals that were logged."""
        return [
            fields
            for event, fields in self.logged
            if event == "request_refused"
        ]

    async def test_refused_job_is_not_appended(self):
        """A job that was refused must never run."""
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, self.store.entries), (503, []))
        self.assertGreater(reply.retry_after_s, 0)
        self.assertIn(b"expected wait of 60 s is too long", reply.body)
        self.assertFalse(reply.lacks_store)

    async def test_refusal_names_account_forecast_and_age(self):
        """Operators must see whose wait it was and how old it was."""
        target = self.make_ahead()
        await self.clock.advance(harness.seconds(1.5))
        await self.call(target, "POST")
        (fields,) = self.refusals()
        self.assertEqual(fields["account"], "")
        self.assertEqual(fields["forecast_s"], 60.0)
        self.assertEqual(fields["forecast_age_s"], 1.5)
        counter = target._log.metrics.refusals.labels(QUEUE)
        self.assertEqual(counter._value.get(), 1)

    async def test_stale_forecast_refuses_nothing(self):
        """Its holder may be gone, and the wait with it."""
        await self.clock.advance(
            replicas.MAX_FORECAST_AGE + harness.seconds(0.1)
        )
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, len(self.store.entries)), (200, 1))

    async def test_learned_times_decide_where_they_are_known(self):
        """Declared times would refuse a job that ends in time."""
        times = learned.LearnedRunTimes()
        self.run_times = types.SimpleNamespace(times=times)
        job = submissions.decode(
            JOB_ID,
            test_ingress.ROUTE.queue,
            "",
            test_ingress.BODY,
            self.clock.now(),
        )
        for _ in range(40):
            times.observe(job, job.steps[0], harness.seconds(60))
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, len(self.store.entries)), (200, 1))

    async def test_wait_of_another_account_refuses_nothing(self):
        """A flood of one account must not refuse the jobs of others."""
        self.waits = {refusals.entry_name(QUEUE, "flood"): 60_000}
        self.claim()
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, len(self.store.entries)), (200, 1))

    def accept(self) -> None:
        """Add the job to the ledger."""
        ledger = self.replica.ledger
        job = submissions.decode(
            JOB_ID,
            test_ingress.ROUTE.queue,
            "",
            test_ingress.BODY,
            self.clock.now(),
        )
        key = ledgers.Kind.SUBMISSION.key(JOB_ID)
        record = store.Record(ledger.end_offset, key, codec.encode_job(job))
        page = store.Page((record,), ledger.end_offset + 1)
        ledger.apply(page, self.clock.monotonic())

    async def test_accepted_job_is_never_refused(self):
        """Its caller would give up a job that runs."""
        refresh = self.replica.refresh

        async def read_own_job(timeout):
            self.accept()
            return await refresh(timeout)

        with mock.patch.object(self.replica, "refresh", read_own_job):
            reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, self.refusals()), (200, []))

    async def test_nothing_is_refused_by_a_replica_that_may_lack_it(self):
        """The job may have been accepted; storing it again is harmless."""
        self.replica.failing_refresh_delay = harness.seconds(0.6)
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual((reply.status, len(self.store.entries)), (200, 1))
        self.assertEqual(self.refusals(), [])

    async def test_cancelled_job_is_not_told_to_come_back(self):
        """A long queue is no reason: nothing of it is to begin."""
        self.replica.ledger.cancelled_ids.add(JOB_ID)
        reply = await self.call(self.make_ahead(), "POST")
        self.assertEqual(reply.status, 200)

    async def test_replies_stay_where_the_scheduler_does_not_plan_ahead(self):
        """Deployments with quick stops are served as before."""
        target = self.make_ahead(plans_ahead=False)
        reply = await self.call(target, "POST")
        self.assertEqual((reply.status, len(self.store.entries)), (200, 1))
        self.waits = {QUEUE: 60_000}
        self.claim()
        replies = [await self.call(target, "POST") for _ in range(20)]
        self.assertEqual({reply.status for reply in replies}, {503})
        self.assertEqual(len({reply.retry_after_s for reply in replies}), 1)
        for fields in self.refusals():
            self.assertEqual(
                set(fields),
                {
                    "method",
                    "path",
                    "status",
                    "reason",
                    "config_version",
                    "retry_after_s",
                },
            )
        samples = target._log.metrics.refusals.collect()[0].samples
        self.assertEqual(samples, [])


if __name__ == "__main__":
    unittest.main()
