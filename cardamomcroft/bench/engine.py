"""Simulate a workload under a policy, event by event."""

import collections
import dataclasses
import heapq
import itertools
import random
import time

from cardamomcroft.bench import arrivals
from cardamomcroft.bench import runs
from cardamomcroft.bench import workload as workloads
from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import estimates
from cardamomcroft.policy import invariants
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents
from cardamomcroft.state import models
from cardamomcroft.workers import health as healths

VISIBLE_JOBS_PER_QUEUE = 64  # waiting jobs that a policy sees
FAILURE_DELAY_S = 1.0  # run time before a failing worker fails a task
MAX_ATTEMPTS = 3
TIME_LIMIT_FACTOR = 20.0  # simulated time limit, in multiples of the hours
REVIEW_PERIOD_S = 30.0  # between decisions without events while jobs wait


class Engine:
    """Applies a policy's decisions to simulated workers."""

    def __init__(
        self,
        workload: workloads.Workload,
        policy: base.Policy,
        seed: int,
        check_period_rounds: int = 1,
    ) -> None:
        """Draw the jobs and faults of the workload from the seed.

        Invariants are checked every ``check_period_rounds`` rounds.
        """
        self._workload = workload
        self._policy = policy
        self._check_period_rounds = check_period_rounds
        self._clock = runs.EngineClock()
        self._health = healths.Health(self._clock)
        self._estimates = estimates.Estimates()
        self._workers = runs.make_workers(workload)
        self._index_by_worker_id = {
            worker.worker_id: number
            for number, worker in enumerate(self._workers)
        }
        self._lost_workers: set[int] = set()
        self._accounts = {
            name: base.AccountView(
                name, terms.weight, terms.guarantee, dict(terms.callers)
            )
            for name, terms in workload.accounts.items()
        }
        generator = arrivals.Generator(workload, seed)
        self._arrivals = generator.arrivals()
        self._failing_workers = generator.failing_workers(len(self._workers))
        self._events: list[tuple[float, int, object]] = []
        self._event_sequence = itertools.count()
        for arrival in self._arrivals:
            self._push(arrival.at_s, arrival)
        for fault in generator.faults(len(self._workers)):
            self._push(fault.at_s, fault)
        self.jobs: dict[str, runs.JobRun] = {}
        self._queues: dict[tuple, dict[str, runs.JobRun]] = (
            collections.defaultdict(dict)
        )
        self._running: dict[str, runs.JobRun] = {}
        self._costs = runs.DecisionCosts()
        self._plans: tuple[base.GangStart, ...] = ()
        self._violations: collections.Counter[str] = collections.Counter()
        self._work_lost_s = 0.0
        self._reclaim_times_s: list[float] = []
        self._unusable_accelerator_s = 0.0
        self._measured_s = 0.0

    def _push(self, at_s: float, event: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_sequence), event))

    @property
    def _now_s(self) -> float:
        return self._clock.elapsed_s

    def run(self) -> runs.Outcome:
        """Run until every job has ended or the time limit is reached."""
        limit_s = self._workload.hours * arrivals.HOUR_S * TIME_LIMIT_FACTOR
        next_review_s = 0.0
        while self._events and self._now_s < limit_s:
            at_s = self._events[0][0]
            self._accumulate_fragmentation(min(at_s, limit_s))
            self._clock.elapsed_s = at_s
            while self._events and self._events[0][0] <= at_s:
                self._handle_event(heapq.heappop(self._events)[2])
            self._decide()
            is_waiting = any(self._queues.values())
            if is_waiting and at_s >= next_review_s:
                next_review_s = at_s + REVIEW_PERIOD_S
                self._push(next_review_s, None)
        return self._make_outcome()

    def _make_outcome(self) -> runs.Outcome:
        for run in self.jobs.values():
            if not run.outcome:
                self._violations["unfinished"] += 1
        capacity = sum(worker.accelerators for worker in self._workers)
        measured_s = max(self._measured_s, 1.0)
        return runs.Outcome(
            self._workload,
            tuple(self.jobs.values()),
            capacity,
            self._unusable_accelerator_s / measured_s / max(capacity, 1),
            self._work_lost_s,
            tuple(self._reclaim_times_s),
            self._costs,
            dict(self._violations),
            self._now_s,
        )

    def _accumulate_fragmentation(self, until_s: float) -> None:
        """Add the unusable free accelerator-seconds until a time.

        A free block is unusable if it is smaller than the largest request
        at the head of a queue.
        """
        span_s = until_s - self._now_s
        waiting = [
            run.arrival.spec.accelerators
            for queue in self._queues.values()
            for run in itertools.islice(queue.values(), 1)
        ]
        self._measured_s += span_s
        size = max(waiting, default=0)
        if size <= 1 or span_s <= 0:
            return
        size = cells.next_power_of_two(size)
        free = self._free_masks()
        unusable = 0
        for worker in self._workers:
            mask = free.get(worker.worker_id, 0)
            if not worker.accelerators:
                continue
            unusable += sum(
                block
                for block in cells.free_blocks(mask, worker.units)
                if block < size
            )
        self._unusable_accelerator_s += unusable * span_s

    def _free_masks(self) -> dict[str, int]:
        free = {
            worker.worker_id: (1 << worker.units) - 1
            for number, worker in enumerate(self._workers)
            if number not in self._lost_workers
        }
        for run in self._running.values():
            for placement in run.placements:
                if placement.worker_id in free:
                    mask = cells.mask_of(placement.cell)
                    free[placement.worker_id] &= ~mask
        return free

    def _handle_event(self, event: object) -> None:
        match event:
            case arrivals.Arrival():
                self._handle_arrival(event)
            case arrivals.Fault():
                self._handle_fault(event)
            case runs.AttemptEnd():
                self._handle_attempt_end(event)
            case runs.CheckpointEnd():
                self._handle_checkpoint_end(event)

    def _handle_arrival(self, arrival: arrivals.Arrival) -> None:
        run = runs.JobRun(arrival, len(self.jobs))
        self.jobs[arrival.job_id] = run
        account = self._accounts[arrival.account]
        reason = self._policy.infeasibility_reason(
            arrival.spec, account, self._workers
        )
        if reason is not None:
            run.outcome = "refused"
            return
        run.is_entitled = self._is_entitled(arrival, account)
        self._enqueue(run)

    def _is_entitled(
        self, arrival: arrivals.Arrival, account: base.AccountView
    ) -> bool:
        """Return whether an urgent job fits its account's guarantee now."""
        if arrival.spec.urgency is not documents.Urgency.URGENT:
            return False
        if self._lost_workers:
            return False
        holders = [
            run.arrival.spec
            for run in itertools.chain(
                self._running.values(),
                *map(dict.values, self._queues_of(arrival.account)),
            )
            if run.arrival.account == arrival.account
            and run.arrival.spec.urgency is not documents.Urgency.BATCH
        ]
        return invariants.entitled(account, holders, arrival.spec)

    def _queues_of(self, account: str) -> list[dict[str, runs.JobRun]]:
        return [
            queue for key, queue in self._queues.items() if key[0] == account
        ]

    def _queue_key(self, run: runs.JobRun) -> tuple:
        arrival = run.arrival
        return (arrival.account, arrival.spec.urgency, arrival.caller)

    def _enqueue(self, run: runs.JobRun) -> None:
        queue = self._queues[self._queue_key(run)]
        queue[run.arrival.job_id] = run
        if run.attempt:
            ordered = sorted(queue.values(), key=lambda run: run.order)
            queue.clear()
            queue.update((run.arrival.job_id, run) for run in ordered)

    def _dequeue(self, run: runs.JobRun) -> None:
        key = self._queue_key(run)
        self._queues[key].pop(run.arrival.job_id, None)
        if not self._queues[key]:
            del self._queues[key]

    def _handle_fault(self, fault: arrivals.Fault) -> None:
        match fault.kind:
            case arrivals.FaultKind.LOSE:
                self._lost_workers.add(fault.worker)
                worker_id = self._workers[fault.worker].worker_id
                for run in list(self._running.values()):
                    if any(
                        placement.worker_id == worker_id
                        for placement in run.placements
                    ):
                        self._interrupt(run, 0.0)
                        self._enqueue(run)
            case arrivals.FaultKind.RETURN:
                self._lost_workers.discard(fault.worker)
            case arrivals.FaultKind.CANCEL:
                self._cancel(fault)

    def _cancel(self, fault: arrivals.Fault) -> None:
        generator = random.Random(fault.cancel_seed)
        active = [
            run
            for run in self.jobs.values()
            if not run.outcome and run.arrival.kind == fault.wave.kind
        ]
        for run in active:
            if generator.random() >= fault.wave.share:
                continue
            if run.arrival.job_id in self._running:
                self._interrupt(run, 0.0)
            else:
                self._dequeue(run)
            run.outcome = "cancelled"
            run.ended_s = self._now_s

    def _interrupt(self, run: runs.JobRun, saved_s: float) -> None:
        """End the current attempt and save up to ``saved_s`` of its work."""
        ran_s = max(0.0, self._now_s - run.started_s)
        run.spans.append((run.started_s, self._now_s))
        run.saved_work_s += min(saved_s, ran_s)
        lost_s = (ran_s - min(saved_s, ran_s)) * run.arrival.spec.members
        self._work_lost_s += lost_s
        run.started_s = None
        run.placements = ()
        run.is_stopping = False
        run.attempt += 1
        del self._running[run.arrival.job_id]

    def _handle_attempt_end(self, event: runs.AttemptEnd) -> None:
        run = event.run
        if run.attempt != event.attempt or run.started_s is None:
            return
        failed = [
            placement.worker_id
            for placement in run.placements
            if self._index_by_worker_id[placement.worker_id]
            in self._failing_workers
        ]
        kind = records.EndKind.FAILED if failed else records.EndKind.FINISHED
        worker_ids = failed or [
            placement.worker_id for placement in run.placements
        ]
        self._record_health(run, set(worker_ids), kind)
        if failed:
            self._fail_attempt(run, failed)
            return
        run.spans.append((run.started_s, self._now_s))
        run.ended_s = self._now_s
        run.is_stopping = False
        run.outcome = "completed"
        ran_s = self._now_s - run.started_s + run.saved_work_s
        self._estimates = self._estimates.observe(
            run.arrival.account, run.arrival.spec, ran_s
        )
        del self._running[run.arrival.job_id]

    def _fail_attempt(self, run: runs.JobRun, failed: list[str]) -> None:
        is_blamed = any(
            not self._health.is_suspect(worker_id) for worker_id in failed
        )
        run.failures += is_blamed
        self._interrupt(run, 0.0)
        if run.failures >= MAX_ATTEMPTS:
            run.outcome = "failed"
            run.ended_s = self._now_s
        else:
            self._enqueue(run)

    def _record_health(
        self, run: runs.JobRun, worker_ids: set[str], kind: records.EndKind
    ) -> None:
        task = messages.TaskId(run.arrival.job_id, run.attempt, 0)
        for worker_id in worker_ids:
            body = records.TasksEnded(
                worker_id, (records.TaskEnd(task, kind),)
            )
            record = records.Record("", "", self._clock.now(), 0, body)
            self._health.observe(record, models.Applied(0, True))

    def _handle_checkpoint_end(self, event: runs.CheckpointEnd) -> None:
        run = event.run
        if run.attempt != event.attempt or not run.is_stopping:
            return
        ran_s = self._now_s - run.started_s
        self._reclaim_times_s.append(self._now_s - event.requested_s)
        self._interrupt(run, ran_s - self._workload.checkpoint_s)
        self._enqueue(run)

    def _decide(self) -> None:
        view = self._make_view()
        began = time.perf_counter()
        decision = self._policy.decide(view)
        took_s = time.perf_counter() - began
        self._plans = decision.plans
        self._costs.rounds += 1
        self._costs.cells += decision.cells_examined
        self._costs.jobs += decision.jobs_examined
        self._costs.max_round_s = max(self._costs.max_round_s, took_s)
        for stop in decision.stops:
            self._stop(self.jobs[stop.job_id])
        for start in decision.starts:
            self._start(self.jobs[start.job_id], start.placements)
        if self._costs.rounds % self._check_period_rounds == 0:
            self._violations.update(
                {
                    invariant: count
                    for invariant, count in invariants.check(
                        self._make_view()
                    ).items()
                    if count
                }
            )

    def _stop(self, run: runs.JobRun) -> None:
        if run.is_stopping:
            return
        run.is_stopping = True
        event = runs.CheckpointEnd(run, run.attempt, self._now_s)
        self._push(self._now_s + self._workload.checkpoint_s, event)

    def _start(
        self, run: runs.JobRun, placements: tuple[records.Placement, ...]
    ) -> None:
        self._dequeue(run)
        run.placements = placements
        run.started_s = self._now_s + self._workload.launch_s
        if run.first_start_s is None:
            run.first_start_s = run.started_s
        self._running[run.arrival.job_id] = run
        left_s = max(run.arrival.run_s - run.saved_work_s, 0.0)
        is_failing = any(
            self._index_by_worker_id[placement.worker_id]
            in self._failing_workers
            for placement in placements
        )
        duration_s = min(left_s, FAILURE_DELAY_S) if is_failing else left_s
        self._push(
            run.started_s + duration_s, runs.AttemptEnd(run, run.attempt)
        )

    def _make_view(self) -> base.View:
        now = self._clock.now()
        waiting = [
            runs.waiting_job(run)
            for queue in self._queues.values()
            for run in itertools.islice(queue.values(), VISIBLE_JOBS_PER_QUEUE)
        ]
        waiting.sort(key=lambda job: job.order)
        workers = tuple(
            dataclasses.replace(worker, usable=False)
            if not self._is_usable(number, worker.worker_id)
            else worker
            for number, worker in enumerate(self._workers)
        )
        running = tuple(
            runs.running_gang(run, now) for run in self._running.values()
        )
        return base.View(
            now,
            workers,
            self._accounts,
            waiting,
            running,
            self._estimates,
            self._plans,
        )

    def _is_usable(self, number: int, worker_id: str) -> bool:
        return number not in self._lost_workers and self._health.is_usable(
            worker_id
        )
