"""Follow the instances' records in their own stream.

Independent of the replica of the jobs: an instance that cannot load the jobs
needs its peers most.
"""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import loading

# A silent connection costs one wait and one time-out.
POLL_WAIT = datetime.timedelta(seconds=20)
# One small page, which may share a slow link with a page of jobs of 1 MB.
READ_TIMEOUT = datetime.timedelta(seconds=3)
# Instances that start together register within a second; one read gets them
# all instead of one read each.
FIRST_PAUSE = datetime.timedelta(seconds=1)
PAGE_PAUSE = datetime.timedelta(seconds=5)
RETRY_PAUSE = datetime.timedelta(milliseconds=500)


class PeerView:
    """Keep the records of all registered instances."""

    def __init__(
        self, source: store.Store, clock: base.Clock, log: events.Events
    ) -> None:
        """Create an empty view, which ``run`` loads and keeps current."""
        self._store = source
        self._clock = clock
        self._log = log
        self._pending_load: loading.Load | None = self._make_load()
        self.peers_by_instance: dict[str, codec.Peer] = {}
        self.is_loaded = False  # stays set while later loads fail
        self.end_offset = 0

    def _make_load(self) -> loading.Load:
        return loading.Load(self._store, store.Stream.INSTANCES, READ_TIMEOUT)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._clock.sleep(await self._update())

    async def _update(self) -> datetime.timedelta:
        """Load or read once; return the pause before the next call."""
        if self._pending_load is not None:
            return await self._load(self._pending_load)
        page = await self._store.read(
            store.Stream.INSTANCES, self.end_offset, POLL_WAIT, READ_TIMEOUT
        )
        if isinstance(page, store.ReadFailure):
            self._pending_load = self._make_load()
            return RETRY_PAUSE
        self._apply(page)
        return PAGE_PAUSE

    async def _load(self, load: loading.Load) -> datetime.timedelta:
        page = await load.proceed()
        if isinstance(page, store.ReadFailure):
            self._log.emit("peers_load_failed", detail=page.detail)
            # The peers known serve meanwhile, so there is no hurry.
            return PAGE_PAUSE if self.is_loaded else RETRY_PAUSE
        known = self.peers_by_instance
        self.peers_by_instance = {}
        for record in page.records:
            if record.key in known:
                self.peers_by_instance[record.key] = known[record.key]
        self._apply(page)
        self._pending_load = None
        self.is_loaded = True
        self._log.emit(
            "peers_loaded",
            count=len(self.peers_by_instance),
            end_offset=page.end_offset,
        )
        return FIRST_PAUSE

    def _apply(self, page: store.Page) -> None:
        self.end_offset = page.end_offset
        for record in page.records:
            if record.value is None:
                self.peers_by_instance.pop(record.key, None)
                continue
            try:
                peer = codec.decode_peer(record.value)
            except (ValueError, TypeError) as error:
                # The last valid record stays.
                self._log.emit(
                    "peer_invalid", peer=record.key, error=repr(error)
                )
                continue
            self.peers_by_instance[record.key] = peer
