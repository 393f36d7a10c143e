"""Run instances on loopback against the platform's stand-in."""

import asyncio
import datetime
import os

import aiohttp

from cardamomcroft.platform import main
from cardamomcroft.platform import settings
from cardamomcroft.standin import loopback
from cardamomcroft.standin import platform

PROBE_PAUSE_S = 0.02
_S = datetime.timedelta(seconds=1)


def make_settings(name: str, store_address: str) -> settings.Settings:
    """Return an instance's settings, with time bounds for a small site."""
    ingress, ready, metrics, peer = loopback.free_addresses(4)
    return settings.Settings(
        instance=name,
        data_centre="dc",
        ingress_address=ingress,
        ready_address=ready,
        metrics_address=metrics,
        peer_address=peer,
        store_address=store_address,
        advice_address=None,
        config_bound=2 * _S,
        max_lease=10 * _S,
        cores=1.0,
        memory_mb=300,
        stop_bound=0.2 * _S,
        grace=6 * _S,
        drain=2 * _S,
        heartbeat=1.5 * _S,
        remote_factor=3.0,
        checkpoint=2 * _S,
        restore=0.6 * _S,
        reclaim=2.7 * _S,
        gang_timeout=3 * _S,
        retention=120 * _S,
    )


class Cluster:
    """Instances of the daemon that run as tasks of this process."""

    def __init__(
        self, target: platform.PlatformServer, descriptor: int | None = None
    ) -> None:
        """Create an empty cluster; without a descriptor, logs are dropped."""
        self._platform = target
        self._null_descriptor = os.open(os.devnull, os.O_WRONLY)
        self._log_descriptor = (
            self._null_descriptor if descriptor is None else descriptor
        )
        self.processes_by_name: dict[str, main.Process] = {}
        self.settings_by_name: dict[str, settings.Settings] = {}
        self.tasks_by_name: dict[str, asyncio.Task] = {}

    async def start(self, name: str) -> None:
        """Start an instance; faults of the store select it by its name."""
        store_address = await self._platform.listen_for_client(name)
        instance_settings = make_settings(name, store_address)
        process = main.Process(instance_settings, self._log_descriptor)
        self.processes_by_name[name] = process
        self.settings_by_name[name] = instance_settings
        self.tasks_by_name[name] = asyncio.ensure_future(process.run())

    async def is_ready(
        self, session: aiohttp.ClientSession, name: str
    ) -> bool:
        """Return whether an instance's readiness probe succeeds."""
        try:
            address = self.settings_by_name[name].ready_address
            async with session.get(f"http://{address}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def url(self, name: str, path: str) -> str:
        """Return the URL of a path at an instance's ingress."""
        return f"http://{self.settings_by_name[name].ingress_address}{path}"

    async def close(self) -> None:
        """Cancel every instance and wait for its end."""
        tasks = list(self.tasks_by_name.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        os.close(self._null_descriptor)
