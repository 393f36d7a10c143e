"""Find workers that the settings have lost or moved lately."""

import collections.abc
import dataclasses
import datetime

from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.state import models
from cardamomcroft.state import settings
from cardamomcroft.workers import fleet as fleets

MAX_CLOCK_SKEW = datetime.timedelta(seconds=10)  # between wall clocks


@dataclasses.dataclass(frozen=True, slots=True)
class Departures:
    """List workers that an owner may have used until lately.

    ``is_complete`` is false if a worker is declared elsewhere meanwhile, so
    that its former process can't be called, or if older changes are lost.
    """

    worker_ids: frozenset[str]
    is_complete: bool


def find(
    state: models.State,
    region: str,
    declared: dict[str, fleets.FleetWorker],
    since: datetime.datetime,
) -> Departures:
    """Return the region's workers that left since then, and are undeclared.

    ``since`` is on this instance's wall clock.
    """
    left: set[str] = set()
    is_complete = True
    for path, entries in state.audit.items():
        if not path.startswith("fleet/"):
            continue
        recent = _recent(entries, since - MAX_CLOCK_SKEW)
        if len(recent) >= settings.MAX_AUDIT_ENTRIES:
            is_complete = False
        for former in _former_workers(path, recent, region):
            current = declared.get(former.worker_id)
            if current is None:
                left.add(former.worker_id)
            elif not _is_same(former, current):
                is_complete = False
    return Departures(frozenset(left), is_complete)


def _recent(
    entries: tuple[models.AuditEntry, ...], since: datetime.datetime
) -> list[models.AuditEntry]:
    return [entry for entry in entries if entry.at >= since]


def _former_workers(
    path: str, entries: list[models.AuditEntry], region: str
) -> collections.abc.Iterator[fleets.FleetWorker]:
    for entry in entries:
        if not entry.accepted or entry.before is None:
            continue
        document = parsing.from_json(path, entry.before)
        is_here = isinstance(document, documents.DataCentre)
        if is_here and document.region == region:
            yield from fleets.read_data_centre(path, document)


def _is_same(former: fleets.FleetWorker, current: fleets.FleetWorker) -> bool:
    return (
        former.region == current.region
        and former.worker.address == current.worker.address
    )
