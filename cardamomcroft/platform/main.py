"""Run one instance on the platform."""

import asyncio
import collections.abc
import datetime
import os
import random
import signal
import sys
import traceback
import typing
import uuid

import aiohttp
from aiohttp import web

from cardamomcroft.evacuation import evacuations as evacuation_sets
from cardamomcroft.evacuation import gate as gates
from cardamomcroft.platform import configuration
from cardamomcroft.platform import connections
from cardamomcroft.platform import ingress as ingresses
from cardamomcroft.platform import settings as platform_settings
from cardamomcroft.platform import store as platform_store
from cardamomcroft.platform import workers
from cardamomcroft.ports import clock as clocks
from cardamomcroft.relaying import forwarder as forwarders
from cardamomcroft.relaying import peer_view
from cardamomcroft.relaying import registrar as registrars
from cardamomcroft.relaying import rpc as relay_rpc
from cardamomcroft.scheduling import candidate as candidates
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import configuration_view
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import footprint
from cardamomcroft.scheduling import metrics
from cardamomcroft.scheduling import node as nodes

if typing.TYPE_CHECKING:
    from cardamomcroft.runtimes import stream as run_time_stream

KEEP_ALIVE_S = 30.0  # so that polls reuse their connections
CLIENT_KEEP_ALIVE_S = 60.0
# A crashed worker is free again after one lease; a takeover takes about 2 s.
LEASE = datetime.timedelta(seconds=6)
# The protocol lets duplicates of a submission arrive seconds late, and clocks
# differ: a duplicate that follows the drop would be accepted as a new job.
RETENTION_MARGIN = datetime.timedelta(seconds=60)
# Time for the handover and for closing connections before the platform kills
# the process.
STOP_MARGIN_S = 2.0
SHUTDOWN_TIMEOUT_S = 0.3
# One unexpected error must not end a process. A loop that keeps failing may
# have a state that only a restart mends.
LOOP_RESTART_PAUSE = datetime.timedelta(seconds=1)
MAX_LOOP_CRASHES = 5  # without a minute between two of them
LOOP_CRASH_MEMORY = datetime.timedelta(minutes=1)
VERSION = "0.3.0"
WRONG_USE = 2


