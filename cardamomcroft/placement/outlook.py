"""Define what is expected to become of the workers, as of one round."""

import dataclasses
import datetime

_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """Workers of one service that are expected to leave."""

    begun: frozenset[str]  # in racks that have begun to drain
    others: frozenset[str]
    rate: float  # workers that begin to drain, per second
    notice: datetime.timedelta = _ZERO  # from the drain to the worker's end

    def probabilities(self, run_time: datetime.timedelta) -> list[float]:
        """Return how likely a worker leaves during a run: begun, others.

        A release goes through racks one after the other or through all at
        once; the workers of a rack that has begun are no less likely to be
        next than any other.
        """
        exposed = max(run_time - self.notice, _ZERO).total_seconds()
        drains = self.rate * exposed
        total = len(self.begun) + len(self.others)
        return [
            min(1.0, drains / max(count, 1))
            for count in (len(self.begun), total)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What is expected to become of the workers."""

    departures_by_service: dict[str, Departure] = dataclasses.field(
        default_factory=dict
    )
    flapping: frozenset[str] = frozenset()  # workers lost again and again

    def avoided_ids(self) -> set[str]:
        """Return the workers that some placements avoid."""
        return set(self.flapping | self.leaving_ids())

    def leaving_ids(self) -> frozenset[str]:
        """Return the workers that are expected to leave."""
        return frozenset().union(
            *(
                departure.begun | departure.others
                for departure in self.departures_by_service.values()
            )
        )

    def leaving_count(self) -> int:
        """Count the workers that are expected to leave."""
        return len(self.leaving_ids())


NOTHING_EXPECTED = Outlook()
