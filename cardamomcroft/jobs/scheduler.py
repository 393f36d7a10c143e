"""Own a region's jobs while holding its claim, and start them."""

import asyncio
import dataclasses
import datetime

import structlog

from cardamomcroft.jobs import history as histories
from cardamomcroft.jobs import launch as launches
from cardamomcroft.jobs import overlay as overlays
from cardamomcroft.jobs import takeover as takeovers
from cardamomcroft.jobs import views
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.log import replica as replicas
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.membership import members
from cardamomcroft.policy import base as policies
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.state import models
from cardamomcroft.workers import fleet as fleets
from cardamomcroft.workers import health as healths

CLAIM_BACKOFF = datetime.timedelta(milliseconds=500)  # for each rank
DRAIN_POLL = datetime.timedelta(milliseconds=50)
CONFIRM_LIMIT = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """Bundle what the scheduler works with."""

    region: str
    incarnation: str
    replica: replicas.Replica
    appender: appenders.Appender
    overlay: overlays.Overlay
    workers: base.WorkerClient
    membership: members.Membership
    freshness: freshnesses.Freshness
    clock: base.Clock
    metrics: base.Metrics
    timing: instance.Timing
    policy: policies.Policy
    health: healths.Health
    history: histories.RunHistory


class Scheduler:
    """Decide placements for the region that this instance has claimed."""

    def __init__(self, parts: Parts) -> None:
        """Start without a claim."""
        self._parts = parts
        self.takeover: takeovers.Takeover | None = None
        self.is_draining = False
        self._launches: dict[str, launches.Launch] = {}
        self._settling: set[str] = set()
        self._attempts: dict[str, int] = {}
        self._declared: set[models.CallerKey] = set()
        self._retry_at: dict[str, datetime.timedelta] = {}
        self._tasks: set[asyncio.Task] = set()
        self._fleet = fleets.Fleet()
        self._suspect_since: datetime.timedelta | None = None
        self._seen: tuple = ()
        self._reviewed_at = datetime.timedelta()
        self._plans: tuple[policies.GangStart, ...] = ()
        self._claiming = False
        self._logger = structlog.get_logger()

    @property
    def effective(self) -> models.State:
        """Return the state with this instance's pending records."""
        return self._parts.overlay.state()

    def holds_claim(self) -> bool:
        """Tell whether the newest claim seen is this incarnation's."""
        claim = self._parts.replica.state.claims.get(self._parts.region)
        if claim is None or claim.incarnation != self._parts.incarnation:
            return False
        return self._parts.membership.known_epoch <= claim.epoch

    def may_act(self) -> bool:
        """Tell whether a start sent now is still this owner's to send."""
        return self.holds_claim() and self._parts.freshness.is_fresh()

    async def run(self) -> None:
        """Decide on every change and at least every period."""
        period = self._parts.timing.duration("schedule_period")
        while True:
            try:
                await self.step()
            except Exception:
                self._logger.exception("schedule_failed")
                self._parts.metrics.increment("scheduler.failed")
            await clocks.within(
                self._parts.clock, period, self._parts.replica.changed()
            )

    async def step(self) -> None:
        """Claim, take over, settle and start what is due."""
        if self.holds_claim():
            if self.may_act() and not self.is_draining:
                await self._act()
            return
        self.takeover = None
        if not self.is_draining and self._should_claim():
            self._claim()

    def _should_claim(self) -> bool:
        parts = self._parts
        ready = (
            parts.replica.reachable
            and parts.replica.caught_up
            and parts.membership.may_claim()
            and not self._claiming
        )
        if not ready:
            return False
        claim = parts.replica.state.claims.get(parts.region)
        if claim is not None and not self._is_holder_gone(claim):
            self._suspect_since = None
            return False
        return self._waited_for_rank()

    def _is_holder_gone(self, claim: models.Claim) -> bool:
        membership = self._parts.membership
        holder, _, _ = claim.incarnation.partition("@")
        return (
            holder == membership.instance_id
            or membership.is_suspect(holder)
            or membership.is_incarnation_gone(holder, claim.incarnation)
        )

    def _waited_for_rank(self) -> bool:
        membership = self._parts.membership
        now = self._parts.clock.monotonic()
        if self._suspect_since is None:
            self._suspect_since = now
        live = membership.live_ids(self._parts.region)
        order = members.rank(self._parts.region, live)
        place = order.index(membership.instance_id)
        return now - self._suspect_since >= place * CLAIM_BACKOFF

    def _claim(self) -> None:
        parts = self._parts
        claim = parts.replica.state.claims.get(parts.region)
        body = records.SchedulerClaimed(
            parts.region, claim.epoch if claim else -1, parts.incarnation
        )
        self._claiming = True
        self._spawn(self._confirm_claim(body))

    async def _confirm_claim(self, body: records.SchedulerClaimed) -> None:
        try:
            outcome = await self._parts.appender.confirm(
                body, appenders.Priority.OPERATOR, CONFIRM_LIMIT
            )
            won = outcome.is_ok() and outcome.ok.accepted
            self._logger.info("scheduler_claim", won=won)
            self._parts.metrics.increment("scheduler.claims")
        finally:
            self._claiming = False

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _act(self) -> None:
        epoch = self._parts.replica.state.claims[self._parts.region].epoch
        if self.takeover is None or self.takeover.epoch != epoch:
            self.takeover = takeovers.Takeover(
                epoch,
                self._parts.workers,
                self._parts.clock,
                self._parts.timing,
            )
        if not self.takeover.is_settled:
            await self._advance_takeover(self._parts.replica.state)
        if not self._has_changed():
            return
        state = self.effective
        self._submit_declared(state)
        self._settle_ending(state)
        self._decide(self.effective)

    def _has_changed(self) -> bool:
        """Tell whether a decision could differ from the last one."""
        parts = self._parts
        state = parts.replica.state
        seen = (
            state.jobs,
            state.settings,
            parts.overlay.pending(),
            frozenset(self._launches),
            frozenset(self._settling),
            self.takeover.is_settled,
        )
        now = parts.clock.monotonic()
        # The maps are compared by identity: each change makes a new one.
        is_same = bool(self._seen) and (
            seen[0] is self._seen[0]
            and seen[1] is self._seen[1]
            and seen[2:] == self._seen[2:]
        )
        review = parts.timing.duration("review_period")
        if is_same and now - self._reviewed_at < review:
            return False
        self._seen, self._reviewed_at = seen, now
        return True

    async def _advance_takeover(self, state: models.State) -> None:
        fleet = self._fleet.region(state, self._parts.region)
        await self.takeover.step(tuple(fleet))
        if not self.takeover.is_settled:
            return
        findings = takeovers.compare(
            self.effective, self.takeover.epoch, self.takeover.found
        )
        for adoption in findings.adoptions:
            self._logger.info("gang_adopted", job_id=adoption.record.job_id)
            self._parts.appender.submit(
                adoption.record, appenders.Priority.START
            )
        for orphan in findings.orphans:
            self._spawn(self._stop_orphan(orphan))

    async def _stop_orphan(self, orphan: takeovers.Orphan) -> None:
        command = messages.Stop(orphan.task, self.takeover.epoch)
        await self._stop_surely(orphan.worker_id, command)

    async def _stop_surely(
        self, worker_id: str, command: messages.Stop
    ) -> messages.Done:
        parts = self._parts
        return await launches.stop_surely(
            parts.workers, parts.clock, parts.timing, worker_id, command
        )

    def _submit_declared(self, state: models.State) -> None:
        for path, entry in state.settings.items():
            document = entry.document
            if not isinstance(document, documents.DeclaredJob):
                continue
            submitted = declared_submission(state, path, entry)
            if submitted.region != self._parts.region:
                continue
            key = models.CallerKey(
                submitted.account, submitted.caller, submitted.key
            )
            if key not in state.job_keys and key not in self._declared:
                self._declared.add(key)
                self._parts.appender.submit(
                    submitted, appenders.Priority.OPERATOR
                )

    def _is_held_back(self, job: models.Job) -> bool:
        """Hold jobs that a former owner may have started unseen."""
        if job.job_id in self._settling or self._is_waiting(job.job_id):
            return True
        if self.takeover.is_settled:
            return False
        return job.submitted_offset < self.takeover.epoch

    def _is_waiting(self, job_id: str) -> bool:
        retry_at = self._retry_at.get(job_id)
        if retry_at is None:
            return False
        if self._parts.clock.monotonic() < retry_at:
            return True
        del self._retry_at[job_id]
        return False

    def _settle_ending(self, state: models.State) -> None:
        for job in state.jobs.values():
            due = (
                job.phase is models.Phase.ENDING
                and job.region == self._parts.region
                and job.job_id not in self._settling
                and job.job_id not in self._launches
            )
            if due and not self._is_held_back(job):
                self._begin_settle(job, job.detail or "cancelled", False)

    def _begin_settle(
        self, job: models.Job, reason: str, checkpoint: bool
    ) -> None:
        self._settling.add(job.job_id)
        self._spawn(self._settle(job, reason, checkpoint))

    async def _settle(
        self, job: models.Job, reason: str, checkpoint: bool
    ) -> None:
        token = self.takeover.epoch
        try:
            stopped = await asyncio.gather(
                *(
                    self._stop_surely(
                        placement.worker_id,
                        messages.Stop(job.task(member), token, checkpoint),
                    )
                    for member, placement in enumerate(job.placements)
                )
            )
            self._record_finished(job, stopped)
            if stopped and all(done.is_finished for done in stopped):
                return  # the fold completes the job
            kept = min((done.checkpoint_s for done in stopped), default=0.0)
            body = records.AttemptSettled(
                job.job_id,
                job.attempt,
                token,
                reason,
                blamed=self._is_job_to_blame(job),
                checkpoint_s=job.checkpoint_s + kept,
            )
            await self._parts.appender.submit(body, appenders.Priority.START)
        finally:
            self._settling.discard(job.job_id)

    def _record_finished(
        self, job: models.Job, stopped: list[messages.Done]
    ) -> None:
        """Record members that had finished before the stop came."""
        for member, done in enumerate(stopped):
            if not done.is_finished or member in job.finished:
                continue
            end = records.TaskEnd(job.task(member), records.EndKind.FINISHED)
            worker_id = job.placements[member].worker_id
            self._parts.appender.submit(
                records.TasksEnded(worker_id, (end,)),
                appenders.Priority.START,
            )

    def _is_job_to_blame(self, job: models.Job) -> bool:
        """Blame the job unless each worker it failed on is suspect."""
        health = self._parts.health
        return any(
            not health.is_suspect(worker_id) for worker_id in job.failed_on
        )

    def _decide(self, state: models.State) -> None:
        parts = self._parts
        view = views.build(
            state,
            parts.region,
            parts.clock.now(),
            self._worker_views(state),
            map(self._launching_gang, self._launches.values()),
            self._is_held_back,
            self._settling,
            parts.history.estimates,
            self._plans,
        )
        began = parts.clock.monotonic()
        decision = parts.policy.decide(view)
        self._plans = decision.plans
        parts.metrics.timing(
            "scheduler.round", parts.clock.monotonic() - began
        )
        parts.metrics.gauge("scheduler.waiting", len(view.waiting))
        parts.metrics.gauge("scheduler.running", len(view.running))
        for stop in decision.stops:
            if self._may_reclaim(stop.job_id):
                reason = f"reclaimed for {stop.beneficiary}"
                self._begin_settle(state.jobs[stop.job_id], reason, True)
        for start in decision.starts:
            self._begin_launch(state.jobs[start.job_id], start)

    def _may_reclaim(self, job_id: str) -> bool:
        """Leave launches alone; the next round decides on them again."""
        return job_id not in self._settling and job_id not in self._launches

    def _worker_views(
        self, state: models.State
    ) -> tuple[policies.WorkerView, ...]:
        fleet = self._fleet.region(state, self._parts.region)
        return tuple(
            fleets.to_view(worker, self._is_usable(worker_id))
            for worker_id, worker in fleet.items()
        )

    def _is_usable(self, worker_id: str) -> bool:
        if self._parts.membership.is_worker_leaving(worker_id):
            return False
        if not self._parts.health.is_usable(worker_id):
            return False
        return self.takeover.is_settled or self.takeover.is_fenced(worker_id)

    def _launching_gang(self, launch: launches.Launch) -> policies.RunningGang:
        return policies.RunningGang(
            launch.job.job_id,
            launch.job.account,
            launch.job.caller,
            launch.job.spec,
            launch.placements,
            self._parts.clock.now(),
        )

    def _begin_launch(
        self, job: models.Job, start: policies.GangStart
    ) -> None:
        attempt = 1 + max(
            job.attempt,
            self._attempts.get(job.job_id, 0),
            launches.first_attempt(self.takeover.epoch),
        )
        self._attempts[job.job_id] = attempt
        launch = launches.Launch(
            job,
            attempt,
            self.takeover.epoch,
            start.placements,
            self._parts.workers,
            self._parts.clock,
            self._parts.timing,
            self.may_act,
        )
        self._launches[job.job_id] = launch
        self._spawn(self._launch(launch, self.takeover.epoch))

    async def _launch(self, launch: launches.Launch, token: int) -> None:
        job_id = launch.job.job_id
        try:
            result = await launch.run()
            self._logger.info(
                "gang_launch",
                job_id=job_id,
                attempt=launch.attempt,
                outcome=result.outcome.value,
                detail=result.detail,
            )
            if result.outcome is launches.LaunchOutcome.RUNNING:
                self._record_start(launch, token)
            else:
                self._record_miss(launch, token, result)
        finally:
            del self._launches[job_id]

    def _record_start(self, launch: launches.Launch, token: int) -> None:
        body = records.GangStarted(
            launch.job.job_id, launch.attempt, token, launch.placements
        )
        future = self._parts.appender.submit(body, appenders.Priority.START)
        future.add_done_callback(lambda done: self._check_start(launch, done))
        self._parts.metrics.increment("scheduler.started")

    def _check_start(
        self, launch: launches.Launch, done: asyncio.Future
    ) -> None:
        """Stop a gang whose start the fold has refused."""
        if done.cancelled() or done.result().accepted:
            return
        if not self.holds_claim():
            return  # the newer owner adopts or stops what it finds
        self._logger.warning(
            "start_refused",
            job_id=launch.job.job_id,
            reason=done.result().reason,
        )
        self._spawn(self._stop_refused(launch))

    async def _stop_refused(self, launch: launches.Launch) -> None:
        claim = self._parts.replica.state.claims[self._parts.region]
        await asyncio.gather(
            *(
                self._stop_surely(
                    placement.worker_id,
                    messages.Stop(
                        messages.TaskId(
                            launch.job.job_id, launch.attempt, member
                        ),
                        claim.epoch,
                    ),
                )
                for member, placement in enumerate(launch.placements)
            )
        )

    def _record_miss(
        self,
        launch: launches.Launch,
        token: int,
        result: launches.LaunchResult,
    ) -> None:
        self._parts.metrics.increment("scheduler.missed")
        if result.worker_id:
            self._parts.health.note_unreachable(result.worker_id)
        now = self._parts.clock.monotonic()
        self._retry_at[launch.job.job_id] = now + CLAIM_BACKOFF
        if result.outcome is launches.LaunchOutcome.FAILED:
            body = records.AttemptSettled(
                launch.job.job_id,
                launch.attempt,
                token,
                f"start failed on {result.worker_id}: {result.detail}",
            )
            self._parts.appender.submit(body, appenders.Priority.START)

    def kill(self) -> tuple[asyncio.Task, ...]:
        """Return the tasks under way, for the caller to cancel."""
        return tuple(self._tasks)

    async def drain(self) -> None:
        """Stop starting and wait for launches under way."""
        self.is_draining = True
        while self._launches:
            await self._parts.clock.sleep(DRAIN_POLL)


def declared_submission(
    state: models.State, path: str, entry: models.SettingsEntry
) -> records.JobSubmitted:
    """Return the submission that a declared job stands for."""
    document: documents.DeclaredJob = entry.document
    team = path.split("/")[1]
    account_path = f"teams/{team}/accounts/{document.account}"
    account = state.settings.get(account_path)
    return records.JobSubmitted(
        f"declared-{path.replace('/', '.')}-{entry.revision}",
        f"{team}/{document.account}",
        document.caller,
        f"declared:{path}:{entry.revision}",
        account.document.region if account else "",
        document.job,
    )
