"""Take over runs that an earlier scheduler may have started."""

import asyncio
import dataclasses
import datetime

from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import runs


@dataclasses.dataclass(frozen=True, slots=True)
class InheritedLeases:
    """Bound the leases that orders of earlier schedulers may have granted."""

    end_at: datetime.timedelta
    # On workers whose incarnation is in doubt, where orders for a former one
    # may be carried out.
    doubtful_end_at: datetime.timedelta


async def inherit(
    cluster: cluster_state.ClusterState,
    ledger: ledgers.Ledger,
    leases: InheritedLeases,
) -> list[runs.Worker]:
    """Return the workers that may have runs, still without inventories.

    Other tasks have a turn after each worker.
    Only the newest recorded run of a task can still exist: earlier ones had
    certainly ended before it was recorded.
    """
    latest = _latest_runs(ledger)
    for worker_id, known in list(ledger.assignments_by_worker.items()):
        await asyncio.sleep(0)
        worker = _make_worker(worker_id, known)
        _inherit_leases(worker, leases, cluster.parameters)
        cluster.workers_by_id[worker_id] = worker
        for name, number in known.runs_by_task.items():
            if latest[name] == (number, worker_id):
                _inherit_run(cluster, worker, name, number)
        _inherit_given_up(cluster, worker, known.given_up_by_task)
        _inherit_late_starts(cluster, worker, known)
    cluster.log.emit(
        "scheduler_started",
        epoch=cluster.journal.claim.epoch,
        term=cluster.journal.claim.term,
        jobs=len(cluster.jobs_by_id),
        workers=len(cluster.workers_by_id),
        offset=ledger.end_offset,
    )
    return list(cluster.workers_by_id.values())


def _latest_runs(ledger: ledgers.Ledger) -> dict[str, tuple[int, str]]:
    latest: dict[str, tuple[int, str]] = {}
    for worker_id, known in ledger.assignments_by_worker.items():
        for name, number in known.runs_by_task.items():
            if number > latest.get(name, (0, ""))[0]:
                latest[name] = (number, worker_id)
    return latest


def _make_worker(worker_id: str, known: codec.Assignment) -> runs.Worker:
    address = fleet.Address(worker_id, known.host_port)
    worker = runs.Worker(address, known.born_ms)
    worker.has_assignment_record = True
    worker.has_inventory = False
    return worker


def _inherit_leases(
    worker: runs.Worker,
    leases: InheritedLeases,
    parameters: cluster_state.SchedulingParameters,
) -> None:
    if worker.born_ms:
        worker.lease_expires_at = leases.end_at
        worker.unheard_lease = parameters.lease
    else:
        worker.lease_expires_at = leases.doubtful_end_at
        worker.unheard_lease = parameters.max_hold
        worker.doubt_ends_at = datetime.timedelta.max


def _inherit_run(
    cluster: cluster_state.ClusterState,
    worker: runs.Worker,
    name: str,
    number: int,
) -> None:
    found = cluster.find_task(name)
    if found is None:
        return
    step, index = found
    if index not in step.waiting:
        return
    run = _make_run(cluster, worker, step, index, number)
    run.checkpoint = step.checkpoint(index)
    run.absence_valid_from = run.began_at
    cluster.attach(run)


def _inherit_given_up(
    cluster: cluster_state.ClusterState,
    worker: runs.Worker,
    number_by_task: dict[str, int],
) -> None:
    lost = []
    for name, number in number_by_task.items():
        found = cluster.find_task(name)
        if found is not None:
            run = _make_run(cluster, worker, *found, number)
            run.phase = runs.Phase.ENDED
            lost.append(run)
    worker.given_up.add(lost, cluster.clock.monotonic())
    worker.given_up.prune()
    worker.has_unheard_ends = bool(lost)


def _inherit_late_starts(
    cluster: cluster_state.ClusterState,
    worker: runs.Worker,
    known: codec.Assignment,
) -> None:
    """Expect late starts where the predecessor did or may have sent some."""
    now = cluster.clock.monotonic()
    worker.has_late_start_record = known.has_late_starts
    if known.has_late_starts:
        worker.late_starts.record_lost(now)
    elif known.runs_by_task:
        worker.late_starts.expect(now)


def _make_run(
    cluster: cluster_state.ClusterState,
    worker: runs.Worker,
    step: runs.StepState,
    index: int,
    number: int,
) -> runs.Run:
    return runs.Run(
        step.key(index),
        number,
        worker.worker_id,
        step,
        runs.Phase.INHERITED,
        cluster.clock.monotonic(),
    )
