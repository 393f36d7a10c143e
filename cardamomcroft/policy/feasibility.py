"""Check that the fleet can satisfy all guarantees at once."""

import collections
import collections.abc
import dataclasses

from cardamomcroft.settings import documents


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """Describe the guarantee that the fleet cannot satisfy."""

    path: str
    region: str
    accelerators: int
    missing: int

    def __str__(self) -> str:
        """Return the shortage as a message of one line."""
        return (
            f"{self.path}: guarantee: region {self.region!r} lacks "
            f"{self.missing} cell(s) of {self.accelerators} adjacent "
            "accelerators for all guarantees together"
        )


def missing_cells(
    supply: collections.abc.Mapping[int, int],
    demand: collections.abc.Mapping[int, int],
) -> dict[int, int]:
    """Return the missing cells by size; larger cells split into halves."""
    free = collections.Counter(supply)
    missing = {}
    size = max([*supply, *demand], default=0)
    while size:
        left = free[size] - demand.get(size, 0)
        if left < 0:
            missing[size] = -left
        elif size > 1:
            free[size // 2] += 2 * left
        size //= 2
    return missing


def find_shortage(
    documents_by_path: collections.abc.Mapping[str, documents.Document],
) -> Shortage | None:
    """Return the first guarantee that exceeds the fleet, or None."""
    supply: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    demand: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    path_by_cell = {}
    for path in sorted(documents_by_path):
        document = documents_by_path[path]
        if isinstance(document, documents.DataCentre):
            _count_supply(supply[document.region], document)
        elif isinstance(document, documents.Account):
            for cell in document.guarantee:
                demand[document.region][cell.accelerators] += cell.count
                path_by_cell[document.region, cell.accelerators] = path
    for region in sorted(demand):
        missing = missing_cells(supply[region], demand[region])
        for size, count in missing.items():
            path = path_by_cell[region, size]
            return Shortage(path, region, size, count)
    return None


def _count_supply(
    supply: collections.Counter, document: documents.DataCentre
) -> None:
    for rack in document.racks.values():
        for worker in rack.workers.values():
            if worker.accelerators:
                supply[worker.accelerators] += 1
