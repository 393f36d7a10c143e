"""Share the slots and connections of workers among instances."""

import collections

from cardamomcroft.membership import members
from cardamomcroft.workers import fleet as fleets


def instance_share(
    amount: int, key: str, instance_id: str, live: tuple
) -> int:
    """Return this instance's part of an amount; the parts add up to it.

    With more instances than the amount, the part of some is one all the
    same: a worker's own refusal bounds them.
    """
    share, remainder = divmod(amount, len(live))
    position = members.rank(key, live).index(instance_id)
    return max(1, share + (position < remainder))


class Allotment:
    """Count this instance's requests on each worker."""

    def __init__(self, membership: members.Membership) -> None:
        """Start with nothing in use."""
        self._membership = membership
        self._in_use: collections.Counter[str] = collections.Counter()
        self._live: tuple[str, ...] = ()
        self._limit_by_worker: dict[str, int] = {}

    def limit(self, fleet_worker: fleets.FleetWorker) -> int:
        """Return how many requests may run on a worker from here."""
        live = self._membership.live_ids()
        if live != self._live:
            self._live = live
            self._limit_by_worker.clear()
        limit_here = self._limit_by_worker.get(fleet_worker.worker_id)
        if limit_here is None:
            limit_here = instance_share(
                min(
                    fleet_worker.worker.slots, fleet_worker.worker.connections
                ),
                fleet_worker.worker_id,
                self._membership.instance_id,
                live,
            )
            self._limit_by_worker[fleet_worker.worker_id] = limit_here
        return limit_here

    def free(self, fleet_worker: fleets.FleetWorker) -> int:
        """Return how many more requests may run on a worker."""
        return self.limit(fleet_worker) - self._in_use[fleet_worker.worker_id]

    def acquire_slot(self, worker_id: str) -> None:
        """Count one more request."""
        self._in_use[worker_id] += 1

    def release_slot(self, worker_id: str) -> None:
        """Count one request less."""
        self._in_use[worker_id] -= 1
