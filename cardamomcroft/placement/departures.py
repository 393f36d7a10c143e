"""Expect which workers leave next, from those that have begun to drain.

Load: a rolling release or a scale-in beside long gangs. A release replaces
workers one after the other, and each comes back with another version in its
entry. Without this, a gang is moved from a worker that drains to one that
drains next, and begins again each time.
"""

import collections
import collections.abc
import dataclasses
import datetime

from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import runs

# A release that begins no drain for so long is over or paused; gangs run for
# about as long.
WINDOW = datetime.timedelta(seconds=10)
# The rate of a release that has just begun is counted over this time at least:
# one batch does not show when the next one follows.
MIN_SPAN = datetime.timedelta(seconds=2)
# A single drain without a second version may be a repair of one worker.
MIN_DRAINS_OF_ONE_VERSION = 2
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """A worker that has begun to drain."""

    at: datetime.timedelta
    listing: fleet.Listing


class Departures:
    """Drains of the last seconds, by service."""

    def __init__(self) -> None:
        """Know of no drain yet."""
        self._drains: collections.deque[Drain] = collections.deque()

    def note(self, listing: fleet.Listing, now: datetime.timedelta) -> None:
        """Note that a worker has begun to drain."""
        self._drains.append(Drain(now, listing))

    def expected(
        self,
        workers: collections.abc.Iterable[runs.Worker],
        now: datetime.timedelta,
    ) -> dict[str, outlooks.Departure]:
        """Return the departures to expect, by service."""
        while self._drains and now - self._drains[0].at > WINDOW:
            self._drains.popleft()
        if not self._drains:
            return {}
        drains_by_service = collections.defaultdict(list)
        for drain in self._drains:
            drains_by_service[drain.listing.service].append(drain)
        listings_by_service = collections.defaultdict(dict)
        for worker in workers:
            listing = worker.listing
            if listing is not None and listing.service in drains_by_service:
                listings = listings_by_service[listing.service]
                listings[worker.worker_id] = listing
        departures = {}
        for service, drains in drains_by_service.items():
            listings = listings_by_service[service]
            departure = _departure(drains, listings, now)
            if departure is not None:
                departures[service] = departure
        return departures


def _departure(
    drains: list[Drain],
    listings_by_id: dict[str, fleet.Listing],
    now: datetime.timedelta,
) -> outlooks.Departure | None:
    """Return which workers follow those that drain; None if none do."""
    versions = {
        listing.version
        for listing in listings_by_id.values()
        if listing.version
    }
    # Beside a release, single workers of the new version may be repaired.
    counts = collections.Counter(drain.listing.version for drain in drains)
    version, count = counts.most_common(1)[0]
    # Workers without a version may be of any; none of them is a sign of two.
    is_release = len(versions | {version} - {""}) > 1 and version != ""
    if not is_release and len(drains) < MIN_DRAINS_OF_ONE_VERSION:
        return None
    racks = {drain.listing.rack for drain in drains}
    leaving_by_id = {}
    for worker_id, listing in listings_by_id.items():
        if listing.state is fleet.ServerState.DRAINING:
            racks.add(listing.rack)
        elif not is_release or listing.version == version:
            leaving_by_id[worker_id] = listing
    begun = frozenset(
        worker_id
        for worker_id, listing in leaving_by_id.items()
        if listing.rack in racks
    )
    span = max(now - drains[0].at, MIN_SPAN)
    notices = [drain.listing.remaining or _ZERO for drain in drains]
    return outlooks.Departure(
        begun,
        frozenset(leaving_by_id) - begun,
        (count if is_release else len(drains)) / span.total_seconds(),
        min(notices),
    )
