"""Write the scheduler's records in order, fenced by its epoch."""

import asyncio
import collections.abc
import datetime

from cardamomcroft.ports import base
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import ledger

WRITER = "scheduler"
# Four renewals fit into candidate.HOLDER_TIMEOUT, after which others claim.
RENEWAL_INTERVAL = datetime.timedelta(milliseconds=400)
# Of the first tries of an append and of all further ones. A store that is
# slow takes 0.25 s; where answers are lost, two may be lost in a row within
# candidate.HOLDER_TIMEOUT. The sequence number makes repeats harmless.
APPEND_TIMEOUTS = tuple(
    datetime.timedelta(milliseconds=number) for number in (300, 400, 600, 900)
)
RETRY_PAUSE = datetime.timedelta(milliseconds=120)  # between two tries
# A fortieth of what the store takes in one call. With the time that its
# transfer may take, an append ends within candidate.HOLDER_TIMEOUT.
MAX_APPEND_BYTES = 65_536
ENTRY_OVERHEAD_BYTES = 5  # lengths of record and key
# A crash between two appends leaves a part of a flush, in this order. An
# assignment without a task that has ended must not precede the record of its
# end, or a successor would run the task again.
KIND_ORDER = (*ledger.JOB_KINDS, ledger.Kind.ASSIGNMENT)


def _kind_of(entry: store.Entry) -> ledger.Kind:
    return ledger.Kind(entry.key[:2])


def _split(entries: list[store.Entry]) -> list[list[store.Entry]]:
    """Return the parts to append one by one; at least one, maybe empty."""
    parts: list[list[store.Entry]] = [[]]
    size = 0
    for entry in entries:
        added = len(entry.key) + len(entry.value or b"") + ENTRY_OVERHEAD_BYTES
        if parts[-1] and size + added > MAX_APPEND_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(entry)
        size += added
    return parts


