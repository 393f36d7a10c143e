"""Serve a node to clients over HTTP and to peers over Thrift."""

import asyncio
import random
import signal
import ssl

from aiohttp import web
import structlog

from cardamomcroft.api import app as apps
from cardamomcroft.daemon import node as nodes
from cardamomcroft.peers import rpc
from cardamomcroft.ports import addresses
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import http
from cardamomcroft.ports import metrics
from cardamomcroft.settings import instance
from cardamomcroft.workers import fleet as fleets

SHUTDOWN_TIMEOUT_S = 5.0


class Server:
    """HTTP and Thrift servers of one node, with its network adapters."""

    def __init__(
        self,
        settings: instance.InstanceSettings,
        generator: random.Random | None = None,
    ) -> None:
        """Build the adapters and the node."""
        self._settings = settings
        self._fleet = fleets.Fleet()
        timeout = settings.timing.duration("call_timeout")
        self._http = http.HttpClient(timeout)
        self._peers = rpc.RpcPeers(timeout)
        ports = nodes.Ports(
            http.HttpLog(settings.platform.log, self._http),
            http.HttpInstances(settings.platform.instances, self._http),
            http.HttpWorkers(self._address_of, self._http),
            self._peers,
            clocks.SystemClock(),
            self._make_metrics(),
        )
        self.node = nodes.Node(settings, ports, generator or random.Random())
        self._peer_server = rpc.PeerServer(
            settings.peer_listen, self.node.exchange
        )
        self._runner: web.AppRunner | None = None
        self._logger = structlog.get_logger()

    def _make_metrics(self):
        statsd = self._settings.statsd
        if statsd is None:
            return metrics.MemoryMetrics()
        return metrics.StatsdMetrics(statsd.host, statsd.port, statsd.prefix)

    def _address_of(self, worker_id: str) -> str | None:
        located = self._fleet.by_id(self.node.replica.state).get(worker_id)
        return located.worker.address if located else None

    def _make_tls(self) -> ssl.SSLContext | None:
        tls = self._settings.tls
        if tls is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(tls.certificate, tls.key)
        return context

    async def start(self) -> None:
        """Start the peer server, the node and then the HTTP server."""
        await self._peer_server.start()
        await self.node.start()
        self._runner = web.AppRunner(
            apps.make_app(self.node.context),
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self._runner.setup()
        host, port = addresses.split_address(self._settings.http_listen)
        site = web.TCPSite(
            self._runner, host, port, ssl_context=self._make_tls()
        )
        await site.start()
        self._logger.info("listening", http=self._settings.http_listen)

    async def stop(self) -> None:
        """Drain and stop the node, then close servers and clients."""
        await self.node.drain()
        await self._runner.cleanup()
        await self.node.stop()
        await self._peer_server.stop()
        self._peers.close()
        await self._http.close()
        self._logger.info("stopped")

    async def run_until_signalled(self) -> None:
        """Serve until SIGTERM or SIGINT; further signals have no effect."""
        signalled = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signalled.set)
        await self.start()
        await signalled.wait()
        await self.stop()
