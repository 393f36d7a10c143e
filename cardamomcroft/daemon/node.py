"""Build the roles of one instance and run them on one event loop."""

import asyncio
import dataclasses
import datetime
import random
import uuid

import structlog

from cardamomcroft.api import auth
from cardamomcroft.api import context as contexts
from cardamomcroft.charts import loading
from cardamomcroft.daemon import listing
from cardamomcroft.jobs import dependencies
from cardamomcroft.jobs import history as histories
from cardamomcroft.jobs import overlay as overlays
from cardamomcroft.jobs import scheduler as schedulers
from cardamomcroft.log import appender as appenders
from cardamomcroft.log import replica as replicas
from cardamomcroft.log import snapshotter as snapshotters
from cardamomcroft.membership import digests
from cardamomcroft.membership import freshness as freshnesses
from cardamomcroft.membership import members
from cardamomcroft.peers import base as peers_base
from cardamomcroft.peers import exchange as exchanges
from cardamomcroft.peers import guarded as guarded_peers
from cardamomcroft.policy import registry
from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.requests import admission as admissions
from cardamomcroft.requests import router as routers
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.state import jobs as job_folds
from cardamomcroft.workers import allotment as allotments
from cardamomcroft.workers import fleet as fleets
from cardamomcroft.workers import guarded as guarded_workers
from cardamomcroft.workers import health as healths
from cardamomcroft.workers import renewer as renewers

DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
CATCH_UP_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Adapters to the platform, the workers, the peers, clock and metrics."""

    log: base.PlatformLog
    instances: base.InstanceList
    workers: base.WorkerClient
    peers: peers_base.PeerClient
    clock: base.Clock
    metrics: base.Metrics


class Lifecycle:
    """State machine of the instance, from its state chart."""

    def __init__(self) -> None:
        """Attach the chart, which sets the initial state."""
        self.state = ""
        loading.load("instance").attach(self)


class Node:
    """Roles of one instance: log replica, membership, scheduler, router."""

    def __init__(
        self,
        settings: instance.InstanceSettings,
        ports: Ports,
        generator: random.Random,
    ) -> None:
        """Build the roles without starting them."""
        self.settings = settings
        self.ports = ports
        self.lifecycle = Lifecycle()
        suffix = uuid.UUID(int=generator.getrandbits(128)).hex[:8]
        self.incarnation = f"{settings.instance_id}@{suffix}"
        self._logger = structlog.get_logger().bind(
            instance_id=settings.instance_id
        )
        self._tasks: list[asyncio.Task] = []
        self._workers = guarded_workers.GuardedWorkers(
            ports.workers, ports.metrics
        )
        self._build_log()
        self._build_membership()
        self._build_jobs()
        self._build_requests(generator)
        self.context = self._make_context()

    def _build_log(self) -> None:
        ports = self.ports
        self.replica = replicas.Replica(
            ports.log,
            ports.clock,
            ports.metrics,
            self.settings.timing.duration("read_wait"),
        )
        self.appender = appenders.Appender(
            self.incarnation,
            ports.log,
            self.replica,
            ports.clock,
            ports.metrics,
        )

    def _build_membership(self) -> None:
        settings, ports = self.settings, self.ports
        timing = settings.timing
        self.membership = members.Membership(
            settings.instance_id,
            settings.region,
            ports.clock,
            timing.duration("suspicion"),
            timing.duration("live_window"),
        )
        for instance_id, address in settings.peers.items():
            self.membership.add_seed(instance_id, address)
        self.freshness = freshnesses.Freshness(
            self.replica,
            self.membership,
            ports.clock,
            timing.duration("self_lease"),
        )
        self.exchange = exchanges.Exchange(
            self.make_digest,
            self.membership,
            self.replica,
            guarded_peers.GuardedPeers(ports.peers, ports.metrics),
            ports.clock,
            timing.duration("digest_period"),
            timing.digest_fanout,
        )
        self.listing = listing.ListWatcher(
            ports.instances,
            self.membership,
            ports.clock,
            timing.duration("list_period"),
        )
        self.snapshotter = snapshotters.Snapshotter(
            settings.instance_id,
            self.replica,
            self.appender,
            self.membership,
            ports.clock,
            timing.snapshot_every_records,
        )

    def _build_jobs(self) -> None:
        settings, ports = self.settings, self.ports
        self.policy = registry.by_name()[settings.policy]
        self.overlay = overlays.Overlay(
            self.replica, self.appender, self.membership
        )
        self.renewer = renewers.LeaseRenewer(
            settings.region,
            self.replica,
            self.appender,
            self.overlay,
            self._workers,
            self.membership,
            self.freshness,
            ports.clock,
            ports.metrics,
            settings.timing,
        )
        self.health = healths.Health(ports.clock)
        self.replica.observe(self.health.observe)
        self.replica.observe_loads(self.health.restore)
        self.scheduler = schedulers.Scheduler(
            dependencies.Dependencies(
                settings.region,
                self.incarnation,
                self.replica,
                self.appender,
                self.overlay,
                self._workers,
                self.membership,
                self.freshness,
                ports.clock,
                ports.metrics,
                settings.timing,
                self.policy,
                self.health,
                histories.RunHistory(self.replica),
            )
        )

    def _build_requests(self, generator: random.Random) -> None:
        settings, ports = self.settings, self.ports
        self.allotment = allotments.Allotment(self.membership)
        self._fleet = fleets.Fleet()
        self.admission = admissions.Admission(
            ports.clock, ports.metrics, self._account_terms, self._capacity
        )
        self.router = routers.Router(
            settings.region,
            settings.data_centre,
            self.replica,
            self.appender,
            self._workers,
            self.membership,
            self.admission,
            self.allotment,
            ports.clock,
            ports.metrics,
            generator,
        )

    def _make_context(self) -> contexts.Context:
        return contexts.Context(
            self.settings,
            self.incarnation,
            self.replica,
            self.appender,
            self.membership,
            self.scheduler,
            self.router,
            self.policy,
            self.ports.clock,
            self.ports.metrics,
            auth.Authenticator(self.settings.operators),
            self.lifecycle,
        )

    def _account_terms(self, account: str) -> admissions.AccountTerms:
        document = job_folds.find_account(self.replica.state, account)
        if document is None:
            return admissions.AccountTerms(1.0, documents.Limits(), {})
        return admissions.AccountTerms(
            document.weight,
            document.limits,
            {name: caller.weight for name, caller in document.callers.items()},
        )

    def _capacity(self) -> int:
        located = self._fleet.region(self.replica.state, self.settings.region)
        return sum(
            self.allotment.limit(worker)
            for worker_id, worker in located.items()
            if not self.membership.is_worker_leaving(worker_id)
        )

    def make_digest(self, peer_id: str) -> digests.Digest:
        """Return the digest of this instance that is sent to a peer."""
        state = self.replica.state
        claim = state.claims.get(self.settings.region)
        claimed_epoch = claim.epoch if claim else -1
        return digests.Digest(
            self.settings.instance_id,
            self.incarnation,
            self.settings.region,
            self.settings.data_centre,
            state.applied,
            max(claimed_epoch, self.membership.known_epoch),
            self.replica.reachable,
            self.lifecycle.state in ("draining", "stopped"),
            self.settings.http_listen,
            self.settings.peer_listen,
            self.admission.running,
            tuple(
                worker_id
                for worker_id in self.membership.leaving_workers
                if self.membership.is_worker_leaving(worker_id)
            ),
            self.overlay.facts(peer_id),
            self.replica.caught_up,
        )

    async def start(self) -> None:
        """Start the roles; serve once the replica has caught up."""
        await self.lifecycle.listen()
        for role in (
            self.replica,
            self.appender,
            self.exchange,
            self.listing,
            self.renewer,
            self.scheduler,
            self.snapshotter,
        ):
            self._tasks.append(
                asyncio.ensure_future(self._run_restarting(role))
            )
        self._tasks.append(asyncio.ensure_future(self._catch_up()))

    async def _run_restarting(self, role) -> None:
        """Run a role, and restart it when it raises."""
        while True:
            try:
                await role.run()
            except Exception:
                name = type(role).__name__
                self._logger.exception("role_failed", role=name)
                self.ports.metrics.increment("role.failed")
                await self.ports.clock.sleep(CATCH_UP_POLL_INTERVAL)

    async def _catch_up(self) -> None:
        while not self.replica.caught_up:
            await self.ports.clock.sleep(CATCH_UP_POLL_INTERVAL)
        if self.lifecycle.state == "catching_up":
            await self.lifecycle.catch_up()
            self._logger.info("serving", applied=self.replica.state.applied)

    async def drain(self) -> None:
        """Drain the scheduler, then wait for the requests in flight."""
        if self.lifecycle.state not in ("catching_up", "serving"):
            return
        await self.lifecycle.drain()
        self._logger.info("draining")
        await self.scheduler.drain()
        await self.exchange.announce()
        # The balancer sends requests until it sees that /readyz fails.
        await self.ports.clock.sleep(self.settings.timing.duration("linger"))
        self.admission.is_draining = True
        limit = self.settings.timing.duration("drain")
        started_at = self.ports.clock.monotonic()
        while self._is_busy():
            if self.ports.clock.monotonic() - started_at >= limit:
                self._logger.warning("drain_limit_passed")
                break
            await self.ports.clock.sleep(DRAIN_POLL_INTERVAL)

    def _is_busy(self) -> bool:
        requests = self.admission.running + self.admission.queued
        return bool(requests or self.appender.pending())

    async def stop(self) -> None:
        """Stop the roles; after a drain the state becomes ``stopped``."""
        if self.lifecycle.state == "draining":
            await self.lifecycle.stop()
        await self.kill()

    async def kill(self) -> None:
        """Cancel the roles without a drain, as a crash would."""
        tasks, self._tasks = self._tasks, []
        tasks.extend(self.scheduler.tasks())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_until(
    clock: base.Clock, condition, limit: datetime.timedelta
) -> bool:
    """Poll until the condition holds; return whether it did in time."""

    async def poll() -> bool:
        while not condition():
            await clock.sleep(DRAIN_POLL_INTERVAL)
        return True

    return bool(await clocks.within(clock, limit, poll()))
