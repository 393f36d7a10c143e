"""Mark the workers of evacuated data centres and log each evacuation."""

import collections
import collections.abc
import typing

from cardamomcroft.evacuation import evacuations as evacuation_sets
from cardamomcroft.evacuation import gate as gates
from cardamomcroft.scheduling import events

if typing.TYPE_CHECKING:
    from cardamomcroft.scheduling import runs

MAX_PENDING = 100  # lines, while the workers' entries are not loaded
Wake = collections.abc.Callable[[], None]


class Watch:
    """Keep the holder's workers marked and tell operators of changes."""

    def __init__(
        self, gate: gates.Gate, log: events.Events, wake: Wake
    ) -> None:
        """Call ``wake`` on each change, so that a round follows at once."""
        self._gate = gate
        self._log = log
        self._wake = wake
        self._pending: collections.deque[evacuation_sets.Change] = (
            collections.deque(maxlen=MAX_PENDING)
        )

    def begin(self) -> None:
        """Follow the evacuations, beginning with those in force."""
        evacuations = self._gate.evacuations
        if evacuations is None:
            return
        for name, offset in evacuations.offsets_by_data_centre.items():
            self._note(evacuation_sets.Change(name, True, offset))
        evacuations.on_change = self._note

    def end(self) -> None:
        """Follow no longer; the workers can be forgotten then."""
        if self._gate.evacuations is not None:
            self._gate.evacuations.on_change = lambda change: None

    def _note(self, change: evacuation_sets.Change) -> None:
        self._pending.append(change)
        self._wake()

    def update(
        self, workers: collections.abc.Collection["runs.Worker"]
    ) -> frozenset[str]:
        """Mark each worker by its data centre; return the evacuated ones."""
        for worker in workers:
            worker.is_evacuated = self._gate.is_evacuated(worker.data_centre)
        return frozenset(w.worker_id for w in workers if w.is_evacuated)

    def log_changes(
        self, workers: collections.abc.Collection["runs.Worker"]
    ) -> None:
        """Log the changes since the last call, with what they are about."""
        while self._pending:
            change = self._pending.popleft()
            there = [w for w in workers if w.data_centre == change.data_centre]
            self._log.emit(
                "evacuation_began" if change.is_begun else "evacuation_ended",
                data_centre=change.data_centre,
                offset=change.offset,
                workers=len(there),
                runs=sum(len(worker.runs_by_task) for worker in there),
            )
