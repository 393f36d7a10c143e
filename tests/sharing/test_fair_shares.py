"""Order of jobs by their accounts' shares, for single rounds."""

import dataclasses
import datetime
import random
import unittest

from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import fair_shares
from tests.scheduling import harness
from tests.scheduling import test_planning

NOW = test_planning.NOW
STEP = harness.make_step(accelerators=8)


def make_job(
    account: str, age_s: float = 1, priority: int = 1, step=STEP
) -> runs.JobState:
    """Return an account's waiting job, whose objective is 7 s."""
    state = test_planning.make_job(step, priority=priority)
    state.job = dataclasses.replace(state.job, account=account)
    state.accepted_at = NOW - harness.seconds(age_s)
    return state


def make_busy_workers(*accounts: str) -> list[runs.Worker]:
    """Return a worker for each account, filled by its run; "" for none."""
    workers = []
    for number, account in enumerate(accounts):
        worker = test_planning.make_worker(f"w{number}")
        if account:
            test_planning.start(worker, make_job(account), 1)
        workers.append(worker)
    return workers


def make_shares(
    workers: list[runs.Worker],
    jobs: list[runs.JobState],
    guarantees: dict[str, int] | None = None,
    now: datetime.timedelta = NOW,
) -> fair_shares.FairShares:
    """Return the shares of a scheduler that has just begun."""
    shares = fair_shares.FairShares()
    shares.refresh(jobs, workers, guarantees or {}, now)
    return shares


def plan_order(
    jobs: list[runs.JobState],
    workers: list[runs.Worker],
    shares: fair_shares.FairShares | None,
) -> list[runs.JobState]:
    """Return the order in which a round considers the jobs."""
    inputs = test_planning.make_inputs(jobs, workers)
    inputs = dataclasses.replace(inputs, shares=shares)
    return planning.Planner(inputs)._ordered_jobs()


class OrderTest(unittest.TestCase):
    """Account a has three of four workers, b one, and c none."""

    def setUp(self):
        """Let a's flood wait for longer than the jobs of the others."""
        self.workers = make_busy_workers("a", "a", "a", "b")
        self.flood = [make_job("a", 3 - n / 10) for n in range(5)]
        self.others = [make_job("b", 1), make_job("c", 0.5)]

    def order(self, jobs, guarantees=None):
        """Return the order of the jobs by the shares."""
        shares = make_shares(self.workers, jobs, guarantees)
        return plan_order(jobs, self.workers, shares)

    def test_account_above_its_share_comes_later(self):
        """Jobs of others must not wait behind a flood that was earlier."""
        jobs = self.flood + self.others
        self.assertEqual(self.order(jobs), self.others + self.flood)

    def test_order_stays_where_the_scheduler_does_not_plan_ahead(self):
        """Deployments with quick stops are served as before."""
        jobs = self.flood + self.others
        random.Random(1).shuffle(jobs)
        expected = sorted(jobs, key=lambda job: job.accepted_at)
        self.assertEqual(plan_order(jobs, self.workers, None), expected)

    def test_account_within_one_and_a_half_shares_keeps_its_turn(self):
        """Shares vary by whole tasks; a slight excess must not matter."""
        workers = make_busy_workers("a", "a", "b", "")
        jobs = [make_job("a", 2), make_job("b", 1)]
        shares = make_shares(workers, jobs)
        self.assertEqual(plan_order(jobs, workers, shares), jobs)

    def test_more_urgent_work_comes_first_above_the_share(self):
        """Shares decide among jobs of the same urgency only."""
        urgent = make_job("a", 1, priority=0)
        jobs = [*self.others, urgent]
        self.assertEqual(self.order(jobs), [urgent, *self.others])

    def test_guaranteed_work_comes_first_above_the_share(self):
        """A guarantee must hold whatever else its account uses."""
        owner = make_job("a", 1, priority=0)
        earlier = make_job("c", 2, priority=0)
        jobs = [earlier, owner]
        shares = make_shares(self.workers, jobs, {"a": 8})
        inputs = dataclasses.replace(
            test_planning.make_inputs(jobs, self.workers),
            accelerators_by_account={"a": 8},
            shares=shares,
        )
        found = planning.Planner(inputs)._ordered_jobs()
        self.assertEqual(found, [owner, earlier])

    def test_late_job_of_an_account_that_has_its_share_comes_later(self):
        """A flood's late jobs must not precede late jobs of others."""
        jobs = [make_job("a", 15), make_job("c", 7.5)]
        self.assertEqual(self.order(jobs), jobs[::-1])

    def test_late_job_of_an_account_that_is_left_out_comes_in_turn(self):
        """Work of an account above its share must not starve."""
        late, fresh = make_job("a", 15), [make_job("b"), make_job("c")]
        jobs = [late, *fresh]
        shares = make_shares(self.workers, jobs)
        self.assertEqual(
            plan_order(jobs, self.workers, shares), [*fresh, late]
        )
        # All workers are others' now, and the recent use still counts.
        workers = make_busy_workers("b", "b", "c", "c")
        shares.refresh(jobs, self.workers, {}, NOW + harness.seconds(40))
        now = NOW + harness.seconds(41)
        shares.refresh(jobs, workers, {}, now)
        self.assertTrue(shares.is_above(("svc", "a")))
        self.assertEqual(plan_order(jobs, workers, shares), jobs)
        # Not before its objective.
        late.accepted_at = NOW - harness.seconds(6)
        self.assertEqual(plan_order(jobs, workers, shares), [*fresh, late])

    def test_order_of_one_account_stays(self):
        """A late job must not overtake those of its own account."""
        late = make_job("a", 7.5)
        jobs = [*self.flood, *self.others, late]
        shares = make_shares(self.workers, jobs)
        for account in ("a", "b", "c"):
            found, expected = (
                [job for job in order if job.job.account == account]
                for order in (
                    plan_order(jobs, self.workers, shares),
                    plan_order(jobs, self.workers, None),
                )
            )
            self.assertEqual(found, expected)

    def test_every_job_stays_once(self):
        """No job may be lost or planned twice by a new order."""
        rng = random.Random(5)
        for _ in range(200):
            jobs = [
                make_job(
                    rng.choice("abcd"), rng.uniform(0, 30), rng.randrange(3)
                )
                for _ in range(rng.randrange(12))
            ]
            found = self.order(jobs)
            self.assertCountEqual(map(id, found), map(id, jobs))
            keys = [
                ordering.urgency_class(
                    ordering.sort_key(job, NOW, frozenset(), make_durations())
                )
                for job in found
            ]
            self.assertEqual(keys, sorted(keys))

    def test_lasting_jobs_and_timetables_keep_their_turn(self):
        """They have no objective that would bound their wait."""
        lasting = harness.make_step(accelerators=8, is_lasting=True)
        jobs = [make_job("a", 2, step=lasting)]
        jobs.append(make_job("c", 1, step=lasting))
        self.assertEqual(self.order(jobs), jobs)


