"""The journal's records reach the store whatever their total size."""

import asyncio
import os
import unittest
from unittest import mock

from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import candidate
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import journal as journals
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import metrics
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness

TEN_MBIT_BYTES_PER_S = 1_250_000
CLAIM = codec.Claim("a 1", 0, 1)
STEP = harness.seconds(0.01)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    """A journal appends to the fake store."""

    async def asyncSetUp(self):
        """Start the journal after its claim."""
        self.clock = clocks.FakeClock()
        self.service = standin_store.StoreService(self.clock)
        self.service.append(
            store.Stream.JOBS,
            [store.Entry(ledgers.CLAIM_KEY, codec.encode_claim(CLAIM))],
            0,
            store.Writer(journals.WRITER, CLAIM.epoch, 0),
        )
        sink = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, sink)
        log = events.Events(self.clock, "a", metrics.Metrics(), sink)
        client = self.service.client("a")
        self.journal = journals.Journal(client, self.clock, CLAIM, log)
        self.task = asyncio.ensure_future(self.journal.run())
        self.ledger = ledgers.Ledger()
        self.max_silence = harness.seconds(0)

    async def asyncTearDown(self):
        """Stop the journal."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def records(self) -> list[store.Record]:
        """Return the stored records without claims."""
        return [
            record
            for record in self.service.records_by_stream[store.Stream.JOBS]
            if record.key != ledgers.CLAIM_KEY
        ]

    def claims(self) -> list[codec.Claim]:
        """Return the stored claims."""
        return [
            codec.decode_claim(record.value)
            for record in self.service.records_by_stream[store.Stream.JOBS]
            if record.key == ledgers.CLAIM_KEY
        ]

    def stage(self, kind: ledgers.Kind, count: int, size: int) -> list[str]:
        """Stage records of a size; 0 deletes. Return their keys."""
        keys = [kind.key(f"{number:016x}") for number in range(count)]
        for key in keys:
            self.journal.stage(key, b"x" * size or None)
        return keys

    def follow(self) -> None:
        """Read what is new; measure how long the holder was silent."""
        now = self.clock.monotonic()
        records = self.service.records_by_stream[store.Stream.JOBS]
        new = tuple(records[self.ledger.end_offset :])
        self.ledger.apply(store.Page(new, len(records)), now)
        silence = now - self.ledger.holder_seen_at
        self.max_silence = max(self.max_silence, silence)

    async def wait_for(self, commit: asyncio.Future, limit_s: float) -> bool:
        """Advance the clock until a commit returns; return its result."""
        until = self.clock.monotonic() + harness.seconds(limit_s)
        while not commit.done():
            self.assertLess(self.clock.monotonic(), until, "no commit")
            await self.clock.advance(STEP)
            self.follow()
        return commit.result()

    async def test_more_than_one_call_takes_becomes_durable(self):
        """Records beyond the store's limit of a call are all stored."""
        keys = self.stage(ledgers.Kind.PROGRESS, 100, 5_000)
        keys += self.stage(ledgers.Kind.ASSIGNMENT, 500, 5_000)
        commit = asyncio.ensure_future(self.journal.commit())
        self.assertTrue(await self.wait_for(commit, 5))
        self.assertEqual([record.key for record in self.records()], keys)
        for record in self.records():
            self.assertEqual(len(record.value), 5_000)

    async def test_largest_record_becomes_durable(self):
        """A record of the store's limit goes through beside others."""
        size = standin_store.MAX_RECORD_BYTES - 19  # of its key
        keys = self.stage(ledgers.Kind.PROGRESS, 3, 9)
        keys += self.stage(ledgers.Kind.ASSIGNMENT, 3, size)
        commit = asyncio.ensure_future(self.journal.commit())
        self.assertTrue(await self.wait_for(commit, 2))
        self.assertEqual([record.key for record in self.records()], keys)

    async def test_slow_link_takes_no_commit_and_no_role_away(self):
        """On a link of 10 Mbit/s the holder is never silent for long.

        Deletions of submissions alone show no life of the holder.
        """
        self.service.faults.upload_bytes_per_s = TEN_MBIT_BYTES_PER_S
        keys = self.stage(ledgers.Kind.SUBMISSION, 80_000, 0)
        keys += self.stage(ledgers.Kind.ASSIGNMENT, 700, 3_000)
        commit = asyncio.ensure_future(self.journal.commit())
        size = standin_store.request_bytes(
            store.Entry(key, value)
            for key, value in self.journal._staged.items()
        )
        self.assertGreater(size, 3_000_000)
        self.assertTrue(await self.wait_for(commit, 6))
        self.assertEqual([record.key for record in self.records()], keys)
        self.assertLess(self.max_silence, candidate.HOLDER_TIMEOUT / 2)

    async def test_commit_waits_for_all_that_was_staged(self):
        """Neither call returns before the last record staged before it."""
        self.service.faults.upload_bytes_per_s = TEN_MBIT_BYTES_PER_S
        first_keys = self.stage(ledgers.Kind.ASSIGNMENT, 500, 1_000)
        first = asyncio.ensure_future(self.journal.commit())
        await self.clock.advance(harness.seconds(0.2))
        self.assertFalse(first.done())
        second_keys = self.stage(ledgers.Kind.ASSIGNMENT, 600, 999)
        second = asyncio.ensure_future(self.journal.commit())
        for commit, keys, size in (
            (first, first_keys, 1_000),
            (second, second_keys, 999),
        ):
            while not commit.done():
                await self.clock.advance(STEP)
                stored = {
                    record.key
                    for record in self.records()
                    if len(record.value) == size
                }
                is_stored = stored.issuperset(keys)
                self.assertLessEqual(commit.done(), is_stored)
            self.assertTrue(commit.result())

    async def test_confirmation_is_that_of_the_last_append(self):
        """``confirmed_at`` precedes the last record and is no older."""
        self.service.faults.upload_bytes_per_s = TEN_MBIT_BYTES_PER_S
        self.stage(ledgers.Kind.ASSIGNMENT, 1_000, 1_000)
        commit = asyncio.ensure_future(self.journal.commit())
        await self.wait_for(commit, 5)
        age = self.clock.monotonic() - self.journal.confirmed_at
        self.assertLess(age, harness.seconds(0.2))
        self.assertGreater(age, harness.seconds(0))

    async def test_lost_answers_repeat_no_record(self):
        """Appends whose answers are lost are stored once."""
        keys = self.stage(ledgers.Kind.ASSIGNMENT, 400, 1_000)
        self.service.faults.lose_answers = 3
        commit = asyncio.ensure_future(self.journal.commit())
        self.assertTrue(await self.wait_for(commit, 6))
        self.assertEqual([record.key for record in self.records()], keys)
        self.assertEqual(self.service.injected["answer_lost"], 3)

    async def test_fenced_between_two_appends(self):
        """A superseded holder appends no more and commits nothing."""
        self.service.faults.upload_bytes_per_s = TEN_MBIT_BYTES_PER_S
        keys = self.stage(ledgers.Kind.ASSIGNMENT, 400, 1_000)
        commit = asyncio.ensure_future(self.journal.commit())
        await self.clock.advance(harness.seconds(0.2))
        self.service.append(
            store.Stream.JOBS, [], None, store.Writer(journals.WRITER, 9, 0)
        )
        stored = len(self.records())
        self.assertGreater(stored, 0)
        self.assertLess(stored, len(keys))
        self.assertFalse(await self.wait_for(commit, 2))
        self.assertEqual(len(self.records()), stored)
        self.assertTrue(self.journal.is_claim_lost)

    async def test_release_follows_all_records(self):
        """No successor may claim before everything staged is durable."""
        keys = self.stage(ledgers.Kind.ASSIGNMENT, 400, 1_000)
        release = asyncio.ensure_future(self.journal.release())
        self.assertTrue(await self.wait_for(release, 2))
        self.assertEqual([record.key for record in self.records()], keys)
        last = self.service.records_by_stream[store.Stream.JOBS][-1]
        self.assertEqual(last.key, ledgers.CLAIM_KEY)
        holders = [claim.holder for claim in self.claims()]
        self.assertEqual(holders[-1], "")
        self.assertEqual(set(holders[:-1]), {CLAIM.holder})

    async def test_record_that_never_fits_holds_no_other_back(self):
        """All others become durable and the claim is renewed."""
        unfit = ledgers.Kind.PROGRESS.key("unfit")
        self.journal.stage(unfit, b"x" * standin_store.MAX_RECORD_BYTES)
        keys = self.stage(ledgers.Kind.PROGRESS, 3, 9)
        keys += self.stage(ledgers.Kind.ASSIGNMENT, 3, 9)
        commit = asyncio.ensure_future(self.journal.commit())
        # Nothing that may depend on the record counts as durable.
        self.assertFalse(await self.wait_for(commit, 2))
        self.assertEqual([record.key for record in self.records()], keys)
        commit = asyncio.ensure_future(self.journal.commit({unfit}))
        self.assertFalse(await self.wait_for(commit, 2))
        commit = asyncio.ensure_future(self.journal.commit(set(keys)))
        self.assertTrue(await self.wait_for(commit, 2))
        for _ in range(500):
            await self.clock.advance(STEP)
            self.follow()
        self.assertFalse(self.journal.is_claim_lost)
        self.assertLess(self.max_silence, candidate.HOLDER_TIMEOUT / 2)
        self.assertNotIn("too_large", self.service.injected)

    async def test_commits_beside_a_record_held_back_append_rarely(self):
        """Callers that try again at once don't fill the store."""
        unfit = ledgers.Kind.PROGRESS.key("unfit")
        self.journal.stage(unfit, b"x" * standin_store.MAX_RECORD_BYTES)
        until = self.clock.monotonic() + harness.seconds(4)
        count = len(self.claims())
        while self.clock.monotonic() < until:
            commit = asyncio.ensure_future(self.journal.commit())
            self.assertFalse(await self.wait_for(commit, 2))
        self.assertLessEqual(len(self.claims()) - count, 11)

    async def test_record_held_back_is_logged_once(self):
        """One event with the key and the size, however often it's staged."""
        with mock.patch.object(
            self.journal._log, "emit", autospec=True
        ) as emit:
            for size in (300_000, 300_001):
                self.journal.stage("p/unfit", b"x" * size)
        emit.assert_called_once_with(
            "record_held_back", key="p/unfit", size=300_008
        )

    async def test_record_that_fits_again_becomes_durable(self):
        """A commit is true only after the newest record is stored."""
        key = ledgers.Kind.PROGRESS.key("unfit")
        self.journal.stage(key, b"1")
        self.journal.stage(key, b"x" * standin_store.MAX_RECORD_BYTES)
        held = asyncio.ensure_future(self.journal.commit({key}))
        await asyncio.sleep(0)
        self.journal.stage(key, b"2")
        self.assertFalse(await self.wait_for(held, 2))
        commit = asyncio.ensure_future(self.journal.commit({key}))
        self.assertTrue(await self.wait_for(commit, 2))
        self.assertEqual(self.records()[-1].value, b"2")

    async def test_earlier_record_of_one_held_back_becomes_durable(self):
        """A record that callers wait for isn't replaced by one held back."""
        key = ledgers.Kind.PROGRESS.key("unfit")
        self.journal.stage(key, b"1")
        commit = asyncio.ensure_future(self.journal.commit({key}))
        await asyncio.sleep(0)
        self.journal.stage(key, b"x" * standin_store.MAX_RECORD_BYTES)
        self.assertTrue(await self.wait_for(commit, 2))
        self.assertEqual([r.value for r in self.records()], [b"1"])

    async def test_release_beside_a_record_held_back(self):
        """A planned stop hands the role over at once."""
        self.journal.stage("p/unfit", b"x" * standin_store.MAX_RECORD_BYTES)
        release = asyncio.ensure_future(self.journal.release())
        self.assertTrue(await self.wait_for(release, 2))
        self.assertEqual(self.claims()[-1].holder, "")


