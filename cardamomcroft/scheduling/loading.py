"""Load the newest records of a stream page by page."""

import datetime

from cardamomcroft.ports import store

_ZERO = datetime.timedelta()


class Load:
    """Collect the newest record of each key; keep pages across failures.

    After each page but the last, the changes made since the first page are
    read, so that even a long load stays within the store's history.
    """

    def __init__(
        self,
        source: store.Store,
        stream: store.Stream,
        timeout: datetime.timedelta,
    ) -> None:
        """Load the stream with a time-out for each call."""
        self._source = source
        self._stream = stream
        self._timeout = timeout
        self._restart()

    def _restart(self) -> None:
        self._newest_by_key: dict[str, store.Record] = {}
        self._last_key = ""
        self._end_offset: int | None = None

    @property
    def record_count(self) -> int:
        """Return how many records have arrived."""
        return len(self._newest_by_key)

    async def proceed(self) -> store.Page | store.ReadFailure:
        """Load what is missing; after a failure, a further call goes on."""
        while True:
            page = await self._source.newest(
                self._stream, self._last_key, self._timeout
            )
            if isinstance(page, store.ReadFailure):
                return page
            if self._end_offset is None:
                self._end_offset = page.end_offset
            self._add(page)
            if not page.has_more:
                return self._make_page()
            self._last_key = page.records[-1].key
            failure = await self._read_on()
            if failure is not None:
                return failure

    async def _read_on(self) -> store.ReadFailure | None:
        """Read the changes made since the first page."""
        while True:
            page = await self._source.read(
                self._stream, self._end_offset, _ZERO, self._timeout
            )
            if isinstance(page, store.ReadFailure):
                if page.status is store.ReadStatus.EXPIRED:
                    self._restart()
                return page
            self._add(page)
            self._end_offset = page.end_offset
            if not page.has_more:
                return None

    def _add(self, page: store.Page) -> None:
        for record in page.records:
            known = self._newest_by_key.get(record.key)
            if known is None or known.offset < record.offset:
                self._newest_by_key[record.key] = record

    def _make_page(self) -> store.Page:
        records = (
            record
            for record in self._newest_by_key.values()
            if record.value is not None
        )
        ordered = sorted(records, key=lambda record: record.offset)
        return store.Page(tuple(ordered), self._end_offset)
