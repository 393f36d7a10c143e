"""Follow the stream of jobs and track how current the copy is."""

import asyncio
import collections.abc
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger
from cardamomcroft.scheduling import loading
from cardamomcroft.sharing import refusals

READ_TIMEOUT = datetime.timedelta(seconds=1)  # a slow store takes 240 ms
# A scheduler renews every 0.4 s; an older forecast refuses no jobs.
MAX_FORECAST_AGE = datetime.timedelta(seconds=2)
_MS = datetime.timedelta(milliseconds=1)
_ZERO = datetime.timedelta()

Updates = list[tuple[ledger.Kind, str]]


class Replica:
    """Keep a ledger up to date from the store."""

    def __init__(
        self, source: store.Store, clock: base.Clock, log: events.Events
    ) -> None:
        """Create an empty copy, which the first ``update`` loads."""
        self._store = source
        self._clock = clock
        self._log = log
        self.ledger = ledger.Ledger()
        self.is_loaded = False
        self.fresh_at: datetime.timedelta | None = None
        self.is_reachable = True
        self.is_store_silent = False  # the last read got no answer in time
        self._failed_reads = 0  # in a row
        self.store_regained_at: datetime.timedelta | None = None
        self.is_behind = False  # the last read did not reach the end
        self._load: loading.Load | None = self._make_load()
        self._loading: asyncio.Future | None = None
        self._refreshing: asyncio.Future | None = None
        self.on_updates: collections.abc.Callable[[Updates], None] | None = (
            None
        )

    @property
    def age(self) -> datetime.timedelta | None:
        """Return for how long the copy may have been out of date."""
        if self.fresh_at is None:
            return None
        return self._clock.monotonic() - self.fresh_at

    def expected_wait(self, queue: str) -> datetime.timedelta:
        """Return a queue's forecast wait; zero if the forecast is old."""
        claim, seen_at = self.ledger.claim, self.ledger.holder_seen_at
        if claim is None or seen_at is None:
            return _ZERO
        if self._clock.monotonic() - seen_at > MAX_FORECAST_AGE:
            return _ZERO
        return claim.wait_ms_by_queue.get(queue, 0) * _MS

    def expectation(
        self, queue: str, account: str
    ) -> refusals.Expectation | None:
        """Return an account's forecast wait; None if the forecast is old."""
        claim, seen_at = self.ledger.claim, self.ledger.holder_seen_at
        if claim is None or seen_at is None:
            return None
        age = self._clock.monotonic() - seen_at
        if age > MAX_FORECAST_AGE:
            return None
        waits = claim.wait_ms_by_queue
        wait = refusals.wait_ms(waits, queue, account) * _MS
        return refusals.Expectation(wait, age)

    async def refresh(self, timeout: datetime.timedelta) -> bool:
        """Update the copy to the present; return whether that succeeded."""
        if not self.is_reachable:
            return False
        asked_at = self._clock.monotonic()
        await clocks.within(self._clock, timeout, self._catch_up(asked_at))
        return self.fresh_at is not None and self.fresh_at >= asked_at

    async def _catch_up(self, asked_at: datetime.timedelta) -> None:
        """Read until the copy holds all records acknowledged by then.

        A read under way was sent earlier and may lack the newest records.
        """
        while self.fresh_at is None or self.fresh_at < asked_at:
            if self._refreshing is None or self._refreshing.done():
                self._refreshing = asyncio.ensure_future(self.update())
            if not await asyncio.shield(self._refreshing):
                return

    def _make_load(self) -> loading.Load:
        return loading.Load(self._store, store.Stream.JOBS, READ_TIMEOUT)

    async def update(self, wait: datetime.timedelta = _ZERO) -> bool:
        """Read a page; return whether the store answered."""
        if self._load is not None and not await self._finish_load():
            return False
        sent_at = self._clock.monotonic()
        target = self.ledger
        timeout = store.probe_timeout(self._failed_reads, READ_TIMEOUT)
        wait = _ZERO if self._failed_reads else wait
        page = await self._store.read(
            store.Stream.JOBS, target.end_offset, wait, timeout
        )
        if isinstance(page, store.ReadFailure):
            if page.status is store.ReadStatus.EXPIRED:
                if target is not self.ledger:
                    return True
                self._load = self._load or self._make_load()
                return await self._finish_load()
            self._failed_reads += 1
            self._set_reachable(False, page.detail)
            self.is_store_silent = page.is_silent
            return False
        self._failed_reads = 0
        self._set_reachable(True)
        if target is not self.ledger:
            # A load has replaced the ledger, which may end before this page.
            return True
        now = self._clock.monotonic()
        self.is_behind = page.has_more
        if not page.has_more:
            # An empty answer to a long poll is as of the end of the wait.
            waited = not page.records and now - sent_at >= wait
            self._record_freshness(sent_at + wait if waited else sent_at)
        self._apply(page, now)
        return True

    def _record_freshness(self, as_of: datetime.timedelta) -> None:
        """Advance ``fresh_at``; a long poll may end after a later read."""
        self.fresh_at = max(self.fresh_at or as_of, as_of)

    def _apply(self, page: store.Page, now: datetime.timedelta) -> None:
        updates = self.ledger.apply(page, now)
        if updates and self.on_updates:
            self.on_updates(updates)

    async def _finish_load(self) -> bool:
        """Join the load under way or go on with it."""
        if self._loading is None or self._loading.done():
            self._loading = asyncio.ensure_future(self._proceed())
        return await asyncio.shield(self._loading)

    async def _proceed(self) -> bool:
        load = self._load
        if load is None:
            return True
        page = await load.proceed()
        if isinstance(page, store.ReadFailure):
            self._log.emit(
                "jobs_load_failed",
                detail=page.detail or page.status.value,
                records=load.record_count,
            )
            self._set_reachable(False, page.detail)
            return False
        self._set_reachable(True)
        self._load = None
        self._replace_ledger(page)
        return True

    def _replace_ledger(self, page: store.Page) -> None:
        previous = self.ledger
        self.ledger = ledger.Ledger()
        updates = self.ledger.apply(page, self._clock.monotonic())
        self.ledger.loaded_at = self._clock.monotonic()
        has_sign_of_life = any(
            record.offset >= previous.end_offset
            and ledger.is_written_by_holder(record.key)
            for record in page.records
        )
        if previous.holder_seen_at and not has_sign_of_life:
            self.ledger.holder_seen_at = previous.holder_seen_at
        self.is_loaded = True
        self._log.emit(
            "jobs_loaded",
            records=len(page.records),
            end_offset=page.end_offset,
        )
        known = previous.jobs_by_id.keys(), previous.cancelled_ids
        new_updates = [
            (kind, name)
            for kind, name in updates
            if name not in known[kind is ledger.Kind.CANCELLATION]
        ]
        if new_updates and self.on_updates:
            self.on_updates(new_updates)

    def _set_reachable(self, is_reachable: bool, detail: str = "") -> None:
        self.is_store_silent = False
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        if is_reachable:
            self.store_regained_at = self._clock.monotonic()
            self._log.emit("store_regained")
        else:
            self._log.emit("store_lost", detail=detail)
