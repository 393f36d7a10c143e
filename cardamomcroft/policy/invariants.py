"""Count violations of the invariants that every policy must preserve."""

import collections

from cardamomcroft.policy import base
from cardamomcroft.policy import cells
from cardamomcroft.policy import feasibility
from cardamomcroft.policy import ledger as ledgers
from cardamomcroft.settings import documents


def overlaps(view: base.View) -> int:
    """Count placements that overlap the cell of another gang."""
    used: dict[str, int] = collections.defaultdict(int)
    count = 0
    for gang in view.running:
        for placement in gang.placements:
            mask = cells.mask_of(placement.cell)
            count += bool(used[placement.worker_id] & mask)
            used[placement.worker_id] |= mask
    return count


def split_gangs(view: base.View) -> int:
    """Count gangs whose number of cells differs from their members."""
    return sum(
        len(gang.placements) != gang.spec.members for gang in view.running
    )


def broken_adjacency(view: base.View) -> int:
    """Count gangs that span a wider group than their spec allows."""
    workers = {worker.worker_id: worker for worker in view.workers}
    count = 0
    for gang in view.running:
        keys = {
            ledgers.group_key(
                workers[placement.worker_id], gang.spec.adjacency
            )
            for placement in gang.placements
            if placement.worker_id in workers
        }
        count += len(keys) > 1
    return count


def unreclaimable(view: base.View) -> int:
    """Return the guaranteed accelerators that cannot be reclaimed.

    Every account's guaranteed cells, including those in use, must fit
    the usable workers if only borrowers are stopped. Guarantees that even
    the empty usable fleet could not satisfy are not counted.
    """
    ledger = ledgers.Ledger(view)
    missing_units = ledger.shortage() + _misplaced(view, ledger)
    return max(0, missing_units - _infeasible_accelerators(view))


def _misplaced(view: base.View, ledger: ledgers.Ledger) -> int:
    """Return units granted outside their bound cell or bound twice."""
    count = 0
    bound_units: dict[str, int] = collections.defaultdict(int)
    for binding in ledger.bindings.values():
        mask = cells.mask_of(binding.cell)
        if bound_units[binding.worker_id] & mask:
            count += binding.grant.size
        bound_units[binding.worker_id] |= mask
    for gang in view.running:
        for placement in gang.placements:
            if not placement.grant or placement.worker_id not in ledger.full:
                continue
            grant = ledgers.parse_grant(gang.account, placement.grant)
            binding = ledger.bindings[grant]
            grant_mask = cells.mask_of(binding.cell)
            mask = cells.mask_of(placement.cell)
            wrong_worker = binding.worker_id != placement.worker_id
            if wrong_worker or mask & ~grant_mask:
                count += placement.cell.size
    return count


def _infeasible_accelerators(view: base.View) -> int:
    supply: collections.Counter[int] = collections.Counter()
    for worker in view.workers:
        if worker.usable and worker.accelerators:
            supply[worker.accelerators] += 1
    demand: collections.Counter[int] = collections.Counter()
    for account in view.accounts.values():
        for guarantee in account.guarantee:
            demand[guarantee.accelerators] += guarantee.count
    missing = feasibility.missing_cells(supply, demand)
    return sum(size * count for size, count in missing.items())


def check(view: base.View) -> dict[str, int]:
    """Return the number of violations by invariant."""
    return {
        "overlapping_cells": overlaps(view),
        "partial_gangs": split_gangs(view),
        "broken_adjacency": broken_adjacency(view),
        "unreclaimable_accelerators": unreclaimable(view),
    }


def entitled(
    account: base.AccountView,
    holders: list[documents.JobSpec],
    spec: documents.JobSpec,
) -> bool:
    """Return whether a job fits the guarantee next to the holders' jobs."""
    supply: collections.Counter[int] = collections.Counter()
    for guarantee in account.guarantee:
        supply[guarantee.accelerators] += guarantee.count
    demand: collections.Counter[int] = collections.Counter()
    for held in [*holders, spec]:
        if held.accelerators:
            size = cells.next_power_of_two(held.accelerators)
            demand[size] += held.members
    return not feasibility.missing_cells(supply, demand)
