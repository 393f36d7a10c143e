"""Tell the incarnations of a worker apart, which share its id."""

import collections.abc
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import orders as order_senders
from cardamomcroft.scheduling import runs

# What is known of one incarnation only.
_FIELDS_OF_INCARNATION = (
    "received_end",
    "durable_end",
    "acknowledged_end",
    "applied_ends",
    "commit",
    "ended_job_ids",
    "has_unheard_ends",
    "unanswered_polls",
    "granted_deadline_ms",
    "lease_deadline_ms",
    "lease_expires_at",
    "heard_at",
    "has_overlong_lease",
)


class Restarts:
    """Give up what ended with a worker's process, and fence the rest."""

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        orders: order_senders.OrderSender,
        ensure_polling: collections.abc.Callable[[runs.Worker], None],
    ) -> None:
        """Apply restarts to ``cluster``; ask new incarnations by polls."""
        self._cluster = cluster
        self._orders = orders
        self._ensure_polling = ensure_polling

    def handle_restart(self, worker: runs.Worker, born_ms: int) -> None:
        """Drop the former incarnation's runs; ask the new one for others.

        An order without an answer may still be carried out there, with a
        deadline of the former clock, until it has seen a higher token. What
        the former one listed is lost with it.
        """
        now = self._cluster.clock.monotonic()
        self._cluster.log.emit(
            "worker_reborn",
            worker_id=worker.worker_id,
            born_ms=born_ms,
            runs=len(worker.runs_by_task),
            may_start_late=worker.late_starts.are_possible(now),
        )
        worker.former_births.add(worker.born_ms)
        worker.former_token = self._cluster.token_for(worker)
        worker.born_ms = born_ms
        _forget_incarnation(worker)
        self._expect_first_inventory(worker)
        listed = [
            run
            for run in worker.runs_by_task.values()
            if run.reported_at is not None
            and not (run.has_lost_order or run.is_inherited)
        ]
        self.drop_runs(worker, listed, "worker restarted")

    def handle_doubt(
        self, worker: runs.Worker, listing: fleet.Listing
    ) -> None:
        """Ask which incarnation lives if another one is listed.

        Its birth is earlier: the entry is an old one, or the worker's time of
        day has gone back before a restart. It is asked where its runs are, or
        may list ends of them, and at the address listed once it has none.
        """
        if not self._may_list_ends(worker, listing):
            worker.former_births.add(listing.born_ms)
            worker.address = listing.address
        elif worker.doubted_birth == listing.born_ms:
            return
        worker.doubted_birth = listing.born_ms
        self._expect_first_inventory(worker)
        if worker.has_assignment_record:
            self._cluster.stage_assignment(worker)

    def _may_list_ends(
        self, worker: runs.Worker, listing: fleet.Listing
    ) -> bool:
        """Return whether to go on asking at the address known before.

        For unread ends alone, only as long as a lease may be in force there.
        """
        if worker.runs_by_task:
            return True
        now = self._cluster.clock.monotonic()
        has_asked = worker.doubted_birth == listing.born_ms
        return bool(worker.given_up.runs_by_task) and not (
            has_asked and worker.has_lease_expired(now)
        )

    def _expect_first_inventory(self, worker: runs.Worker) -> None:
        now = self._cluster.clock.monotonic()
        for run in worker.runs_by_task.values():
            if run.phase in (runs.Phase.AT_WORK, runs.Phase.INHERITED):
                run.phase = runs.Phase.INHERITED
                run.absence_valid_from = now
        worker.doubt_ends_at = datetime.timedelta.max
        worker.has_inventory = False
        worker.lease_expires_at = now + self._cluster.parameters.reborn_lease
        worker.unheard_lease = self._cluster.parameters.max_hold
        self._ensure_polling(worker)

    def handle_replacement(self, worker: runs.Worker) -> None:
        """Drop the runs of a worker whose address now belongs to another."""
        _forget_incarnation(worker)
        self.drop_runs(
            worker,
            list(worker.runs_by_task.values()),
            "address reassigned to another worker",
        )

    def end_doubt(self, worker: runs.Worker, now: datetime.timedelta) -> None:
        """Name the incarnation in the record again once it is certain."""
        if worker.doubt_ends_at is None or now < worker.doubt_ends_at:
            return
        worker.doubt_ends_at = None
        if worker.has_assignment_record:
            self._cluster.stage_assignment(worker)

    def forget_given_up(self, worker: runs.Worker) -> None:
        """Note that the ends of the runs that were given up were read."""
        worker.has_unheard_ends = False
        if not worker.given_up.runs_by_task:
            return
        self._cluster.keep_unrecorded(
            worker, worker.given_up.runs_by_task.values()
        )
        worker.given_up.clear()
        if worker.has_assignment_record:
            self._cluster.stage_assignment(worker)

    def drop_runs(
        self, worker: runs.Worker, lost: list[runs.Run], reason: str
    ) -> None:
        """Let the tasks of runs that have certainly ended wait again."""
        for run in lost:
            self._cluster.log.emit(
                "run_lost",
                task=run.name,
                run=run.number,
                worker_id=worker.worker_id,
                reason=reason,
            )
            if worker.heard_at is not None:
                self._cluster.observe_stopped(run, worker.heard_at)
            self._cluster.detach(run)
            self.stop_gang_of(run, reason)
        if worker.has_assignment_record:
            self._cluster.stage_assignment(worker)

    def stop_gang_of(self, run: runs.Run, reason: str) -> None:
        """Stop the other members of a run's gang, unless it is done."""
        step = run.step
        if step.model.is_gang and not step.is_done:
            self._orders.stop_gang(step, reason)


def _forget_incarnation(worker: runs.Worker) -> None:
    if worker.poll_call is not None:
        worker.poll_call.cancel()  # its silence is of the former one
    worker.given_up.clear()
    fresh = runs.Worker(worker.address, worker.born_ms)
    for name in _FIELDS_OF_INCARNATION:
        setattr(worker, name, getattr(fresh, name))
    worker.reset_clock()
    worker.has_inventory = True
    worker.unreachable_since = None
