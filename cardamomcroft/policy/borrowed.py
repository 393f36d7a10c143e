"""Place gangs on idle cells, outside their account's guarantee."""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

EndEstimator = collections.abc.Callable[[base.RunningGang], datetime.datetime]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Reserve cells for a blocked gang from its expected start."""

    job_id: str
    expected_start: datetime.datetime
    masks: collections.abc.Mapping[str, int]


class BorrowedPlacer:
    """Find idle cells, tightest fit first, that no reservation needs."""

    def __init__(self, ledger: ledgers.Ledger) -> None:
        """Start without reservations on the ledger of a round."""
        self._ledger = ledger
        self._groups: dict[
            documents.Adjacency, list[list[base.WorkerView]]
        ] = {}
        self.reservations: list[Reservation] = []
        self._failed: dict[tuple, datetime.datetime] = {}

    def place(
        self, job: base.WaitingJob, until: datetime.datetime
    ) -> tuple[records.Placement, ...]:
        """Return placements for the whole gang until its end, or none."""
        spec = job.spec
        failed_until = self._failed.get(shape_of(spec))
        if failed_until is not None and failed_until <= until:
            return ()  # free cells only decrease within a round
        placements = self._search(job, until)
        if not placements:
            self._failed[shape_of(spec)] = until
        return placements

    def _search(
        self, job: base.WaitingJob, until: datetime.datetime
    ) -> tuple[records.Placement, ...]:
        spec = job.spec
        for adjacency in ledgers.ADJACENCY_LEVELS:
            if self._is_redundant_level(adjacency, spec):
                continue
            for group in self._groups_of(adjacency):
                if self._is_too_small(adjacency, group, spec):
                    continue
                placements = self._place_in_group(job, group, until)
                if placements:
                    return placements
            if adjacency is spec.adjacency:
                break
        return ()

    def _is_too_small(
        self,
        adjacency: documents.Adjacency,
        group: list[base.WorkerView],
        spec: documents.JobSpec,
    ) -> bool:
        """Return whether a single worker has too few idle units.

        This skips the search for cells where it cannot succeed.
        """
        if adjacency is not documents.Adjacency.WORKER:
            return False
        size = cells.member_size(spec, group[0])
        if size is None:
            return True
        idle = self._ledger.idle[group[0].worker_id]
        return size * spec.members > idle.bit_count()

    def _is_redundant_level(
        self, adjacency: documents.Adjacency, spec: documents.JobSpec
    ) -> bool:
        if spec.members > 1 or adjacency is spec.adjacency:
            return False
        # One member needs one worker, and wider levels try every worker.
        return adjacency is not documents.Adjacency.REGION

    def _groups_of(
        self, adjacency: documents.Adjacency
    ) -> list[list[base.WorkerView]]:
        if adjacency not in self._groups:
            self._groups[adjacency] = ledgers.group_workers(
                self._ledger.workers.values(), adjacency
            )
        return self._groups[adjacency]

    def _place_in_group(
        self,
        job: base.WaitingJob,
        group: list[base.WorkerView],
        until: datetime.datetime,
    ) -> tuple[records.Placement, ...]:
        candidates = []
        from_empty: collections.Counter[int] = collections.Counter()
        for worker in group:
            free = self._unreserved_units(worker.worker_id, job.job_id, until)
            if free == self._ledger.full[worker.worker_id]:
                if from_empty[worker.accelerators] >= job.spec.members:
                    continue  # empty workers are interchangeable
                added = self._candidate_cells(job.spec, worker, free)
                from_empty[worker.accelerators] += len(added)
                candidates.extend(added)
            elif free:
                candidates.extend(
                    self._candidate_cells(job.spec, worker, free)
                )
        if len(candidates) < job.spec.members:
            return ()
        candidates.sort(key=lambda candidate: candidate[0])
        return tuple(
            placement for _, placement in candidates[: job.spec.members]
        )

    def _unreserved_units(
        self, worker_id: str, job_id: str, until: datetime.datetime
    ) -> int:
        """Return the idle units not reserved for others before ``until``."""
        free = self._ledger.idle[worker_id]
        for reservation in self.reservations:
            if (
                reservation.job_id != job_id
                and reservation.expected_start < until
            ):
                free &= ~reservation.masks.get(worker_id, 0)
        return free

    def _candidate_cells(
        self, spec: documents.JobSpec, worker: base.WorkerView, free: int
    ) -> list[tuple[tuple, records.Placement]]:
        size = cells.member_size(spec, worker)
        if size is None or not free:
            return []
        candidates = []
        block = 0
        unused_accelerators = (
            worker.accelerators if not spec.accelerators else 0
        )
        while len(candidates) < spec.members:
            self._ledger.cells_examined += 1
            cell = cells.find_cell(free, worker.units, size)
            if cell is None:
                break
            if not candidates:
                block = cells.block_size(free, worker.units, cell)
            free &= ~cells.mask_of(cell)
            key = (unused_accelerators, block, worker.worker_id, cell.start)
            placement = records.Placement(worker.worker_id, cell)
            candidates.append((key, placement))
        return candidates

    def reserve(
        self, job: base.WaitingJob, estimate_end: EndEstimator
    ) -> Reservation | None:
        """Reserve the cells on which the gang is expected to start first."""
        best = None
        for group in self._groups_of(job.spec.adjacency):
            found = self._earliest_reservation(job, group, estimate_end)
            if found is not None and (
                best is None or found.expected_start < best.expected_start
            ):
                best = found
        if best is None:
            return None
        if self._is_free_now(best):
            return None  # the cells are headroom, kept for urgent work
        self.reservations.append(best)
        return best

    def _is_free_now(self, reservation: Reservation) -> bool:
        return reservation.expected_start <= self._ledger.view.now and all(
            self._ledger.idle[worker_id] & mask == mask
            for worker_id, mask in reservation.masks.items()
        )

    def _earliest_reservation(
        self,
        job: base.WaitingJob,
        group: list[base.WorkerView],
        estimate_end: EndEstimator,
    ) -> Reservation | None:
        candidates = []
        for worker in group:
            size = cells.member_size(job.spec, worker)
            if size is None:
                continue
            for cell in cells.aligned_cells(worker.units, size):
                self._ledger.cells_examined += 1
                at = self._available_at(worker.worker_id, cell, estimate_end)
                candidates.append((at, worker.worker_id, cell))
        if len(candidates) < job.spec.members:
            return None
        candidates.sort(
            key=lambda candidate: (
                candidate[0],
                candidate[1],
                candidate[2].start,
            )
        )
        chosen = candidates[: job.spec.members]
        masks: dict[str, int] = {}
        for _, worker_id, cell in chosen:
            reserved_mask = masks.get(worker_id, 0)
            masks[worker_id] = reserved_mask | cells.mask_of(cell)
        return Reservation(job.job_id, chosen[-1][0], masks)

    def _available_at(
        self, worker_id: str, cell: messages.Cell, estimate_end: EndEstimator
    ) -> datetime.datetime:
        mask = cells.mask_of(cell)
        at = self._ledger.view.now
        for reservation in self.reservations:
            if reservation.masks.get(worker_id, 0) & mask:
                at = max(
                    at,
                    reservation.expected_start + datetime.timedelta(hours=1),
                )
        for used, gang in self._ledger.gangs_by_worker[worker_id]:
            if used & mask:
                at = max(at, estimate_end(gang))
        return at


def shape_of(spec: documents.JobSpec) -> tuple:
    """Return the fields of the spec that decide where a gang fits."""
    return (
        spec.members,
        spec.accelerators,
        spec.cores,
        spec.memory_gb,
        spec.adjacency,
    )
