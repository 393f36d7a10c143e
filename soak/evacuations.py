"""Evacuate data centres, and check that nothing starts there then."""

import asyncio
import collections.abc
import dataclasses
import datetime
import random

from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import platform
from soak import instances as processes

BOUND = datetime.timedelta(milliseconds=processes.BOUNDS["EvacuateMs"])
LASTS_AFTER_BOUND_S = (1.0, 4.0)
SECOND_AFTER_S = (0.0, 1.5)
REVOKED_AFTER_S = (0.0, 2.0)
# Of the holder's disruption: before or after it can have read the record.
DISRUPTED_AFTER_S = (0.0, 1.0)
Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The operator's acknowledged request to begin or end an evacuation."""

    data_centre: str
    is_begun: bool
    at: datetime.timedelta


class Evacuations:
    """Faults that evacuate data centres for a time."""

    def __init__(
        self,
        target: platform.PlatformServer,
        rng: random.Random,
        note: collections.abc.Callable[[str], None],
    ) -> None:
        """Create the faults; ``note`` takes a line of a trial's history."""
        self._platform = target
        self._rng = rng
        self._note = note
        self.requests: list[Request] = []

    async def evacuate_one(self) -> None:
        """Evacuate a data centre beyond the bound."""
        (name,) = self._choose(1)
        await self._evacuate(name)

    async def evacuate_two(self) -> None:
        """Evacuate two data centres, which overlap."""
        first, *others = self._choose(2)
        await asyncio.gather(
            self._evacuate(first),
            *(self._evacuate(name, SECOND_AFTER_S) for name in others),
        )

    async def revoke_in_outage(self) -> None:
        """End an evacuation soon after its request, without the store."""
        (name,) = self._choose(1)
        faults = self._platform.store.faults
        self._request(name, is_begun=True)
        await asyncio.sleep(self._rng.uniform(*REVOKED_AFTER_S))
        faults.is_down = True
        await asyncio.sleep(self._rng.uniform(*REVOKED_AFTER_S))
        self._request(name, is_begun=False)
        await asyncio.sleep(self._rng.uniform(*REVOKED_AFTER_S))
        faults.is_down = False

    async def evacuate_at_takeover(self, disrupt_holder: Action) -> None:
        """Evacuate a data centre and disrupt the holder soon after."""
        (name,) = self._choose(1)
        await asyncio.gather(
            self._evacuate(name),
            self._disrupt(disrupt_holder),
        )

    async def _disrupt(self, disrupt_holder: Action) -> None:
        await asyncio.sleep(self._rng.uniform(*DISRUPTED_AFTER_S))
        await disrupt_holder()

    def _choose(self, count: int) -> list[str]:
        """Return different data centres, fewer if there are not so many."""
        workers = self._platform.fleet.workers_by_id.values()
        names = sorted({worker.listing.data_centre for worker in workers})
        return self._rng.sample(names, min(count, len(names)))

    async def _evacuate(
        self, name: str, after_s: tuple[float, float] = (0.0, 0.0)
    ) -> None:
        await asyncio.sleep(self._rng.uniform(*after_s))
        self._request(name, is_begun=True)
        lasts_s = self._rng.uniform(*LASTS_AFTER_BOUND_S)
        await asyncio.sleep(BOUND.total_seconds() + lasts_s)
        self._request(name, is_begun=False)

    def _request(self, name: str, is_begun: bool) -> None:
        if is_begun:
            self._platform.evacuate(name)
        else:
            self._platform.end_evacuation(name)
        now = self._platform.fleet.clock.monotonic()
        self.requests.append(Request(name, is_begun, now))
        self._note(f"{name} {'evacuated' if is_begun else 'in use again'}")


def started_in_evacuated(
    starts: collections.abc.Iterable[standin_fleet.ReceivedStart],
    requests: collections.abc.Iterable[Request],
) -> list[str]:
    """Return the start orders for a data centre evacuated beyond the bound.

    A request for one that is evacuated already does not begin its time anew.
    """
    periods = _periods(requests)
    return [
        f"{start.task} run {start.run} on {start.worker_id}:"
        f" {start.received_at - began_at} after the request for"
        f" {start.data_centre}"
        for start in starts
        for began_at, ended_at in periods.get(start.data_centre, [])
        if began_at + BOUND < start.received_at < ended_at
    ]


def _periods(
    requests: collections.abc.Iterable[Request],
) -> dict[str, list[tuple[datetime.timedelta, datetime.timedelta]]]:
    """Return when each data centre was evacuated."""
    began_at: dict[str, datetime.timedelta] = {}
    periods: dict[
        str, list[tuple[datetime.timedelta, datetime.timedelta]]
    ] = {}
    for request in sorted(requests, key=lambda request: request.at):
        name = request.data_centre
        if request.is_begun:
            began_at.setdefault(name, request.at)
        elif name in began_at:
            period = began_at.pop(name), request.at
            periods.setdefault(name, []).append(period)
    for name, at in began_at.items():
        periods.setdefault(name, []).append((at, datetime.timedelta.max))
    return periods
