"""Start the stand-ins and daemons as processes."""

import asyncio
import dataclasses
import os
import pathlib
import sys
import time

import yaml

from cardamomcroft.bench import local
from cardamomcroft.settings import directory
from cardamomcroft.settings import documents
from cardamomcroft.settings import parsing
from cardamomcroft.standin import loopback

INSTANCES = 7
MIN_USAGE_AGE_S = 15.0  # imports dominate the CPU share before
DECLARATIONS_FOLDER = (
    pathlib.Path(__file__).parent.parent / "examples" / "guild"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resident memory and mean core share of a daemon."""

    rss_bytes: int
    core_share: float


class Processes:
    """Starts the processes of the bench and stops only those."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Choose addresses and write every settings file."""
        self._folder = folder
        free = loopback.free_addresses(3 + 2 * INSTANCES)
        self.log_address, self.list_address, self.workers_address = free[:3]
        listen_addresses = free[3:]
        self.addresses = list(
            zip(listen_addresses[::2], listen_addresses[1::2], strict=True)
        )
        self.by_path = self._declarations()
        self.daemons: dict[int, asyncio.subprocess.Process] = {}
        self._started_s: dict[int, float] = {}
        self._standins: list[asyncio.subprocess.Process] = []
        self._write_settings()

    def _declarations(self) -> dict[str, documents.Document]:
        by_path = directory.load(DECLARATIONS_FOLDER).ok
        located = {}
        for path, document in by_path.items():
            data = parsing.CONVERTER.unstructure(document)
            if path.startswith("fleet/"):
                for rack in data["racks"].values():
                    for worker_id, worker in rack["workers"].items():
                        worker["address"] = (
                            f"http://{self.workers_address}/{worker_id}"
                        )
            located[path] = parsing.parse_document(path, data).ok
        return located

    def _write_settings(self) -> None:
        for number, (http_address, peer_address) in enumerate(self.addresses):
            data = {
                "instance_id": f"entry-{number}",
                "data_centre": "dahab",
                "region": "red-sea",
                "http_listen": http_address,
                "peer_listen": peer_address,
                "platform": {
                    "log": f"http://{self.log_address}",
                    "instances": f"http://{self.list_address}",
                },
                "peers": {
                    f"entry-{other}": self.addresses[other][1]
                    for other in range(INSTANCES)
                },
                "operators": {
                    "root": {
                        "token_sha256": local.operator_principal().token_sha256
                    }
                },
                "logging": {"level": "info"},
            }
            file = self._folder / f"entry-{number}.yaml"
            file.write_text(yaml.safe_dump(data), encoding="utf-8")

    async def _spawn(
        self, name: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        output = os.open(
            self._folder / f"{name}.log",
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
        )
        try:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdout=output,
                stderr=output,
            )
        finally:
            os.close(output)

    async def start_standins(self) -> None:
        """Start the stand-ins of log, instance list and workers."""
        for name, extra in (
            ("log", ()),
            ("instances", ("--lag-s", "5")),
            ("workers", (str(DECLARATIONS_FOLDER),)),
        ):
            address = {
                "log": self.log_address,
                "instances": self.list_address,
                "workers": self.workers_address,
            }[name]
            process = await self._spawn(
                name,
                "cardamomcroft.cli.main",
                "standin",
                name,
                *extra,
                "--listen",
                address,
            )
            self._standins.append(process)

    async def start_daemon(self, number: int) -> None:
        """Start an instance."""
        self._started_s[number] = time.monotonic()
        self.daemons[number] = await self._spawn(
            f"entry-{number}",
            "cardamomcroft.daemon.main",
            "--settings",
            str(self._folder / f"entry-{number}.yaml"),
        )

    def usage(self) -> tuple[Usage, ...]:
        """Return the usage of each running daemon past its start-up."""
        found = []
        for number, process in self.daemons.items():
            if process.returncode is not None:
                continue
            age_s = time.monotonic() - self._started_s[number]
            if age_s < MIN_USAGE_AGE_S:
                continue
            folder = pathlib.Path(f"/proc/{process.pid}")
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            ticks = int(fields[11]) + int(fields[12])  # user and system
            pages = int((folder / "statm").read_text().split()[1])
            cpu_s = ticks / os.sysconf("SC_CLK_TCK")
            rss_bytes = pages * os.sysconf("SC_PAGE_SIZE")
            found.append(Usage(rss_bytes, cpu_s / age_s))
        return tuple(found)

    def url(self, number: int) -> str:
        """Return an instance's HTTP address."""
        return f"http://{self.addresses[number][0]}"

    async def stop_all(self) -> None:
        """Kill and reap every process that was started here."""
        processes = [*self.daemons.values(), *self._standins]
        for process in processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
