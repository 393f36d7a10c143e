"""Compute aligned cells of a worker's units as bit masks."""

import functools
import math

from cardamomcroft.policy import base
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

MAX_CACHED_MASKS = 65_536  # distinct free masks of workers, per cache
MAX_CACHED_SHAPES = 4096  # pairs of member and worker shapes


def next_power_of_two(number: int) -> int:
    """Return the smallest power of two not below the number."""
    return 1 << max(0, number - 1).bit_length()


def mask_of(cell: messages.Cell) -> int:
    """Return the cell as a bit mask over units."""
    return ((1 << cell.size) - 1) << cell.start


@functools.cache
def aligned_cells(units: int, size: int) -> tuple[messages.Cell, ...]:
    """Return every aligned cell of the size on a worker."""
    return tuple(messages.Cell(start, size) for start in range(0, units, size))


def member_size(
    spec: documents.JobSpec, worker: base.WorkerView
) -> int | None:
    """Return the cell size that one member needs, or None if none fits."""
    return _units_needed(
        spec.accelerators,
        spec.cores,
        spec.memory_gb,
        worker.accelerators,
        worker.cores,
        worker.memory_gb,
    )


@functools.lru_cache(maxsize=MAX_CACHED_SHAPES)
def _units_needed(
    accelerators: int,
    cores: int,
    memory_gb: int,
    worker_accelerators: int,
    worker_cores: int,
    worker_memory_gb: int,
) -> int | None:
    if accelerators and not worker_accelerators:
        return None
    units = worker_accelerators or documents.UNITS_PER_CPU_ONLY_WORKER
    needed = max(
        accelerators,
        math.ceil(cores * units / worker_cores),
        math.ceil(memory_gb * units / worker_memory_gb),
        1,
    )
    size = next_power_of_two(needed)
    return size if size <= units else None


@functools.lru_cache(maxsize=MAX_CACHED_MASKS)
def find_cell(free: int, units: int, size: int) -> messages.Cell | None:
    """Return the free cell with the smallest aligned free block around it."""
    best, best_block = None, units + 1
    for cell in aligned_cells(units, size):
        mask = mask_of(cell)
        if free & mask != mask:
            continue
        block = block_size(free, units, cell)
        if block < best_block:
            best, best_block = cell, block
    return best


def block_size(free: int, units: int, cell: messages.Cell) -> int:
    """Return the size of the aligned free block around a free cell."""
    size = cell.size
    while size < units:
        parent = messages.Cell(cell.start // (2 * size) * (2 * size), 2 * size)
        mask = mask_of(parent)
        if free & mask != mask:
            break
        size *= 2
    return size


@functools.lru_cache(maxsize=MAX_CACHED_MASKS)
def free_blocks(free: int, units: int) -> tuple[int, ...]:
    """Return the sizes of the maximal aligned free blocks."""
    blocks = []
    start = 0
    while start < units:
        if not free >> start & 1:
            start += 1
            continue
        size = block_size(free, units, messages.Cell(start, 1))
        blocks.append(size)
        start += size
    return tuple(blocks)
