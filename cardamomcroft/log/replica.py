"""Follow the platform log and maintain the state derived from it."""

import asyncio
import collections.abc
import datetime

import expression
import structlog

from cardamomcroft.log import records
from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.state import fold
from cardamomcroft.state import models
from cardamomcroft.state import snapshots

MAX_PAGE_RECORDS = 500
NO_WAIT = datetime.timedelta()
RETRY_DELAY = datetime.timedelta(milliseconds=250)

LoadObserver = collections.abc.Callable[[models.State], None]
Observer = collections.abc.Callable[[records.Record, models.Applied], None]


class Replica:
    """Apply the log's records in offset order and notify observers."""

    def __init__(
        self,
        log: base.PlatformLog,
        clock: base.Clock,
        metrics: base.Metrics,
        read_wait: datetime.timedelta,
    ) -> None:
        """Start with an empty state."""
        self._read_wait = read_wait
        self.state = models.State()
        self.reachable = False
        self.caught_up = False
        self.confirmed_at: datetime.timedelta | None = None
        self._log = log
        self._clock = clock
        self._metrics = metrics
        self._search = snapshots.LogSearch(MAX_PAGE_RECORDS)
        self._observers: list[Observer] = []
        self._load_observers: list[LoadObserver] = []
        self._changed = asyncio.Event()
        self._logger = structlog.get_logger()

    def observe(self, observer: Observer) -> None:
        """Call the observer after each applied record."""
        self._observers.append(observer)

    def observe_loads(self, observer: LoadObserver) -> None:
        """Call the observer after each snapshot that was adopted."""
        self._load_observers.append(observer)

    async def changed(self) -> None:
        """Wait until the state changes."""
        await self._changed.wait()

    def load(self, state: models.State) -> bool:
        """Adopt the state of a snapshot; return whether it was newer.

        The log may hold records after it, so the replica has not caught up.
        """
        if state.applied <= self.state.applied:
            return False
        self.state = state
        for observer in self._load_observers:
            observer(state)
        self._notify()
        return True

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            wait = self._read_wait if self.caught_up else NO_WAIT
            if not await self.poll(wait):
                await self._clock.sleep(RETRY_DELAY)

    async def poll(self, wait: datetime.timedelta) -> bool:
        """Read and apply one page; return whether this succeeded."""
        asked_at = self._clock.monotonic()
        page = await self._log.read(
            self.state.applied + 1, MAX_PAGE_RECORDS, wait
        )
        if page.is_error():
            if self.reachable:
                self._logger.warning(
                    "log_unreachable", detail=page.error.detail
                )
            self.reachable = False
            self._metrics.increment("log.read_failed")
            return False
        self.reachable = True
        return await self._handle_page(page.ok, asked_at)

    async def _handle_page(
        self, page: messages.LogPage, asked_at: datetime.timedelta
    ) -> bool:
        if page.first > self.state.applied + 1:
            return await self._recover_from_gap(page.first)
        self.apply_page(page)
        # A full page may be followed by records that change its meaning.
        if len(page.payloads) < MAX_PAGE_RECORDS:
            self.caught_up = True
            self._confirm(asked_at)
        return True

    def _confirm(self, asked_at: datetime.timedelta) -> None:
        """Count the state as complete as of a read's start.

        The page may miss what was appended while it was under way.
        """
        earlier = self.confirmed_at
        if earlier is None or asked_at > earlier:
            self.confirmed_at = asked_at

    def apply_page(self, page: messages.LogPage) -> None:
        """Apply the records of a page that follow the applied offset."""
        for index, payload in enumerate(page.payloads):
            offset = page.start + index
            if offset == self.state.applied + 1:
                self._apply(offset, payload)
        if page.payloads:
            self._notify()

    def _apply(self, offset: int, payload: str) -> None:
        decoded = records.decode(payload)
        if decoded.is_error():
            self._logger.error(
                "record_unreadable", offset=offset, detail=decoded.error
            )
            self._metrics.increment("log.unreadable")
            self.state = fold.skip(self.state, offset)
            return
        self.state, applied = fold.fold(self.state, offset, decoded.ok)
        self._metrics.increment("log.applied")
        for observer in self._observers:
            observer(decoded.ok, applied)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _recover_from_gap(self, first: int) -> bool:
        self._logger.warning(
            "log_gap", applied=self.state.applied, first=first
        )
        self._metrics.increment("log.gap")
        loaded = await self._search.run(self._log, first)
        match loaded:
            case expression.Result(tag="ok", ok=state):
                return self.load(state)
        self._logger.error("snapshot_missing", detail=loaded.error.detail)
        return False

    async def refresh(self) -> expression.Result[int, verdict.Failure]:
        """Read to the end of the log and return the applied offset."""
        while True:
            before = self.state.applied
            if not await self.poll(datetime.timedelta()):
                return expression.Error(
                    verdict.not_run(
                        verdict.Reason.UNAVAILABLE,
                        "the platform log is unreachable",
                    )
                )
            if self.state.applied == before:
                return expression.Ok(before)
