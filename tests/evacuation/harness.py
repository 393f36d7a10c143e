"""Run nodes whose workers are in two data centres that may be evacuated."""

import asyncio
import datetime

from cardamomcroft.evacuation import evacuations as evacuation_sets
from cardamomcroft.evacuation import gate as gates
from cardamomcroft.platform import configuration
from cardamomcroft.ports import store
from cardamomcroft.scheduling import configuration_view
from cardamomcroft.standin import fleet as standin_fleet
from cardamomcroft.standin import store as standin_store
from tests.scheduling import harness
from tests.scheduling import standing_harness

BOUND = harness.seconds(5)
EAST, WEST = "east", "west"
HELD_PAUSE = harness.seconds(0.02)
# A poll of the operator's records, a round and the calls of a start.
KNOWN_S = 0.3
_ZERO = datetime.timedelta()


class HoldingClient(standin_store.StoreClient):
    """A client whose calls on some streams pass only after a while."""

    def __init__(self, service, name) -> None:
        """Hold nothing yet."""
        super().__init__(service, name)
        self.held: set[store.Stream] = set()
        self.holds_appends = False
        self.expired_reads = 0  # of the operator's stream, to be answered so

    async def _hold(self, stream: store.Stream) -> None:
        while stream in self.held:
            self._service.count_fault("held")
            await self._service.clock.sleep(HELD_PAUSE)

    async def append(self, stream, *arguments, **fields):
        """Append once the stream is not held."""
        while self.holds_appends:
            await self._service.clock.sleep(HELD_PAUSE)
        await self._hold(stream)
        answer = await super().append(stream, *arguments, **fields)
        await self._hold(stream)
        return answer

    async def read(self, stream, offset, wait, timeout):
        """Read, and return the page once the stream is not held."""
        await self._hold(stream)
        page = await super().read(stream, offset, wait, timeout)
        if self.expired_reads and stream is store.Stream.OPERATOR:
            self.expired_reads -= 1
            page = store.ReadFailure(store.ReadStatus.EXPIRED)
        await self._hold(stream)
        return page

    async def newest(self, stream, after, timeout):
        """Load, and return the page once the stream is not held."""
        await self._hold(stream)
        page = await super().newest(stream, after, timeout)
        await self._hold(stream)
        return page


class EvacuationTestCase(standing_harness.StandingTestCase):
    """Nodes that follow the operator's stream; workers in two places."""

    bound = BOUND
    workers_each = 2  # in each data centre

    async def asyncSetUp(self):
        """Replace the clients of the store by ones that can hold calls."""
        await super().asyncSetUp()
        self.clients: dict[str, HoldingClient] = {}
        self.views: dict[str, configuration_view.ConfigurationView] = {}
        self.view_tasks: dict[str, asyncio.Task] = {}
        self.store.client = self.client
        for data_centre in (EAST, WEST):
            for number in range(self.workers_each):
                self.add_worker(f"{data_centre}-{number}", data_centre)

    def client(self, name: str) -> HoldingClient:
        """Return an instance's only client."""
        if name not in self.clients:
            self.clients[name] = HoldingClient(self.store, name)
        return self.clients[name]

    def add_worker(self, worker_id: str, data_centre: str) -> None:
        """Add a worker, whose rack is named after its data centre."""
        self.listings[worker_id] = self.fleet.add(
            worker_id, 8, f"rack-{data_centre}", data_centre
        )
        self.store.put(store.Stream.SERVERS, worker_id, b"1")

    def make_gate(self, name: str) -> gates.Gate:
        """Return a gate that follows the operator's stream."""
        log = self.make_log(name)
        view = configuration_view.ConfigurationView(
            self.client(name),
            self.clock,
            log,
            configuration.decode,
            configuration.CONFIG_KEY,
            harness.seconds(2),
        )
        evacuations = evacuation_sets.Evacuations(
            configuration.decode_evacuation, log
        )
        view.on_records = evacuations.read
        self.views[name] = view
        self.view_tasks[name] = asyncio.ensure_future(view.run())
        return gates.Gate(evacuations, lambda: view.age, self.bound)

    def kill(self, name: str) -> None:
        """Kill a node's process with its view."""
        super().kill(name)
        self.view_tasks.pop(name).cancel()

    async def start(self, name: str = "a") -> None:
        """Start a node and wait until it schedules on all workers."""
        self.start_node(name)
        await self.wait_until(self.holder)
        await self.pass_time(KNOWN_S)

    def evacuate(self, data_centre: str) -> None:
        """Request an evacuation."""
        key = f"evacuate/{data_centre}"
        self.store.put(store.Stream.OPERATOR, key, b"{}")

    def revoke(self, data_centre: str) -> None:
        """End an evacuation."""
        key = f"evacuate/{data_centre}"
        self.store.put(store.Stream.OPERATOR, key, None)

    def starts(
        self, data_centre: str, since: datetime.timedelta = _ZERO
    ) -> list[standin_fleet.ReceivedStart]:
        """Return the start orders that a data centre's workers have got."""
        return [
            start
            for start in self.fleet.received_starts
            if start.data_centre == data_centre and start.received_at >= since
        ]

    def running_in(self, data_centre: str) -> list[str]:
        """Return the tasks at work in a data centre."""
        return [
            task
            for task, worker_id in self.fleet.running()
            if worker_id.startswith(data_centre)
        ]
