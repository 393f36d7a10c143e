"""Track the use of every worker's cells during one decision round."""

import collections
import collections.abc
import dataclasses

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import feasibility
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

ADJACENCY_LEVELS = tuple(documents.Adjacency)  # from narrowest to widest


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Identify one guaranteed cell of an account."""

    account: str
    size: int
    index: int

    def __str__(self) -> str:
        """Return the text form that placements store."""
        return f"{self.size}/{self.index}"


def parse_grant(account: str, text: str) -> Grant:
    """Parse the grant that a placement stores."""
    size, _, index = text.partition("/")
    return Grant(account, int(size), int(index))


@dataclasses.dataclass(frozen=True, slots=True)
class Binding:
    """Bind a guaranteed cell to a cell of a worker."""

    grant: Grant
    worker_id: str
    cell: messages.Cell


def enclosing_cell(cell: messages.Cell, size: int) -> messages.Cell:
    """Return the aligned cell of the size that contains the given one."""
    return messages.Cell(cell.start // size * size, max(size, cell.size))


class Ledger:
    """Keep one mask per worker and kind of use over the worker's units.

    ``idle``: unused units. ``granted``: units used under a guarantee.
    ``bound``: units inside a guaranteed cell that is bound to the worker
    because part of it is in use; only its account may be granted units
    there. Units that are neither idle nor granted are borrowed.
    """

    def __init__(self, view: base.View) -> None:
        """Build the masks from the running gangs of the view."""
        self.view = view
        self.workers = {
            worker.worker_id: worker
            for worker in view.workers
            if worker.usable
        }
        self.full = {
            worker_id: (1 << worker.units) - 1
            for worker_id, worker in self.workers.items()
        }
        self.idle = dict(self.full)
        self.granted = dict.fromkeys(self.workers, 0)
        self.bound = dict.fromkeys(self.workers, 0)
        self.bindings: dict[Grant, Binding] = {}
        self.bindings_by_account: dict[str, list[Binding]] = (
            collections.defaultdict(list)
        )
        self.gangs_by_worker: dict[str, list[tuple[int, base.RunningGang]]] = (
            collections.defaultdict(list)
        )
        self.stopping: set[str] = set()
        self.cells_examined = 0
        for gang in view.running:
            self._add_gang(gang)
        self.unbound = self._find_unbound()
        self._demand = self._count_demand()
        self._supply = self._count_supply()

    def _add_gang(self, gang: base.RunningGang) -> None:
        if gang.stopping:
            self.stopping.add(gang.job_id)
        for placement in gang.placements:
            worker_id = placement.worker_id
            if worker_id not in self.workers:
                continue
            mask = cells.mask_of(placement.cell)
            self.idle[worker_id] &= ~mask
            self.gangs_by_worker[worker_id].append((mask, gang))
            if placement.grant:
                self.granted[worker_id] |= mask
                self._bind_placement(gang.account, placement)

    def _bind_placement(
        self, account: str, placement: records.Placement
    ) -> None:
        grant = parse_grant(account, placement.grant)
        if grant not in self.bindings:
            grant_cell = enclosing_cell(placement.cell, grant.size)
            self._bind(Binding(grant, placement.worker_id, grant_cell))

    def _bind(self, binding: Binding) -> None:
        self.bindings[binding.grant] = binding
        self.bindings_by_account[binding.grant.account].append(binding)
        mask = cells.mask_of(binding.cell)
        self.bound[binding.worker_id] |= mask

    def _find_unbound(self) -> dict[str, dict[int, list[Grant]]]:
        unbound = {}
        for account, terms in self.view.accounts.items():
            by_size: dict[int, list[Grant]] = {}
            for grant in grants_of(terms):
                if grant not in self.bindings:
                    by_size.setdefault(grant.size, []).append(grant)
            unbound[account] = by_size
        return unbound

    def _count_demand(self) -> collections.Counter[int]:
        demand: collections.Counter[int] = collections.Counter()
        for by_size in self.unbound.values():
            for size, grants in by_size.items():
                demand[size] += len(grants)
        return demand

    def _count_supply(self) -> collections.Counter[int]:
        supply: collections.Counter[int] = collections.Counter()
        for worker_id, worker in self.workers.items():
            if worker.accelerators:
                supply.update(self._unbound_blocks(worker_id))
        return supply

    def _unbound_blocks(self, worker_id: str) -> tuple[int, ...]:
        """Return the sizes of a worker's blocks outside bound cells."""
        free = self.full[worker_id] & ~self.bound[worker_id]
        return cells.free_blocks(free, self.workers[worker_id].units)

    def shortage(self) -> int:
        """Return the guaranteed accelerators that cannot be provided."""
        missing = feasibility.missing_cells(self._supply, self._demand)
        return sum(size * count for size, count in missing.items())

    def try_bind(
        self, grant: Grant, worker_id: str, cell: messages.Cell
    ) -> bool:
        """Bind a guaranteed cell unless that increases the shortage."""
        before = self.shortage()
        self._supply.subtract(self._unbound_blocks(worker_id))
        self.bound[worker_id] |= cells.mask_of(cell)
        self._supply.update(self._unbound_blocks(worker_id))
        self._demand[grant.size] -= 1
        if self.shortage() > before:
            self._release_cell(grant, worker_id, cell)
            return False
        self.unbound[grant.account][grant.size].remove(grant)
        binding = Binding(grant, worker_id, cell)
        self.bindings[grant] = binding
        self.bindings_by_account[grant.account].append(binding)
        return True

    def _release_cell(
        self, grant: Grant, worker_id: str, cell: messages.Cell
    ) -> None:
        self._supply.subtract(self._unbound_blocks(worker_id))
        self.bound[worker_id] &= ~cells.mask_of(cell)
        self._supply.update(self._unbound_blocks(worker_id))
        self._demand[grant.size] += 1

    def unbind(self, grant: Grant) -> None:
        """Release a binding whose plan is not used."""
        binding = self.bindings.pop(grant)
        self.bindings_by_account[grant.account].remove(binding)
        self.unbound[grant.account].setdefault(grant.size, []).append(grant)
        self._release_cell(grant, binding.worker_id, binding.cell)

    def resume(
        self,
        account: str,
        placements: collections.abc.Sequence[records.Placement],
    ) -> bool:
        """Occupy the cells of an earlier plan; bind its grants again.

        Change nothing and return False if a cell cannot be secured.
        """
        new_grants: list[Grant] = []
        for placement in placements:
            if not self._resume_one(account, placement, new_grants):
                for grant in new_grants:
                    self.unbind(grant)
                return False
        self.occupy(placements)
        return True

    def _resume_one(
        self,
        account: str,
        placement: records.Placement,
        new_grants: list[Grant],
    ) -> bool:
        worker_id = placement.worker_id
        mask = cells.mask_of(placement.cell)
        if worker_id not in self.workers:
            return False
        if not placement.grant:
            return not self._is_in_use(worker_id, mask)
        grant = parse_grant(account, placement.grant)
        binding = self.bindings.get(grant)
        if binding is not None:
            grant_mask = cells.mask_of(binding.cell)
            is_same = binding.worker_id == worker_id and not mask & ~grant_mask
            return is_same and not self._is_in_use(worker_id, mask)
        if grant not in self.unbound.get(account, {}).get(grant.size, ()):
            return False
        grant_cell = enclosing_cell(placement.cell, grant.size)
        if self.bound[worker_id] & cells.mask_of(grant_cell):
            return False
        if not self.try_bind(grant, worker_id, grant_cell):
            return False
        new_grants.append(grant)
        return True

    def _is_in_use(self, worker_id: str, mask: int) -> bool:
        """Return whether a gang that is not stopping uses the units."""
        return any(
            used & mask and gang.job_id not in self.stopping
            for used, gang in self.gangs_by_worker[worker_id]
        )

    def borrowers(self, worker_id: str, mask: int) -> list[base.RunningGang]:
        """Return the gangs on the units that are not stopping yet."""
        return [
            gang
            for used, gang in self.gangs_by_worker[worker_id]
            if used & mask and gang.job_id not in self.stopping
        ]

    def occupy(
        self, placements: collections.abc.Iterable[records.Placement]
    ) -> None:
        """Mark cells as used by a start or by a plan."""
        for placement in placements:
            mask = cells.mask_of(placement.cell)
            self.idle[placement.worker_id] &= ~mask
            if placement.grant:
                self.granted[placement.worker_id] |= mask

    def is_empty(self, worker_id: str) -> bool:
        """Return whether nothing runs on a worker or is bound to it."""
        full = self.full[worker_id]
        return self.idle[worker_id] == full and not self.bound[worker_id]

    def is_idle(
        self, placements: collections.abc.Iterable[records.Placement]
    ) -> bool:
        """Return whether all the cells are idle."""
        return all(
            self.idle.get(placement.worker_id, 0)
            & cells.mask_of(placement.cell)
            == cells.mask_of(placement.cell)
            for placement in placements
        )


def grants_of(account: base.AccountView) -> list[Grant]:
    """Return the guaranteed cells of an account."""
    counts: collections.Counter[int] = collections.Counter()
    for guarantee in account.guarantee:
        counts[guarantee.accelerators] += guarantee.count
    return [
        Grant(account.account, size, index)
        for size, count in sorted(counts.items())
        for index in range(count)
    ]


def group_workers(
    workers: collections.abc.Iterable[base.WorkerView],
    adjacency: documents.Adjacency,
) -> list[list[base.WorkerView]]:
    """Return the sets of workers that a gang of the adjacency may span."""
    by_key: dict[tuple, list[base.WorkerView]] = {}
    for worker in workers:
        by_key.setdefault(group_key(worker, adjacency), []).append(worker)
    return list(by_key.values())


def group_key(
    worker: base.WorkerView, adjacency: documents.Adjacency
) -> tuple[str, ...]:
    """Return the location that the workers of one group share."""
    match adjacency:
        case documents.Adjacency.WORKER:
            return (worker.data_centre, worker.rack, worker.worker_id)
        case documents.Adjacency.RACK:
            return (worker.data_centre, worker.rack)
        case documents.Adjacency.DATA_CENTRE:
            return (worker.data_centre,)
    return ()
