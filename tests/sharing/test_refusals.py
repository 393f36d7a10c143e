"""Forecasts by account, and the refusals that follow from them."""

import dataclasses
import random
import unittest

from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import refusals
from tests.scheduling import harness
from tests.scheduling import test_planning
from tests.sharing import test_fair_shares

NOW, WALL = test_planning.NOW, test_planning.WALL
LEAD = harness.seconds(1.2)
make_job = test_fair_shares.make_job
make_workers = test_fair_shares.make_busy_workers
WIDE = harness.make_step(width=4, accelerators=8)


def make_forecast(
    jobs: list[runs.JobState],
    workers: list[runs.Worker],
    guarantees: dict[str, int] | None = None,
    valid_from=NOW,
) -> refusals.AccountForecast:
    """Return the forecast of a scheduler that has just begun."""
    shares = test_fair_shares.make_shares(workers, jobs, guarantees)
    forecast = refusals.AccountForecast(
        shares, lambda: guarantees or {}, LEAD, lambda: valid_from
    )
    forecast.refresh(jobs, workers, estimates.Durations(), NOW, WALL)
    return forecast


def waits(jobs, workers, guarantees=None) -> dict[str, int]:
    """Return the forecast waits."""
    return make_forecast(jobs, workers, guarantees).wait_ms_by_queue


def old_waits(jobs, workers) -> dict[str, int]:
    """Return the waits where the scheduler does not plan ahead."""
    return queue_waits.expected_waits(
        jobs, workers, estimates.Durations(), NOW, WALL
    )


class RoomTest(unittest.TestCase):
    """A forecast must refuse nothing while workers have room."""

    def test_starts_that_are_held_up_are_no_wait(self):
        """Jobs that wait for an outage's end begin at once after it.

        They counted as work to be done one after the other.
        """
        jobs = [make_job("abcd"[n % 4]) for n in range(40)]
        workers = make_workers(*[""] * 40)
        self.assertEqual(waits(jobs, workers), {})
        jobs = [make_job("abcd"[n % 4]) for n in range(400)]
        self.assertGreater(old_waits(jobs, workers)["q1"], 19_000)
        # A tenth of them begins every 2 s, so the last one after 18 s.
        found = waits(jobs, workers)
        self.assertEqual({found[f"q1\n{name}"] for name in "abcd"}, {18_000})

    def test_workers_that_are_being_listed_again_are_not_gone(self):
        """After an outage most entries are missing for up to two seconds.

        By the few workers that were listed the queue was far too long.
        """
        jobs = [make_job("abcd"[n % 4]) for n in range(40)]
        few = make_workers(*[""] * 3)
        self.assertGreater(old_waits(jobs, few)["q1"], 19_000)
        later = NOW + harness.seconds(1)
        forecast = make_forecast(jobs, few, valid_from=later)
        self.assertEqual(forecast.wait_ms_by_queue, {})
        # If they stay away, the wait is true.
        forecast.refresh(jobs, few, estimates.Durations(), later, WALL)
        self.assertGreater(forecast.wait_ms_by_queue["q1\na"], 19_000)

    def test_old_waits_are_dropped_when_listings_become_doubtful(self):
        """A wait from before an outage must not outlive it."""
        jobs = [make_job("a", step=WIDE) for _ in range(40)]
        workers = make_workers("", "", "", "")
        forecast = make_forecast(jobs, workers)
        self.assertTrue(forecast.wait_ms_by_queue)
        forecast._valid_from = lambda: NOW + harness.seconds(2)
        forecast.refresh(jobs, workers, estimates.Durations(), NOW, WALL)
        self.assertEqual(forecast.wait_ms_by_queue, {})

    def test_different_resources_are_used_at_the_same_time(self):
        """Shares of cores and of accelerators do not add up to a wait."""
        cores = models.Step(
            4, models.Demand(60_000, 1_024, 0), harness.seconds(30)
        )
        wide = dataclasses.replace(WIDE, estimate=harness.seconds(30))
        jobs = [make_job("a", step=cores), make_job("b", step=wide)]
        workers = make_workers("", "", "", "")
        self.assertEqual(waits(jobs, workers), {})
        self.assertEqual(old_waits(jobs, workers), {"q1": 58_000})

    def test_steps_that_wait_for_others_need_no_room_yet(self):
        """A job's second step takes the room of its first one."""
        second = dataclasses.replace(WIDE, after=(0,))
        job = test_planning.make_job(WIDE, second)
        workers = make_workers("", "", "", "")
        self.assertEqual(waits([job], workers), {})

    def test_less_urgent_runs_give_way(self):
        """Urgent work stops batch work instead of waiting for its end."""
        workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
        long = dataclasses.replace(WIDE, estimate=harness.seconds(60))
        for worker in workers:
            run = make_job("a", priority=2, step=long)
            test_planning.start(worker, run, 1)
        urgent = make_job("b", priority=0, step=WIDE)
        self.assertEqual(waits([urgent], workers), {"q0": 1_000})


