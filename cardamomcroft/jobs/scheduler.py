"""Schedule the jobs of a region while this instance holds its claim."""

import asyncio
import datetime
import itertools

import structlog

from cardamomcroft.jobs import claim as claims
from cardamomcroft.jobs import declared
from cardamomcroft.jobs import dependencies as bundles
from cardamomcroft.jobs import former as formers
from cardamomcroft.jobs import launch as launches
from cardamomcroft.jobs import launcher as launchers
from cardamomcroft.jobs import planning
from cardamomcroft.jobs import settler as settlers
from cardamomcroft.jobs import takeover as takeovers
from cardamomcroft.jobs import views
from cardamomcroft.log import appender as appenders
from cardamomcroft.policy import base as policies
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.state import models
from cardamomcroft.workers import departures
from cardamomcroft.workers import fleet as fleets

DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class Scheduler:
    """Place, reclaim and settle jobs of the region that was claimed."""

    def __init__(self, dependencies: bundles.Dependencies) -> None:
        """Schedule through the given roles and ports, at first unclaimed."""
        self._dependencies = dependencies
        self.takeover: takeovers.Takeover | None = None
        self.is_draining = False
        self._claimant = claims.Claimant(dependencies)
        self._former = formers.FormerAttempts(dependencies)
        self._launcher = launchers.Launcher(dependencies, self._former)
        self._settler = settlers.Settler(dependencies, self._former)
        self._declared = declared.DeclaredJobs(dependencies)
        self._planner = planning.Planner(
            dependencies.policy, dependencies.clock
        )
        self._fleet = fleets.Fleet()
        self._plans: tuple[policies.GangStart, ...] = ()
        self._last_inputs: tuple = ()
        self._decided_at = datetime.timedelta()
        self._logger = structlog.get_logger()

    def holds_claim(self) -> bool:
        """Return whether the newest known claim is this incarnation's."""
        return self._dependencies.holds_claim()

    def may_act(self) -> bool:
        """Return whether this instance may send commands as the owner."""
        return self._dependencies.may_act()

    async def run(self) -> None:
        """Run a round on every state change and at least once a period."""
        period = self._dependencies.timing.duration("schedule_period")
        while True:
            try:
                await self.step()
            except Exception:
                self._logger.exception("schedule_failed")
                self._dependencies.metrics.increment("scheduler.failed")
            await clocks.within(
                self._dependencies.clock,
                period,
                self._dependencies.replica.changed(),
            )

    async def step(self) -> None:
        """Run one round as the owner, or claim the region when due."""
        if self.is_draining:
            return
        if self.holds_claim():
            if self.may_act():
                await self._schedule()
            return
        self.takeover = None
        self._claimant.step()

    async def _schedule(self) -> None:
        epoch = self._dependencies.replica.state.claims[
            self._dependencies.region
        ].epoch
        if self.takeover is None or self.takeover.epoch != epoch:
            self.takeover = takeovers.Takeover(
                epoch,
                self._dependencies.workers,
                self._dependencies.clock,
                self._dependencies.timing,
            )
        if not self.takeover.is_settled:
            await self._fence_workers()
        if self.takeover.is_settled and not self.takeover.is_reconciled:
            self._reconcile()  # before any start; an error leaves it due
        if self.takeover.is_settled:
            self._former.poll(
                self._launcher.job_ids, epoch, self._launcher.record_results
            )
        if self._has_changed():
            self.decide()

    def decide(self) -> None:
        """Submit declared jobs, settle ending ones and apply the policy."""
        state = self._dependencies.overlay.state()
        self._declared.submit(state)
        self._settle_ending(state)
        self._apply_decision(self._dependencies.overlay.state())

    def _has_changed(self) -> bool:
        """Return whether the inputs changed or a periodic review is due."""
        dependencies = self._dependencies
        state = dependencies.replica.state
        inputs = (
            state.jobs,
            state.settings,
            dependencies.overlay.pending(),
            frozenset(self._launcher.job_ids),
            self._launcher.backing_off(),
            frozenset(self._settler.job_ids),
            self.takeover.is_settled,
            self._unusable_workers(state),
        )
        now = dependencies.clock.monotonic()
        # Compare the maps by identity: they are immutable, so each change
        # creates a new one.
        is_same = bool(self._last_inputs) and (
            inputs[0] is self._last_inputs[0]
            and inputs[1] is self._last_inputs[1]
            and inputs[2:] == self._last_inputs[2:]
        )
        review = dependencies.timing.duration("review_period")
        if is_same and now - self._decided_at < review:
            return False
        self._last_inputs, self._decided_at = inputs, now
        return True

    async def _fence_workers(self) -> None:
        state = self._dependencies.replica.state
        fleet = self._fleet.region(state, self._dependencies.region)
        left = self._departures(state)
        await self.takeover.step(
            (*fleet, *sorted(left.worker_ids)), state, left.is_complete
        )
        if not self.takeover.is_settled:
            return
        for worker_id in itertools.filterfalse(self.takeover.is_fenced, fleet):
            self._dependencies.health.record_unreachable(worker_id)

    def _departures(self, state: models.State) -> departures.Departures:
        """Return the workers that left when the former owner could act."""
        dependencies = self._dependencies
        bound = launches.lease_expiry_bound(dependencies.timing)
        return departures.find(
            state,
            dependencies.region,
            self._fleet.by_id(state),
            dependencies.clock.now() - bound,
        )

    def _reconcile(self) -> None:
        """Adopt the unrecorded gangs that are complete, stop the others."""
        reconciliation = takeovers.reconcile(
            self._dependencies.overlay.state(),
            self.takeover.epoch,
            self.takeover.reports_by_worker,
            self.takeover.incarnations,
        )
        for adoption in reconciliation.adoptions:
            self._logger.info("gang_adopted", job_id=adoption.record.job_id)
            self._dependencies.appender.submit(
                adoption.record, appenders.Priority.START
            )
        for orphan in reconciliation.orphans:
            command = messages.Stop(
                orphan.task,
                self.takeover.epoch,
                incarnation=orphan.incarnation,
            )
            self._dependencies.background.spawn(
                self._dependencies.stop_until_confirmed(
                    orphan.worker_id, command
                )
            )
        self.takeover.is_reconciled = True

    def _is_deferred(self, job: models.Job) -> bool:
        """Defer jobs being settled, backing off or perhaps already started.

        Until the takeover has settled, a former owner may have started any
        job older than this claim without its start being known here.
        """
        if job.job_id in self._settler.job_ids:
            return True
        if self._launcher.is_backing_off(job.job_id):
            return True
        if self.takeover.is_settled:
            return False
        return job.submitted_offset < self.takeover.epoch

    def _is_in_progress(self, job_id: str) -> bool:
        return (
            job_id in self._settler.job_ids or job_id in self._launcher.job_ids
        )

    def _settle_ending(self, state: models.State) -> None:
        for job in state.jobs.values():
            if job.phase is not models.Phase.ENDING:
                continue
            if job.region != self._dependencies.region or self._is_in_progress(
                job.job_id
            ):
                continue
            if not self._is_deferred(job):
                reason = job.detail or "cancelled"
                self._settler.begin(job, self.takeover.epoch, reason, False)

    def _apply_decision(self, state: models.State) -> None:
        """Run the policy, then stop and launch the gangs it names."""
        decision = self._run_policy(self._view(state))
        epoch = self.takeover.epoch
        for stop in decision.stops:
            # A launch is not interrupted; the next round reconsiders it.
            if not self._is_in_progress(stop.job_id):
                reason = f"reclaimed for {stop.beneficiary}"
                job = state.jobs[stop.job_id]
                self._settler.begin(job, epoch, reason, True)
        for start in decision.starts:
            self._launcher.begin(state.jobs[start.job_id], epoch, start)

    def _view(self, state: models.State) -> policies.View:
        dependencies = self._dependencies
        return views.build(
            state,
            dependencies.region,
            dependencies.clock.now(),
            self._worker_views(state),
            self._launcher.launching_gangs(),
            self._is_deferred,
            self._settler.job_ids,
            dependencies.history.estimates,
            self._plans,
        )

    def _run_policy(self, view: policies.View) -> policies.Decision:
        dependencies = self._dependencies
        began = dependencies.clock.monotonic()
        decision = self._planner.decide(view)
        self._plans = decision.plans
        dependencies.metrics.timing(
            "scheduler.round", dependencies.clock.monotonic() - began
        )
        dependencies.metrics.gauge("scheduler.waiting", len(view.waiting))
        dependencies.metrics.gauge("scheduler.running", len(view.running))
        return decision

    def _worker_views(
        self, state: models.State
    ) -> tuple[policies.WorkerView, ...]:
        fleet = self._fleet.region(state, self._dependencies.region)
        unusable = self._unusable_workers(state)
        return tuple(
            fleets.to_view(worker, worker_id not in unusable)
            for worker_id, worker in fleet.items()
        )

    def _unusable_workers(self, state: models.State) -> frozenset[str]:
        fleet = self._fleet.region(state, self._dependencies.region)
        return self._dependencies.health.unusable(fleet.keys()) | frozenset(
            itertools.filterfalse(self._is_available, fleet)
        )

    def _is_available(self, worker_id: str) -> bool:
        """Return whether a worker stays and obeys this owner."""
        if self._dependencies.membership.is_worker_leaving(worker_id):
            return False
        return self.takeover.is_settled or self.takeover.is_fenced(worker_id)

    def tasks(self) -> tuple[asyncio.Task, ...]:
        """Return the background tasks, for the caller to cancel."""
        return self._dependencies.background.tasks()

    async def drain(self) -> None:
        """Stop scheduling and wait for the launches in progress."""
        self.is_draining = True
        while self._launcher.job_ids:
            await self._dependencies.clock.sleep(DRAIN_POLL_INTERVAL)
