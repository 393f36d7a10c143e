"""Schedule jobs on all workers while this instance holds the claim."""

import asyncio
import collections
import collections.abc
import datetime
import traceback
import typing

from cardamomcroft.evacuation import gate as gates
from cardamomcroft.evacuation import watch as evacuation_watch
from cardamomcroft.placement import failing as failing_gangs
from cardamomcroft.placement import history
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.placement import reporting
from cardamomcroft.placement import stays
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import advising
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import directory as directories
from cardamomcroft.scheduling import ending
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import inheriting
from cardamomcroft.scheduling import journal as journals
from cardamomcroft.scheduling import launching
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import planning
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import queue_terms
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.scheduling import replica as replicas
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import standing_watch
from cardamomcroft.scheduling import stragglers
from cardamomcroft.scheduling import worker_polling
from cardamomcroft.sharing import fair_shares
from cardamomcroft.sharing import observing
from cardamomcroft.sharing import refusals
from cardamomcroft.sharing import victims
from cardamomcroft.sharing import wiring

if typing.TYPE_CHECKING:
    from cardamomcroft.runtimes import stream as run_time_stream

# Combines events that arrive together into one round. After a long round the
# pause is three times its duration, which leaves three quarters of the
# processor free.
ROUND_PAUSE = datetime.timedelta(milliseconds=20)
# Bounds the delay of due times, lease expiry and unanswered orders.
MAX_ROUND_WAIT = datetime.timedelta(milliseconds=100)
ADMISSION_SLICE = 50  # jobs, a few milliseconds
_ZERO = datetime.timedelta()
_Result = typing.TypeVar("_Result")


