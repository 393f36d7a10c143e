"""Follow the workers' entries in the platform's store."""

import collections.abc
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import loading

READ_TIMEOUT = datetime.timedelta(seconds=1)
POLL_WAIT = datetime.timedelta(seconds=1)
RETRY_PAUSE = datetime.timedelta(milliseconds=150)
# Heartbeats arrive in small pieces; reading several at once is cheaper.
BATCH_PAUSE = datetime.timedelta(milliseconds=50)
# Entries that expired in a store outage return within two seconds of its end
# (as specified).
RELISTING_GRACE = datetime.timedelta(seconds=2.2)

Decoder = collections.abc.Callable[[store.Record], fleet.Listing | None]


class Directory:
    """Keep the listings of all workers."""

    def __init__(
        self,
        source: store.Store,
        clock: base.Clock,
        log: events.Events,
        decode: Decoder,
    ) -> None:
        """Follow ``source``, whose entries ``decode`` reads."""
        self._store = source
        self._clock = clock
        self._log = log
        self._decode = decode
        self._load: loading.Load | None = None
        self._offset: int | None = None
        self.listings_by_id: dict[str, fleet.Listing] = {}
        # From this time on, a missing entry means that the worker is gone.
        self.absence_valid_from = clock.monotonic()
        self.is_loaded = False
        self.on_change: collections.abc.Callable[[], None] | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._try_update():
                self.absence_valid_from = (
                    self._clock.monotonic() + RELISTING_GRACE
                )
                self._offset = None
                await self._clock.sleep(RETRY_PAUSE)

    async def _try_update(self) -> bool:
        """Read once; log an error instead of ending."""
        try:
            return await self.update()
        except Exception as error:
            self._log.emit("directory_crashed", error=repr(error))
            return False

    async def update(self) -> bool:
        """Read once; return whether the store answered."""
        if self._offset is None:
            return await self._proceed_load()
        page = await self._store.read(
            store.Stream.SERVERS, self._offset, POLL_WAIT, READ_TIMEOUT
        )
        if isinstance(page, store.ReadFailure):
            return False
        self._offset = page.end_offset
        for record in page.records:
            self._apply_record(record)
        if page.records and self.on_change:
            self.on_change()
        if not page.has_more:
            await self._clock.sleep(BATCH_PAUSE)
        return True

    async def _proceed_load(self) -> bool:
        if self._load is None:
            self._load = loading.Load(
                self._store, store.Stream.SERVERS, READ_TIMEOUT
            )
        page = await self._load.proceed()
        if isinstance(page, store.ReadFailure):
            return False
        self._load = None
        self.listings_by_id = {}
        for record in page.records:
            self._apply_record(record)
        self._offset = page.end_offset
        self.is_loaded = True
        if self.on_change:
            self.on_change()
        return True

    def _apply_record(self, record: store.Record) -> None:
        if record.value is None:
            if self.listings_by_id.pop(record.key, None):
                self._log.emit("worker_unlisted", worker_id=record.key)
            return
        try:
            listing = self._decode(record)
        except Exception as error:
            # Entries may come from any writer; one must not end the scheduler.
            listing = None
            self._log.emit(
                "listing_invalid", worker_id=record.key, error=repr(error)
            )
        if listing is None:
            # A damaged entry names no worker; the last valid one stays.
            return
        known = self.listings_by_id.get(record.key)
        if (
            known is None
            or known.state is not listing.state
            or known.born_ms != listing.born_ms
        ):
            self._log.emit(
                "worker_listed",
                worker_id=record.key,
                state=listing.state.value,
                born_ms=listing.born_ms,
                offset=record.offset,
            )
        self.listings_by_id[record.key] = listing
