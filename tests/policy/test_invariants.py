"""Run the policy on random fleets and check its invariants."""

import dataclasses
import datetime
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import feasibility
from cardamomcroft.policy import invariants
from cardamomcroft.policy import registry
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
WORKERS = tuple(
    base.WorkerView(f"w{number}", f"d{number // 3}", "r1", 8, 64, 128)
    for number in range(6)
)
ACCOUNTS = {
    "a": base.AccountView(
        "a",
        2.0,
        (documents.Guarantee(8, 2), documents.Guarantee(4, 1)),
        {"x": 1.0, "y": 1.0},
    ),
    "b": base.AccountView(
        "b",
        1.0,
        (documents.Guarantee(8, 1), documents.Guarantee(2, 3)),
        {"x": 1.0},
    ),
    "c": base.AccountView("c", 1.0, (), {"x": 1.0}),
}


class PolicyMachine(stateful.RuleBasedStateMachine):
    """Apply decisions to a fleet that changes in every way."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.policy = registry.by_name()[registry.CURRENT]
        self.now = NOW
        self.accounts = dict(ACCOUNTS)
        self.lost: set[str] = set()
        self.waiting: dict[str, base.WaitingJob] = {}
        self.running: dict[str, base.RunningGang] = {}
        self.count = 0
        self.plans: tuple[base.GangStart, ...] = ()

    def view(self) -> base.View:
        """Return what the policy sees."""
        workers = tuple(
            dataclasses.replace(worker, usable=False)
            if worker.worker_id in self.lost
            else worker
            for worker in WORKERS
        )
        return base.View(
            self.now,
            workers,
            self.accounts,
            tuple(self.waiting.values()),
            tuple(self.running.values()),
            plans=self.plans,
        )

    @stateful.rule(
        account=strategies.sampled_from("abc"),
        caller=strategies.sampled_from("xy"),
        members=strategies.integers(1, 4),
        accelerators=strategies.sampled_from((0, 1, 2, 3, 4, 8)),
        urgency=strategies.sampled_from(documents.Urgency),
        adjacency=strategies.sampled_from(documents.Adjacency),
        count=strategies.integers(1, 5),
    )
    def arrive(
        self, account, caller, members, accelerators, urgency, adjacency, count
    ):
        """Let jobs arrive."""
        spec = documents.JobSpec(
            "k", members, accelerators, 1, 1, adjacency, urgency
        )
        for _ in range(count):
            job_id = f"j{self.count}"
            self.count += 1
            self.waiting[job_id] = base.WaitingJob(
                job_id, account, caller, spec, self.now, self.count
            )

    @stateful.rule(pick=strategies.integers(0, 50))
    def finish(self, pick):
        """Let a running gang end."""
        if self.running:
            job_id = sorted(self.running)[pick % len(self.running)]
            del self.running[job_id]

    @stateful.rule(pick=strategies.integers(0, 50))
    def cancel(self, pick):
        """Cancel a waiting job."""
        if self.waiting:
            job_id = sorted(self.waiting)[pick % len(self.waiting)]
            del self.waiting[job_id]

    @stateful.rule(number=strategies.integers(0, 5))
    def lose(self, number):
        """Lose a worker and every gang on it."""
        worker_id = f"w{number}"
        self.lost.add(worker_id)
        for job_id, gang in list(self.running.items()):
            if any(
                placement.worker_id == worker_id
                for placement in gang.placements
            ):
                del self.running[job_id]

    @stateful.rule(number=strategies.integers(0, 5))
    def come_back(self, number):
        """Return a worker."""
        self.lost.discard(f"w{number}")

    @stateful.rule(
        account=strategies.sampled_from("abc"),
        size=strategies.sampled_from((1, 2, 4, 8)),
        count=strategies.integers(0, 2),
    )
    def change_guarantee(self, account, size, count):
        """Change a guarantee where the fleet can hold it."""
        guarantee = (documents.Guarantee(size, count),) if count else ()
        changed = dataclasses.replace(
            self.accounts[account], guarantee=guarantee
        )
        if not any(
            gang.account == account and placement.grant
            for gang in self.running.values()
            for placement in gang.placements
        ):
            accounts = self.accounts | {account: changed}
            if self._is_feasible(accounts):
                self.accounts = accounts

    def _is_feasible(self, accounts) -> bool:
        demand: dict[int, int] = {}
        for terms in accounts.values():
            for cell in terms.guarantee:
                size = cell.accelerators
                demand[size] = demand.get(size, 0) + cell.count
        return not feasibility.missing_cells({8: len(WORKERS)}, demand)

    @stateful.rule(minutes=strategies.integers(0, 300))
    def wait(self, minutes):
        """Let time pass."""
        self.now += datetime.timedelta(minutes=minutes)

    @stateful.rule()
    def decide(self):
        """Carry out a decision, stops at once."""
        decision = self.policy.decide(self.view())
        self.plans = decision.plans
        for stop in decision.stops:
            gang = self.running.pop(stop.job_id)
            self.count += 1
            self.waiting[stop.job_id] = base.WaitingJob(
                gang.job_id,
                gang.account,
                gang.caller,
                gang.spec,
                self.now,
                self.count,
            )
        for start in decision.starts:
            job = self.waiting.pop(start.job_id)
            self.running[start.job_id] = base.RunningGang(
                job.job_id,
                job.account,
                job.caller,
                job.spec,
                start.placements,
                self.now,
            )

    @stateful.invariant()
    def promises_hold(self):
        """Check the view after each step."""
        if self.lost:
            checked = {
                promise: count
                for promise, count in invariants.check(self.view()).items()
                if promise != "unreclaimable_accelerators"
            }
        else:
            checked = invariants.check(self.view())
        assert not any(checked.values()), checked

    @stateful.invariant()
    def guarantee_is_given_back(self):
        """Check that a whole guaranteed shape starts by reclaiming."""
        if self.lost:
            return
        for account, terms in self.accounts.items():
            if terms.guarantee and not self._uses_grants(account):
                self._check_reclaim(account, terms)

    def _uses_grants(self, account: str) -> bool:
        return any(
            placement.grant
            for gang in self.running.values()
            for placement in gang.placements
            if gang.account == account
        )

    def _check_reclaim(self, account: str, terms: base.AccountView):
        cell = terms.guarantee[0]
        spec = documents.JobSpec("k", cell.count, cell.accelerators)
        job = base.WaitingJob("probe", account, "x", spec, self.now, 0)
        view = dataclasses.replace(self.view(), waiting=(job,))
        decision = self.policy.decide(view)
        started = any(start.job_id == "probe" for start in decision.starts)
        reclaimed = any(stop.beneficiary == account for stop in decision.stops)
        assert started or reclaimed, (account, terms, view.running)


class PolicyPropertyTest(unittest.TestCase):
    """Run the state machine with a fixed seed."""

    def test_guarantees_stay_reclaimable(self):
        stateful.run_state_machine_as_test(
            PolicyMachine,
            settings=hypothesis.settings(
                max_examples=150,
                stateful_step_count=40,
                deadline=None,
                derandomize=True,
                database=None,
                phases=[hypothesis.Phase.generate],
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )


class InvariantTest(unittest.TestCase):
    """Check that each invariant detects a violation."""

    def _gang(self, *placements, **changes):
        spec = documents.JobSpec("k", **changes)
        return base.RunningGang("j", "a", "x", spec, placements, NOW)

    def _view(self, *running):
        return base.View(NOW, WORKERS, ACCOUNTS, (), running)

    def test_overlapping_cells_and_partial_gangs_are_counted(self):
        cell = records.Placement("w0", messages.Cell(0, 4))
        inner = records.Placement("w0", messages.Cell(2, 2))
        view = self._view(self._gang(cell), self._gang(inner, members=2))
        checked = invariants.check(view)
        self.assertEqual(1, checked["overlapping_cells"])
        self.assertEqual(1, checked["partial_gangs"])

    def test_grants_on_every_worker_are_unreclaimable(self):
        gangs = [
            self._gang(
                records.Placement(
                    worker.worker_id, messages.Cell(0, 1), f"1/{number}"
                )
            )
            for number, worker in enumerate(WORKERS)
        ]
        checked = invariants.check(self._view(*gangs))
        self.assertGreater(checked["unreclaimable_accelerators"], 0)

    def test_gang_wider_than_declared_is_counted(self):
        cell = messages.Cell(0, 1)
        gang = self._gang(
            records.Placement("w0", cell),
            records.Placement("w5", cell),
            members=2,
            adjacency=documents.Adjacency.DATA_CENTRE,
        )
        self.assertEqual(
            1, invariants.check(self._view(gang))["broken_adjacency"]
        )
