"""Test polls of workers over silent and slow connections."""

import asyncio
from unittest import mock

from cardamomcroft.platform import answers
from cardamomcroft.platform import connections
from cardamomcroft.platform import workers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import metrics
from tests.platform import test_store

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
BODY = b'{"ClockMs":1,"born":2,"Running":[],"Finished":[]}'
TIMEOUT_S = test_store.TIMEOUT.total_seconds()
KEEP_ALIVE_S = 30.0
LIMIT_S = test_store.WAIT.total_seconds() + TIMEOUT_S


def make_link() -> workers.HttpWorkerLink:
    """Return a link without connections."""
    return workers.HttpWorkerLink(
        connections.WorkerConnector(KEEP_ALIVE_S),
        None,
        clocks.SystemClock(),
        metrics.Metrics(),
    )


class WorkerLinkTestCase(test_store.ConnectionTestCase):
    """Poll a worker whose connection behaves as ``serve`` does."""

    async def poll(self) -> tuple[object, float]:
        """Return a poll's result and its duration in seconds."""
        link = make_link()
        self.addAsyncCleanup(link.close)
        host, port = self.server.sockets[0].getsockname()
        result, took_s = await self.time(
            link.renew_lease(
                fleet.Address("w1", f"{host}:{port}"),
                fleet.LeaseRenewal(1, 0, None, test_store.WAIT),
                test_store.TIMEOUT,
            )
        )
        self.assertEqual(self.calls, 1)
        return result, took_s

    async def check_given_up(self, earliest_s: float, latest_s: float):
        """Check that the poll fails in this time, late only by a stall."""
        result, took_s = await self.poll()
        self.assertIsInstance(result, fleet.OrderResult)
        self.assertIs(result.status, fleet.OrderStatus.MAY_HAVE_RUN)
        self.assertGreaterEqual(took_s, earliest_s)
        self.assertLess(took_s, latest_s + test_store.STALL_S)


class SilentWorkerTest(WorkerLinkTestCase):
    """Poll a worker that accepts a call and never answers."""

    async def test_silent_worker_is_given_up(self):
        """The poll fails after its wait and time-out."""
        await self.check_given_up(LIMIT_S, LIMIT_S)


class MalformedAnswerTest(WorkerLinkTestCase):
    """Send orders to a worker whose answers are no JSON object."""

    answer = b""

    async def serve(self, reader, writer) -> None:
        """Answer the greeting of a connection, then the start."""
        for answer in (BODY, self.answer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD % len(answer) + answer)

    async def test_outcome_is_unknown(self):
        """A start may have run, so that it is looked for at the worker."""
        host, port = self.server.sockets[0].getsockname()
        address = fleet.Address("w1", f"{host}:{port}")
        for answer in (b"[1]", b"5", b"{", b"[" * 100_000, b'"x"'):
            self.answer = answer
            link = make_link()
            result = await link.start(
                address,
                fleet.StartOrder("t", 1, "", 1, 1, "", "", born_ms=2),
                test_store.TIMEOUT,
            )
            self.assertIs(result.status, fleet.OrderStatus.MAY_HAVE_RUN)
            await link.close()


class SlowWorkerTest(WorkerLinkTestCase):
    """Poll a worker whose inventory takes longer than the time-out."""

    async def serve(self, reader, writer) -> None:
        """Send the inventory in pieces for 1.5 s."""
        await reader.readuntil(b"\r\n\r\n")
        body = BODY[:-1] + b" " * 30_000 + b"}"
        writer.write(HEAD % len(body))
        for start in range(0, len(body), 400):
            writer.write(body[start : start + 400])
            await asyncio.sleep(test_store.PERIOD_S)

    async def test_inventory_that_makes_progress_is_received(self):
        """The poll outlasts its time-out."""
        result, took_s = await self.poll()
        self.assertEqual(result, fleet.Inventory(1, 2, (), ()))
        self.assertGreater(took_s, LIMIT_S)

    async def test_maximum_time_ends_a_transfer(self):
        """An answer that goes on for too long is given up."""
        longest_s = 0.6
        with mock.patch.object(answers, "MAX_TRANSFER_S", longest_s):
            await self.check_given_up(LIMIT_S, TIMEOUT_S + longest_s)


class StalledWorkerTest(WorkerLinkTestCase):
    """Poll a worker that falls silent within its inventory."""

    async def serve(self, reader, writer) -> None:
        """Send a part of the inventory."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % 30_000 + BODY)

    async def test_stalled_answer_is_given_up(self):
        """The poll fails no later than a silent one."""
        await self.check_given_up(LIMIT_S, LIMIT_S)


class TricklingWorkerTest(WorkerLinkTestCase):
    """Poll a worker of which a byte arrives now and then."""

    async def serve(self, reader, writer) -> None:
        """Send a large inventory byte by byte."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % 30_000)
        while not writer.is_closing():
            writer.write(b" ")
            await asyncio.sleep(test_store.PERIOD_S)

    async def test_answer_below_the_minimum_rate_is_given_up(self):
        """The poll fails although data keep arriving."""
        await self.check_given_up(LIMIT_S, LIMIT_S)
