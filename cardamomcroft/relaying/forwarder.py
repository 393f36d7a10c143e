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
TRIES = 3
# An append at a slow store takes a quarter of a second.
CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# A peer that did not answer is likely cut off for some seconds; one that
# lacks the store itself answers at once, so asking again is cheap.
SILENT_PAUSE = datetime.timedelta(seconds=3)
LACKING_PAUSE = datetime.timedelta(milliseconds=500)

Peers = collections.abc.Callable[[], collections.abc.Mapping[str, codec.Peer]]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Say which instance forwards, and from where."""

    instance: str
    data_centre: str


class PeerForwarder(base.Forwarder):
    """Ask peers in turn, those of the own data centre first."""

    def __init__(
        self,
        place: Place,
        peers: Peers,
        pool: rpc.Pool,
        clock: ports.Clock,
        log: events.Events,
        rng: random.Random,
    ) -> None:
        """Take the peers that are known at any moment."""
        self._place = place
        self._peers = peers
        self._pool = pool
        self._clock = clock
        self._log = log
        self._rng = rng
        self._avoid_until: dict[str, datetime.timedelta] = {}
        self._last = ""  # who replied last

    async def forward(self, call: base.Call) -> base.Reply | None:
        """Return the first reply of a peer that reaches the store."""
        began_at = self._clock.monotonic()
        asked: list[str] = []
        reply = None
        for name, peer in self._candidates():
            left = began_at + call.patience - self._clock.monotonic()
            if left < CALL_TIMEOUT:
                break
            asked.append(name)
            answer = await self._ask(
                name, peer, dataclasses.replace(call, patience=left)
            )
            if answer is base.OUTCOME_UNKNOWN:
                # Changes may be repeated: the next peer can make sure.
                reply = answer if call.is_change else None
            elif answer is not None:
                self._last = name
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
            self._avoid(name, SILENT_PAUSE, error)
            return None
        except rpc.CALL_ERRORS as error:
            self._avoid(name, SILENT_PAUSE, error)
            return base.OUTCOME_UNKNOWN
        if not reply.lacks_store:
            return reply
        self._avoid(name, LACKING_PAUSE, None)
        return None

    def _avoid(
        self, name: str, pause: datetime.timedelta, error: Exception | None
    ) -> None:
        self._avoid_until[name] = self._clock.monotonic() + pause
        if error is not None:
            self._log.emit("peer_lost", peer=name, error=repr(error))

    def _candidates(self) -> list[tuple[str, codec.Peer]]:
        now = self._clock.monotonic()
        known = [
            (name, peer)
            for name, peer in self._peers().items()
            if name != self._place.instance
            and self._avoid_until.get(name, now) <= now
        ]
        self._rng.shuffle(known)
        known.sort(
            key=lambda pair: (
                pair[0] != self._last,
                pair[1].data_centre != self._place.data_centre,
            )
        )
        return known[:TRIES]
