"""What callers get of a flood that cannot be served, by account."""

import collections
import contextlib
import dataclasses
import datetime
import heapq
import itertools
import random
import unittest
from unittest import mock

from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import scheduler as schedulers
from cardamomcroft.sharing import fair_shares
from cardamomcroft.sharing import refusals
from tests.scheduling import harness
from tests.sharing import account_load
from tests.sharing import test_shared_load

FLOOD_STEP = harness.make_step(width=4, accelerators=8)
GUEST_STEP = harness.make_step(accelerators=8)
# As the urgent queue of the plan: a job that waits for 8 s has no value.
QUEUE = dataclasses.replace(
    harness.make_queue(),
    slack_factor=1.5,
    target_latency=harness.seconds(0.25),
)
OBJECTIVE_S = 3.25
MAX_TRIES = 3


@contextlib.contextmanager
def without_the_part():
    """Forecast and order as if no accounts were compared."""
    with (
        mock.patch.object(
            schedulers.Scheduler,
            "_make_account_forecast",
            lambda _: queue_waits.Forecast(),
        ),
        mock.patch.object(
            fair_shares.FairShares, "order", test_shared_load.without_shares
        ),
    ):
        yield


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller that submits a job and returns when it is told to."""

    account: str
    step: models.Step
    first_at: datetime.timedelta
    tries: int = 0
    told_s: list[int] = dataclasses.field(default_factory=list)
    job_id: str = ""  # of its accepted job


class RefusedLoadTestCase(account_load.LoadTestCase):
    """Eight workers; callers are refused as by an ingress."""

    worker_count = 8

    async def asyncSetUp(self):
        """Start without callers."""
        await super().asyncSetUp()
        self.rng = random.Random(7)
        self.callers: list[Caller] = []
        self.order = itertools.count()
        self.due: list[tuple[datetime.timedelta, int, Caller]] = []

    def call(self, caller: Caller) -> None:
        """Submit a job, or note when to return."""
        caller.tries += 1
        replica = self.nodes_by_name["a"].replica
        # The job is decoded as by an ingress, and stored if accepted.
        job = models.Job(
            "f" * 16,
            QUEUE,
            caller.account,
            "payload",
            (caller.step,),
            None,
            self.clock.now(),
        )
        expected = replica.expectation(QUEUE.name, caller.account)
        told_s = expected and refusals.retry_after_s(
            job, expected.wait, self.rng
        )
        if told_s is None:
            caller.job_id = self.submit_as(caller.account, caller.step, QUEUE)
            return
        caller.told_s.append(told_s)
        if caller.tries < MAX_TRIES:
            at = self.clock.monotonic() + harness.seconds(told_s)
            heapq.heappush(self.due, (at, next(self.order), caller))

    async def play(self, duration_s: float) -> None:
        """Play two wide jobs of account a and some of b and c."""
        for tick in range(int(duration_s * 4)):
            now = self.clock.monotonic()
            fresh = [Caller("a", FLOOD_STEP, now)]
            fresh += [Caller("b", GUEST_STEP, now)] * (tick % 8 == 0)
            fresh += [Caller("c", GUEST_STEP, now)] * (tick % 12 == 0)
            self.callers += fresh
            while self.due and self.due[0][0] <= now:
                fresh.append(heapq.heappop(self.due)[2])
            for caller in fresh:
                self.call(caller)
            await self.pass_time(0.25)

    def in_time(self) -> collections.Counter[str]:
        """Count the callers whose jobs ended within their objectives."""
        ends = collections.Counter()
        last_end: dict[str, datetime.timedelta] = {}
        for run in self.fleet.intervals:
            if run.end is fleet.End.DONE:
                job_id = run.task.partition(".")[0]
                ends[job_id] += 1
                last_end[job_id] = max(
                    last_end.get(job_id, run.ended_at), run.ended_at
                )
        return collections.Counter(
            caller.account
            for caller in self.callers
            if ends[caller.job_id] == caller.step.width
            and last_end[caller.job_id] - caller.first_at
            <= harness.seconds(OBJECTIVE_S)
        )

    def refused(self) -> collections.Counter[str]:
        """Count the accounts' refusals."""
        counts: collections.Counter[str] = collections.Counter()
        for caller in self.callers:
            counts[caller.account] += len(caller.told_s)
        return counts