class RunningWorkTest(unittest.TestCase):
    """Running work counts until its expected end."""

    def test_waiting_work_begins_after_running_work(self):
        """Work behind long runs was forecast as if workers were idle."""
        workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
        long = dataclasses.replace(WIDE, width=1, estimate=harness.seconds(31))
        for worker in workers:
            test_planning.start(worker, make_job("a", step=long), 1)
        jobs = [make_job("b", step=dataclasses.replace(WIDE, width=1))]
        self.assertEqual(old_waits(jobs, workers), {})
        self.assertEqual(waits(jobs, workers), {"q1": 30_000})

    def test_lasting_runs_never_end(self):
        """Room that services keep must not be foreseen as free."""
        workers = [test_planning.make_worker(f"w{n}") for n in range(4)]
        lasting = harness.make_step(accelerators=8, is_lasting=True)
        for worker in workers:
            test_planning.start(worker, make_job("a", step=lasting), 1)
        found = waits([make_job("b")], workers)
        self.assertGreaterEqual(found["q1"], 60_000)


class AccountTest(unittest.TestCase):
    """Account a floods four workers; each of its jobs fills them for 2 s."""

    def setUp(self):
        """Fill the workers and let 20 further jobs wait."""
        self.workers = make_workers("a", "a", "a", "a")
        self.flood = [make_job("a", step=WIDE) for _ in range(20)]

    def test_flooding_account_waits_for_its_own_work(self):
        """Others must not be refused because of a flood."""
        small = [make_job("b"), make_job("c")]
        found = waits(self.flood + small, self.workers)
        self.assertGreater(found["q1\na"], 38_000)
        self.assertLess(found.get("q1", 0), 3_000)
        self.assertEqual(set(found) - {"q1"}, {"q1\na"})
        old = old_waits(self.flood + small, self.workers)
        self.assertGreater(old["q1"], 38_000)

    def test_accounts_above_their_shares_drain_by_themselves(self):
        """A short backlog is gone sooner than that of another flood."""
        short = [make_job("b", step=WIDE) for _ in range(4)]
        found = waits(self.flood + short, self.workers)
        self.assertGreater(found["q1\na"], found["q1\nb"] * 2)

    def test_guaranteed_work_does_not_wait(self):
        """An account within its guarantee comes before any flood."""
        flood = [make_job("a", priority=0, step=WIDE) for _ in range(20)]
        others = [
            make_job(account, priority=0, step=WIDE)
            for account in "bcde"
            for _ in range(4)
        ]
        found = waits(flood + others, self.workers, {"g": 8, "a": 8})
        self.assertGreater(found["q0"], 1_000)
        self.assertEqual(found["q0\ng"], 0)
        self.assertGreater(found["q0\na"], 0)

    def test_account_entries_are_bounded(self):
        """A renewal of the claim must stay small with many accounts."""
        jobs = [
            make_job(f"a{number}", step=WIDE)
            for number in range(200)
            for _ in range(2)
        ]
        found = waits(jobs, self.workers)
        self.assertLessEqual(len(found) - 1, refusals.MAX_ACCOUNT_ENTRIES)
        claim = codec.Claim("a", 1, 1, found)
        self.assertLess(len(codec.encode_claim(claim)), 3_000)

    def test_cancelled_and_worthless_work_delays_nobody(self):
        """What will never run must not cause refusals."""
        for job in self.flood:
            job.accepted_at -= harness.seconds(60)
        self.assertEqual(waits(self.flood, self.workers), {})
        for job in self.flood:
            job.accepted_at += harness.seconds(60)
            job.is_cancelled = True
        self.assertEqual(waits(self.flood, self.workers), {})

    def test_an_error_leaves_no_wait(self):
        """A forecast that cannot be computed must refuse nothing."""
        forecast = make_forecast(self.flood, self.workers)
        self.assertTrue(forecast.wait_ms_by_queue)
        later = NOW + queue_waits.REFRESH_PERIOD
        with self.assertRaises(AttributeError):
            forecast.refresh(self.flood, self.workers, None, later, WALL)
        self.assertEqual(forecast.wait_ms_by_queue, {})


