"""Choose the peers that a call is handed on to.

Answers outages in which the store turns some instances away and serves the
others: their clients would be refused until they happen on another instance.
"""

import collections.abc
import dataclasses
import datetime
import random

from cardamomcroft.ports import base as ports
from cardamomcroft.ports import rpc
from cardamomcroft.relaying import base
from cardamomcroft.relaying import rpc as relay_rpc
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import events

# Peers asked for one call; with a third of all turned away, one call in
# thirty finds none.
MAX_PEERS_ASKED = 3
# An append at a slow store takes a quarter of a second.
CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# A peer that did not answer is likely cut off for some seconds; one that
# lacks the store itself answers at once, so asking again is cheap.
UNREACHABLE_BACKOFF = datetime.timedelta(seconds=3)
NO_STORE_BACKOFF = datetime.timedelta(milliseconds=500)

PeerSource = collections.abc.Callable[
    [], collections.abc.Mapping[str, codec.Peer]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Say which instance forwards, and from where."""

    instance: str
    data_centre: str


class PeerForwarder(base.Forwarder):
    """Ask peers in turn, those of the own data centre first."""

    def __init__(
        self,
        origin: Origin,
        peers: PeerSource,
        pool: rpc.Pool,
        clock: ports.Clock,
        log: events.Events,
        rng: random.Random,
    ) -> None:
        """Take the peers that are known at any moment."""
        self._origin = origin
        self._peers = peers
        self._pool = pool
        self._clock = clock
        self._log = log
        self._rng = rng
        self._backoff_until: dict[str, datetime.timedelta] = {}
        self._last_responder = ""

    async def forward(self, call: base.Call) -> base.Reply | None:
        """Return the first reply of a peer that reaches the store."""
        began_at = self._clock.monotonic()
        asked: list[str] = []
        reply = None
        for name, peer in self._candidates():
            left = began_at + call.timeout - self._clock.monotonic()
            if left < CALL_TIMEOUT:
                break
            asked.append(name)
            answer = await self._ask(
                name, peer, dataclasses.replace(call, timeout=left)
            )
            if answer is base.OUTCOME_UNKNOWN:
                # Changes may be repeated: the next peer can make sure.
                reply = answer if call.is_change else None
            elif answer is not None:
                self._last_responder = name
                reply = answer
                break
        self._log.emit(
            "call_forwarded",
            method=call.method,
            path=call.path,
            asked=asked,
            status=reply.status if reply else None,
        )
        return reply

    async def _ask(
        self, name: str, peer: codec.Peer, call: base.Call
    ) -> base.Reply | None:
        """Return a peer's reply; None if it did nothing."""
        try:
            reply = await relay_rpc.ask(self._pool, peer.address, call)
        except rpc.UnreachedError as error:
            self._back_off(name, UNREACHABLE_BACKOFF, error)
            return None
        except rpc.CALL_ERRORS as error:
            self._back_off(name, UNREACHABLE_BACKOFF, error)
            return base.OUTCOME_UNKNOWN
        if not reply.lacks_store:
            return reply
        self._back_off(name, NO_STORE_BACKOFF, None)
        return None

    def _back_off(
        self, name: str, backoff: datetime.timedelta, error: Exception | None
    ) -> None:
        self._backoff_until[name] = self._clock.monotonic() + backoff
        if error is not None:
            self._log.emit("peer_lost", peer=name, error=repr(error))

    def _candidates(self) -> list[tuple[str, codec.Peer]]:
        now = self._clock.monotonic()
        known = [
            (name, peer)
            for name, peer in self._peers().items()
            if name != self._origin.instance
            and self._backoff_until.get(name, now) <= now
        ]
        self._rng.shuffle(known)
        known.sort(
            key=lambda pair: (
                pair[0] != self._last_responder,
                pair[1].data_centre != self._origin.data_centre,
            )
        )
        return known[:MAX_PEERS_ASKED]
