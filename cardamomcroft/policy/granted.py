"""Place gangs under their account's guarantee, preempting borrowers."""

import dataclasses

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import borrowed
from cardamomcroft.policy import cells
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """List a gang's placements and the gangs that must stop first.

    ``new_grants`` were bound to workers by this plan. ``lost_member_s`` is
    the cost of stopping the victims.
    """

    placements: tuple[records.Placement, ...]
    victims: tuple[base.RunningGang, ...] = ()
    new_grants: tuple[ledgers.Grant, ...] = ()
    lost_member_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a cell that may hold one member.

    ``grant_cell`` is the cell to bind the grant to, None if it is bound.
    """

    cost: float
    free_block_size: int
    worker_id: str
    cell: messages.Cell
    grant: ledgers.Grant
    grant_cell: messages.Cell | None = None

    @property
    def sort_key(self) -> tuple:
        """Return the order: least work lost, bound grants, tightest fit."""
        return (
            self.cost,
            self.grant_cell is not None,
            self.free_block_size,
            self.worker_id,
            self.cell.start,
        )


class GrantedPlacer:
    """Find cells for a gang inside its account's guarantee."""

    def __init__(self, ledger: ledgers.Ledger, requeue_cost_s: float) -> None:
        """Charge ``requeue_cost_s`` for each unit of a victim."""
        self._ledger = ledger
        self._requeue_cost_s = requeue_cost_s
        self._failed: set[tuple] = set()
        self._groups: dict[
            documents.Adjacency, list[list[base.WorkerView]]
        ] = {}

    def plan(
        self, job: base.WaitingJob, demoted: frozenset[str] = frozenset()
    ) -> Plan | None:
        """Return a plan; the units of ``demoted`` gangs may be granted."""
        by_size = self._ledger.unbound.get(job.account)
        if by_size is None or not job.spec.accelerators:
            return None
        key = (job.account, demoted, borrowed.shape_of(job.spec))
        if key in self._failed:
            return None  # free cells only decrease within a round
        plan = self._search(job, demoted)
        if plan is None:
            self._failed.add(key)
        return plan

    def _search(
        self, job: base.WaitingJob, demoted: frozenset[str]
    ) -> Plan | None:
        best = None
        for adjacency in ledgers.ADJACENCY_LEVELS:
            for group in self._groups_of(adjacency, job.spec):
                plan = self._plan_group(job, group, demoted)
                if plan is None:
                    continue
                if not plan.victims:
                    return plan
                self._unbind_new_grants(plan)
                if best is None or _preemption_cost(plan) < _preemption_cost(
                    best[0]
                ):
                    best = (plan, group)
            if adjacency is job.spec.adjacency:
                break
        return self._plan_group(job, best[1], demoted) if best else None

    def _unbind_new_grants(self, plan: Plan) -> None:
        for grant in plan.new_grants:
            self._ledger.unbind(grant)

    def _groups_of(
        self, adjacency: documents.Adjacency, spec: documents.JobSpec
    ) -> list[list[base.WorkerView]]:
        if adjacency not in self._groups:
            workers = [
                worker
                for worker in self._ledger.workers.values()
                if worker.accelerators
            ]
            self._groups[adjacency] = ledgers.group_workers(workers, adjacency)
        groups = self._groups[adjacency]
        if adjacency is documents.Adjacency.WORKER and spec.members > 1:
            return [
                group
                for group in groups
                if spec.members * spec.accelerators <= group[0].units
            ]
        if adjacency is documents.Adjacency.WORKER and (
            spec.adjacency is not documents.Adjacency.WORKER
        ):
            return []  # one member fits one worker in any wider group
        return groups

    def _plan_group(
        self,
        job: base.WaitingJob,
        group: list[base.WorkerView],
        demoted: frozenset[str],
    ) -> Plan | None:
        candidates = self._candidates(job, group, demoted)
        candidates.sort(key=lambda candidate: candidate.sort_key)
        chosen: list[Candidate] = []
        new_grants: list[ledgers.Grant] = []
        grant_by_cell: dict[tuple[str, int], ledgers.Grant] = {}
        for candidate in candidates:
            if len(chosen) == job.spec.members:
                break
            grant = self._bind_grant(candidate, grant_by_cell, new_grants)
            if grant is not None:
                chosen.append(dataclasses.replace(candidate, grant=grant))
        if len(chosen) < job.spec.members:
            for grant in new_grants:
                self._ledger.unbind(grant)
            return None
        return self._make_plan(chosen, tuple(new_grants), demoted)

    def _bind_grant(
        self,
        candidate: Candidate,
        grant_by_cell: dict[tuple[str, int], ledgers.Grant],
        new_grants: list[ledgers.Grant],
    ) -> ledgers.Grant | None:
        """Return the candidate's grant, bound to its cell if it is not yet.

        Return None if no grant can be bound there.
        """
        if candidate.grant_cell is None:
            return candidate.grant
        key = (candidate.worker_id, candidate.grant_cell.start)
        if key in grant_by_cell:
            return grant_by_cell[key]
        account, size = candidate.grant.account, candidate.grant.size
        grants = self._ledger.unbound[account].get(size)
        mask = cells.mask_of(candidate.grant_cell)
        if not grants or self._ledger.bound[candidate.worker_id] & mask:
            return None
        grant = grants[0]
        if not self._ledger.try_bind(
            grant, candidate.worker_id, candidate.grant_cell
        ):
            return None
        grant_by_cell[key] = grant
        new_grants.append(grant)
        return grant

    def _make_plan(
        self,
        chosen: list[Candidate],
        new_grants: tuple[ledgers.Grant, ...],
        demoted: frozenset[str],
    ) -> Plan:
        placements = []
        victims: dict[str, base.RunningGang] = {}
        for candidate in chosen:
            placements.append(
                records.Placement(
                    candidate.worker_id, candidate.cell, str(candidate.grant)
                )
            )
            mask = cells.mask_of(candidate.cell)
            for gang in self._ledger.borrowers(candidate.worker_id, mask):
                victims[gang.job_id] = gang
        lost_member_s = sum(candidate.cost for candidate in chosen)
        return Plan(
            tuple(placements),
            tuple(victims.values()),
            new_grants,
            lost_member_s,
        )

    def _candidates(
        self,
        job: base.WaitingJob,
        group: list[base.WorkerView],
        demoted: frozenset[str],
    ) -> list[Candidate]:
        worker_ids = {worker.worker_id for worker in group}
        found: list[Candidate] = []
        for binding in self._ledger.bindings_by_account[job.account]:
            if binding.worker_id in worker_ids:
                found.extend(self._bound_candidates(job, binding, demoted))
        needed = job.spec.members
        if sum(not candidate.cost for candidate in found) >= needed:
            return found
        from_empty = 0
        for worker in group:
            is_empty = self._ledger.is_empty(worker.worker_id)
            if is_empty and from_empty >= needed:
                continue  # empty workers are interchangeable
            new_candidates = self._unbound_candidates(job, worker)
            from_empty += len(new_candidates) if is_empty else 0
            found.extend(new_candidates)
        return found

    def _bound_candidates(
        self,
        job: base.WaitingJob,
        binding: ledgers.Binding,
        demoted: frozenset[str],
    ) -> list[Candidate]:
        """Return candidates inside a guaranteed cell that is bound."""
        worker_id = binding.worker_id
        worker = self._ledger.workers.get(worker_id)
        if worker is None:
            return []
        granted = self._ledger.granted[worker_id]
        for used, gang in self._ledger.gangs_by_worker[worker_id]:
            if gang.job_id in demoted:
                granted &= ~used
        free = cells.mask_of(binding.cell) & ~granted
        return [
            self._make_candidate(worker, cell, free, binding.grant)
            for cell in self._split(job, worker, free)
        ]

    def _split(
        self, job: base.WaitingJob, worker: base.WorkerView, free: int
    ) -> list[messages.Cell]:
        """Split a mask into cells for members, idle ones first."""
        size = cells.member_size(job.spec, worker)
        if size is None:
            return []
        found = []
        idle = free & self._ledger.idle[worker.worker_id]
        for mask in (idle, free):
            mask &= free
            while len(found) < job.spec.members:
                self._ledger.cells_examined += 1
                cell = cells.find_cell(mask, worker.units, size)
                if cell is None:
                    break
                found.append(cell)
                mask &= ~cells.mask_of(cell)
                free &= ~cells.mask_of(cell)
        return found

    def _make_candidate(
        self,
        worker: base.WorkerView,
        cell: messages.Cell,
        free: int,
        grant: ledgers.Grant,
        grant_cell: messages.Cell | None = None,
    ) -> Candidate:
        return Candidate(
            self._cost(worker.worker_id, cell),
            cells.block_size(free, worker.units, cell),
            worker.worker_id,
            cell,
            grant,
            grant_cell,
        )

    def _cost(self, worker_id: str, cell: messages.Cell) -> float:
        """Return the preemption cost of a cell in member-seconds."""
        mask = cells.mask_of(cell)
        if self._ledger.idle[worker_id] & mask == mask:
            return 0.0
        now = self._ledger.view.now
        # Rank idle cells before cells whose only gangs are stopping already:
        # stopping those costs nothing more, but the member has to wait.
        lost_member_s = 1e-3
        for gang in self._ledger.borrowers(worker_id, mask):
            ran_s = (now - gang.started_at).total_seconds()
            lost_member_s += 1.0 + ran_s * len(gang.placements)
            lost_member_s += self._requeue_cost_s * sum(
                placement.cell.size for placement in gang.placements
            )
        return lost_member_s

    def _unbound_candidates(
        self, job: base.WaitingJob, worker: base.WorkerView
    ) -> list[Candidate]:
        """Return candidates in cells to which a new grant can be bound.

        The smallest unbound grant that holds a member is used.
        """
        worker_id = worker.worker_id
        unbound_mask = (
            self._ledger.full[worker_id] & ~self._ledger.bound[worker_id]
        )
        size = cells.member_size(job.spec, worker)
        if size is None or not unbound_mask:
            return []
        by_size = self._ledger.unbound[job.account]
        sizes = [
            grant_size
            for grant_size, grants in by_size.items()
            if grants and size <= grant_size <= worker.units
        ]
        if not sizes:
            return []
        grant_size = min(sizes)
        found = []
        for grant_cell in cells.aligned_cells(worker.units, grant_size):
            self._ledger.cells_examined += 1
            mask = cells.mask_of(grant_cell)
            if unbound_mask & mask != mask:
                continue
            grant = by_size[grant_size][0]
            for cell in self._split(job, worker, mask):
                found.append(
                    self._make_candidate(
                        worker, cell, unbound_mask, grant, grant_cell
                    )
                )
        return found


def _preemption_cost(plan: Plan) -> tuple[float, int]:
    return plan.lost_member_s, len(plan.victims)
