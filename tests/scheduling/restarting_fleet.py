"""Simulated workers that restart, with clocks and late orders of their own."""

import dataclasses
import datetime
import random

from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.standin import fleet as standin_fleet
from tests.scheduling import harness

LONGEST_START_MS = 100_000  # of a worker's clock
LATE_S = (2.0, 12.0)
_MS = datetime.timedelta(milliseconds=1)


class RestartingWorker(standin_fleet.FakeWorker):
    """A worker whose clock has a start value and a rate."""

    def __init__(
        self, fake_fleet: "RestartingFleet", listing: fleet.Listing
    ) -> None:
        """Create an idle worker with a random clock."""
        super().__init__(fake_fleet, listing)
        rng = fake_fleet.rng
        self.rate = rng.uniform(0.98, 1.01)
        self.clock_start_ms = rng.choice((0, rng.randint(0, LONGEST_START_MS)))
        self.orders_to_delay = 0

    def clock_ms(self) -> int:
        """Return the worker's monotonic clock."""
        lived = (self._fleet.clock.monotonic() - self.born_at) / _MS
        return self.clock_start_ms + int(lived * self.rate)

    def longest_deadline_ms(self) -> int:
        """Return the latest deadline that the worker accepts."""
        max_hold = harness.PARAMETERS.max_hold
        return self.clock_ms() + round(max_hold / _MS)

    def cut(self) -> None:
        """Cut the worker off; nobody can read its ends."""
        self.is_cut = True
        self._fleet.unreadable |= {
            (end.task, end.run)
            for end in self.finished
            if end.end is fleet.End.DONE
        }

    def end(
        self,
        task: str,
        end: fleet.End,
        ended_at: datetime.timedelta | None = None,
    ) -> None:
        """End a run; note a completion that nobody can read."""
        run = self.runs_by_task.get(task)
        if run is not None and self.is_cut and end is fleet.End.DONE:
            self._fleet.unreadable.add((task, run.number))
        super().end(task, end, ended_at)


@dataclasses.dataclass(frozen=True, slots=True)
class LateOrder:
    """An order without an answer that is carried out later."""

    due: datetime.timedelta
    worker_id: str
    born_ms: int  # of the incarnation that it was sent to
    order: fleet.StartOrder | fleet.LeaseRenewal


class RestartingFleet(standin_fleet.FakeFleet):
    """Workers that restart and carry out orders late."""

    def __init__(
        self,
        clock: base.Clock,
        duration: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        """Create an empty fleet that draws from ``rng``."""
        super().__init__(clock, duration)
        self.rng = rng
        self.late_orders: list[LateOrder] = []
        self.unreadable: set[tuple[str, int]] = set()
        self.longest_lease_ms = 0  # of orders carried out in time
        self.trace: list[str] = []
        self.may_cross = lambda worker, late: True
        self._births: dict[str, list[int]] = {}

    def note(self, text: str) -> None:
        """Add a line to the sequence of events."""
        at = self.clock.monotonic().total_seconds()
        self.trace.append(f"{at:.2f} {text}")

    def add(
        self, worker_id: str, accelerators: int = 8, rack: str = "r1"
    ) -> fleet.Listing:
        """Add a worker with a birth that it has not had before."""
        listing = super().add(worker_id, accelerators, rack)
        births = self._births.setdefault(worker_id, [1000])
        listing = dataclasses.replace(listing, born_ms=births[-1])
        self.workers_by_id[worker_id] = RestartingWorker(self, listing)
        return self.read_listing(worker_id)

    def read_listing(self, worker_id: str) -> fleet.Listing:
        """Return a worker's entry with its present clock."""
        worker = self.workers_by_id[worker_id]
        worker.listing = dataclasses.replace(
            worker.listing, clock_ms=worker.clock_ms()
        )
        return worker.listing

    def restart(self, worker_id: str) -> fleet.Listing:
        """Replace a worker; the time of day may have gone back."""
        births = self._births[worker_id]
        goes_back = self.rng.random() < 0.25
        births.append(min(births) - 1 if goes_back else max(births) + 1)
        former = self._end_incarnation(worker_id)
        former.is_dead = True
        self.injected["reborn"] += 1
        return self.add(worker_id, former.listing.accelerators)

    async def start(self, address, order, timeout) -> fleet.OrderResult:
        """Start a task, now or later."""
        if self._is_delayed(address, order):
            return await self._time_out(timeout)
        return await super().start(address, order, timeout)

    async def renew_lease(
        self, address, order, timeout
    ) -> fleet.Inventory | fleet.OrderResult:
        """Extend the lease, now or later."""
        if self._is_delayed(address, order):
            return await self._time_out(timeout)
        worker = self.workers_by_id.get(address.worker_id)
        if worker is not None and not worker.is_cut:
            order = self._receive(worker, order)
        return await super().renew_lease(address, order, timeout)

    def _start(self, worker, order) -> fleet.OrderResult:
        return super()._start(worker, self._receive(worker, order))

    def _receive(self, worker: RestartingWorker, order):
        """Return the order as its worker accepts it."""
        if order.deadline_ms is None or order.token < worker.token:
            return order
        longest_ms = worker.longest_deadline_ms()
        return dataclasses.replace(
            order, deadline_ms=min(order.deadline_ms, longest_ms)
        )

    def _is_delayed(self, address: fleet.Address, order) -> bool:
        worker = self.workers_by_id.get(address.worker_id)
        if worker is None:
            return False
        born_ms = worker.listing.born_ms
        is_for_it = order.born_ms in (0, born_ms)
        if is_for_it and order.deadline_ms is not None and not worker.is_cut:
            lease_ms = order.deadline_ms - worker.clock_ms()
            self.longest_lease_ms = max(self.longest_lease_ms, lease_ms)
        if not (is_for_it and worker.orders_to_delay):
            return False
        worker.orders_to_delay -= 1
        delay = harness.seconds(self.rng.uniform(*LATE_S))
        self.injected["delayed"] += 1
        self.late_orders.append(
            LateOrder(
                self.clock.monotonic() + delay,
                address.worker_id,
                born_ms,
                order,
            )
        )
        self.note(f"{address.worker_id} {born_ms} delays {order}")
        return True

    def advance(self) -> None:
        """Carry out the late orders that are due; update every worker."""
        now = self.clock.monotonic()
        due = [late for late in self.late_orders if late.due <= now]
        self.late_orders = [x for x in self.late_orders if x.due > now]
        for late in due:
            self._carry_out(late)
        super().advance()

    def _carry_out(self, late: LateOrder) -> None:
        worker = self.workers_by_id[late.worker_id]
        worker.advance()
        is_crossing = late.born_ms != worker.listing.born_ms
        kind = "crossing" if is_crossing else "late"
        if late.order.token < worker.token:
            self.injected[f"{kind}_fenced"] += 1
            return
        if is_crossing and not self.may_cross(worker, late):
            self.injected["crossing_uncounted"] += 1
            return
        self.injected[f"{kind}_carried_out"] += 1
        self.note(f"{late.worker_id} carries out {kind} {late.order}")
        if isinstance(late.order, fleet.StartOrder):
            self._start(worker, late.order)
        else:
            self._renew(worker, self._receive(worker, late.order))

    def _renew(
        self, worker: RestartingWorker, order: fleet.LeaseRenewal
    ) -> None:
        worker.token = order.token
        if order.deadline_ms is not None:
            worker.lease_deadline_ms = max(
                worker.lease_deadline_ms, order.deadline_ms
            )
        worker.finished = [
            end
            for end in worker.finished
            if end.number > order.acknowledged_end
        ]
