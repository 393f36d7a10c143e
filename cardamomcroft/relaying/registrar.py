"""Register this instance so that its peers can reach it."""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.relaying import peer_view
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events

APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_PAUSE = datetime.timedelta(milliseconds=500)
REGISTER_PERIOD = datetime.timedelta(minutes=5)
PEER_LIFETIME = REGISTER_PERIOD * 3  # two registrations may get lost


class Registrar:
    """Keep this instance's record up to date and drop those of gone ones."""

    def __init__(
        self,
        instance: str,
        address: str,
        data_centre: str,
        cores: float,
        memory_mb: int,
        target: store.Store,
        view: peer_view.PeerView,
        clock: base.Clock,
        log: events.Events,
    ) -> None:
        """Register the address for peers and the resources available."""
        self._instance = instance
        self._address = address
        self._data_centre = data_centre
        self._cores = cores
        self._memory_mb = memory_mb
        self._store = target
        self._view = view
        self._clock = clock
        self._log = log

    async def run(self) -> None:
        """Register repeatedly until cancelled, once the peers are loaded."""
        while True:
            done = self._view.is_loaded and await self._register()
            await self._clock.sleep(REGISTER_PERIOD if done else RETRY_PAUSE)

    async def _register(self) -> bool:
        now = self._clock.now()
        peer = codec.Peer(
            self._address,
            self._data_centre,
            now.timestamp(),
            self._cores,
            self._memory_mb,
        )
        own = store.Entry(self._instance, codec.encode_peer(peer))
        gone = self._gone(now)
        if gone:
            # Unless the stream has grown: one of them may have registered.
            entries = [own, *(store.Entry(name, None) for name in gone)]
            if await self._append(entries, self._view.end_offset):
                for name in gone:
                    self._log.emit("peer_dropped", peer=name)
                return True
        return await self._append([own])

    def _gone(self, now: datetime.datetime) -> list[str]:
        """Return the other instances that have not registered for long."""
        oldest = (now - PEER_LIFETIME).timestamp()
        return [
            name
            for name, peer in self._view.peers_by_instance.items()
            if name != self._instance and peer.seen_at < oldest
        ]

    async def _append(
        self, entries: list[store.Entry], expected_end: int | None = None
    ) -> bool:
        result = await self._store.append(
            store.Stream.INSTANCES, entries, APPEND_TIMEOUT, expected_end
        )
        return result.status is store.AppendStatus.APPENDED