class Journal:
    """Append staged records in parts; report the loss of the claim."""

    def __init__(
        self,
        target: store.Store,
        clock: base.Clock,
        claim: codec.Claim,
        log: events.Events,
    ) -> None:
        """Continue after ``claim``, the first append of its epoch."""
        self._store = target
        self._clock = clock
        self._log = log
        self.claim = claim
        self._sequence = 0
        self._staged: dict[str, bytes | None] = {}
        self._held_keys: set[str] = set()
        self._waiters: list[asyncio.Future] = []
        self._wake = asyncio.Event()
        self.is_claim_lost = False
        self.is_released = False  # others may claim at once
        self.confirmed_at = clock.monotonic()
        # Of this holder's newest append; a successor's claim has a higher one.
        self.newest_offset = claim.epoch
        self.forecast_waits: collections.abc.Callable[[], dict] = dict
        self.on_claim_lost: collections.abc.Callable[[], None] | None = None

    def stage(self, key: str, value: bytes | None) -> None:
        """Add a record to the next flush, replacing one of the same key.

        One that the store can never take is held back, alone.
        """
        size = codec.record_bytes(key, value)
        if size > codec.MAX_RECORD_BYTES:
            if key not in self._held_keys:
                self._held_keys.add(key)
                self._log.emit("record_held_back", key=key, size=size)
            return
        self._held_keys.discard(key)
        self._staged.pop(key, None)
        self._staged[key] = value

    def is_held(self, key: str) -> bool:
        """Return whether the newest record of a key is held back."""
        return key in self._held_keys

    async def commit(
        self, keys: collections.abc.Set[str] | None = None
    ) -> bool:
        """Wait until all staged records are durable; False if fenced off.

        False also if one of ``keys`` is held back; without ``keys``, if the
        progress of any job is, on which ends of tasks may depend.
        """
        if keys is None:
            keys = {
                key
                for key in self._held_keys
                if key.startswith(ledger.Kind.PROGRESS.value)
            }
        is_complete = not self._held_keys & keys
        return await self._commit_staged(is_complete) and is_complete

    async def _commit_staged(self, is_urgent: bool = True) -> bool:
        if self.is_claim_lost:
            return False
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        # Callers that get False try again, which must not cause an append
        # each time.
        if is_urgent:
            self._wake.set()
        return await future

    async def run(self) -> None:
        """Append until the claim is lost; without appends it is lost."""
        try:
            while not self.is_claim_lost:
                await clocks.within(
                    self._clock, RENEWAL_INTERVAL, self._wake.wait()
                )
                self._wake.clear()
                await self._flush()
        except Exception:
            self.lose_claim("journal crashed")
            raise

    async def _flush(self) -> None:
        entries = [
            store.Entry(key, value) for key, value in self._staged.items()
        ]
        entries.sort(key=lambda entry: KIND_ORDER.index(_kind_of(entry)))
        self._staged = {}
        waiters, self._waiters = self._waiters, []
        done = await self._append_all(entries, self._next_claim())
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(done)
        if not done:
            self.lose_claim("fenced")

    def _next_claim(self) -> codec.Claim:
        return codec.Claim(
            "" if self.is_released else self.claim.holder,
            self.claim.epoch,
            self.claim.term,
            self.forecast_waits(),
        )

    async def _append_all(
        self, entries: list[store.Entry], claim: codec.Claim
    ) -> bool:
        """Append in parts; only the last one may release the claim."""
        *earlier, last = _split(entries)
        for part in earlier:
            if not await self._append_part(part, self.claim):
                return False
        return await self._append_part(last, claim)

    async def _append_part(
        self, entries: list[store.Entry], claim: codec.Claim
    ) -> bool:
        if self.is_claim_lost:
            return False
        kinds = {_kind_of(entry) for entry in entries}
        if claim != self.claim or not kinds & ledger.HOLDER_KINDS:
            self.claim = claim
            value = codec.encode_claim(claim)
            entries.append(store.Entry(ledger.CLAIM_KEY, value))
        self._sequence += 1
        return await self._append_until_known(entries)

    async def _append_until_known(self, entries: list[store.Entry]) -> bool:
        writer = store.Writer(WRITER, self.claim.epoch, self._sequence)
        # A repeated append may get the answer to the first one, which may
        # precede a fence, so only the time of the first one is confirmed.
        first_sent_at = self._clock.monotonic()
        tries = 0
        while True:
            timeout = APPEND_TIMEOUTS[min(tries, len(APPEND_TIMEOUTS) - 1)]
            sent_at = self._clock.monotonic()
            result = await self._store.append(
                store.Stream.JOBS, entries, timeout, writer=writer
            )
            if result.status is store.AppendStatus.APPENDED:
                if tries:
                    self._log.emit("append_answered", tries=tries + 1)
                self.confirmed_at = first_sent_at
                self.newest_offset = max(self.newest_offset, result.offset)
                return True
            if result.status is store.AppendStatus.OUT_OF_SEQUENCE:
                return result.expected_sequence == self._sequence + 1
            if result.status is store.AppendStatus.FENCED:
                return False
            tries += 1
            if tries == 1:
                self._log.emit(
                    "append_unanswered",
                    sequence=self._sequence,
                    status=result.status.value,
                    detail=result.detail,
                )
            if self.is_claim_lost:
                return False
            took = self._clock.monotonic() - sent_at
            await self._clock.sleep(RETRY_PAUSE - took)

    async def release(self) -> bool:
        """Release the claim, so that a successor need not wait."""
        self.is_released = True
        done = await self._commit_staged()
        self.lose_claim("released")
        return done

    def lose_claim(self, reason: str) -> None:
        """Stop writing and fail all waiting commits."""
        if self.is_claim_lost:
            return
        self.is_claim_lost = True
        self._wake.set()
        self._log.emit("scheduler_lost", epoch=self.claim.epoch, reason=reason)
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(False)
        if self.on_claim_lost:
            self.on_claim_lost()
