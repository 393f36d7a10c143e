"""Claim the scheduler's role when its holder stops renewing."""

import collections.abc
import dataclasses
import datetime
import random

from cardamomcroft.ports import base
from cardamomcroft.ports import store
from cardamomcroft.scheduling import cluster_state
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events
from cardamomcroft.scheduling import inheriting
from cardamomcroft.scheduling import journal
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import replica as replicas

# Three missed renewals; longer than launching.MAX_CONFIRMATION_AGE, so that a
# holder's last orders have been sent before another instance may claim.
HOLDER_TIMEOUT = datetime.timedelta(milliseconds=1500)
JITTER = datetime.timedelta(milliseconds=200)
# After a store outage a live holder renews its claim within one append
# time-out and one retry pause (journal.APPEND_TIMEOUTS, journal.RETRY_PAUSE).
STORE_RECOVERY_GRACE = datetime.timedelta(milliseconds=1100)
CLAIM_TIMEOUT = datetime.timedelta(milliseconds=900)
# Slower instances let faster ones claim first: a scheduling round of hundreds
# of jobs on half a core delays every start. Covers the pause between two reads
# of a follower and an append to the store.
DEFERENCE = datetime.timedelta(milliseconds=500)
MIN_SPEED_RATIO = 1.5  # of instances that count as faster
# Instances that start together know each other by then. Only the first claim
# of a deployment waits for this, and only on an instance of less than a core.
PEERS_KNOWN_WAIT = datetime.timedelta(milliseconds=1500)
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """An instance's processor, and the peers that it compares itself with."""

    cores: float
    peers: collections.abc.Callable[
        [], collections.abc.Mapping[str, codec.Peer]
    ]

    def has_faster_peer(self) -> bool:
        """Return whether a much faster instance is registered."""
        limit = self.cores * MIN_SPEED_RATIO
        return any(peer.cores >= limit for peer in self.peers().values())


class Candidate:
    """Claim the scheduler's role when it is vacant."""

    def __init__(
        self,
        holder: str,
        target: store.Store,
        replica: replicas.Replica,
        clock: base.Clock,
        log: events.Events,
        rng: random.Random,
        rank: Rank,
    ) -> None:
        """Claim as ``holder``, a name that no other process has ever had."""
        self.holder = holder
        self._store = target
        self._replica = replica
        self._clock = clock
        self._log = log
        self._holder_timeout = HOLDER_TIMEOUT + JITTER * rng.random()
        self._rank = rank
        self._started_at = clock.monotonic()
        self._sent_at_by_epoch: dict[int, datetime.timedelta] = {}
        self._first_claim_at = self._started_at + JITTER * rng.random()
        if rank.cores < 1:
            self._first_claim_at += PEERS_KNOWN_WAIT

    @property
    def instance(self) -> str:
        """Return the instance's part of the holder's name."""
        return self.holder.partition(" ")[0]

    def own_claim(self) -> codec.Claim | None:
        """Return the newest claim if this process holds it."""
        claim = self._replica.ledger.claim
        return claim if claim and claim.holder == self.holder else None

    def claim_sent_at(self, claim: codec.Claim) -> datetime.timedelta:
        """Return when a claim of this process was sent."""
        return self._sent_at_by_epoch[claim.epoch]

    def inherited_leases(
        self, parameters: cluster_state.SchedulingParameters
    ) -> inheriting.InheritedLeases:
        """Return when all leases of earlier schedulers have ended.

        An earlier process of this instance has ended before this one began.
        Those before it granted nothing that lasts longer: others claim after
        HOLDER_TIMEOUT, by which the horizon may exceed the lease.
        """
        ledger = self._replica.ledger
        predecessor = ledger.predecessor
        if predecessor and self._is_of_this_instance(predecessor):
            return inheriting.InheritedLeases(
                self._started_at + parameters.dead_lease,
                self._started_at + parameters.reborn_lease,
            )
        seen_at = ledger.predecessor_seen_at or self._clock.monotonic()
        return inheriting.InheritedLeases(
            seen_at + parameters.predecessor_lease,
            seen_at
            + max(parameters.predecessor_lease, parameters.reborn_lease),
        )

    def _is_of_this_instance(self, claim: codec.Claim) -> bool:
        """Return whether an earlier process of this instance claimed."""
        return claim.holder != self.holder and (
            claim.holder.partition(" ")[0] == self.instance
        )

    def is_vacant(self) -> bool:
        """Return whether the role may be claimed."""
        ledger = self._replica.ledger
        fresh_at = self._replica.fresh_at
        if not self._replica.is_loaded or fresh_at is None:
            return False
        claim = ledger.claim
        deference = DEFERENCE if self._rank.has_faster_peer() else _ZERO
        if claim is None:
            return self._clock.monotonic() >= self._first_claim_at + deference
        seen_at = ledger.holder_seen_at or _ZERO
        if not claim.holder:  # released at a planned stop
            return fresh_at - seen_at >= deference
        if self._is_of_this_instance(claim):
            return True
        store_regained_at = self._replica.store_regained_at
        if store_regained_at is not None and (
            fresh_at - store_regained_at <= STORE_RECOVERY_GRACE
        ):
            return False
        return fresh_at - seen_at > self._holder_timeout + deference

    async def claim(self) -> bool:
        """Append a claim, which fails if another record came before it."""
        ledger: ledgers.Ledger = self._replica.ledger
        epoch = ledger.end_offset
        term = ledger.claim.term + 1 if ledger.claim else 1
        claim = codec.Claim(self.holder, epoch, term)
        self._sent_at_by_epoch[epoch] = self._clock.monotonic()
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
            time_since_seen = self._clock.monotonic() - ledger.holder_seen_at
            self._log.metrics.takeovers.observe(
                time_since_seen.total_seconds()
            )
        return result.status is store.AppendStatus.APPENDED
