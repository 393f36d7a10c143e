"""Plan one scheduling round: placements and the preemptions they need."""

import collections
import dataclasses
import datetime
import itertools

from cardamomcroft.placement import costs
from cardamomcroft.placement import failing as failing_gangs
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import estimates
from cardamomcroft.scheduling import headroom
from cardamomcroft.scheduling import holding
from cardamomcroft.scheduling import isolating
from cardamomcroft.scheduling import models
from cardamomcroft.scheduling import occurrences
from cardamomcroft.scheduling import ordering
from cardamomcroft.scheduling import placing
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import preempting
from cardamomcroft.scheduling import prospects
from cardamomcroft.scheduling import reservations
from cardamomcroft.scheduling import runs
from cardamomcroft.sharing import deciding
from cardamomcroft.sharing import fair_shares
from cardamomcroft.sharing import run_ends
from cardamomcroft.sharing import victims

# Runs end continually: within this wait most urgent jobs get capacity without
# preemption, and a third of the start bound for guaranteed work remains.
PREEMPTION_WAIT = datetime.timedelta(milliseconds=900)
# Until PREEMPTION_WAIT has passed, preemption may lose at most twice the
# step's own work: a late urgent job wastes its caller's time and its own work.
MAX_COST_RATIO = 2.0
# After PREEMPTION_WAIT, urgent work beyond its account's guarantee may lose up
# to four times its own work: it is worth more per core-second than what it
# stops.
MAX_COST_RATIO_AFTER_WAIT = 4.0
# These two bound the duration of rounds while hundreds of jobs wait.
MAX_PREEMPTION_SEARCHES = 8  # per round
PREEMPTION_SEARCH_INTERVAL = datetime.timedelta(milliseconds=150)  # per step
# Where scheduling plans ahead a search costs more and mostly settles a step.
AHEAD_SEARCH_INTERVAL = datetime.timedelta(milliseconds=250)
# Starts of a step that wait for their answers: the orders of other jobs queue
# behind them. Later rounds start further tasks of a wide step.
MAX_STARTS_OF_STEP = 128
# Less urgent work waits this long for free capacity before it preempts.
NON_URGENT_PREEMPTION_WAIT = datetime.timedelta(seconds=1)
# Away from its data or spread over racks, a task takes three times as long
# (protocol); this pays once the wait exceeds the two additional run times.
REMOTE_FACTOR = 3
_PHASES_TO_WORK = frozenset(
    {runs.Phase.ASSIGNED, runs.Phase.STARTING, runs.Phase.AT_WORK}
)


@dataclasses.dataclass(frozen=True, slots=True)
class RoundInputs:
    """Inputs of one scheduling round."""

    jobs: list[runs.JobState]
    workers_by_id: dict[str, runs.Worker]
    now: datetime.timedelta  # monotonic
    wall: datetime.datetime
    accelerators_by_account: dict[str, int]
    reservations: reservations.Reservations
    durations: estimates.RunTimes
    headroom: headroom.Headroom
    holds: holding.Holds
    open_gangs: tuple[runs.StepState, ...] = ()
    plans_ahead: bool = False
    # From a stop order to the start in its place.
    preemption_lead: datetime.timedelta = datetime.timedelta()
    shares: fair_shares.FairShares | None = None  # if it plans ahead
    outlook: outlooks.Outlook = outlooks.NOTHING_EXPECTED
    failing: failing_gangs.FailingGangs = dataclasses.field(
        default_factory=failing_gangs.FailingGangs
    )
    # For guaranteed work to have started, if it plans ahead.
    reclaim: datetime.timedelta = datetime.timedelta()


