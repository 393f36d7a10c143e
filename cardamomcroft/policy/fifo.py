"""Start jobs in order of arrival on the first cells that fit."""

import collections.abc

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.settings import documents


def free_masks(view: base.View) -> dict[str, int]:
    """Return the free units of each usable worker as a mask."""
    free = {
        worker.worker_id: (1 << worker.units) - 1
        for worker in view.workers
        if worker.usable
    }
    for gang in view.running:
        for placement in gang.placements:
            if placement.worker_id in free:
                mask = cells.mask_of(placement.cell)
                free[placement.worker_id] &= ~mask
    return free


def first_fit(
    spec: documents.JobSpec,
    workers: collections.abc.Sequence[base.WorkerView],
    free: collections.abc.Mapping[str, int],
) -> tuple[records.Placement, ...]:
    """Return placements for all members, or none at all."""
    placements: list[records.Placement] = []
    for worker in workers:
        size = cells.member_size(spec, worker)
        mask = free.get(worker.worker_id, 0)
        while size and mask and len(placements) < spec.members:
            cell = cells.find_cell(mask, worker.units, size)
            if cell is None:
                break
            mask &= ~cells.mask_of(cell)
            placements.append(records.Placement(worker.worker_id, cell))
        if len(placements) == spec.members:
            return tuple(placements)
    return ()


def infeasibility_reason(
    spec: documents.JobSpec,
    workers: collections.abc.Sequence[base.WorkerView],
) -> str | None:
    """Return why the gang fits no group of empty workers, or None."""
    full = {worker.worker_id: (1 << worker.units) - 1 for worker in workers}
    for group in ledgers.group_workers(workers, spec.adjacency):
        if first_fit(spec, group, full):
            return None
    return (
        f"no {spec.adjacency.value} holds {spec.members} member(s) of "
        f"{spec.accelerators} accelerators, {spec.cores} cores and "
        f"{spec.memory_gb} GB"
    )


class FirstFit(base.Policy):
    """Start jobs strictly in order of arrival."""

    name = "fifo"

    def decide(self, view: base.View) -> base.Decision:
        """Start jobs from the head of the queue until one does not fit."""
        free = free_masks(view)
        starts = []
        cells_examined = 0
        for job in view.waiting:
            cells_examined += len(view.workers)
            placements = place(job.spec, view.workers, free)
            if not placements:
                break
            occupy(free, placements)
            starts.append(base.GangStart(job.job_id, placements))
        return base.Decision(
            tuple(starts),
            cells_examined=cells_examined,
            jobs_examined=min(len(starts) + 1, len(view.waiting)),
        )

    def infeasibility_reason(self, spec, account, workers) -> str | None:
        """Return why the job can never run, or None if it can."""
        return infeasibility_reason(spec, workers)


def place(
    spec: documents.JobSpec,
    workers: collections.abc.Sequence[base.WorkerView],
    free: collections.abc.Mapping[str, int],
) -> tuple[records.Placement, ...]:
    """Return placements in the first group that fits the gang, or none."""
    for group in ledgers.group_workers(workers, spec.adjacency):
        placements = first_fit(spec, group, free)
        if placements:
            return placements
    return ()


def occupy(
    free: dict[str, int],
    placements: collections.abc.Iterable[records.Placement],
) -> None:
    """Mark the cells as used."""
    for placement in placements:
        free[placement.worker_id] &= ~cells.mask_of(placement.cell)
