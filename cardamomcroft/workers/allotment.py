"""Share the slots and connections of workers among instances."""

import collections

from cardamomcroft.membership import members
from cardamomcroft.workers import fleet as fleets


def allotted(amount: int, key: str, instance_id: str, live: tuple) -> int:
    """Return this instance's part of an amount; the parts add up to it.

    With more instances than the amount, the part of some is one all the
    same: a worker's own refusal bounds them.
    """
    share, rest = divmod(amount, len(live))
    place = members.rank(key, live).index(instance_id)
    return max(1, share + (place < rest))


class Allotment:
    """Count this instance's requests on each worker."""

    def __init__(self, membership: members.Membership) -> None:
        """Start with nothing in use."""
        self._membership = membership
        self._in_use: collections.Counter[str] = collections.Counter()
        self._live: tuple[str, ...] = ()
        self._allotted: dict[str, int] = {}

    def limit(self, located: fleets.FleetWorker) -> int:
        """Return how many requests may run on a worker from here."""
        live = self._membership.live_ids()
        if live != self._live:
            self._live = live
            self._allotted.clear()
        known = self._allotted.get(located.worker_id)
        if known is None:
            known = allotted(
                min(located.worker.slots, located.worker.connections),
                located.worker_id,
                self._membership.instance_id,
                live,
            )
            self._allotted[located.worker_id] = known
        return known

    def free(self, located: fleets.FleetWorker) -> int:
        """Return how many more requests may run on a worker."""
        return self.limit(located) - self._in_use[located.worker_id]

    def take(self, worker_id: str) -> None:
        """Count one more request."""
        self._in_use[worker_id] += 1

    def give_back(self, worker_id: str) -> None:
        """Count one request less."""
        self._in_use[worker_id] -= 1
