"""Run instances as child processes and send signals only to those."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys

import yaml

from cardamomcroft.platform import settings as platform_settings
from soak import proxy

GRACE_S = 6
MEMORY_MB = 160  # of the smallest instance of the sites in force
INGRESS_PORT = 8521
READY_PORT = 8523
PEER_PORT = 7000
BOUNDS = {
    "ConfigApplyMs": 2000,
    "MaxHoldMs": 10_000,
    "StopTimeoutMs": 200,
    "GraceS": GRACE_S,
    "DrainMs": 2000,
    "RemoteFactor": 3,
    "CheckpointS": 2,
    "RestoreMs": 600,
    "ReclaimMs": 2700,
    "GangTimeoutMs": 3000,
    "status_s": 120,
    "EvacuateMs": 5000,
}


class Instance:
    """One instance: its process, link to the store, settings and log."""

    def __init__(
        self,
        name: str,
        ip: str,
        link: proxy.Link,
        folder: pathlib.Path,
        stop_timeout_ms: int = BOUNDS["StopTimeoutMs"],
    ) -> None:
        """Write the settings file; ``start`` starts the process."""
        self._bounds = BOUNDS | {"StopTimeoutMs": stop_timeout_ms}
        self.name = name
        self.ip = ip
        self.link = link
        self._settings = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.is_planned_stop = False
        self.is_frozen = False
        self.write_settings()

    def write_settings(self) -> None:
        """Write the settings file as the platform does."""
        data = {
            "NodeName": self.name,
            "Zone": "dc",
            "Ip": self.ip,
            "ListenAddrs": {
                "FrontendAddr": f"{self.ip}:{INGRESS_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
            },
            "InternalPorts": [PEER_PORT, PEER_PORT + 15],
            "HeartbeatMs": 1500,
            "Bounds": self._bounds,
            "Limits": {"MemoryMb": MEMORY_MB},
            "platform": {"Address": self.link.address},
        }
        self._settings.write_text(yaml.safe_dump(data))

    @property
    def url(self) -> str:
        """Return the URL of the ingress."""
        return f"http://{self.ip}:{INGRESS_PORT}"

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process is not None and self._process.returncode is None

    def used_memory_mb(self) -> float:
        """Return the resident memory of the process; 0 if there is none."""
        if not self.is_running:
            return 0.0
        path = pathlib.Path(f"/proc/{self._process.pid}/statm")
        try:
            pages = int(path.read_text().split()[1])
        except (OSError, IndexError):  # it has just ended
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def start(self) -> None:
        """Start the process."""
        self.is_planned_stop = False
        self.is_frozen = False
        environment = os.environ | {
            platform_settings.PATH_VARIABLE: str(self._settings)
        }
        with self.log.open("ab") as sink:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cardamomcroft.platform.main",
                stdout=sink,
                stderr=sink,
                env=environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self.wait()

    async def stop(self) -> float:
        """Stop the process gracefully; return the seconds that it took.

        The process is killed if it has not ended after GRACE_S seconds.
        """
        self.is_planned_stop = True
        began = asyncio.get_running_loop().time()
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.wait(), GRACE_S)
        except TimeoutError:
            await self.kill()
        return asyncio.get_running_loop().time() - began

    async def wait(self) -> None:
        """Wait for the process to end."""
        if self._process is not None:
            await self._process.wait()

    async def freeze(self, seconds: float) -> None:
        """Suspend the process for some seconds."""
        self.is_frozen = True
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
        self.is_frozen = False
