"""The platform's stand-in treats workers that ended as hosts do."""

import asyncio
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


class WorkerTestCase(unittest.IsolatedAsyncioTestCase):
    """Call a worker over HTTP."""

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


class EndedWorkerTest(WorkerTestCase):
    """Call a worker that has ended for good."""

    async def test_worker_answers_and_names_its_rack(self):
        """Before its end."""
        self.assertEqual(self.listing.rack, "r7")
        self.assertIs(await self.stop_task(), fleet.OrderStatus.DONE)

    async def test_silent_worker_gives_no_answer(self):
        """Not even that it has done nothing."""
        await self.stop_task()  # greets the connection
        await self.platform.end_worker(WORKER, refuses=False)
        self.assertIs(await self.stop_task(), fleet.OrderStatus.MAY_HAVE_RUN)

    async def test_worker_cut_off_gives_no_answer(self):
        """Its host may have carried out the order."""
        await self.stop_task()  # greets the connection
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


class RestartedWorkerTest(WorkerTestCase):
    """Call a worker that restarts under its id."""

    def poll(self, wait: datetime.timedelta) -> asyncio.Task:
        """Ask for the inventory."""
        order = fleet.LeaseRenewal(1, 0, None, wait)
        return asyncio.ensure_future(
            self.link.renew_lease(self.listing.address, order, TIMEOUT)
        )

    async def test_calls_end_with_the_process(self):
        """At once, as their connections are reset."""
        long = TIMEOUT * 10
        polling = self.poll(long)
        await asyncio.sleep(0.1)
        self.platform.restart_worker(WORKER)
        async with asyncio.timeout(1):
            result = await polling
        self.assertIs(result.status, fleet.OrderStatus.MAY_HAVE_RUN)
        inventory = await self.poll(datetime.timedelta())
        self.assertEqual(inventory.born_ms, self.listing.born_ms + 1)

    async def test_host_is_silent_and_listed_later(self):
        """Calls get no answer until the process is up."""
        count = len(self.records())
        crash = asyncio.ensure_future(
            self.platform.crash_worker(WORKER, 0.3, 0.3)
        )
        await asyncio.sleep(0.1)
        polling = self.poll(datetime.timedelta())
        await asyncio.sleep(0.1)
        self.assertFalse(polling.done())
        async with asyncio.timeout(0.3):
            result = await polling  # reset when the host is up again
        self.assertIs(result.status, fleet.OrderStatus.MAY_HAVE_RUN)
        self.assertIs(await self.stop_task(), fleet.OrderStatus.DONE)
        self.assertEqual(len(self.records()), count)
        await crash
        listing = workers.decode_listing(self.records()[-1])
        self.assertEqual(listing.born_ms, self.listing.born_ms + 1)

    async def test_call_that_waits_since_before_is_not_reset(self):
        """It sends nothing that the host, back again, could refuse."""
        polling = self.poll(TIMEOUT * 10)
        await asyncio.sleep(0.1)
        await self.platform.crash_worker(WORKER, 0.1, 0.1)
        self.assertFalse(polling.done())
        inventory = await self.poll(datetime.timedelta())
        self.assertEqual(inventory.born_ms, self.listing.born_ms + 1)
        self.assertFalse(polling.done())
        polling.cancel()

    async def test_entry_has_a_reading_of_the_clock(self):
        """Of the incarnation that it announces."""
        worker = self.platform.fleet.workers_by_id[WORKER]
        self.assertLessEqual(self.listing.clock_ms, worker.clock_ms())
        await self.platform.crash_worker(WORKER, 0.1, 0.2)
        listing = workers.decode_listing(self.records()[-1])
        reborn = self.platform.fleet.workers_by_id[WORKER]
        self.assertIsNot(reborn, worker)
        self.assertLessEqual(listing.clock_ms, reborn.clock_ms())
        self.assertGreater(listing.clock_ms, 200)

    async def test_worker_that_dies_while_it_starts_is_not_listed(self):
        """Another restart or the end of its host comes first."""
        count = len(self.records())
        crash = asyncio.ensure_future(
            self.platform.crash_worker(WORKER, 0.1, 0)
        )
        await asyncio.sleep(0.05)
        await self.platform.end_worker(WORKER, refuses=False)
        await crash
        self.assertEqual(len(self.records()), count)
