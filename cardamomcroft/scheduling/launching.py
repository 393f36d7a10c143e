"""Record the starts that a round has planned, then send them."""

import collections
import datetime

from cardamomcroft.scheduling import capacity as capacities
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import plans
from cardamomcroft.scheduling import runs
from cardamomcroft.scheduling import unread_ends

FULL_RECORD_AVOIDANCE = datetime.timedelta(seconds=1)
RELEASE_PAUSE = datetime.timedelta(milliseconds=200)  # before the next start
# Longer than RELEASE_PAUSE, so that the next start is on another worker.
FAILED_AVOIDANCE = datetime.timedelta(milliseconds=300)


class Launcher:
    """Record planned starts and send them to the workers."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        orders: order_senders.OrderSender,
    ) -> None:
        """Send starts through ``orders``."""
        self._cluster = cluster
        self._orders = orders
        self._unread_ends = unread_ends.UnreadEnds(cluster)

    def assign(self, starts: list[plans.Start]) -> None:
        """Assign run numbers to starts; send them once they are recorded."""
        starts_by_job = collections.defaultdict(list)
        for start in starts:
            starts_by_job[start.step.job].append(start)
        batch: list[runs.Run] = []
        for job, job_starts in starts_by_job.items():
            batch += self._assign_job(job, job_starts)
        batch = _still_assigned(batch)
        if batch:
            self._cluster.spawn(self._send(batch))

    def _assign_job(
        self, job: runs.JobState, starts: list[plans.Start]
    ) -> list[runs.Run]:
        """Assign all starts of a job, or after an error none of them."""
        batch: list[runs.Run] = []
        try:
            batch += self._make_runs(starts)
            self._mark_remote(batch)
            for run in batch:
                self._cluster.attach(run)
            self._stage_starts(batch)
            self._withdraw_unrecordable(batch)
        except Exception as error:
            self._cluster.failures.report(
                "job_assignment_failed", job.job.job_id, repr(error)
            )
            self._release(batch)
        return batch

    def _make_runs(self, starts: list[plans.Start]) -> list[runs.Run]:
        """Return the runs, numbered; a number is never given again."""
        now = self._cluster.clock.monotonic()
        gang_numbers: dict[runs.StepState, int] = {}
        run_base = self._cluster.parameters.run_base
        batch = []
        for start in starts:
            step = start.step
            if step not in gang_numbers and step.open_gang_number:
                gang_numbers[step] = step.open_gang_number
            if not step.model.is_gang:
                number = run_base + step.count_run(start.index)
            elif step in gang_numbers:
                number = gang_numbers[step]
            else:
                number = gang_numbers[step] = run_base + step.count_run(0)
            run = runs.Run(
                step.key(start.index),
                number,
                start.worker_id,
                step,
                runs.Phase.ASSIGNED,
                now,
            )
            run.checkpoint = step.checkpoint(start.index)
            run.is_resumed = bool(run.checkpoint)
            batch.append(run)
        return batch

    def _mark_remote(self, batch: list[runs.Run]) -> None:
        """Mark runs that take longer: away from data, or across racks."""
        workers_by_id = self._cluster.workers_by_id
        racks_by_step: dict[runs.StepState, set[str | None]] = {}
        for run in batch:
            model = run.step.model
            rack = workers_by_id[run.worker_id].rack
            if model.data_rack and rack != model.data_rack:
                run.is_remote = True
            if not model.is_rack_local:
                continue
            if run.step not in racks_by_step:
                racks_by_step[run.step] = {
                    workers_by_id[member.worker_id].rack
                    for member in run.step.runs_by_index.values()
                }
            # A worker whose rack is unknown may be on another one.
            racks_by_step[run.step].add(rack)
            run.is_remote = run.is_remote or len(racks_by_step[run.step]) > 1

    def _stage_starts(self, batch: list[runs.Run]) -> None:
        for worker_id in {run.worker_id for run in batch}:
            self._cluster.stage_assignment(
                self._cluster.workers_by_id[worker_id]
            )

    def _withdraw_unrecordable(self, batch: list[runs.Run]) -> None:
        """Withdraw starts on workers with too many runs for a record."""
        batch_by_worker = collections.defaultdict(list)
        for run in _still_assigned(batch):
            batch_by_worker[run.worker_id].append(run)
        for worker_id, assigned in batch_by_worker.items():
            worker = self._cluster.workers_by_id[worker_id]
            key = _record_key(worker_id)
            while assigned and self._cluster.journal.is_held(key):
                half = len(assigned) // 2
                self._withdraw(worker, assigned[half:])
                assigned = assigned[:half]
                self._cluster.stage_assignment(worker)

    def _withdraw(self, worker: runs.Worker, starts: list[runs.Run]) -> None:
        self._cluster.avoidance.record_refusal(worker, FULL_RECORD_AVOIDANCE)
        for run in starts:
            if run.step.model.is_gang:
                self._orders.stop_gang(run.step, "worker's record full")
            else:
                self._orders.stop(run, "worker's record full")

    def _release(self, batch: list[runs.Run]) -> None:
        """Let tasks wait again whose starts nobody will send any more."""
        if self._cluster.is_closed or self._cluster.journal.is_claim_lost:
            return
        now = self._cluster.clock.monotonic()
        unsent = _still_assigned(batch)
        for run in batch:
            if run.phase is runs.Phase.STARTING:
                run.phase = runs.Phase.UNCERTAIN
                run.began_at = now
        for run in unsent:
            run.checkpoint = ""  # the step has it; nothing is to be recorded
        for run in unsent:
            run.step.retry_at = now + RELEASE_PAUSE
            if run.step.model.is_gang:
                self._orders.stop_gang(run.step, "not sent")
            # A member that was not attached yet is not in its gang.
            self._orders.stop(run, "not sent")

    async def _send(self, batch: list[runs.Run]) -> None:
        """Send starts; release those that no other coroutine will send."""
        unsent = set(batch)
        try:
            if await self._confirm(batch):
                for awaiting in self._unread_ends.select(batch):
                    self._cluster.spawn(self._send_after_ends(awaiting))
                    unsent.difference_update(awaiting)
                sure = [run for run in batch if run in unsent]
                unsent.difference_update(self._spawn_starts(sure))
        finally:
            self._release([run for run in batch if run in unsent])

    def _spawn_starts(self, batch: list[runs.Run]) -> set[runs.Run]:
        """Send starts in the background; return those that will be sent."""
        sent: set[runs.Run] = set()
        for worker, assigned in self._by_worker(batch):
            self._cluster.spawn(self._start_all(worker, assigned))
            sent.update(assigned)
        return sent

    async def _send_after_ends(self, batch: list[runs.Run]) -> None:
        """Send starts of tasks that may prove to have ended before."""
        unsent = set(batch)
        for run in batch:
            run.awaits_end = True
        try:
            await self._unread_ends.wait(batch)
            while not self._cluster.is_claim_confirmed:
                if not await self._confirm(batch):
                    return
                await self._unread_ends.wait(batch)
            _renew_checkpoints(batch)
            if self._are_usable(batch):
                unsent.difference_update(self._spawn_starts(batch))
        finally:
            for run in batch:
                run.awaits_end = False
            self._release([run for run in batch if run in unsent])

    def _are_usable(self, batch: list[runs.Run]) -> bool:
        """Return whether all of a step's workers still get new tasks."""
        now = self._cluster.clock.monotonic()
        workers_by_id = self._cluster.workers_by_id
        return all(
            capacities.is_usable(workers_by_id[run.worker_id], now)
            for run in _still_assigned(batch)
        )

    async def _confirm(self, batch: list[runs.Run]) -> bool:
        """Wait until the starts are recorded and confirm the claim."""
        journal = self._cluster.journal
        while batch := _still_assigned(batch):
            keys = {_record_key(run.worker_id) for run in batch}
            if await journal.commit(keys):
                if self._cluster.is_claim_confirmed:
                    return True
            elif journal.is_claim_lost:
                return False
            else:
                # A record has outgrown the store's limit since the plan.
                self._withdraw_unrecordable(batch)
        return False

    def _by_worker(
        self, batch: list[runs.Run]
    ) -> list[tuple[runs.Worker, list[runs.Run]]]:
        by_id: dict[str, list[runs.Run]] = collections.defaultdict(list)
        for run in _still_assigned(batch):
            by_id[run.worker_id].append(run)
        workers_by_id = self._cluster.workers_by_id
        return [
            (workers_by_id[worker_id], _interleave(assigned))
            for worker_id, assigned in by_id.items()
        ]

    async def _start_all(
        self, worker: runs.Worker, assigned: list[runs.Run]
    ) -> None:
        """Order starts; after an error release those not sent."""
        try:
            await self._orders.start_all(worker, assigned)
        except Exception:
            self._cluster.avoidance.record_refusal(worker, FAILED_AVOIDANCE)
            raise
        finally:
            self._release(assigned)


def _still_assigned(batch: list[runs.Run]) -> list[runs.Run]:
    """Return the runs that were neither stopped nor dropped."""
    return [run for run in batch if run.phase is runs.Phase.ASSIGNED]


def _renew_checkpoints(batch: list[runs.Run]) -> None:
    """Let starts resume from checkpoints that were read after their plan."""
    for run in _still_assigned(batch):
        run.checkpoint = run.step.checkpoint(run.key.index)
        run.is_resumed = bool(run.checkpoint)


def _interleave(assigned: list[runs.Run]) -> list[runs.Run]:
    """Return the starts so that those of no job precede all of another's."""
    counts: collections.Counter[str] = collections.Counter()
    ranked = []
    for run in assigned:
        ranked.append((counts[run.key.job_id], run))
        counts[run.key.job_id] += 1
    return [run for _, run in sorted(ranked, key=lambda pair: pair[0])]


def _record_key(worker_id: str) -> str:
    return ledgers.Kind.ASSIGNMENT.key(worker_id)