class EntryTest(unittest.TestCase):
    """Entries of queues and accounts in the claim."""

    def test_account_without_an_entry_has_its_queues(self):
        """An account that the forecast does not know must be served."""
        found = {"q": 1_000, "q\na": 30_000, "q\ng": 0}
        self.assertEqual(refusals.wait_ms(found, "q", "a"), 30_000)
        self.assertEqual(refusals.wait_ms(found, "q", "g"), 0)
        self.assertEqual(refusals.wait_ms(found, "q", "other"), 1_000)
        self.assertEqual(refusals.wait_ms(found, "p", "a"), 0)

    def test_records_are_understood_by_earlier_versions(self):
        """They look up the queue's name only, in the same record."""
        claim = codec.Claim("a", 1, 2, {"q": 1_000, "q\na": 30_000})
        decoded = codec.decode_claim(codec.encode_claim(claim))
        self.assertEqual(decoded, claim)
        self.assertEqual(decoded.wait_ms_by_queue.get("q"), 1_000)


class RetryTest(unittest.TestCase):
    """Objective 7 s, final deadline 21 s, run time 2 s."""

    def setUp(self):
        """Create the job to submit."""
        self.job = make_job("a").job

    def spread(self, wait_s: float, seed: int = 1) -> list[int | None]:
        """Return when a hundred callers are told to return."""
        rng = random.Random(seed)
        wait = harness.seconds(wait_s)
        return [
            refusals.retry_after_s(self.job, wait, rng) for _ in range(100)
        ]

    def test_refused_callers_do_not_all_return_at_once(self):
        """A herd that returns together is refused together again."""
        for wait_s in (20, 25, 40, 10_000):
            earliest = min(wait_s, refusals.MAX_UNSPREAD_RETRY_S)
            found = self.spread(wait_s)
            self.assertEqual(min(found), earliest)
            self.assertLessEqual(max(found), earliest * 1.25)
            self.assertLessEqual(max(found), queue_waits.MAX_RETRY_S)
            self.assertGreater(len(set(found)), earliest // 8)
            self.assertLess(max(map(found.count, set(found))), 50)

    def test_retry_is_the_time_that_the_backlog_takes(self):
        """Callers that return earlier are only refused again."""
        self.assertGreaterEqual(min(self.spread(30.2)), 31)

    def test_spread_is_that_of_the_generator(self):
        """A test that fails must fail again with its seed."""
        self.assertEqual(self.spread(40, 3), self.spread(40, 3))
        self.assertNotEqual(self.spread(40, 3), self.spread(40, 4))

    def test_served_and_lasting_work_and_timetables_are_accepted(self):
        """Work without an objective cannot be late."""
        self.assertEqual(set(self.spread(18.9)), {None})
        step = dataclasses.replace(self.job.steps[0], is_lasting=True)
        self.job = dataclasses.replace(self.job, steps=(step,))
        self.assertEqual(set(self.spread(900)), {None})
        timetable = models.Timetable(WALL, harness.seconds(60), 3)
        self.job = dataclasses.replace(make_job("a").job, timetable=timetable)
        self.assertEqual(set(self.spread(900)), {None})


class ShareLimitTest(unittest.TestCase):
    """Forecasts follow the shares without jumps."""

    def test_flood_below_its_limit_delays_others_no_more(self):
        """Its whole backlog must not count before it is above its share."""
        workers = make_workers("a", "a", "b", "c")
        flood = [make_job("a", step=WIDE) for _ in range(20)]
        jobs = [*flood, make_job("b"), make_job("c")]
        shares = test_fair_shares.make_shares(workers, jobs)
        self.assertFalse(shares.is_above(("svc", "a")))
        found = waits(jobs, workers)
        self.assertLess(found.get("q1", 0), 3_000)
        self.assertGreater(found["q1\na"], 30_000)
