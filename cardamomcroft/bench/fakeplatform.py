"""Stand-ins and a peer that run beside the measured node."""

from cardamomcroft.bench import population as populations
from cardamomcroft.bench import relay as relays
from cardamomcroft.bench import threads
from cardamomcroft.membership import digests
from cardamomcroft.peers import base as peers_base
from cardamomcroft.peers import rpc
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.standin import instances
from cardamomcroft.standin import log
from cardamomcroft.standin import loopback
from cardamomcroft.standin import service
from cardamomcroft.standin import workers


class _FakePeer(peers_base.PeerHandler):
    """Peer that answers exchanges with a digest of the usual size."""

    def __init__(self, digest: digests.Digest) -> None:
        self._digest = digest

    def exchange(self, digest: digests.Digest) -> digests.Digest:
        return self._digest

    def read_log(self, offset: int, limit: int) -> messages.LogPage:
        return messages.LogPage(0, offset, ())

    def snapshot(self) -> str:
        return ""


class Platform:
    """Runs stand-ins, a fake peer and relays on a separate thread.

    The CPU time of the main thread is then that of the node alone.
    """

    def __init__(self, size: populations.Size) -> None:
        """Choose addresses and build the stand-ins and relays."""
        self.size = size
        self.clock = clocks.SystemClock()
        self.log = log.StandinLog(self.clock)
        self.workers = workers.StandinWorkers(self.clock)
        self.instances = instances.StandinInstances(self.clock)
        names = ("log", "list", "workers", "peers", "node")
        addresses = iter(loopback.free_addresses(2 * len(names)))
        self.target_addresses = {name: next(addresses) for name in names}
        self.relay_addresses = {name: next(addresses) for name in names}
        self.relays = {
            name: relays.CountingRelay(
                self.relay_addresses[name], self.target_addresses[name]
            )
            for name in names
        }
        self._thread = threads.LoopThread()

    def start(self) -> None:
        """Start the stand-ins, the peer and the relays on the thread."""
        self._thread.call(self._start())

    async def _start(self) -> None:
        for name, web_app in (
            ("log", service.log_app(self.log)),
            ("list", service.instances_app(self.instances)),
            ("workers", service.workers_app(self.workers)),
        ):
            await service.serve(web_app, self.target_addresses[name])
        peer = _FakePeer(self.digest(1))
        await rpc.PeerServer(self.target_addresses["peers"], peer).start()
        for relay in self.relays.values():
            await relay.start()

    def digest(self, number: int) -> digests.Digest:
        """Return the digest of the instance of the given number."""
        return digests.Digest(
            f"entry-{number}",
            f"entry-{number}@01234567",
            "region-0",
            "dc0",
            10_000,
            1,
            True,
            False,
            "10.0.0.1:7400",
            self.relay_addresses["peers"],
        )

    def stop(self) -> None:
        """Stop the thread and everything that it serves."""
        self._thread.stop()
