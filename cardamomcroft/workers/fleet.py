"""Read the declared fleet from the settings in the state."""

import collections.abc
import dataclasses

from cardamomcroft.policy import base
from cardamomcroft.settings import documents
from cardamomcroft.state import models


@dataclasses.dataclass(frozen=True, slots=True)
class FleetWorker:
    """The location of a declared worker."""

    worker_id: str
    region: str
    data_centre: str
    rack: str
    worker: documents.Worker


class Fleet:
    """Cache the declared workers by id until the settings change."""

    def __init__(self) -> None:
        """Read the workers at the first use."""
        self._settings: object = None
        self._by_id: dict[str, FleetWorker] = {}

    def by_id(self, state: models.State) -> dict[str, FleetWorker]:
        """Return all declared workers."""
        if state.settings is not self._settings:
            self._by_id = _read(state)
            self._settings = state.settings
        return self._by_id

    def region(
        self, state: models.State, region: str
    ) -> dict[str, FleetWorker]:
        """Return the declared workers of a region."""
        return {
            worker_id: worker
            for worker_id, worker in self.by_id(state).items()
            if worker.region == region
        }


def _read(state: models.State) -> dict[str, FleetWorker]:
    by_id = {}
    for path in sorted(state.settings):
        document = state.settings[path].document
        if not isinstance(document, documents.DataCentre):
            continue
        for fleet_worker in read_data_centre(path, document):
            by_id[fleet_worker.worker_id] = fleet_worker
    return by_id


def read_data_centre(
    path: str, document: documents.DataCentre
) -> collections.abc.Iterator[FleetWorker]:
    """Return the workers that a document at a path declares."""
    data_centre = path.removeprefix("fleet/")
    for rack, contents in document.racks.items():
        for worker_id, worker in contents.workers.items():
            yield FleetWorker(
                worker_id, document.region, data_centre, rack, worker
            )


def to_view(fleet_worker: FleetWorker, usable: bool = True) -> base.WorkerView:
    """Return a worker as policies see it."""
    return base.WorkerView(
        fleet_worker.worker_id,
        fleet_worker.data_centre,
        fleet_worker.rack,
        fleet_worker.worker.accelerators,
        fleet_worker.worker.cores,
        fleet_worker.worker.memory_gb,
        usable,
    )
