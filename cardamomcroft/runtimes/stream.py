"""Read and write the records of learned run times.

Load: a scheduler that dies takes with it what its predecessors have learned,
and the instances refuse jobs by declared times, which are wrong by up to 90%.
"""

import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.runtimes import changes
from cardamomcroft.runtimes import codec
from cardamomcroft.runtimes import kinds
from cardamomcroft.runtimes import learned
from cardamomcroft.runtimes import reporting
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import loading

READ_PERIOD = datetime.timedelta(seconds=5)
# An idle stream costs a call in 25 s, not one in 5 s.
POLL_WAIT = datetime.timedelta(seconds=20)
READ_TIMEOUT = datetime.timedelta(seconds=3)
# Before a successor's first decision; its urgent jobs wait meanwhile.
FIRST_READ_TIMEOUT = datetime.timedelta(milliseconds=300)
WRITE_PERIOD = datetime.timedelta(seconds=5)
WRITE_TIMEOUT = datetime.timedelta(milliseconds=900)
# A store that lacks the stream refuses every append.
MAX_WRITE_PAUSE = datetime.timedelta(minutes=1)
# Of a successor that has not read the records yet.
RETRY_PERIOD = datetime.timedelta(seconds=1)


class View:
    """Follow the records and keep the instance's estimates current."""

    def __init__(
        self, source: store.Store, clock: base.Clock, log: events.Events
    ) -> None:
        """Create an empty view, which ``run`` loads and keeps current."""
        self._store = source
        self._clock = clock
        self._log = log
        self._pending_load: loading.Load | None = self._make_load()
        self._keys_by_record: dict[str, kinds.Key] = {}
        self._end_offset = 0
        self._has_failed = False
        self.is_loaded = False  # stays set while later loads fail
        self.times = learned.LearnedRunTimes()

    def _make_load(self) -> loading.Load:
        return loading.Load(self._store, store.Stream.RUNTIMES, READ_TIMEOUT)

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._pending_load is not None:
                await self.load()
            else:
                await self._read()
            await self._clock.sleep(READ_PERIOD)

    async def load(self) -> None:
        """Load all records; a further call goes on after a failure."""
        load = self._pending_load
        if load is None:
            return
        page = await load.proceed()
        if self._pending_load is not load:
            return  # another call has finished it meanwhile
        if isinstance(page, store.ReadFailure):
            if not self._has_failed:
                self._log.emit("run_times_load_failed", detail=page.detail)
            self._has_failed = True
            return
        self._pending_load = None
        self._has_failed = False
        self.is_loaded = True
        self._keys_by_record.clear()
        self.times.known = kinds.Kinds()
        self._apply(page)
        self._log.emit(
            "run_times_loaded",
            kinds=len(self.times.known.by_key),
            end_offset=page.end_offset,
        )

    async def _read(self) -> None:
        page = await self._store.read(
            store.Stream.RUNTIMES, self._end_offset, POLL_WAIT, READ_TIMEOUT
        )
        if isinstance(page, store.ReadFailure):
            self._pending_load = self._make_load()
            return
        self._apply(page)

    def _apply(self, page: store.Page) -> None:
        self._end_offset = page.end_offset
        known = self.times.known
        for record in page.records:
            known = self._replace(known, record)
        if page.records:
            self.times.known = known

    def _replace(
        self, known: kinds.Kinds, record: store.Record
    ) -> kinds.Kinds:
        """Return the kinds with one record applied; the newest wins."""
        former = self._keys_by_record.pop(record.key, None)
        if former is not None:
            known = known.replace(former, None)
        if record.value is None:
            return known
        try:
            key, kind = codec.decode(record.value)
        except ValueError as error:
            self._log.emit(
                "run_times_invalid", key=record.key, error=str(error)
            )
            return known
        self._keys_by_record[record.key] = key
        if len(self._keys_by_record) > 2 * kinds.MAX_KINDS:
            oldest = next(iter(self._keys_by_record))
            known = known.replace(self._keys_by_record.pop(oldest), None)
        return known.replace(key, kind)


class Learning:
    """Inherit what predecessors have learned and store what changes."""

    def __init__(
        self,
        target: store.Store,
        clock: base.Clock,
        log: events.Events,
        cluster: cluster_state.ClusterState,
        view: View,
    ) -> None:
        """Store the evidence of the cluster's run times."""
        self._store = target
        self._clock = clock
        self._cluster = cluster
        self._view = view
        self._times: learned.LearnedRunTimes = cluster.durations
        self._log = log
        self._reports = reporting.Reports(clock, log, self._times)
        self._written = changes.Written()
        self._is_inherited = False
        self._next_write = clock.monotonic() + WRITE_PERIOD
        self._pause = WRITE_PERIOD

    async def begin(self) -> None:
        """Read the records before the first decision, if that is quick."""
        try:
            await clocks.within(
                self._clock, FIRST_READ_TIMEOUT, self._view.load()
            )
            self._inherit()
        except Exception as error:
            # Without evidence the scheduler decides by declared times.
            self._log.emit("run_times_load_failed", detail=repr(error))

    async def run(self) -> None:
        """Store and report changes until cancelled."""
        while True:
            await self._clock.sleep(RETRY_PERIOD)
            self._inherit()
            self._reports.emit_due()
            if self._clock.monotonic() >= self._next_write:
                await self._write()

    def _inherit(self) -> None:
        """Add the stored evidence, once, to that gained meanwhile."""
        if self._is_inherited or not self._view.is_loaded:
            return
        self._is_inherited = True
        known = self._times.known
        for key, kind in self._view.times.known.by_key.items():
            known = known.merge(key, kind)
            self._written.record(key, kind)
        self._times.known = known

    async def _write(self) -> None:
        """Append the kinds that changed; a failed append is repeated later.

        Not before the records are read: newer ones must not hide evidence.
        """
        self._next_write = self._clock.monotonic() + self._pause
        journal = self._cluster.journal
        if journal.is_claim_lost or journal.is_released:
            return
        if not self._is_inherited:
            return
        known = self._times.known
        keys = self._written.select(known)
        if not keys:
            return
        entries = [
            store.Entry(
                codec.record_key(key),
                codec.encode(key, known.by_key[key])
                if key in known.by_key
                else None,
            )
            for key in keys
        ]
        result = await self._store.append(
            store.Stream.RUNTIMES, entries, WRITE_TIMEOUT
        )
        if result.status is not store.AppendStatus.APPENDED:
            self._pause = min(self._pause * 2, MAX_WRITE_PAUSE)
            self._next_write = self._clock.monotonic() + self._pause
            return
        self._pause = WRITE_PERIOD
        for key in keys:
            self._written.record(key, known.by_key.get(key))
