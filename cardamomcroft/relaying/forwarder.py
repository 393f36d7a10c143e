"""Choose the peers that a call is forwarded to.

Handles partial outages, in which the store refuses some instances and serves
others: without forwarding, clients would be refused until they happen to reach
an instance with access.
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

# Peers asked for one call: if the store refuses a third of all instances, one
# call in thirty finds no peer with access.
MAX_PEERS_ASKED = 3
# An append to a slow store takes 250 ms.
CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# A peer that did not answer is probably unreachable for some seconds. One that
# lacks the store replies at once, so that asking it again is cheap.
UNREACHABLE_BACKOFF = datetime.timedelta(seconds=3)
NO_STORE_BACKOFF = datetime.timedelta(milliseconds=500)

PeerSource = collections.abc.Callable[
    [], collections.abc.Mapping[str, codec.Peer]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """The forwarding instance and its data centre."""

    instance: str
    data_centre: str


class PeerForwarder(base.Forwarder):
    """Ask peers one after another, those in the same data centre first."""

    def __init__(
        self,
        origin: Origin,
        peers: PeerSource,
        pool: rpc.Pool,
        clock: ports.Clock,
        log: events.Events,
        rng: random.Random,
    ) -> None:
        """Forward to the peers that the source returns at each call."""
        self._origin = origin
        self._peers = peers
        self._pool = pool
        self._clock = clock
        self._log = log
        self._rng = rng
        self._backoff_until: dict[str, datetime.timedelta] = {}
        self._last_responder = ""

    async def forward(self, call: base.Call) -> base.Reply | None:
        """Return the first reply from a peer that reaches the store."""
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
                # Changes are idempotent: the next peer can repeat this one.
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
        """Return a peer's reply; None if it did not run the call."""
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
