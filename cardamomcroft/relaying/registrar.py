"""Register this instance so that its peers can reach it."""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import expiry
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import replica as replicas

APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_PAUSE = datetime.timedelta(milliseconds=500)


class Registrar:
    """Keep this instance's record in the JOBS stream up to date."""

    def __init__(
        self,
        instance: str,
        address: str,
        data_centre: str,
        target: store.Store,
        replica: replicas.Replica,
        clock: base.Clock,
    ) -> None:
        """Register the address at which peers reach this instance."""
        self._key = ledgers.Kind.INSTANCE.key(instance)
        self._address = address
        self._data_centre = data_centre
        self._store = target
        self._replica = replica
        self._clock = clock

    async def run(self) -> None:
        """Register repeatedly until cancelled, once the replica is loaded."""
        while True:
            done = self._replica.is_loaded and await self._register()
            await self._clock.sleep(
                expiry.REGISTER_PERIOD if done else RETRY_PAUSE
            )

    async def _register(self) -> bool:
        peer = codec.Peer(
            self._address, self._data_centre, self._clock.now().timestamp()
        )
        result = await self._store.append(
            store.Stream.JOBS,
            [store.Entry(self._key, codec.encode_peer(peer))],
            APPEND_TIMEOUT,
        )
        return result.status is store.AppendStatus.APPENDED