class Process:
    """Run one instance: its sockets, its node and its background tasks."""

    def __init__(
        self,
        settings: platform_settings.Settings,
        log_descriptor: int = events.STDOUT,
    ) -> None:
        """Prepare to run; log lines go to the file descriptor."""
        self._settings = settings
        self._clock = clocks.SystemClock()
        self._metrics = metrics.Metrics()
        self._log = events.Events(
            self._clock, settings.instance, self._metrics, log_descriptor
        )
        self._leaving = asyncio.Event()
        self._plans_ahead = settings.plans_ahead(
            os.environ.get(platform_settings.PLANNING_VARIABLE, "")
        )
        self._learns_run_times = platform_settings.learns_run_times(
            self._plans_ahead,
            os.environ.get(platform_settings.RUN_TIMES_VARIABLE, ""),
        )
        self._peers: peer_view.PeerView | None = None
        self.run_times: run_time_stream.View | None = None

    async def run(self) -> None:
        """Serve until SIGTERM."""
        settings = self._settings
        self._log.emit(
            "started",
            data_centre=settings.data_centre,
            version=VERSION,
            ingress=settings.ingress_address,
            metrics=settings.metrics_address,
            plans_ahead=self._plans_ahead,
        )
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEP_ALIVE_S
        )
        async with aiohttp.ClientSession(
            connector=connector,
            skip_auto_headers=workers.SKIPPED_HEADERS,
        ) as session:
            await self._serve(session)
        self._log.emit("stopped")
        self._log.flush()

    def leave(self) -> None:
        """Start a planned stop."""
        self._leaving.set()

    def trap_signals(self) -> None:
        """Stop on SIGTERM or SIGINT; check the settings file on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.leave)
        loop.add_signal_handler(signal.SIGINT, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        """Check the settings file; a change takes effect at the restart."""
        try:
            changed = platform_settings.load() != self._settings
            self._log.emit("settings_reloaded", changed=changed)
        except platform_settings.SettingsError as error:
            self._log.emit("settings_invalid", error=str(error))

    def known_peers(self) -> collections.abc.Mapping[str, codec.Peer]:
        """Return the registered instances, including this one."""
        if self._peers is None:
            return {}
        return self._peers.peers_by_instance

    def memory_for_jobs(self) -> int | None:
        """Return what the smallest instance has for jobs, in bytes."""
        limits = [peer.memory_mb for peer in self.known_peers().values()]
        return footprint.budget_bytes([self._settings.memory_mb, *limits])

    async def _serve(self, session: aiohttp.ClientSession) -> None:
        settings, clock, log = self._settings, self._clock, self._log
        store = platform_store.HttpStore(
            settings.store_address, session, clock, self._metrics
        )
        link = workers.HttpWorkerLink(
            connections.WorkerConnector(KEEP_ALIVE_S),
            settings.advice_address,
            clock,
            self._metrics,
        )
        lease = min(LEASE, settings.max_lease)
        parameters = cluster_state.SchedulingParameters(
            lease,
            # Runs outlast a short outage of the store. With a longer horizon
            # a successor would have to know its predecessor's predecessors.
            lease + candidates.HOLDER_TIMEOUT,
            settings.max_lease,
            settings.stop_bound,
            0,
            settings.retention + RETENTION_MARGIN,
            self._plans_ahead,
            self._learns_run_times,
            settings.reclaim,
        )
        view = configuration_view.ConfigurationView(
            store,
            clock,
            log,
            configuration.decode,
            configuration.CONFIG_KEY,
            settings.config_bound,
        )
        evacuations = evacuation_sets.Evacuations(
            configuration.decode_evacuation, log
        )
        view.on_records = evacuations.read
        node = nodes.Node(
            f"{settings.instance} {uuid.uuid4().hex[:8]}",
            store,
            link,
            clock,
            log,
            workers.decode_listing,
            parameters,
            random.Random(),
            candidates.Rank(settings.cores, self.known_peers),
            gates.Gate(
                evacuations, lambda: view.age, settings.evacuation_bound
            ),
        )
        view.on_change = lambda config: setattr(node, "configuration", config)
        self._peers = peer_view.PeerView(store, clock, log)
        pool = relay_rpc.make_pool(forwarders.CALL_TIMEOUT)
        forwarder = forwarders.PeerForwarder(
            forwarders.Origin(settings.instance, settings.data_centre),
            self.known_peers,
            pool,
            clock,
            log,
            random.Random(),
        )
        ingress = ingresses.Ingress(
            node,
            store,
            view,
            clock,
            log,
            forwarder,
            random.Random(),
            self.memory_for_jobs,
            self._plans_ahead,
        )
        peers = relay_rpc.make_server(
            settings.peer_address,
            ingress,
            lambda error: log.emit("peer_call_failed", error=repr(error)),
        )
        await peers.start()
        registrar = registrars.Registrar(
            settings.instance,
            settings.peer_address,
            settings.data_centre,
            settings.cores,
            settings.memory_mb,
            store,
            self._peers,
            clock,
            log,
        )
        runners = [
            await _listen(ingress.handle_ready, settings.ready_address),
            await _listen(ingress.handle, settings.ingress_address),
            await _listen(
                lambda request: self._serve_metrics(node, view, evacuations),
                settings.metrics_address,
            ),
        ]
        loops = [
            ("configuration", view.run),
            ("node", node.run),
            ("peers", self._peers.run),
            ("registrar", registrar.run),
        ]
        self.run_times = node.run_times
        if node.run_times is not None:
            loops.append(("run times", node.run_times.run))
        tasks = [
            asyncio.ensure_future(self.keep_running(name, run))
            for name, run in loops
        ]
        try:
            await self._wait_until_leaving(tasks)
            await self._leave(ingress, node)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await node.close()
            await peers.stop()
            pool.close()
            await link.close()
            for runner in runners:
                await runner.cleanup()

    async def keep_running(
        self,
        name: str,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        """Run a loop; start it again after an unexpected error.

        Raise the error if it comes MAX_LOOP_CRASHES times.
        """
        crashes = 0
        while True:
            began_at = self._clock.monotonic()
            try:
                return await run()
            except Exception as error:
                if self._clock.monotonic() - began_at > LOOP_CRASH_MEMORY:
                    crashes = 0
                crashes += 1
                self._log.emit(
                    "loop_crashed",
                    loop=name,
                    crashes=crashes,
                    error=repr(error),
                    trace=traceback.format_exc(limit=-3),
                )
                if crashes >= MAX_LOOP_CRASHES:
                    raise
            await self._clock.sleep(LOOP_RESTART_PAUSE)

    async def _serve_metrics(
        self,
        node: nodes.Node,
        view: configuration_view.ConfigurationView,
        evacuations: evacuation_sets.Evacuations,
    ) -> web.Response:
        for name, age in (
            ("jobs", node.replica.age),
            ("configuration", view.age),
        ):
            if age is not None:
                gauge = self._metrics.age.labels(name)
                gauge.set(age.total_seconds())
        self._metrics.jobs.clear()
        self._metrics.standing.clear()
        self._metrics.share_ratios.clear()
        self._metrics.leaving.set(0)
        if node.scheduler is not None:
            for labels, count in node.scheduler.count_jobs().items():
                self._metrics.jobs.labels(*labels).set(count)
            for reason, count in node.scheduler.count_standing().items():
                self._metrics.standing.labels(reason).set(count)
            for (
                account,
                ratio,
            ) in node.scheduler.largest_share_ratios().items():
                self._metrics.share_ratios.labels(account).set(ratio)
            self._metrics.leaving.set(node.scheduler.count_leaving())
        evacuated = len(evacuations.offsets_by_data_centre)
        self._metrics.evacuated.set(evacuated)
        self._metrics.unmatched.set(len(node.replica.ledger.unmatched))
        self._metrics.is_scheduler.set(node.scheduler is not None)
        return web.Response(body=self._metrics.render())

    async def _wait_until_leaving(self, tasks: list[asyncio.Task]) -> None:
        leaving = asyncio.ensure_future(self._leaving.wait())
        await asyncio.wait(
            [leaving, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    async def _leave(
        self, ingress: ingresses.Ingress, node: nodes.Node
    ) -> None:
        self._log.emit("leaving", in_flight=ingress.in_flight)
        began_at = self._clock.monotonic()
        ingress.is_leaving = True
        await node.stop()
        handover_s = (self._clock.monotonic() - began_at).total_seconds()
        limit_s = self._settings.grace.total_seconds() - STOP_MARGIN_S
        await ingresses.wait_until_idle(
            ingress, self._clock, limit_s - handover_s
        )


async def _listen(handler, address: str) -> web.ServerRunner:
    host, _, port = address.rpartition(":")
    server = web.Server(
        handler, keepalive_timeout=CLIENT_KEEP_ALIVE_S, access_log=None
    )
    runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner


def main() -> None:
    """Run an instance with the platform's settings file until it stops."""
    try:
        settings = platform_settings.load()
    except platform_settings.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(WRONG_USE)
    asyncio.run(_run(settings))


async def _run(settings: platform_settings.Settings) -> None:
    try:
        process = Process(settings)
    except platform_settings.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(WRONG_USE)
    process.trap_signals()
    await process.run()


if __name__ == "__main__":
    main()
