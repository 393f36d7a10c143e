"""Limit how much a single worker contributes to what is learned.

Load: a worker that ends everything at once as done. It takes most starts, so
that most of the ends would be its own.
"""

import dataclasses

import immutables

MAX_SHARE = 0.2  # of the evidence, where there are ten workers or more
DECAY = 0.99  # per run, so that about the last hundred count
# Runs that any worker may contribute before its share is known.
MIN_RUNS = 2.0
_MIN_KEPT = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Weights that were accepted lately, by worker."""

    by_worker: immutables.Map[str, float] = dataclasses.field(
        default_factory=immutables.Map
    )
    total: float = 0.0

    def accept(self, worker_id: str, weight: float) -> tuple["Sources", float]:
        """Return the sources and what the run may weigh."""
        share = max(MAX_SHARE, 2 / max(len(self.by_worker), 1))
        used = self.by_worker.get(worker_id, 0.0)
        limit = max(share * (self.total + weight), MIN_RUNS)
        accepted = min(max(limit - used, 0.0), weight)
        if not accepted:
            return self, 0.0
        factor = DECAY**accepted
        kept = {
            name: value * factor
            for name, value in self.by_worker.items()
            if value * factor >= _MIN_KEPT
        }
        kept[worker_id] = used * factor + accepted
        by_worker = immutables.Map(kept)
        return Sources(by_worker, sum(kept.values())), accepted
