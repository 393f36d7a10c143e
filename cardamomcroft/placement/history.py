"""Follow what happens to the workers, and derive what to expect of them.

The history is in the holder's memory. A successor sees the workers' versions
and states at once, and their next drains.
"""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.placement import departures
from cardamomcroft.placement import flapping
from cardamomcroft.placement import outlook as outlooks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import runs

Kind = flapping.Kind


@dataclasses.dataclass(slots=True)
class _Known:
    """A worker as of the last round."""

    listing: fleet.Listing | None
    born_ms: int
    silent_since: datetime.timedelta | None
    unlisted_at: datetime.timedelta | None = None


class History:
    """Changes of the workers between rounds."""

    def __init__(self) -> None:
        """Know of no worker yet."""
        self._departures = departures.Departures()
        self._flapping = flapping.Flapping()
        self._known_by_id: dict[str, _Known] = {}

    def observe(
        self,
        workers_by_id: collections.abc.Mapping[str, runs.Worker],
        now: datetime.timedelta,
    ) -> outlooks.Outlook:
        """Note what has changed since the last round."""
        known_by_id = self._known_by_id
        for worker_id, worker in workers_by_id.items():
            known = known_by_id.get(worker_id)
            if known is None:
                known = known_by_id[worker_id] = _Known(
                    None, worker.born_ms, worker.unreachable_since
                )
            if worker.listing is not known.listing:
                self._note_listing(worker_id, known, worker.listing, now)
            if worker.born_ms != known.born_ms:
                self._note_birth(worker_id, known, worker.born_ms, now)
            if worker.unreachable_since != known.silent_since:
                if worker.unreachable_since is not None:
                    self._flapping.note(worker_id, Kind.LOST, now)
                known.silent_since = worker.unreachable_since
        if len(known_by_id) > len(workers_by_id):
            self._note_departed(workers_by_id, now)
        return outlooks.Outlook(
            self._departures.expected(workers_by_id.values(), now),
            self._flapping.worker_ids(now),
        )

    def _note_listing(
        self,
        worker_id: str,
        known: _Known,
        listing: fleet.Listing | None,
        now: datetime.timedelta,
    ) -> None:
        former, known.listing = known.listing, listing
        if listing is None:
            known.unlisted_at = now
            return
        if known.unlisted_at is not None:
            known.unlisted_at = None
            self._flapping.note(worker_id, Kind.LISTED_ANEW, now)
        # A worker that drains when it is first seen counts: a successor has
        # no other sign of a release.
        draining = fleet.ServerState.DRAINING
        if listing.state is draining and (
            former is None or former.state is not draining
        ):
            self._departures.note(listing, now)

    def _note_birth(
        self,
        worker_id: str,
        known: _Known,
        born_ms: int,
        now: datetime.timedelta,
    ) -> None:
        former, known.born_ms = known.born_ms, born_ms
        if former:  # zero while it is unknown
            self._flapping.note(worker_id, Kind.REBORN, now)

    def _note_departed(
        self,
        workers_by_id: collections.abc.Mapping[str, runs.Worker],
        now: datetime.timedelta,
    ) -> None:
        """Note workers that are no longer tracked; forget them later."""
        for worker_id in self._known_by_id.keys() - workers_by_id.keys():
            known = self._known_by_id[worker_id]
            known.listing, known.silent_since = None, None
            if known.unlisted_at is None:
                known.unlisted_at = now
            elif now - known.unlisted_at > flapping.WINDOW:
                del self._known_by_id[worker_id]
