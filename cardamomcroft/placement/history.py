"""Follow what happens to the workers, and derive what to expect of them.

The history is in the holder's memory. A successor sees the workers' versions
and states at once, and their next drains.
"""

import collections.abc
import datetime

from cardamomcroft.placement import departures
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import runs


class History:
    """Changes of the workers between rounds."""

    def __init__(self) -> None:
        """Know of no worker yet."""
        self._departures = departures.Departures()
        self._listings_by_id: dict[str, fleet.Listing | None] = {}

    def observe(
        self,
        workers_by_id: collections.abc.Mapping[str, runs.Worker],
        now: datetime.timedelta,
    ) -> outlooks.Outlook:
        """Note what has changed since the last round."""
        for worker_id, worker in workers_by_id.items():
            listing = worker.listing
            if self._listings_by_id.get(worker_id) is not listing:
                self._note_listing(worker_id, listing, now)
        if len(self._listings_by_id) > len(workers_by_id):
            for worker_id in self._listings_by_id.keys() - workers_by_id:
                del self._listings_by_id[worker_id]
        return outlooks.Outlook(
            self._departures.expected(workers_by_id.values(), now)
        )

    def _note_listing(
        self,
        worker_id: str,
        listing: fleet.Listing | None,
        now: datetime.timedelta,
    ) -> None:
        known = self._listings_by_id.get(worker_id)
        self._listings_by_id[worker_id] = listing
        if listing is None or listing.state is not fleet.ServerState.DRAINING:
            return
        # The first entry seen may have drained for long, or have left since.
        if known is None or known.state is not fleet.ServerState.DRAINING:
            self._departures.note(listing, now)