class Planner:
    """Decide the starts and stops of one round."""

    def __init__(self, inputs: RoundInputs) -> None:
        """Collect the free capacity of all usable workers."""
        self._inputs = inputs
        self._plan = plans.Plan()
        self._pool = placing.WorkerPool(
            [
                free_worker
                for worker in inputs.workers_by_id.values()
                if (free_worker := capacities.free_worker(worker, inputs.now))
            ]
        )
        self._costs = costs.make(
            inputs.plans_ahead,
            self._pool.free_workers,
            inputs.outlook,
            inputs.durations,
        )
        self._guaranteed = ordering.guaranteed_accounts(
            inputs.jobs, inputs.accelerators_by_account
        )
        self._infeasible: set[tuple] = set()
        self._reservations = inputs.reservations
        self._free_workers_by_id = {
            free_worker.worker_id: free_worker
            for free_worker in self._pool.free_workers
        }
        self._victim_costs = _victim_costs(inputs)
        self._preemption = preempting.Preemption(
            inputs.workers_by_id,
            {
                worker.worker_id: free
                for worker in inputs.workers_by_id.values()
                if (
                    free := capacities.capacity_after_stops(worker, inputs.now)
                )
            },
            inputs.now,
            self._guaranteed,
            self._victim_costs,
        )
        self._prospects = prospects.Prospects(self._pool)
        self._headroom_ids: frozenset[str] | None = None
        self._use_by_service: dict[
            str, tuple[models.Demand, models.Demand]
        ] = {}
        self._completions_by_worker: dict[str, holding.Completions] = {}
        self._kinds: collections.Counter[tuple[str, models.Demand]] | None = (
            None
        )
        self._max_rack_tasks_by_shape: dict[
            tuple[models.Demand, int], int
        ] = {}
        self._preemption_searches = 0
        self._isolation = isolating.Isolation(
            self._plan,
            self._pool,
            self._preemption,
            self._reservations,
            inputs.holds,
        )

    def plan(self) -> plans.Plan:
        """Return the decisions; a job that cannot be planned has none."""
        now = self._inputs.now
        self._reservations.drop_expired(now)
        self._inputs.holds.drop_expired(now)
        for step in self._reservations.steps():
            self._isolation.decide(step.job, self._start_reserved, step)
        for entry in self._reservations.all():
            self._allocate(entry.worker_id, entry.demand())
        for step in self._inputs.open_gangs:
            self._isolation.decide(step.job, self._refill, step)
        for job in self._ordered_jobs():
            if not self._isolation.decide(job, self._plan_job, job):
                self._infeasible.clear()
        return self._plan

    def avoidances(self) -> list[plans.Avoidance]:
        """Return which placements were avoided, and why."""
        newly_deferred = self._inputs.failing.take_newly_deferred()
        return newly_deferred + self._costs.avoidances(self._plan.starts)

    def _ordered_jobs(self) -> list[runs.JobState]:
        """Return the jobs to plan, the most urgent first."""
        keyed: list[tuple[tuple, int]] = []
        for number, job in enumerate(self._inputs.jobs):
            if not job.final_state and not job.is_cancelled:
                self._isolation.decide(job, self._add_key, job, number, keyed)
        ranked = [
            (key, self._inputs.jobs[number]) for key, number in sorted(keyed)
        ]
        if self._inputs.shares is None:
            ordered = [job for _, job in ranked]
        else:
            ordered = self._inputs.shares.order(ranked, self._inputs.now)
        if self._inputs.plans_ahead:
            ordered = self._inputs.failing.order(ordered, self._inputs.now)
        return ordered

    def _add_key(
        self,
        job: runs.JobState,
        number: int,
        keyed: list[tuple[tuple, int]],
    ) -> None:
        key = ordering.sort_key(
            job, self._inputs.now, self._guaranteed, self._inputs.durations
        )
        if self._inputs.plans_ahead:
            is_guaranteed = self._is_guaranteed(job)
            self._inputs.failing.examine(job, self._inputs.now, is_guaranteed)
        keyed.append((key, number))

    def _plan_job(self, job: runs.JobState) -> None:
        for step in ready_steps(job, self._inputs.now, self._inputs.wall):
            self._plan_step(step)

    def _allocate(self, worker_id: str, demand: models.Demand) -> None:
        self._preemption.allocate(worker_id, demand)
        free_worker = self._free_workers_by_id.get(worker_id)
        if free_worker is not None:
            free_worker.free = free_worker.free.minus(demand)

    def _start_reserved(self, step: runs.StepState) -> None:
        """Start tasks whose reserved capacity is free; a gang as a whole."""
        entries = list(self._reservations.of(step))
        ready = [
            entry
            for entry in entries
            if (free_worker := self._free_workers_by_id.get(entry.worker_id))
            and entry.demand().fits(free_worker.free)
        ]
        if step.model.is_gang and (
            len(ready) < len(entries)
            or len(step.waiting) < step.model.width
            or self._reservations.count(step) != step.model.width
        ):
            return
        resting = step.rests.indexes(self._inputs.now)
        waiting = [n for n in sorted(step.waiting) if n not in resting]
        counts = step.run_count_by_worker()
        for entry in ready:
            count = min(entry.count, len(waiting))
            if step.model.spread_limit:
                left = step.model.spread_limit - counts[entry.worker_id]
                count = min(count, max(left, 0))
            counts[entry.worker_id] += count
            free_worker = self._free_workers_by_id[entry.worker_id]
            demand = placing.demand_of(step.model)
            for index in waiting[:count]:
                free_worker.free = free_worker.free.minus(demand)
                self._start(step, index, free_worker)
            waiting = waiting[count:]
            self._reservations.use(entry, entry.count)

    def _refill(self, step: runs.StepState) -> None:
        """Place the missing members of a gang, before any other work."""
        if not step.open_gang_number:
            return
        advised = self._advised(step)
        if advised is None:
            return
        free_workers = self._pool.eligible(
            step.model, step.job.job.queue.service, advised or None
        )
        racks = {
            self._inputs.workers_by_id[run.worker_id].rack
            for run in step.runs_by_index.values()
        } - {None}
        if step.model.is_rack_local and len(racks) == 1:
            free_workers = [w for w in free_workers if w.rack in racks]
        waiting = sorted(step.waiting)
        placed = self._pool.place(
            step.model,
            len(waiting),
            free_workers,
            step.run_count_by_worker(),
            self._costs.of(step),
        )
        if len(placed) < len(waiting):
            self._pool.release(step.model, placed)
            return
        for index, free_worker in zip(waiting, placed, strict=True):
            self._start(step, index, free_worker)

    def _plan_step(self, step: runs.StepState) -> None:
        if self._unplanned_count(step) <= 0:
            return
        signature = self._signature(step)
        advised = self._advised(step)
        if advised is None:
            return
        is_unrestricted = not advised
        is_placed = (
            not is_unrestricted or signature not in self._infeasible
        ) and self._place(step, self._candidates(step, advised))
        if not is_placed and is_unrestricted:
            self._infeasible.add(signature)
        if not is_placed and self._may_use_kept(step):
            kept = self._candidates(step, advised, with_kept=True)
            is_placed = self._place(step, kept)
        if not is_placed:
            if not is_unrestricted:
                self._want_advice(step)
            if not step.is_deferred and not self._preempt(step, advised):
                self._hold(step, advised)

    def _signature(self, step: runs.StepState) -> tuple:
        """Return what decides on which workers a step may be placed."""
        model, queue = step.model, step.job.job.queue
        is_local = model.is_gang and model.is_rack_local
        return (
            placing.demand_of(model),
            model.required_label,
            model.data_rack,
            bool(model.data_rack) and self._accepts_remote_placement(step),
            queue.service,
            queue.priority > 0 or step.is_deferred,
            model.is_gang and model.width,
            is_local and not self._may_span_racks(step),
            # Its own runs decide how many tasks each worker may still take.
            model.spread_limit and step.key(0),
        )

    def _advised(self, step: runs.StepState) -> frozenset[str] | None:
        """Return the advised workers: empty for any, None while unknown."""
        if step.job.job.queue.advice is None:
            return frozenset()
        valid = step.advised_workers(self._inputs.now)
        if not valid:
            self._want_advice(step)
            return None
        return valid

    def _want_advice(self, step: runs.StepState) -> None:
        """Ask where the step may run; first where there is room for it."""
        worker_ids: tuple[str, ...] = ()
        if self._prospects.may_search(step):
            worker_ids = self._prospective_workers(step)
        self._plan.advice_wanted.append(plans.AdviceWish(step, worker_ids))

    def _prospective_workers(self, step: runs.StepState) -> tuple[str, ...]:
        """Return workers with room for a step, unless they are barred."""
        workers_by_id = self._inputs.workers_by_id
        free_workers = [
            free_worker
            for free_worker in self._candidates(
                step, frozenset(), self._may_use_kept(step)
            )
            if not step.is_barred(workers_by_id[free_worker.worker_id])
        ]
        return self._prospects.workers_for(
            step,
            free_workers,
            self._may_span_racks(step),
            self._costs.of(step),
        )

    def _may_use_kept(self, step: runs.StepState) -> bool:
        """Return whether a step may use headroom and held workers.

        These ration what is scarce. A job of which nothing runs need not wait
        beside them while most of the room is free.
        """
        job = step.job
        if not self._is_mostly_free(job.job.queue.service):
            return False
        return step.model.is_lasting or not (
            any(self._is_expected_at_work(run) for run in job.runs)
            or any(start.step.job is job for start in self._plan.starts)
        )

    def _is_expected_at_work(self, run: runs.Run) -> bool:
        """Return whether a run is at work, or soon is; not if in doubt."""
        worker = self._inputs.workers_by_id.get(run.worker_id)
        return (
            run.phase in _PHASES_TO_WORK
            and worker is not None
            and worker.unreachable_since is None
        )

    def _is_mostly_free(self, service: str) -> bool:
        """Return whether under half of each resource is in use or planned."""
        if service not in self._use_by_service:
            self._use_by_service[service] = capacities.use_of(
                self._inputs.workers_by_id.values(), service
            )
        used, total = self._use_by_service[service]
        if not used.times(2).fits(total):
            return False
        for start in self._plan.starts:
            if start.step.job.job.queue.service == service:
                used = used.plus(placing.demand_of(start.step.model))
        return used.times(2).fits(total)

    def _candidates(
        self,
        step: runs.StepState,
        advised: frozenset[str],
        with_kept: bool = False,
    ) -> list[placing.FreeWorker]:
        model = step.model
        free_workers = self._pool.eligible(
            model, step.job.job.queue.service, advised or None, with_kept
        )
        if not with_kept:
            free_workers = self._outside_headroom(step, free_workers)
        if not model.data_rack:
            return free_workers
        near = [
            free_worker
            for free_worker in free_workers
            if free_worker.rack == model.data_rack
        ]
        if near and not self._accepts_remote_placement(step):
            return near
        return free_workers

    def _outside_headroom(
        self, step: runs.StepState, free_workers: list[placing.FreeWorker]
    ) -> list[placing.FreeWorker]:
        """Return the workers that the step may use in an overload."""
        if step.job.job.queue.priority == 0 and not step.is_deferred:
            return free_workers
        headroom_ids = self._headroom_workers()
        return [
            free_worker
            for free_worker in free_workers
            if free_worker.worker_id not in headroom_ids
        ]

    def _headroom_workers(self) -> frozenset[str]:
        """Return the headroom workers, chosen once urgent work is placed.

        Workers held for a step are left out: they become empty so that the
        step can start there.
        """
        if self._headroom_ids is None:
            held = self._inputs.holds.worker_ids()
            total = sum(
                worker.listing.accelerators
                for worker in capacities.counted(
                    self._inputs.workers_by_id.values()
                )
            )
            free_workers = [
                free_worker
                for free_worker in self._pool.free_workers
                if free_worker.worker_id not in held
            ]
            self._headroom_ids = self._inputs.headroom.headroom_workers(
                free_workers, total, self._inputs.outlook.leaving_ids()
            )
        return self._headroom_ids

    def _accepts_remote_placement(self, step: runs.StepState) -> bool:
        """Return whether waiting has cost more than a remote placement."""
        waited = self._inputs.now - step.job.accepted_at
        expected = self._inputs.durations.expected(step.job.job, step.model)
        return waited > expected * (REMOTE_FACTOR - 1)

    def _place(
        self, step: runs.StepState, free_workers: list[placing.FreeWorker]
    ) -> bool:
        """Plan starts on these workers; return whether none is missing."""
        if step.model.is_gang:
            return self._place_gang(step, free_workers)
        return self._place_tasks(step, free_workers)

    def _place_gang(
        self, step: runs.StepState, free_workers: list[placing.FreeWorker]
    ) -> bool:
        if len(step.waiting) < step.model.width:
            return True  # an earlier run is still ending
        placed = self._pool.place_gang(
            step.model,
            free_workers,
            self._may_span_racks(step),
            self._costs.of(step),
        )
        for index, free_worker in enumerate(placed):
            self._start(step, index, free_worker)
        return bool(placed)

    def _place_tasks(
        self, step: runs.StepState, free_workers: list[placing.FreeWorker]
    ) -> bool:
        limit = MAX_STARTS_OF_STEP - step.unanswered_count()
        waiting = self._unplanned_indexes(step, limit)
        counts = self._count_by_worker(step)
        placed = self._pool.place(
            step.model,
            len(waiting),
            free_workers,
            counts,
            self._costs.of(step),
        )
        for index, free_worker in zip(waiting, placed, strict=False):
            self._start(step, index, free_worker)
        return len(placed) == len(waiting)

    def _count_by_worker(
        self, step: runs.StepState
    ) -> collections.Counter[str]:
        """Count a step's runs, planned starts and reservations by worker."""
        counts = step.run_count_by_worker()
        counts.update(
            start.worker_id
            for start in self._plan.starts
            if start.step is step
        )
        for entry in self._reservations.of(step):
            counts[entry.worker_id] += entry.count
        return counts

    def _unplanned_count(self, step: runs.StepState) -> int:
        """Count the waiting tasks without a planned start or reservation."""
        planned = sum(start.step is step for start in self._plan.starts)
        resting = step.rests.count(self._inputs.now)
        reserved = self._reservations.count(step)
        return len(step.waiting) - resting - planned - reserved

    def _unplanned_indexes(
        self, step: runs.StepState, limit: int
    ) -> list[int]:
        planned = {
            start.index for start in self._plan.starts if start.step is step
        }
        count = min(self._unplanned_count(step), limit)
        planned |= step.rests.indexes(self._inputs.now)
        unplanned = (index for index in step.waiting if index not in planned)
        return list(itertools.islice(unplanned, max(count, 0)))

    def _may_span_racks(self, step: runs.StepState) -> bool:
        """Return whether a gang is better spread over racks than waiting."""
        return self._accepts_remote_placement(step) or not self._fits_a_rack(
            step
        )

    def _workers_by_kind(
        self,
    ) -> collections.Counter[tuple[str, models.Demand]]:
        """Count the workers by rack and capacity."""
        if self._kinds is None:
            self._kinds = collections.Counter(
                (worker.listing.rack, capacities.capacity_of(worker.listing))
                for worker in capacities.counted(
                    self._inputs.workers_by_id.values()
                )
            )
        return self._kinds

    def _fits_a_rack(self, step: runs.StepState) -> bool:
        model = step.model
        shape = placing.demand_of(model), model.spread_limit
        if shape not in self._max_rack_tasks_by_shape:
            count_by_rack: collections.Counter[str] = collections.Counter()
            for (rack, capacity), number in self._workers_by_kind().items():
                count = placing.max_tasks_on_empty(model, capacity)
                count_by_rack[rack] += count * number
            self._max_rack_tasks_by_shape[shape] = max(
                count_by_rack.values(), default=0
            )
        return self._max_rack_tasks_by_shape[shape] >= model.width

    def _start(
        self, step: runs.StepState, index: int, free_worker: placing.FreeWorker
    ) -> None:
        self._plan.starts.append(
            plans.Start(step, index, free_worker.worker_id)
        )
        step.stop_waiting()
        self._preemption.allocate(
            free_worker.worker_id, placing.demand_of(step.model)
        )

    def _preempt(self, step: runs.StepState, advised: frozenset[str]) -> bool:
        """Free capacity; return whether the step waits for runs to end."""
        now = self._inputs.now
        waited = now - step.job.accepted_at
        is_urgent = step.job.job.queue.priority == 0
        if step.model.is_filling or not (
            is_urgent or waited > NON_URGENT_PREEMPTION_WAIT
        ):
            return False
        if not self._is_guaranteed(step.job) and self._is_too_late(step.job):
            return False  # even with preemption it would not finish in time
        count = self._unplanned_count(step)
        if step.model.is_gang and count < step.model.width:
            return False
        if not step.model.is_gang:
            count = min(count, MAX_STARTS_OF_STEP)
        if (
            now < step.search_at
            or self._preemption_searches >= MAX_PREEMPTION_SEARCHES
            or self._is_still_awaiting(step)
        ):
            return self._keep_awaited(step, count)
        step.search_at = now + (
            AHEAD_SEARCH_INTERVAL
            if self._inputs.plans_ahead
            else PREEMPTION_SEARCH_INTERVAL
        )
        choices = self._choose(step, count, advised)
        if not choices:
            step.awaited = ()
            return False
        if deciding.is_wait(choices):
            return is_urgent and self._await(step, choices)
        self._reservations.add(step, [c.worker_id for c in choices], now)
        for choice in choices:
            self._take(choice.worker_id, step)
            self._plan.stops.extend(
                plans.Stop(run, f"preempted by {step.job.job.job_id}")
                for run in choice.victims
            )
        return False

    def _choose(
        self, step: runs.StepState, count: int, advised: frozenset[str]
    ) -> list[preempting.Choice]:
        """Return what to stop or to wait for; it is allocated."""
        is_urgent = step.job.job.queue.priority == 0
        headroom_ids = frozenset() if is_urgent else self._headroom_workers()
        excluded = self._pool.held | headroom_ids | self._barred(advised)
        may_span_racks = self._may_span_racks(step)
        counts = self._count_by_worker(step)

        def search(limits: deciding.Limits) -> list[preempting.Choice]:
            self._preemption_searches += 1
            return self._preemption.choose(
                step,
                count,
                may_span_racks,
                limits.max_cost,
                excluded,
                counts,
                limits.horizon,
            )

        def probe(limits: deciding.Limits) -> list[preempting.Choice]:
            saved = self._preemption.save()
            found = search(limits)
            self._preemption.restore(saved)
            return found

        max_cost = self._max_preemption_cost(step)
        if not self._inputs.plans_ahead:
            return search(deciding.Limits(max_cost, None))
        lead, now = self._inputs.preemption_lead, self._inputs.now
        if not is_urgent:
            return search(deciding.Limits(max_cost, lead))
        case = deciding.Case(
            now - step.job.accepted_at,
            self._is_guaranteed(step.job),
            max_cost,
            deciding.horizon(step.awaits_until, lead, now),
        )
        return deciding.decide(case, self._terms(), search, probe)

    def _await(
        self, step: runs.StepState, choices: list[preempting.Choice]
    ) -> bool:
        """Keep capacity that becomes free without a stop for a step."""
        now, until = self._inputs.now, step.awaits_until
        if until is None or now >= until:
            step.awaits_until = now + deciding.patience(choices)
        step.awaited = tuple(choice.worker_id for choice in choices)
        step.awaited_runs = tuple(r for c in choices for r in c.ending)
        for worker_id in step.awaited:
            self._take(worker_id, step)
        return True

    def _is_still_awaiting(self, step: runs.StepState) -> bool:
        """Return whether what a step awaits is still expected in time."""
        now, until = self._inputs.now, step.awaits_until
        if not step.awaited or now >= until:
            return False
        if self._is_guaranteed(step.job):
            terms = self._terms()
            if now - step.job.accepted_at >= terms.latest_stop:
                return False
        return self._victim_costs.still_end(step.awaited_runs, until - now)

    def _terms(self) -> deciding.Terms:
        return deciding.Terms(
            self._inputs.preemption_lead, self._inputs.reclaim
        )

    def _keep_awaited(self, step: runs.StepState, count: int) -> bool:
        """Keep what a step awaits, between two searches."""
        awaited = step.awaited[:count]
        if not awaited or self._inputs.now >= step.awaits_until:
            return False
        for worker_id in awaited:
            self._preemption.allocate(worker_id, placing.demand_of(step.model))
            self._take(worker_id, step)
        return True

    def _take(self, worker_id: str, step: runs.StepState) -> None:
        free_worker = self._free_workers_by_id.get(worker_id)
        if free_worker is not None:
            demand = placing.demand_of(step.model)
            free_worker.free = free_worker.free.minus(demand)

    def _barred(self, advised: frozenset[str]) -> frozenset[str]:
        """Return the workers that advice leaves out."""
        if not advised:
            return frozenset()
        return frozenset(self._inputs.workers_by_id) - advised

    def _is_guaranteed(self, job: runs.JobState) -> bool:
        return (
            job.job.queue.priority == 0 and job.job.account in self._guaranteed
        )

    def _is_too_late(self, job: runs.JobState) -> bool:
        now = self._inputs.now
        return ordering.is_past_final_deadline(
            job, now, job.objective
        ) or ordering.is_slack_exhausted(job, now)

    def _hold(self, step: runs.StepState, advised: frozenset[str]) -> None:
        """Keep less urgent work off the workers that fit the step soonest."""
        if step.model.is_lasting or self._unplanned_count(step) <= 0:
            return
        budget = int(len(self._pool.free_workers) * holding.MAX_HELD_SHARE)
        budget -= len(self._pool.held)
        holds = self._inputs.holds
        best = holds.of(step) or self._soonest(step, budget, advised)
        if not best or len(best) > budget:
            return
        if not holds.of(step):
            holds.add(step, best, self._inputs.now)
        self._pool.hold(best)

    def _completions(self, worker: runs.Worker) -> holding.Completions:
        if worker.worker_id not in self._completions_by_worker:
            self._completions_by_worker[worker.worker_id] = (
                holding.expected_completions(
                    worker, self._inputs.durations, self._inputs.now
                )
            )
        return self._completions_by_worker[worker.worker_id]

    def _soonest(
        self, step: runs.StepState, budget: int, advised: frozenset[str]
    ) -> list[str]:
        """Return the workers on which a large step's tasks fit soonest."""
        if not self._inputs.holds.may_search():
            return []
        model = step.model
        within_rack = model.is_rack_local and not self._may_span_racks(step)
        slots_by_rack: dict[str, dict[str, list[datetime.timedelta]]] = {}
        for free_worker in self._outside_headroom(
            step,
            self._pool.eligible(
                model, step.job.job.queue.service, advised or None
            ),
        ):
            worker = self._inputs.workers_by_id[free_worker.worker_id]
            is_near = model.data_rack in ("", free_worker.rack)
            capacity = capacities.capacity_of(worker.listing)
            if is_near and holding.is_large(model, capacity):
                rack = free_worker.rack if within_rack else ""
                slots = slots_by_rack.setdefault(rack, {})
                slots[free_worker.worker_id] = holding.times_to_fit(
                    self._completions(worker),
                    free_worker.free,
                    placing.demand_of(model),
                )
        count = min(self._unplanned_count(step), max(budget, 0))
        wanted = model.width if model.is_gang else count
        plans = [
            plan
            for slots in slots_by_rack.values()
            if wanted and (plan := holding.choose(slots, wanted))
        ]
        return min(plans, key=len, default=[])

    def _max_preemption_cost(self, step: runs.StepState) -> float:
        """Return the core-seconds that preemption for a step may lose."""
        waited = self._inputs.now - step.job.accepted_at
        is_urgent = step.job.job.queue.priority == 0
        has_waited = is_urgent and waited >= PREEMPTION_WAIT
        if self._inputs.plans_ahead:
            # A wait would not help, so the limit after it holds at once.
            has_waited = is_urgent
        elif has_waited and self._is_guaranteed(step.job):
            return float("inf")
        expected = self._inputs.durations.expected(step.job.job, step.model)
        own = preempting.core_equivalent(step.model.demand) * step.model.width
        factor = MAX_COST_RATIO_AFTER_WAIT if has_waited else MAX_COST_RATIO
        return own * expected.total_seconds() * factor


def _victim_costs(inputs: RoundInputs) -> victims.VictimCosts | None:
    """Return the costs of victims, if scheduling plans ahead."""
    if not inputs.plans_ahead:
        return None
    ends = run_ends.RunEnds(inputs.durations, inputs.now)
    return victims.VictimCosts(ends, inputs.preemption_lead, inputs.now)


def ready_steps(
    job: runs.JobState, now: datetime.timedelta, wall: datetime.datetime
) -> list[runs.StepState]:
    """Return the steps with waiting tasks that may start now."""
    ready = []
    timetable = job.job.timetable
    occurrences.open_due(job, wall)
    for (occurrence, _), step in job.steps_by_key.items():
        if not step.waiting or step.retry_at > now:
            continue
        if timetable and timetable.due(occurrence) > wall:
            continue
        if all(
            job.steps_by_key[occurrence, number].is_done
            for number in step.model.after
        ):
            ready.append(step)
    return ready
