"""Follow the operator's configuration."""

import collections.abc
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import configuration
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import loading

# An unresponsive connection costs one wait and one time-out, together less
# than the two seconds within which a version has to be in force.
POLL_WAIT = datetime.timedelta(seconds=1)
READ_TIMEOUT = datetime.timedelta(seconds=0.8)
RETRY_PAUSE = datetime.timedelta(milliseconds=150)

Decoder = collections.abc.Callable[[bytes], configuration.Configuration]
Listener = collections.abc.Callable[[configuration.Configuration], None]
# Takes records, and whether they are all that the stream has.
Reader = collections.abc.Callable[[tuple[store.Record, ...], bool], None]


class ConfigurationView:
    """Follow the operator's configuration, ignoring older versions."""

    def __init__(
        self,
        source: store.Store,
        clock: base.Clock,
        log: events.Events,
        decode: Decoder,
        key: str,
        max_age: datetime.timedelta,
    ) -> None:
        """Follow ``key``, whose versions take effect within ``max_age``."""
        self._store = source
        self._clock = clock
        self._log = log
        self._decode = decode
        self._key = key
        self._max_age = max_age
        self._load: loading.Load | None = None
        self._load_began_at: datetime.timedelta | None = None
        self._offset: int | None = None
        self._failed_reads = 0  # in a row
        self._least_version = 0
        self.current: configuration.Configuration | None = None
        self.read_at: datetime.timedelta | None = None
        self.on_change: Listener = lambda config: None
        self.on_records: Reader = lambda records, is_load: None

    @property
    def age(self) -> datetime.timedelta | None:
        """Return for how long a newer version may have been missed."""
        if self.read_at is None:
            return None
        return self._clock.monotonic() - self.read_at

    @property
    def is_stale(self) -> bool:
        """Return whether a newer version could be in force elsewhere."""
        age = self.age
        return age is None or age > self._max_age or self._is_outdated

    @property
    def version(self) -> int:
        """Return the version in force here; 0 without one."""
        return self.current.version if self.current else 0

    @property
    def _is_outdated(self) -> bool:
        return self.version < self._least_version

    def require(self, version: int) -> None:
        """Count every older configuration as stale.

        A caller that was served by it must not meet an older one.
        """
        if version <= max(self.version, self._least_version):
            return
        self._least_version = version
        self._log.emit(
            "configuration_outdated", version=self.version, newer=version
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._update():
                await self._clock.sleep(RETRY_PAUSE)

    async def _update(self) -> bool:
        if self._offset is None:
            return await self._proceed_load()
        sent_at = self._clock.monotonic()
        wait = datetime.timedelta() if self._failed_reads else POLL_WAIT
        timeout = store.probe_timeout(self._failed_reads, READ_TIMEOUT)
        page = await self._store.read(
            store.Stream.OPERATOR, self._offset, wait, timeout
        )
        if isinstance(page, store.ReadFailure):
            self._failed_reads += 1
            if page.status is store.ReadStatus.EXPIRED:
                self._offset = None
            return False
        self._failed_reads = 0
        self._apply(page)
        if not page.has_more:
            # An empty answer is as of the end of the wait at the latest.
            now = self._clock.monotonic()
            polled_at = min(now, sent_at + wait)
            self.read_at = sent_at if page.records else polled_at
        return True

    async def _proceed_load(self) -> bool:
        if self._load is None:
            self._load = loading.Load(
                self._store, store.Stream.OPERATOR, READ_TIMEOUT
            )
        if not self._load.record_count:
            self._load_began_at = self._clock.monotonic()
        page = await self._load.proceed()
        if isinstance(page, store.ReadFailure):
            return False
        self._load = None
        self._apply(page, is_load=True)
        self.read_at = self._load_began_at
        return True

    def _apply(self, page: store.Page, is_load: bool = False) -> None:
        self.on_records(page.records, is_load)
        for record in page.records:
            if record.key == self._key and record.value:
                self._apply_record(record)
        self._offset = page.end_offset

    def _apply_record(self, record: store.Record) -> None:
        try:
            config = self._decode(record.value)
        except (ValueError, KeyError, TypeError) as error:
            self._log.emit(
                "configuration_invalid",
                offset=record.offset,
                error=repr(error),
            )
            return
        if self.current and config.version <= self.current.version:
            return
        self.current = config
        self._log.emit(
            "configuration_in_force",
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
            accounts=len(config.accounts_by_name),
            keys=len(config.accounts_by_key),
        )
        self.on_change(config)
