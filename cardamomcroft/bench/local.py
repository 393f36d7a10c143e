"""Run the stand-ins and several instances on loopback."""

import asyncio
import datetime
import hashlib

import aiohttp

from cardamomcroft.daemon import node as nodes
from cardamomcroft.daemon import serving
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents
from cardamomcroft.settings import instance
from cardamomcroft.settings import parsing
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import loopback
from cardamomcroft.standin import service
from cardamomcroft.standin import workers

WAIT_TIMEOUT = datetime.timedelta(seconds=30)
OPERATOR_TOKEN = "demo-operator-token"


def operator_principal() -> documents.Principal:
    """Return the principal of the operator of local clusters."""
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return documents.Principal(digest)


def make_settings(
    index: int,
    addresses: list[tuple[str, str]],
    platform: instance.Platform,
    region: str,
    data_centres: list[str],
    policy: str,
    timing: instance.Timing,
) -> instance.InstanceSettings:
    """Return the settings of one of several local instances."""
    http_address, peer_address = addresses[index]
    return instance.InstanceSettings(
        f"entry-{index + 1}",
        data_centres[index % len(data_centres)],
        region,
        http_address,
        peer_address,
        platform,
        peers={
            f"entry-{number + 1}": addresses[number][1]
            for number in range(len(addresses))
        },
        operators={"root": operator_principal()},
        logging=instance.Logging(level="warning"),
        policy=policy,
        timing=timing,
    )


class LocalCluster:
    """Stand-ins and instances in one process."""

    def __init__(
        self,
        by_path: dict[str, documents.Document],
        instance_count: int,
        policy: str,
        timing: instance.Timing | None = None,
    ) -> None:
        """Choose addresses and build the stand-ins and instances."""
        self._timing = timing or instance.Timing()
        self.clock = clocks.SystemClock()
        self.log = log.StandinLog(self.clock)
        self.workers = workers.StandinWorkers(self.clock)
        self.instances = instances.StandinInstances(self.clock)
        self._log_address, self._list_address, self.workers_address = (
            loopback.free_addresses(3)
        )
        self.by_path = {
            path: self._rewrite_addresses(document)
            for path, document in by_path.items()
        }
        self.servers = self._make_servers(instance_count, policy)
        self._runners: list = []

    def _rewrite_addresses(
        self, document: documents.Document
    ) -> documents.Document:
        """Return a data centre whose workers are reached at the stand-in."""
        if not isinstance(document, documents.DataCentre):
            return document
        data = parsing.CONVERTER.unstructure(document)
        self.workers.add_declared(document)
        for rack in data["racks"].values():
            for worker_id, worker in rack["workers"].items():
                worker["address"] = (
                    f"http://{self.workers_address}/{worker_id}"
                )
        return parsing.CONVERTER.structure(data, documents.DataCentre)

    def _make_servers(self, count: int, policy: str) -> list[serving.Server]:
        free = loopback.free_addresses(2 * count)
        addresses = list(zip(free[::2], free[1::2], strict=True))
        platform = instance.Platform(
            f"http://{self._log_address}", f"http://{self._list_address}"
        )
        data_centres = [
            path.removeprefix("fleet/")
            for path in sorted(self.by_path)
            if path.startswith("fleet/")
        ]
        region = self.by_path[f"fleet/{data_centres[0]}"].region
        self.settings = [
            make_settings(
                index,
                addresses,
                platform,
                region,
                data_centres,
                policy,
                self._timing,
            )
            for index in range(count)
        ]
        return [serving.Server(settings) for settings in self.settings]

    def url(self, index: int) -> str:
        """Return the HTTP address of an instance."""
        return f"http://{self.settings[index].http_listen}"

    async def start(self) -> None:
        """Start the stand-ins, then the instances."""
        for app, address in (
            (service.log_app(self.log), self._log_address),
            (service.instances_app(self.instances), self._list_address),
            (service.workers_app(self.workers), self.workers_address),
        ):
            self._runners.append(await service.serve(app, address))
        for settings in self.settings:
            self.instances.put(
                messages.ListedInstance(
                    settings.instance_id,
                    messages.InstanceState.LIVE,
                    settings.region,
                    settings.data_centre,
                    settings.peer_listen,
                    settings.http_listen,
                )
            )
        for server in self.servers:
            await server.start()

    async def wait_serving(self) -> None:
        """Wait until every instance serves."""
        for server in self.servers:
            await nodes.wait_until(
                self.clock,
                lambda node=server.node: node.lifecycle.state == "serving",
                WAIT_TIMEOUT,
            )

    async def wait_in_force(self, revision: int) -> float:
        """Wait until every instance has applied a revision.

        Return the seconds that it took.
        """
        began = self.clock.monotonic()
        for server in self.servers:
            replica = server.node.replica
            while replica.state.applied < revision:
                if self.clock.monotonic() - began > WAIT_TIMEOUT:
                    raise RuntimeError(
                        "configuration not applied by every instance in time"
                    )
                await replica.changed()
        return (self.clock.monotonic() - began).total_seconds()

    async def stop(self) -> None:
        """Drain the instances, then stop the stand-ins."""
        await asyncio.gather(*(server.stop() for server in self.servers))
        for runner in self._runners:
            await runner.cleanup()


def headers(token: str, key: str = "") -> dict[str, str]:
    """Return headers with the token and, if given, an idempotency key."""
    headers_by_name = {"Authorization": f"Bearer {token}"}
    if key:
        headers_by_name["Idempotency-Key"] = key
    return headers_by_name


async def apply_all(
    session: aiohttp.ClientSession,
    url: str,
    by_path: dict[str, documents.Document],
) -> int:
    """Apply documents that do not exist yet and return their revision."""
    edits = [
        {
            "path": path,
            "expected_revision": -1,
            "document": parsing.CONVERTER.unstructure(document),
        }
        for path, document in by_path.items()
    ]
    async with session.post(
        f"{url}/v1/settings",
        json={"edits": edits},
        headers=headers(OPERATOR_TOKEN),
    ) as response:
        data = await response.json()
        if response.status != 200:
            raise RuntimeError(f"apply failed: {data}")
        return data["revision"]