class Scheduler:
    """Start runs of accepted jobs and record the progress of those ended."""

    def __init__(
        self,
        replica: replicas.Replica,
        journal: journals.Journal,
        directory: directories.Directory,
        link: fleet.WorkerLink,
        clock: base.Clock,
        log: events.Events,
        parameters: cluster_state.SchedulingParameters,
        guarantees: collections.abc.Callable[[], dict[str, int]],
        queues: collections.abc.Callable[[], queue_terms.QueuesByName],
        inherited_leases: inheriting.InheritedLeases,
        gate: gates.Gate,
    ) -> None:
        """Assemble the components; ``run`` starts them.

        ``guarantees`` returns the accelerators guaranteed to each account,
        ``queues`` those that are configured.
        """
        self._replica = replica
        self.journal = journal
        self._directory = directory
        self._clock = clock
        self._log = log
        self._guarantees = guarantees
        self._terms = queue_terms.QueueTerms(queues, log)
        self._inherited_leases = inherited_leases
        self.cluster = cluster_state.ClusterState(
            journal, clock, log, parameters, gate
        )
        self._evacuation = evacuation_watch.Watch(gate, log, self.cluster.wake)
        self._orders = order_senders.OrderSender(self.cluster, link)
        self._poller = worker_polling.WorkerPoller(
            self.cluster, self._orders, link
        )
        self._orders.on_contact = self._poller.handle_contact
        self._launcher = launching.Launcher(self.cluster, self._orders)
        self._advising = advising.Advising(self.cluster, link)
        self._began_at = clock.now()
        self._has_synced_workers = False
        self._headroom = wiring.make_headroom(parameters)
        self._holds = holding.Holds()
        self._reservations = wiring.make_reservations(parameters)
        self._headroom_watch = observing.HeadroomWatch(self._headroom, log)
        self._standing = standing_watch.StandingWatch(
            self.cluster, self._reservations, self._holds, self._headroom
        )
        self._shares: fair_shares.FairShares | None = None
        self._history = history.History()
        self._stays = stays.Stays() if parameters.plans_ahead else None
        self._failing = failing_gangs.FailingGangs()
        self._outlook = outlooks.NOTHING_EXPECTED
        self._avoidance_log = reporting.AvoidanceLog(clock, log)
        self._forecast = queue_waits.Forecast()
        if parameters.plans_ahead:
            self._shares = fair_shares.FairShares()
            self._forecast = self._make_account_forecast()
        journal.forecast_waits = lambda: self._forecast.wait_ms_by_queue
        self._ending = ending.Ending(self.cluster, self._orders, replica)
        self.learning: run_time_stream.Learning | None = None

    def _make_account_forecast(self) -> refusals.AccountForecast:
        """Return a forecast that begins once the listings are complete.

        Entries that have expired in an outage of the store return after it,
        and a successor does not know of one that has just ended.
        """
        earliest = self._clock.monotonic() + directories.RELISTING_GRACE
        return refusals.AccountForecast(
            self._shares,
            self._guarantees,
            self.cluster.parameters.preemption_lead,
            lambda: max(earliest, self._directory.absence_valid_from),
        )

    async def run(self) -> None:
        """Run scheduling rounds until the claim is lost."""
        cluster = self.cluster
        self.journal.on_claim_lost = cluster.wake
        self._directory.on_change = cluster.wake
        self._evacuation.begin()
        try:
            cluster.spawn(self.journal.run())
            if self.learning is not None:
                await self.learning.begin()
                cluster.spawn(self.learning.run())
            await self._take_over()
            cluster.spawn(self._directory.run())
            while not self.journal.is_claim_lost:
                began_at = self._clock.monotonic()
                self._round()
                took = self._clock.monotonic() - began_at
                pause = max(ROUND_PAUSE, took * 3)
                self._standing.after_round(
                    began_at, took, MAX_ROUND_WAIT + pause
                )
                changed = cluster.changed
                await clocks.within(
                    self._clock, MAX_ROUND_WAIT, changed.wait()
                )
                if changed.is_set():
                    await self._clock.sleep(pause)
                changed.clear()
        finally:
            self._evacuation.end()
            cluster.cancel_tasks()

    async def _take_over(self) -> None:
        """Admit the jobs and inherit the runs, in slices.

        Between two slices the journal renews the claim.
        """
        job_ids = list(self._replica.ledger.jobs_by_id)
        for number, job_id in enumerate(job_ids):
            if number % ADMISSION_SLICE == 0:
                await asyncio.sleep(0)
            # The ledger may have been replaced by a newer one meanwhile.
            if job_id in self._replica.ledger.jobs_by_id:
                self._admit(job_id)
        self._ending.record_leftovers()
        inherited = await inheriting.inherit(
            self.cluster, self._replica.ledger, self._inherited_leases
        )
        for worker in inherited:
            self._poller.ensure_polling(worker)

    def count_jobs(self) -> collections.Counter[tuple[str, str]]:
        """Count unfinished jobs by queue and state."""
        return collections.Counter(
            (
                job.job.queue.name,
                "running" if job.is_start_recorded else "queued",
            )
            for job in self.cluster.jobs_by_id.values()
        )

    def count_standing(self) -> collections.Counter[str]:
        """Count the jobs of which nothing runs for 3 s, by reason."""
        return self._standing.count_by_reason()

    def largest_share_ratios(self) -> dict[str, float]:
        """Return accounts' dominant shares over their fair shares."""
        return self._shares.largest_ratios() if self._shares else {}

    def count_leaving(self) -> int:
        """Count the workers that are expected to leave."""
        return self._outlook.leaving_count()

    def apply_updates(self, updates: list[tuple[ledgers.Kind, str]]) -> None:
        """Apply new submissions and cancellations."""
        for kind, job_id in updates:
            if kind is ledgers.Kind.SUBMISSION:
                self._admit(job_id)
            elif job_id in self.cluster.jobs_by_id:
                self.cluster.jobs_by_id[job_id].is_cancelled = True
            elif job_id not in self._replica.ledger.jobs_by_id:
                self._ending.record_leftover(job_id)
        self.cluster.wake()

    def _restore_submissions(self) -> None:
        """Store the first submission of jobs again, over a later one.

        Instances that load the records get the newest of each key.
        """
        ledger = self._replica.ledger
        for job_id in ledger.resubmitted_ids & self.cluster.jobs_by_id.keys():
            self._log.emit("submission_restored", job_id=job_id)
            key = ledgers.Kind.SUBMISSION.key(job_id)
            self.journal.stage(key, ledger.jobs_by_id.raw(job_id))
        ledger.resubmitted_ids.clear()

    def _admit(self, job_id: str) -> None:
        progress = self._replica.ledger.progress_by_id.get(job_id)
        if progress and progress.state in ledgers.FINAL_STATES:
            ended_at = datetime.datetime.fromtimestamp(
                progress.ended_at, datetime.UTC
            )
            self._ending.record_ended(job_id, ended_at)
            return
        if job_id in self.cluster.jobs_by_id:
            return
        job = self._replica.ledger.jobs_by_id[job_id]
        now = self._clock.monotonic()
        age = max(self._clock.now() - job.submitted_at, _ZERO)
        state = occurrences.make_job_state(job, progress, now - age)
        state.is_cancelled = job_id in self._replica.ledger.cancelled_ids
        self._terms.apply(state)
        self.cluster.jobs_by_id[job_id] = state
        self._headroom.observe(job, state.accepted_at)

    def _round(self) -> None:
        """Run the phases of one round."""
        self._try_phase("workers", self._sync_workers)
        self._try_phase("terms", self._refresh_terms)
        self._try_phase("evacuation", self._follow_evacuations)
        self._try_phase("leases", self._poller.expire_leases)
        self._try_phase("avoidance", self._limit_avoidance)
        self._try_phase("starts", self._orders.stop_unanswered_starts)
        self._try_phase("gangs", self._orders.stop_open_gangs)
        self._try_phase("ends", self._ending.end_jobs)
        self._try_phase("submissions", self._restore_submissions)
        self._try_phase("expiry", self._ending.delete_expired_records)
        self._try_phase("moves", self._move_runs)
        self._try_phase("shares", self._refresh_shares)
        self._try_phase("forecast", self._refresh_forecast)
        self._try_phase("outlook", self._refresh_outlook)
        plan = self._try_phase("plan", self._plan)
        if plan is None:
            return
        self._try_phase("failures", self._report_failures, plan.failures)
        self._try_phase("preemption", self._preempt, plan.stops)
        self._try_phase("advice", self._advising.request, plan.advice_wanted)
        self._try_phase("assignment", self._launcher.assign, plan.starts)
        self._try_phase("headroom", self._watch_headroom)

    def _try_phase(
        self,
        phase: str,
        function: collections.abc.Callable[..., _Result],
        *arguments: object,
    ) -> _Result | None:
        """Run one phase; log an error instead of giving up the claim.

        A successor would fail in the same way on the same records.
        """
        try:
            return function(*arguments)
        except Exception as error:
            self._log.emit(
                "round_crashed",
                phase=phase,
                error=repr(error),
                trace=traceback.format_exc(limit=-3),
            )
            return None

    def _limit_avoidance(self) -> None:
        self.cluster.avoidance.limit(self.cluster.workers_by_id.values())

    def _refresh_terms(self) -> None:
        """Apply the configured terms to the jobs accepted before.

        Entries of workers that expired in an outage of the store return.
        """
        if not self._directory.is_loaded:
            return
        if self._clock.monotonic() >= self._directory.absence_valid_from:
            self._terms.refresh(
                self.cluster.jobs_by_id.values(),
                self.cluster.workers_by_id.values(),
            )

    def _refresh_shares(self) -> None:
        if self._shares is not None:
            self._shares.refresh(
                self.cluster.jobs_by_id.values(),
                self.cluster.workers_by_id.values(),
                self._guarantees(),
                self._clock.monotonic(),
            )

    def _follow_evacuations(self) -> None:
        workers = self.cluster.workers_by_id.values()
        evacuated_ids = self._evacuation.update(workers)
        self._reservations.drop_workers(evacuated_ids)
        self._holds.drop_workers(evacuated_ids)
        if self._directory.is_loaded:
            self._evacuation.log_changes(workers)

    def _refresh_forecast(self) -> None:
        self._forecast.refresh(
            list(self.cluster.jobs_by_id.values()),
            self.cluster.workers_by_id.values(),
            self.cluster.durations,
            self._clock.monotonic(),
            self._clock.now(),
        )

    def _refresh_outlook(self) -> None:
        """Derive what to expect of the workers from what changed."""
        if self.cluster.parameters.plans_ahead:
            self._outlook = outlooks.NOTHING_EXPECTED  # after an error
            self._outlook = self._history.observe(
                self.cluster.workers_by_id, self._clock.monotonic()
            )

    def _report_avoidances(self, planner: planning.Planner) -> None:
        self._avoidance_log.report(
            planner.avoidances(),
            self._outlook.leaving_count(),
            len(self._outlook.flapping),
        )

    def _plan(self) -> plans.Plan:
        self._headroom.begin_round(self._clock.monotonic())
        inputs = planning.RoundInputs(
            list(self.cluster.jobs_by_id.values()),
            self.cluster.workers_by_id,
            self._clock.monotonic(),
            self._clock.now(),
            self._guarantees(),
            self._reservations,
            self.cluster.durations,
            self._headroom,
            self._holds,
            tuple(self.cluster.open_gangs),
            self.cluster.parameters.plans_ahead,
            self.cluster.parameters.preemption_lead,
            self._shares,
            self._outlook,
            self._failing,
            self.cluster.parameters.reclaim,
        )
        planner = planning.Planner(inputs)
        plan = planner.plan()
        if inputs.plans_ahead:
            self._try_phase("avoidances", self._report_avoidances, planner)
        return plan

    def _watch_headroom(self) -> None:
        workers = self.cluster.workers_by_id.values()
        self._headroom_watch.after_round(workers, self._headroom.now)

    def _report_failures(self, failed: list[plans.Failure]) -> None:
        for failure in failed:
            self.cluster.failures.report(
                "job_planning_failed", failure.job_id, failure.error
            )

    def _preempt(self, stops: list[plans.Stop]) -> None:
        for stop in stops:
            if self.cluster.parameters.plans_ahead:
                victims.count_stop(stop.run)
            self._orders.stop(stop.run, stop.reason)

    def _may_end_in_time(self, run: runs.Run) -> bool:
        """Return whether to leave a run on a worker that drains."""
        if self._stays is None:
            return False
        now = self._clock.monotonic()
        return stays.may_end_in_time(
            run, self._stays, self.cluster.durations, now
        )

    def _move_runs(self) -> None:
        now = self._clock.monotonic()
        workers = self.cluster.workers_by_id.values()
        if self._stays is not None:
            self._stays.observe(self.cluster.workers_by_id, now)
        struck: set[runs.Worker] = set()
        for run, reason in stragglers.runs_to_move(
            workers, self.cluster.durations, now, self._may_end_in_time
        ):
            if run.phase is not runs.Phase.AT_WORK:
                continue  # already stopped with its gang
            worker = self.cluster.workers_by_id[run.worker_id]
            self._log.emit(
                "run_moved",
                task=run.name,
                run=run.number,
                worker_id=run.worker_id,
                reason=reason,
                percent=run.percent,
                at_work_s=(now - run.began_at).total_seconds(),
            )
            if reason != "worker drains":
                run.step.moves_by_index[run.key.index] += 1
                struck.add(worker)
            if run.step.model.is_gang:
                self._orders.stop_gang(run.step, reason)
            else:
                self._orders.stop(run, reason)
        for worker in struck:
            self.cluster.avoidance.record_strike(worker)

    def _sync_workers(self) -> None:
        now = self._clock.monotonic()
        listings = self._directory.listings_by_id
        for worker_id, listing in listings.items():
            worker = self.cluster.workers_by_id.get(worker_id)
            if worker is None:
                worker = self.cluster.track(listing)
                # It may list ends whose effect a predecessor has recorded.
                if self._has_synced_workers and self._predates(listing):
                    worker.has_unheard_ends = True
            if worker.listing is not listing:
                self._poller.apply_listing(worker, listing, now)
        for worker_id, worker in list(self.cluster.workers_by_id.items()):
            if worker_id not in listings and self._directory.is_loaded:
                worker.withdraw_listing()
                is_watched = worker.late_starts.are_possible(now)
                if worker.is_settled and not is_watched:
                    self.cluster.drop(worker)
        self._has_synced_workers |= self._directory.is_loaded

    def _predates(self, listing: fleet.Listing) -> bool:
        """Return whether a worker began before this scheduler."""
        return listing.born_ms < self._began_at.timestamp() * 1000