@mock.patch.object(journals, "MAX_APPEND_BYTES", 1)
class CrashBetweenAppendsTest(harness.SchedulingTestCase):
    """The scheduler crashes when a part of its records is durable."""

    duration = harness.seconds(60)

    async def asyncSetUp(self):
        """Fill two workers of one accelerator each; as many tasks wait."""
        await super().asyncSetUp()
        self.add_workers(2, accelerators=1)
        self.start_node("a")
        await self.wait_until(self.holder)
        self.first = self.submit(harness.make_step(width=2))
        await self.wait_until(lambda: len(self.fleet.running()) == 2)
        self.second = self.submit(harness.make_step(width=2))
        await self.pass_time(1)

    async def crash_after(self, appends: int) -> None:
        """End both tasks in an outage; crash amid the next records."""
        self.store.faults.refused_clients.add("a")
        await self.pass_time(0.6)  # a renewal is under way
        ends = sorted(self.fleet.running())
        for task, worker_id in ends:
            self.fleet.workers_by_id[worker_id].end(task, fleet.End.DONE)
            await self.pass_time(0.3)
        staged = len(self.nodes_by_name["a"].scheduler.journal._staged)
        self.assertGreater(staged, appends)
        self.store.faults.appends_left_by_client["a"] = 1 + appends
        self.store.faults.refused_clients.clear()
        await self.wait_until(
            lambda: not self.store.faults.appends_left_by_client["a"], 2
        )
        self.kill("a")
        self.fleet.duration = harness.seconds(1)

    async def check_no_task_is_done_twice(self, appends: int) -> None:
        """Crash; let a successor finish the jobs on a new worker.

        It does not reach the others at first, which know the ends.
        """
        await self.crash_after(appends)
        workers = list(self.fleet.workers_by_id.values())
        for worker in workers:
            worker.is_cut = True
        self.add_workers(1)
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.pass_time(2)
        self.assertGreater(self.fleet.injected["unreachable"], 0)
        for worker in workers:
            worker.is_cut = False
        for job_id in (self.first, self.second):
            await self.wait_until(
                lambda j=job_id: self.state(j) == "completed"
            )
            self.check_run_once(job_id)

    async def test_crash_after_the_first_append(self):
        """An end is durable before its worker's next run."""
        await self.check_no_task_is_done_twice(1)

    async def test_crash_after_the_second_append(self):
        """An end is durable before its worker's next run."""
        await self.check_no_task_is_done_twice(2)

    async def check_ended_job_stays_ended(self, deletions: int) -> None:
        """Crash amid the deletion of a job; let a new instance take over."""
        for task, worker_id in self.fleet.running():
            self.fleet.workers_by_id[worker_id].end(task, fleet.End.DONE)
        await self.wait_until(lambda: self.state(self.first) == "completed")
        # Each of the three appends takes longer than a step of the clock.
        self.store.faults.delay = harness.STEP * 1.2
        records = self.store.records_by_stream[store.Stream.JOBS]

        def deleted() -> list[str]:
            return [r.key for r in records if r.value is None]

        await self.wait_until(lambda: len(deleted()) == deletions, 60)
        self.store.faults.refused_clients.add("a")
        self.kill("a")
        self.assertEqual({key[2:] for key in deleted()}, {self.first})
        started = len(self.fleet.intervals)
        self.start_node("b")
        await self.wait_until(self.holder)
        await self.pass_time(5)
        self.assertIsNone(self.state(self.first))
        tasks = [task for task, _ in self.fleet.running()]
        tasks += [i.task for i in self.fleet.intervals[started:]]
        self.assertFalse(any(task.startswith(self.first) for task in tasks))

    async def test_crash_after_the_first_deletion_of_a_job(self):
        """An ended job never runs again."""
        await self.check_ended_job_stays_ended(1)

    async def test_crash_after_the_second_deletion_of_a_job(self):
        """An ended job never runs again."""
        await self.check_ended_job_stays_ended(2)
