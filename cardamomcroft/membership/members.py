"""Track which instances and backend servers are live or leaving."""

import asyncio
import dataclasses
import datetime
import hashlib

from cardamomcroft.membership import digests
from cardamomcroft.ports import base
from cardamomcroft.ports import messages

LEAVING_RETENTION = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe another instance by its last digest and list entry."""

    instance_id: str
    digest: digests.Digest | None = None
    last_digest_at: datetime.timedelta | None = None
    last_failure_at: datetime.timedelta | None = None
    listed: messages.InstanceState | None = None
    peer_address: str = ""
    facts: tuple[str, ...] = ()


class Membership:
    """Detect failed, leaving and live instances of every region."""

    def __init__(
        self,
        instance_id: str,
        region: str,
        clock: base.Clock,
        suspicion: datetime.timedelta,
        live_window: datetime.timedelta,
    ) -> None:
        """Set the ages at which a digest is suspect and no longer live."""
        self._live_window = live_window
        self.instance_id = instance_id
        self.region = region
        self.by_id: dict[str, Member] = {}
        self.leaving_workers: dict[str, datetime.timedelta] = {}
        self.known_epoch = -1
        self.has_updates = asyncio.Event()
        self._watched_id = ""
        self._watched_since = clock.monotonic()
        self.is_self_listed: bool | None = None
        self._clock = clock
        self._suspicion = suspicion

    def add_seed(self, instance_id: str, peer_address: str) -> None:
        """Add an instance known from the settings."""
        if instance_id != self.instance_id:
            self.by_id.setdefault(
                instance_id, Member(instance_id, peer_address=peer_address)
            )

    def record_digest(self, digest: digests.Digest) -> None:
        """Record a digest, which shows that its sender is live."""
        if digest.instance_id == self.instance_id:
            return
        existing = self.by_id.get(digest.instance_id)
        member = existing or Member(digest.instance_id)
        self.by_id[digest.instance_id] = dataclasses.replace(
            member,
            digest=digest,
            last_digest_at=self._clock.monotonic(),
            peer_address=digest.peer_address or member.peer_address,
            facts=_facts_known(member, digest),
        )
        if digest.region == self.region:
            self.known_epoch = max(self.known_epoch, digest.epoch)
        for worker_id in digest.leaving_workers:
            self.leaving_workers.setdefault(worker_id, self._clock.monotonic())

    def record_failed_exchange(self, instance_id: str) -> None:
        """Record an unanswered exchange, which ends the peer's liveness."""
        member = self.by_id.get(instance_id)
        if member is not None:
            self.by_id[instance_id] = dataclasses.replace(
                member, last_failure_at=self._clock.monotonic()
            )

    def apply_instance_list(
        self, listed: tuple[messages.ListedInstance, ...]
    ) -> None:
        """Apply the platform's list, which may be out of date."""
        by_id = {entry.instance_id: entry for entry in listed}
        self.is_self_listed = self.instance_id in by_id
        for entry in listed:
            if entry.peer_address:
                self._apply_entry(entry)
            elif entry.state is messages.InstanceState.LEAVING:
                self.mark_worker_leaving(entry.instance_id)
        for instance_id, member in list(self.by_id.items()):
            if instance_id not in by_id and member.listed is not None:
                self._remove_delisted(instance_id, member)

    def _apply_entry(self, entry: messages.ListedInstance) -> None:
        is_foreign = entry.region and entry.region != self.region
        if entry.instance_id == self.instance_id or is_foreign:
            return
        member = self.by_id.get(entry.instance_id, Member(entry.instance_id))
        self.by_id[entry.instance_id] = dataclasses.replace(
            member, listed=entry.state, peer_address=entry.peer_address
        )

    def _remove_delisted(self, instance_id: str, member: Member) -> None:
        if not self._has_recent_digest(member):
            del self.by_id[instance_id]

    def mark_worker_leaving(self, worker_id: str) -> None:
        """Record that a backend server accepts no new work."""
        if not self.is_worker_leaving(worker_id):
            self.has_updates.set()
        self.leaving_workers[worker_id] = self._clock.monotonic()

    def mark_worker_live(self, worker_id: str) -> None:
        """Record that a backend server reported itself as not leaving."""
        self.leaving_workers.pop(worker_id, None)

    def is_worker_leaving(self, worker_id: str) -> bool:
        """Return whether a backend server was recently found leaving."""
        since = self.leaving_workers.get(worker_id)
        if since is None:
            return False
        return self._clock.monotonic() - since < LEAVING_RETENTION

    def _has_recent_digest(
        self, member: Member, limit: datetime.timedelta | None = None
    ) -> bool:
        if member.last_digest_at is None:
            return False
        age = self._clock.monotonic() - member.last_digest_at
        return age <= (limit or self._suspicion)

    def is_live(self, instance_id: str) -> bool:
        """Return whether an instance sent a digest and is not leaving.

        It counts as live within the live window of its last digest, but not
        after a single exchange has failed since.
        """
        if instance_id == self.instance_id:
            return True
        member = self.by_id.get(instance_id)
        if member is None or not self._has_recent_digest(
            member, self._live_window
        ):
            return False
        has_failed = (
            member.last_failure_at is not None
            and member.last_failure_at > member.last_digest_at
        )
        return not has_failed and not member.digest.leaving

    def facts(self) -> tuple[str, ...]:
        """Return the records that peers share during a log outage."""
        return tuple(
            fact for member in self.regional() for fact in member.facts
        )

    def regional(self) -> tuple[Member, ...]:
        """Return the members in this region or without a known region."""
        return tuple(
            member
            for member in self.by_id.values()
            if member.digest is None or member.digest.region == self.region
        )

    def live_ids(self, region: str | None = None) -> tuple[str, ...]:
        """Return the sorted live instances, including this one."""
        live = {self.instance_id}
        for member in self.by_id.values():
            if not self.is_live(member.instance_id):
                continue
            if region is None or member.digest.region == region:
                live.add(member.instance_id)
        return tuple(sorted(live))

    def all_answered(self, limit: datetime.timedelta) -> bool:
        """Return whether every possible claimant sent a recent digest."""
        return all(
            self._has_recent_digest(member, limit)
            for member in self.regional()
            if self._may_claim_here(member)
        )

    def none_ahead(self, applied: int, since: datetime.timedelta) -> bool:
        """Return whether every possible claimant's digest shows no more.

        Only a digest that arrived at ``since`` or later counts.
        """
        return all(
            member.digest is not None
            and member.last_digest_at >= since
            and member.digest.applied <= applied
            for member in self.regional()
            if self._may_claim_here(member)
        )

    def _may_claim_here(self, member: Member) -> bool:
        if member.digest is not None:
            return True
        # A seed without digest or list entry cannot claim: see may_claim.
        return member.listed is not None or self.is_self_listed is None

    def may_claim(self) -> bool:
        """Return whether peers can know this instance from the list."""
        return self.is_self_listed is not False

    def is_suspect(self, instance_id: str) -> bool:
        """Return whether an instance is leaving or has become unresponsive.

        Without a recent digest, only the time since this instance began to
        watch the other one counts.
        """
        if instance_id == self.instance_id:
            return False
        member = self.by_id.get(instance_id)
        if member is not None and self._has_recent_digest(member):
            return member.digest.leaving
        if self._watched_id != instance_id:
            return False
        waited = self._clock.monotonic() - self._watched_since
        return waited > self._suspicion

    def watch(self, instance_id: str) -> None:
        """Start to watch an instance, unless it is watched already."""
        if self._watched_id != instance_id:
            self._watched_id = instance_id
            self._watched_since = self._clock.monotonic()

    def is_incarnation_gone(self, instance_id: str, incarnation: str) -> bool:
        """Return whether the instance runs as another incarnation."""
        member = self.by_id.get(instance_id)
        if member is None or member.digest is None:
            return False
        return member.digest.incarnation != incarnation


def _facts_known(member: Member, digest: digests.Digest) -> tuple[str, ...]:
    """Return the facts of a sender until it reads the log or ends.

    One digest has only some of them.
    """
    earlier = member.digest
    if digest.log_reachable:
        return ()
    if earlier is None or earlier.incarnation != digest.incarnation:
        return digest.facts
    return tuple(dict.fromkeys(member.facts + digest.facts))


def rank(key: str, instance_ids: tuple[str, ...]) -> tuple[str, ...]:
    """Order instances for a key by rendezvous hashing."""

    def score(instance_id: str) -> bytes:
        text = f"{key}\n{instance_id}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(instance_ids, key=score))
