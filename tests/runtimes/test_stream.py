"""Learned run times outlast the scheduler that has learned them."""

import asyncio
import dataclasses
import datetime

from cardamomcroft.ports import store
from cardamomcroft.runtimes import codec
from cardamomcroft.runtimes import kinds
from cardamomcroft.runtimes import learned
from cardamomcroft.runtimes import stream
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from tests.scheduling import harness
from tests.scheduling import round_harness

SECOND = datetime.timedelta(seconds=1)
LEARNING = dataclasses.replace(
    harness.PARAMETERS, plans_ahead=True, learns_run_times=True
)


class RecordedStore(store.Store):
    """Record the streams of all calls."""

    def __init__(self, target: store.Store, calls: list) -> None:
        """Pass the calls on to ``target``."""
        self._target = target
        self._calls = calls

    async def append(self, stream, entries, *arguments, **keywords):
        """Record and pass on an append."""
        self._calls.append(("append", stream))
        return await self._target.append(
            stream, entries, *arguments, **keywords
        )

    async def read(self, stream, *arguments):
        """Record and pass on a read."""
        self._calls.append(("read", stream))
        return await self._target.read(stream, *arguments)

    async def newest(self, stream, *arguments):
        """Record and pass on a load."""
        self._calls.append(("newest", stream))
        return await self._target.newest(stream, *arguments)


class StreamTestCase(round_harness.RoundTestCase):
    """Nodes that learn; their store calls are recorded."""

    parameters = LEARNING
    duration = harness.seconds(4)

    async def asyncSetUp(self):
        """Start a node and record its calls."""
        self.calls: list[tuple[str, store.Stream]] = []
        await super().asyncSetUp()
        self.step = harness.make_step(width=2)

    def start_node(self, name, *arguments, **keywords):
        """Start a node with a recorded store, and its view's loop."""
        client = self.store.client
        self.store.client = lambda owner: RecordedStore(
            client(owner), self.calls
        )
        node = super().start_node(
            name, *arguments, parameters=self.parameters, **keywords
        )
        self.store.client = client
        if node.run_times is not None:
            task = asyncio.ensure_future(node.run_times.run())
            self.addCleanup(task.cancel)
        return node

    async def run_jobs(self, count: int) -> None:
        """Run jobs of 4 s that declare 2 s."""
        for _ in range(count):
            job_id = self.submit(self.step)
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )

    def records(self) -> list[store.Record]:
        """Return the records of the stream."""
        return self.store.records_by_stream[store.Stream.RUNTIMES]

    def count_calls(self, call: str) -> int:
        """Count the calls for the stream."""
        return self.calls.count((call, store.Stream.RUNTIMES))

    async def succeed(self) -> learned.LearnedRunTimes:
        """Kill the holder; return what its successor knows at first."""
        first = next(iter(self.nodes_by_name))
        self.kill(first)
        self.start_node("b")
        node = self.nodes_by_name["b"]
        await self.wait_until(lambda: node.scheduler is not None)
        await self.pass_time(0.5)
        return node.scheduler.cluster.durations

    def expected_s(self, times: estimates.RunTimes) -> float:
        """Return what a run of the step is expected to take."""
        job = models.Job(
            "0" * 16,
            harness.make_queue(),
            "a",
            "payload",
            (self.step,),
            None,
            self.clock.now(),
        )
        return times.expected(job, self.step) / SECOND


class InactiveTest(StreamTestCase):
    """Deployments that don't plan ahead are served as before."""

    parameters = harness.PARAMETERS

    async def test_nothing_is_learned_stored_or_called(self):
        """No record, no call, no line, and today's estimates."""
        await self.run_jobs(3)
        await self.pass_time(30)
        self.assertIsNone(self.nodes_by_name["a"].run_times)
        self.assertIsNone(self.scheduler.learning)
        durations = self.scheduler.cluster.durations
        self.assertIs(type(durations), estimates.Durations)
        self.assertEqual(self.records(), [])
        self.assertNotIn(store.Stream.RUNTIMES, {s for _, s in self.calls})
        names = {name for name, _ in self.logged}
        self.assertFalse({n for n in names if n.startswith("run_times")})
        self.assertIsNone(durations.is_slow(None, SECOND))
        self.assertEqual(durations.worker_speed("w1"), 1.0)


