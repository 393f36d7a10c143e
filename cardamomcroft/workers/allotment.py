"""Divide the slots and connections of workers among instances."""

import collections

from cardamomcroft.membership import members
from cardamomcroft.workers import fleet as fleets


def instance_share(
    amount: int, key: str, instance_id: str, live: tuple
) -> int:
    """Return this instance's share of an amount; the shares add up to it.

    With more instances than units, every instance still gets a share of
    one, and the worker itself refuses requests beyond its limit.
    """
    share, remainder = divmod(amount, len(live))
    position = members.rank(key, live).index(instance_id)
    return max(1, share + (position < remainder))


class Allotment:
    """Count this instance's requests on each worker."""

    def __init__(self, membership: members.Membership) -> None:
        """Divide among the instances that the membership has as live."""
        self._membership = membership
        self._in_use: collections.Counter[str] = collections.Counter()
        self._live: tuple[str, ...] = ()
        self._limit_by_worker: dict[str, int] = {}

    def limit(self, fleet_worker: fleets.FleetWorker) -> int:
        """Return how many requests this instance may run on a worker."""
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
        """Return how many more requests this instance may send there."""
        return self.limit(fleet_worker) - self._in_use[fleet_worker.worker_id]

    def acquire_slot(self, worker_id: str) -> None:
        """Count a request as running on a worker."""
        self._in_use[worker_id] += 1

    def release_slot(self, worker_id: str) -> None:
        """Count a request as ended on a worker."""
        self._in_use[worker_id] -= 1
