"""Orders reach the incarnation that they are for, or none."""

import asyncio
import contextlib
import datetime
import json
import socket
import unittest

from cardamomcroft.platform import connections
from cardamomcroft.platform import workers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import fleet
from cardamomcroft.scheduling import metrics

TIMEOUT = datetime.timedelta(seconds=1)
WAIT = datetime.timedelta()
FIRST, SECOND = 1001, 1002
KEEP_ALIVE_S = 30.0
FILLING_CONNECTIONS = 4
HEAD = "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n"


class Incarnation:
    """One process of a worker: its listener, connections and calls."""

    def __init__(self, born_ms: int) -> None:
        """Create a process that does not listen yet."""
        self.born_ms = born_ms
        self.calls: list[tuple[str, dict]] = []
        self.is_silent = False
        self.delay_s = 0.0  # of each answer
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def listen(self, port: int = 0) -> int:
        """Accept connections; return the port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        return self._server.sockets[0].getsockname()[1]

    async def end(self) -> None:
        """End the process with its connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await self._server.wait_closed()

    async def _serve(self, reader, writer) -> None:
        self._writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await self._answer(reader, writer)

    async def _answer(self, reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        size = int(head.lower().partition("content-length: ")[2].split()[0])
        body = json.loads(await reader.readexactly(size))
        path = head.split()[1]
        self.calls.append((path, body))
        if self.is_silent:
            return
        await asyncio.sleep(self.delay_s)
        data = {"ClockMs": 7}
        if path == "/hold":
            data |= {"born": self.born_ms, "Running": [], "Finished": []}
        raw = json.dumps(data)
        writer.write((HEAD.format(len(raw)) + raw).encode())

    def paths(self) -> list[str]:
        """Return the paths of the calls received."""
        return [path for path, _ in self.calls]


class BoundOrderTest(unittest.IsolatedAsyncioTestCase):
    """A worker may restart at its address, under its id."""

    async def asyncSetUp(self):
        """Start the first incarnation."""
        self.first = Incarnation(FIRST)
        self.second = Incarnation(SECOND)
        self.port = await self.first.listen()
        self.running = self.first
        self.address = fleet.Address("w1", f"127.0.0.1:{self.port}")
        self.link = workers.HttpWorkerLink(
            connections.WorkerConnector(KEEP_ALIVE_S),
            None,
            clocks.SystemClock(),
            metrics.Metrics(),
        )

    async def asyncTearDown(self):
        """Close both sides."""
        await self.link.close()
        await self.running.end()

    async def restart(self) -> None:
        """Replace the first incarnation by the second."""
        await self.first.end()
        await self.second.listen(self.port)
        self.running = self.second

    async def start(self, born_ms: int = FIRST) -> fleet.OrderStatus:
        """Order a start by an incarnation's clock."""
        order = fleet.StartOrder(
            "t", 1, "", 486_000, 3, "", "", born_ms=born_ms
        )
        return (await self.link.start(self.address, order, TIMEOUT)).status

    async def renew(self, born_ms: int = FIRST):
        """Renew an incarnation's lease and acknowledge its ends."""
        order = fleet.LeaseRenewal(3, 57, 486_000, WAIT, born_ms)
        return await self.link.renew_lease(self.address, order, TIMEOUT)

    async def test_new_connection_is_greeted_first(self):
        """The greeting names neither a lease nor ends."""
        self.assertIs(await self.start(), fleet.OrderStatus.DONE)
        self.assertEqual(self.first.paths(), ["/hold", "/run-start"])
        greeting = self.first.calls[0][1]
        self.assertEqual(greeting, {"FencingToken": 3, "LastSeen": 0})

    async def test_greeted_connection_serves_further_orders(self):
        """Without another greeting."""
        await self.start()
        self.assertTrue((await self.renew()).is_renewed)
        await self.start()
        self.assertEqual(
            self.first.paths(), ["/hold", "/run-start", "/hold", "/run-start"]
        )
        self.assertEqual(self.first.calls[2][1]["LastSeen"], 57)

    async def test_renewal_on_a_new_connection_only_asks(self):
        """The next one renews."""
        self.assertFalse((await self.renew()).is_renewed)
        self.assertTrue((await self.renew()).is_renewed)
        self.assertEqual(
            [body["LastSeen"] for _, body in self.first.calls], [0, 57]
        )

    async def test_start_does_not_reach_a_later_incarnation(self):
        """Its deadline is one of the former clock."""
        await self.start()
        await self.restart()
        # The reset of the connection may not have arrived yet.
        self.assertIn(
            await self.start(),
            (fleet.OrderStatus.RESTARTED, fleet.OrderStatus.MAY_HAVE_RUN),
        )
        self.assertIs(await self.start(), fleet.OrderStatus.RESTARTED)
        self.assertNotIn("/run-start", self.second.paths())
        self.assertIs(await self.start(SECOND), fleet.OrderStatus.DONE)

    async def test_renewal_does_not_reach_a_later_incarnation(self):
        """It would extend the lease and acknowledge ends unheard."""
        await self.restart()
        result = await self.renew()
        self.assertEqual(result.born_ms, SECOND)
        self.assertFalse(result.is_renewed)
        for _, body in self.second.calls:
            self.assertNotIn("DeadlineMs", body)
            self.assertEqual(body["LastSeen"], 0)

    async def test_connection_of_another_incarnation_is_not_used(self):
        """Holders learn of a restart by polls or listings, in any order."""
        await self.start()
        await self.restart()
        await self.renew(SECOND)
        self.assertIs(await self.start(), fleet.OrderStatus.RESTARTED)
        self.assertNotIn("/run-start", self.second.paths())

    async def test_start_without_an_answer_to_the_greeting_is_not_sent(self):
        """So the task need not wait for a lease."""
        self.first.is_silent = True
        self.assertIs(await self.start(), fleet.OrderStatus.UNREACHED)
        self.assertEqual(self.first.paths(), ["/hold"])

    async def test_no_order_follows_a_silence_on_an_open_connection(self):
        """It could arrive seconds after it was given up."""
        await asyncio.gather(*(self.start() for _ in range(3)))
        self.first.is_silent = True
        self.assertIs(await self.start(), fleet.OrderStatus.MAY_HAVE_RUN)
        self.first.calls.clear()
        self.assertIs(await self.start(), fleet.OrderStatus.UNREACHED)
        self.assertEqual(self.first.paths(), ["/hold"])  # the greeting
        self.first.is_silent = False
        self.assertIs(await self.start(), fleet.OrderStatus.DONE)

    async def test_concurrent_starts_have_connections_of_their_own(self):
        """Each is greeted for itself."""
        results = await asyncio.gather(*(self.start() for _ in range(12)))
        self.assertEqual(set(results), {fleet.OrderStatus.DONE})
        self.assertEqual(self.first.paths().count("/run-start"), 12)

    async def test_stop_reaches_any_incarnation(self):
        """A run number is never used twice, so it stops nothing else."""
        await self.restart()
        result = await self.link.stop(self.address, "t", 1, 3, TIMEOUT)
        self.assertIs(result.status, fleet.OrderStatus.DONE)
        self.assertEqual(self.second.paths(), ["/hold", "/run-stop"])

    async def test_start_is_sent_after_many_stops(self):
        """Their connections are of use for it."""
        stops = [
            self.link.stop(self.address, "t", number, 3, TIMEOUT)
            for number in range(20)
        ]
        await asyncio.gather(*stops)
        before = len(self.first.calls)
        self.assertIs(await self.start(), fleet.OrderStatus.DONE)
        self.assertEqual(self.first.paths()[before:], ["/run-start"])

    async def test_start_is_not_sent_after_a_long_greeting(self):
        """Its check of the claim is too old; the next one is sent at once."""
        self.first.delay_s = 0.6
        self.assertIs(await self.start(), fleet.OrderStatus.NOT_RUN)
        self.assertEqual(self.first.paths(), ["/hold"])
        self.first.delay_s = 0.0
        self.assertIs(await self.start(), fleet.OrderStatus.DONE)
        self.assertEqual(self.first.paths(), ["/hold", "/run-start"])

    async def test_stop_is_sent_after_a_long_greeting(self):
        """It needs no claim that is fresh."""
        self.first.delay_s = 0.6
        result = await self.link.stop(self.address, "t", 1, 3, TIMEOUT)
        self.assertIs(result.status, fleet.OrderStatus.DONE)


class UnreachableWorkerTest(unittest.IsolatedAsyncioTestCase):
    """Packets to a worker are dropped, as behind a cut."""

    async def asyncSetUp(self):
        """Listen with a full backlog, which drops further connections."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        name = listener.getsockname()
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            self.addCleanup(filling.close)
            filling.setblocking(False)
            filling.connect_ex(name)
        await asyncio.sleep(0.1)  # until the backlog is full
        self.address = fleet.Address("w1", f"127.0.0.1:{name[1]}")
        self.link = workers.HttpWorkerLink(
            connections.WorkerConnector(KEEP_ALIVE_S),
            None,
            clocks.SystemClock(),
            metrics.Metrics(),
        )
        self.addAsyncCleanup(self.link.close)

    async def test_start_without_a_connection_was_certainly_not_sent(self):
        order = fleet.StartOrder("0.0.0.0", 1, "", 1000, 1, born_ms=FIRST)
        result = await self.link.start(self.address, order, TIMEOUT)
        self.assertIs(result.status, fleet.OrderStatus.UNREACHED)

    async def test_poll_without_a_connection_shows_that_it_is_absent(self):
        order = fleet.LeaseRenewal(1, 0, None, WAIT, FIRST)
        result = await self.link.renew_lease(self.address, order, TIMEOUT)
        self.assertIs(result.status, fleet.OrderStatus.UNREACHED)
