"""The platform's stand-in treats workers that ended as hosts do."""

import datetime
import unittest

from cardamomcroft.platform import connections
from cardamomcroft.platform import workers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import metrics
from cardamomcroft.standin import platform

# Longer than the stand-in takes to find that a worker cannot be reached.
TIMEOUT = datetime.timedelta(seconds=1.3)
WORKER = "w0"


class EndedWorkerTest(unittest.IsolatedAsyncioTestCase):
    """Call a worker that has ended for good."""

    async def asyncSetUp(self):
        """Register a worker that listens on a port of its own."""
        clock = clocks.SystemClock()
        self.platform = platform.PlatformServer(clock, TIMEOUT)
        await self.platform.listen()
        self.addAsyncCleanup(self.platform.close)
        await self.platform.listen_for_worker(WORKER, "r7")
        self.listing = workers.decode_listing(self.records()[-1])
        self.link = workers.HttpWorkerLink(
            connections.WorkerConnector(30.0), None, clock, metrics.Metrics()
        )
        self.addAsyncCleanup(self.link.close)

    def records(self) -> list[store.Record]:
        """Return what was stored about workers."""
        return self.platform.store.records_by_stream[store.Stream.SERVERS]

    async def stop_task(self) -> fleet.OrderStatus:
        """Stop a task at the worker and return the outcome."""
        result = await self.link.stop(
            self.listing.address, "0" * 16 + ".0.0.0", 1, 1, TIMEOUT
        )
        return result.status

    async def test_worker_answers_and_names_its_rack(self):
        """Before its end."""
        self.assertEqual(self.listing.rack, "r7")
        self.assertIs(await self.stop_task(), fleet.OrderStatus.DONE)

    async def test_silent_worker_gives_no_answer(self):
        """Not even that it has done nothing."""
        await self.platform.end_worker(WORKER, refuses=False)
        self.assertIs(await self.stop_task(), fleet.OrderStatus.MAY_HAVE_RUN)

    async def test_worker_cut_off_gives_no_answer(self):
        """Its host may have carried out the order."""
        self.platform.fleet.workers_by_id[WORKER].is_cut = True
        self.assertIs(await self.stop_task(), fleet.OrderStatus.MAY_HAVE_RUN)

    async def test_ended_process_refuses_connections(self):
        """The open connection is reset; the next order needs a new one."""
        await self.stop_task()
        await self.platform.end_worker(WORKER, refuses=True)
        await self.stop_task()
        self.assertIs(await self.stop_task(), fleet.OrderStatus.NOT_RUN)

    async def test_entry_is_removed(self):
        """The platform removes it later."""
        await self.platform.end_worker(WORKER, refuses=False)
        self.platform.remove_entry(WORKER)
        self.assertIsNone(self.records()[-1].value)
