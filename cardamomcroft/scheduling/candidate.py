"""Claim the scheduler's role when its holder falls silent."""

import datetime
import random

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import journal
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import replica as replicas

# Three renewals missed; longer than scheduler.PROOF_AGE, so that a holder's
# last orders have left before anybody else may claim.
SILENCE = datetime.timedelta(milliseconds=1500)
JITTER = datetime.timedelta(milliseconds=200)
# After an outage of the store a live holder is heard of again within one
# append's time-out and a pause (journal.APPEND_TIMEOUT, RETRY_PAUSE).
RETURN_PATIENCE = datetime.timedelta(milliseconds=1100)
CLAIM_TIMEOUT = datetime.timedelta(milliseconds=900)
_ZERO = datetime.timedelta()


class Candidate:
    """Watch the claim and take it over."""

    def __init__(
        self,
        holder: str,
        target: store.Store,
        replica: replicas.Replica,
        clock: base.Clock,
        log: events.Events,
        rng: random.Random,
    ) -> None:
        """Take this process's name, which no other process ever had."""
        self.holder = holder
        self._store = target
        self._replica = replica
        self._clock = clock
        self._log = log
        self._patience = SILENCE + JITTER * rng.random()
        self._first_try = clock.monotonic() + JITTER * rng.random()

    @property
    def instance(self) -> str:
        """Return the instance's part of the holder's name."""
        return self.holder.partition(" ")[0]

    def held_claim(self) -> codec.Claim | None:
        """Return the newest claim if it is ours."""
        claim = self._replica.ledger.claim
        return claim if claim and claim.holder == self.holder else None

    def is_vacant(self) -> bool:
        """Tell whether the role may be claimed."""
        ledger = self._replica.ledger
        fresh_at = self._replica.fresh_at
        if not self._replica.is_loaded or fresh_at is None:
            return False
        claim = ledger.claim
        if claim is None:
            return self._clock.monotonic() >= self._first_try
        if not claim.holder:
            return True  # released at a planned stop
        if claim.holder != self.holder and (
            claim.holder.partition(" ")[0] == self.instance
        ):
            return True  # an earlier process of this instance
        seen_at = ledger.holder_seen_at or _ZERO
        regained_at = self._replica.regained_at
        if regained_at is not None and (
            fresh_at - regained_at <= RETURN_PATIENCE
        ):
            return False
        return fresh_at - seen_at > self._patience

    async def claim(self) -> bool:
        """Append a claim that holds only if nothing came in between."""
        ledger: ledgers.Ledger = self._replica.ledger
        epoch = ledger.end_offset
        term = ledger.claim.term + 1 if ledger.claim else 1
        claim = codec.Claim(self.holder, epoch, term)
        result = await self._store.append(
            store.Stream.JOBS,
            [store.Entry(ledgers.CLAIM_KEY, codec.encode_claim(claim))],
            CLAIM_TIMEOUT,
            expected_end=epoch,
            writer=store.Writer(journal.WRITER, epoch, 0),
        )
        self._log.emit(
            "scheduler_claimed",
            epoch=epoch,
            term=term,
            outcome=result.status.value,
            previous=ledger.claim.holder if ledger.claim else None,
        )
        if ledger.holder_seen_at is not None:
            silence = self._clock.monotonic() - ledger.holder_seen_at
            self._log.metrics.takeovers.observe(silence.total_seconds())
        return result.status is store.AppendStatus.APPENDED
