"""Write the scheduler's records in batches, fenced by its epoch."""

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
APPEND_TIMEOUT = datetime.timedelta(milliseconds=900)
RETRY_PAUSE = datetime.timedelta(milliseconds=120)


class Journal:
    """Append staged records in order; report the loss of the claim."""

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
        self._waiters: list[asyncio.Future] = []
        self._wake = asyncio.Event()
        self.is_claim_lost = False
        self._is_released = False
        self.confirmed_at = clock.monotonic()
        self.forecast_waits: collections.abc.Callable[[], dict] = dict
        self.on_claim_lost: collections.abc.Callable[[], None] | None = None

    def stage(self, key: str, value: bytes | None) -> None:
        """Add a record to the next batch, replacing one of the same key."""
        self._staged.pop(key, None)
        self._staged[key] = value

    async def commit(self) -> bool:
        """Wait until all staged records are durable; False if fenced off."""
        if self.is_claim_lost:
            return False
        future = asyncio.get_running_loop().create_future()
        self._waiters.append(future)
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Append until the claim is lost."""
        while not self.is_claim_lost:
            await clocks.within(
                self._clock, RENEWAL_INTERVAL, self._wake.wait()
            )
            self._wake.clear()
            await self._flush()

    async def _flush(self) -> None:
        entries = [
            store.Entry(key, value) for key, value in self._staged.items()
        ]
        self._staged = {}
        waiters, self._waiters = self._waiters, []
        self._renew_claim(entries)
        self._sequence += 1
        done = await self._append_until_known(entries)
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(done)
        if not done:
            self.lose_claim("fenced")

    def _renew_claim(self, entries: list[store.Entry]) -> None:
        claim = codec.Claim(
            "" if self._is_released else self.claim.holder,
            self.claim.epoch,
            self.claim.term,
            self.forecast_waits(),
        )
        if not entries or claim != self.claim:
            self.claim = claim
            entries.append(
                store.Entry(ledger.CLAIM_KEY, codec.encode_claim(claim))
            )

    async def _append_until_known(self, entries: list[store.Entry]) -> bool:
        writer = store.Writer(WRITER, self.claim.epoch, self._sequence)
        # A repeated append may get the answer to the first one, which may
        # precede a fence, so only the time of the first one is confirmed.
        first_sent_at = self._clock.monotonic()
        tries = 0
        while True:
            result = await self._store.append(
                store.Stream.JOBS, entries, APPEND_TIMEOUT, writer=writer
            )
            if result.status is store.AppendStatus.APPENDED:
                if tries:
                    self._log.emit("append_answered", tries=tries + 1)
                self.confirmed_at = first_sent_at
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
            await self._clock.sleep(RETRY_PAUSE)

    async def release(self) -> bool:
        """Release the claim, so that a successor need not wait."""
        self._is_released = True
        done = await self.commit()
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