class FloodTest(RefusedLoadTestCase):
    """Account a submits four times what the workers can do."""

    async def test_flooding_account_is_refused_and_others_are_not(self):
        """All accounts were refused alike for the flood of one."""
        await self.play(20)
        refused, in_time = self.refused(), self.in_time()
        callers = collections.Counter(c.account for c in self.callers)
        await self.asyncTearDown()
        with without_the_part():
            await self.asyncSetUp()
            await self.play(20)
        old_refused, old_in_time = self.refused(), self.in_time()
        self.assertGreater(refused["a"], 10)
        self.assertEqual((refused["b"], refused["c"]), (0, 0))
        self.assertGreater(old_refused["b"] + old_refused["c"], 0)
        self.assertGreaterEqual(
            in_time["b"] + in_time["c"], (callers["b"] + callers["c"]) * 0.6
        )
        for account in "bc":
            self.assertGreater(in_time[account], old_in_time[account])

    async def test_refused_job_leaves_no_record(self):
        """A refused job must never run."""
        await self.play(10)
        refused = [c for c in self.callers if c.told_s and not c.job_id]
        self.assertTrue(refused)
        accepted = {c.job_id for c in self.callers if c.job_id}
        stored = set(self.nodes_by_name["a"].replica.ledger.jobs_by_id)
        self.assertEqual(stored, accepted)
        self.assertLessEqual(self.started_at().keys(), accepted)

    async def test_many_refused_callers_return_apart(self):
        """Sixty callers that are refused at once would return at once."""
        await self.play(8)
        now = self.clock.monotonic()
        herd = [Caller("a", FLOOD_STEP, now) for _ in range(60)]
        for caller in herd:
            self.call(caller)
        told = collections.Counter(c.told_s[0] for c in herd if c.told_s)
        self.assertGreater(told.total(), 50)
        self.assertGreater(len(told), 2)
        self.assertLess(max(told.values()), told.total() * 0.6)


class OutageTest(RefusedLoadTestCase):
    """An outage of the store lets the workers' entries expire."""

    OUTAGE_S = 1.2

    async def play_outage(self) -> int:
        """Return the longest wait in claims that follow the outage (ms)."""
        for _ in range(24):
            self.submit_as("a", GUEST_STEP, harness.make_queue())
        await self.pass_time(0.5)
        self.store.faults.is_down = True
        await self.pass_time(self.OUTAGE_S)
        for worker_id in list(self.listings)[1:]:
            self.store.put(store.Stream.SERVERS, worker_id, None)
        records = self.store.records_by_stream[store.Stream.JOBS]
        before = len(records)
        self.store.faults.is_down = False
        await self.pass_time(1.8)
        for worker_id in list(self.listings)[1:]:
            self.store.put(store.Stream.SERVERS, worker_id, b"1")
        await self.pass_time(3)
        claims = [
            codec.decode_claim(record.value)
            for record in list(records)[before:]
            if record.key == ledgers.CLAIM_KEY
        ]
        self.assertTrue(claims)
        return max(max(c.wait_ms_by_queue.values(), default=0) for c in claims)

    async def test_workers_that_return_cause_no_refusals(self):
        """Seven of eight submissions were refused for two seconds.

        The forecast counted only the workers whose entries had returned.
        """
        wait_ms = await self.play_outage()
        await self.asyncTearDown()
        with without_the_part():
            await self.asyncSetUp()
            old_wait_ms = await self.play_outage()
        self.assertGreater(old_wait_ms, 19_000)
        self.assertLess(wait_ms, 7_000)


class TakeoverTest(RefusedLoadTestCase):
    """A successor finds jobs that wait although workers are idle."""

    async def test_work_that_waited_for_a_successor_refuses_nothing(self):
        """Starts are held up until the inventories have come."""
        self.kill("a")
        for number in range(8):
            self.submit_as("ab"[number % 2], GUEST_STEP, QUEUE)
        self.start_node("a")
        await self.wait_until(self.holder)
        for _ in range(30):
            await self.pass_time(0.1)
            replica = self.nodes_by_name["a"].replica
            for account in ("a", "b", "c"):
                expected = replica.expectation(QUEUE.name, account)
                if expected is not None:
                    self.assertEqual(expected.wait, datetime.timedelta())


if __name__ == "__main__":
    unittest.main()