class RecordTest(StreamTestCase):
    """The holder writes, a successor and other instances read."""

    async def test_holder_stores_what_it_learns(self):
        """At most one append every 5 s, of kinds that changed."""
        began = self.clock.monotonic()
        await self.run_jobs(6)
        await self.pass_time(6)
        self.assertGreater(len(self.records()), 0)
        took = self.clock.monotonic() - began
        appends = self.count_calls("append")
        self.assertLessEqual(appends, took / stream.WRITE_PERIOD + 1)
        await self.pass_time(30)
        self.assertEqual(self.count_calls("append"), appends)
        self.assertGreater(self.count_logged("run_times_learned"), 1)

    async def test_idle_stream_costs_few_calls(self):
        """A read waits for records for 20 s."""
        await self.pass_time(110)
        self.assertLessEqual(self.count_calls("read"), 6)

    async def test_successor_knows_what_was_stored(self):
        """Its first decision follows its predecessor's estimates."""
        await self.run_jobs(6)
        await self.pass_time(6)
        times = await self.succeed()
        self.assertGreater(len(times.known.by_key), 0)
        self.assertAlmostEqual(self.expected_s(times), 4, delta=1)

    async def test_slow_store_does_not_delay_a_successor(self):
        """It decides without the records, and reads them later."""
        await self.run_jobs(6)
        await self.pass_time(6)
        loaded = stream.View.load

        async def load_slowly(view):
            await self.clock.sleep(harness.seconds(8))
            await loaded(view)

        stream.View.load = load_slowly
        self.addCleanup(setattr, stream.View, "load", loaded)
        times = await self.succeed()
        self.assertEqual(len(times.known.by_key), 0)
        self.assertAlmostEqual(self.expected_s(times), 2, delta=0.1)
        await self.pass_time(20)
        self.assertAlmostEqual(self.expected_s(times), 4, delta=1)

    async def test_other_instances_read_for_their_refusals(self):
        """They refused by declared times, which are wrong by half."""
        self.start_node("b")
        await self.run_jobs(6)
        await self.pass_time(12)
        view = self.nodes_by_name["b"].run_times
        self.assertGreater(len(view.times.known.by_key), 0)
        self.assertAlmostEqual(self.expected_s(view.times), 4, delta=1)

    async def test_late_and_repeated_writes_do_no_harm(self):
        """A lost answer is repeated; a former holder writes once more."""
        self.store.faults.late_keys = {codec.record_key((kinds.QUEUE, "q1"))}
        await self.run_jobs(3)
        await self.pass_time(6)
        self.assertGreater(self.store.injected["late"], 0)
        self.store.faults.late_keys = set()
        await self.run_jobs(3)
        await self.pass_time(30)
        for record in list(self.records())[:4]:
            self.store.put(store.Stream.RUNTIMES, record.key, record.value)
        times = await self.succeed()
        self.assertAlmostEqual(self.expected_s(times), 4, delta=1.2)

    async def test_damaged_records_count_as_absent(self):
        """One is logged; the others are used."""
        await self.run_jobs(6)
        await self.pass_time(6)
        self.store.put(store.Stream.RUNTIMES, "k/00", b"[1,[]")
        self.store.put(store.Stream.RUNTIMES, "k/01", b'[9,["queue","q"]]')
        times = await self.succeed()
        self.assertGreaterEqual(self.count_logged("run_times_invalid"), 2)
        self.assertAlmostEqual(self.expected_s(times), 4, delta=1)

    async def test_store_without_the_stream_is_asked_ever_less(self):
        """The scheduler decides with what it has."""

        async def refuse(self, *arguments, **keywords):
            return store.Appended(store.AppendStatus.NOT_RUN)

        append = RecordedStore.append

        async def select(recorded, stream_, entries, *rest, **keywords):
            if stream_ is not store.Stream.RUNTIMES:
                return await append(
                    recorded, stream_, entries, *rest, **keywords
                )
            recorded._calls.append(("append", stream_))
            return await refuse(recorded)

        RecordedStore.append = select
        self.addCleanup(setattr, RecordedStore, "append", append)
        await self.run_jobs(6)
        await self.pass_time(120)
        self.assertLessEqual(self.count_calls("append"), 8)
        self.assertEqual(self.records(), [])
        times = self.scheduler.cluster.durations
        self.assertAlmostEqual(self.expected_s(times), 4, delta=1)

    async def test_evicted_kinds_are_deleted(self):
        """The stream holds no more kinds than the scheduler."""
        await self.run_jobs(2)
        await self.pass_time(6)
        times = self.scheduler.cluster.durations
        key = (kinds.QUEUE, "q1")
        times.known = times.known.replace(key, None)
        await self.pass_time(6)
        newest = {r.key: r.value for r in self.records()}
        self.assertIsNone(newest[codec.record_key(key)])

    async def test_stopped_run_is_observed(self):
        """A run that is cancelled at work is a lower bound."""
        job_id = self.submit(self.step)
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        await self.pass_time(2)
        self.cancel(job_id)
        await self.pass_time(2)
        times = self.scheduler.cluster.durations
        (kind,) = [
            kind
            for key, kind in times.known.by_key.items()
            if key[0] == kinds.QUEUE
        ]
        (known,) = kind.by_account.values()
        self.assertEqual(known.done, ())
        self.assertGreater(sum(w for _, w in known.bounds), 0.9)

    async def test_run_of_a_lost_worker_is_observed(self):
        """It took longer than until the worker's last answer."""
        self.submit(self.step)
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        await self.pass_time(2)
        for worker in self.fleet.workers_by_id.values():
            worker.is_dead = True
        await self.wait_until(lambda: self.count_logged("run_lost"))
        times = self.scheduler.cluster.durations
        kind = times.known.by_key[kinds.QUEUE, "q1"]
        (known,) = kind.by_account.values()
        self.assertGreater(sum(w for _, w in known.bounds), 0.4)

    async def test_error_in_an_estimate_holds_nothing_up(self):
        """Runs end and are stopped though nothing can be learned."""

        def fail(*arguments):
            raise ZeroDivisionError

        times = self.scheduler.cluster.durations
        times.observe_run = times.observe_stopped = fail
        await self.run_jobs(1)
        job_id = self.submit(self.step)
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        self.cancel(job_id)
        await self.wait_until(lambda: not self.fleet.running(), 2)
        self.assertGreaterEqual(self.count_logged("run_time_not_learned"), 2)