def make_durations():
    """Return predictions without any ended run."""
    return test_planning.make_inputs([], []).durations


class ShareTest(unittest.TestCase):
    """What counts as an account's share."""

    def test_weights_are_the_guarantees(self):
        """An account that is guaranteed three quarters may use them."""
        workers = make_busy_workers("a", "a", "a", "b")
        jobs = [make_job("a"), make_job("b")]
        shares = make_shares(workers, jobs, {"a": 24, "b": 8})
        self.assertEqual(shares.largest_ratios(), {"a": 1.0, "b": 1.0})

    def test_account_without_a_guarantee_has_the_smallest_weight(self):
        """With a weight of 0 or 1 its work would always come last."""
        self.assertEqual(
            fair_shares.weights("abc", {"a": 24, "b": 8, "c": 0}),
            {"a": 24, "b": 8, "c": 8},
        )
        self.assertEqual(fair_shares.weights("ab", {}), {"a": 1, "b": 1})

    def test_dominant_resource_counts(self):
        """An account that takes all cores must not hide without GPUs."""
        worker = test_planning.make_worker("w1")
        demand = models.Demand(64_000, 1_024, 0)
        step = models.Step(1, demand, harness.seconds(2))
        test_planning.start(worker, make_job("a", step=step), 1)
        shares = make_shares([worker], [make_job("b")])
        self.assertEqual(shares.share(("svc", "a")), 1.0)
        self.assertTrue(shares.is_above(("svc", "a")))

    def test_account_alone_may_use_everything(self):
        """Shares must not leave workers idle."""
        shares = make_shares(make_busy_workers("a", "a"), [make_job("a")])
        self.assertFalse(shares.is_above(("svc", "a")))

    def test_use_of_the_last_half_minute_counts_and_decays(self):
        """A flood in bursts must not look modest between them."""
        shares, tenant = fair_shares.FairShares(), ("svc", "a")
        jobs = [make_job("b"), make_job("a")]
        now = NOW
        for _ in range(150):
            shares.refresh(jobs, make_busy_workers("a", "a"), {}, now)
            now += fair_shares.REFRESH_PERIOD
        idle = make_busy_workers("", "")
        shares.refresh(jobs, idle, {}, now)
        self.assertTrue(shares.is_above(tenant))
        self.assertGreater(shares.share(tenant), 0.8)
        shares.refresh(jobs, idle, {}, now + fair_shares.MEMORY)
        self.assertLess(shares.share(tenant), 0.4)
        self.assertFalse(shares.is_above(tenant))

    def test_successor_starts_from_the_runs(self):
        """A takeover must not forget who uses the workers now."""
        workers = make_busy_workers("a", "a", "a", "b")
        successor = make_shares(workers, [make_job("b"), make_job("c")])
        self.assertTrue(successor.is_above(("svc", "a")))

    def test_worker_that_left_counts_no_more(self):
        """Shares of a capacity that is gone would all be too small."""
        workers = make_busy_workers("a", "", "", "")
        jobs = [make_job("a"), make_job("b")]
        shares = make_shares(workers, jobs)
        self.assertEqual(shares.share(("svc", "a")), 0.25)
        for worker in workers[1:]:
            worker.withdraw_listing()
        shares.refresh(jobs, workers, {}, NOW + fair_shares.REFRESH_PERIOD)
        self.assertEqual(shares.share(("svc", "a")), 1.0)

    def test_shown_accounts_are_bounded(self):
        """Metrics of a thousand accounts would cost more than they tell."""
        jobs = [make_job(f"a{number}") for number in range(200)]
        workers = make_busy_workers("a7", "a7", "a9")
        shown = make_shares(workers, jobs).largest_ratios()
        self.assertEqual(len(shown), fair_shares.MAX_SHOWN_ACCOUNTS)
        self.assertEqual(list(shown)[:2], ["a7", "a9"])
