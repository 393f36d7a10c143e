"""Choose the peers that a call is forwarded to.

Handles partial outages, in which the store refuses some instances and serves
others: without forwarding, clients would be refused until they happen to reach
an instance with access. The same holds after a restart of all instances, when
some have loaded the jobs and others have not.
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

# An append to a slow store takes 250 ms.
CALL_TIMEOUT = datetime.timedelta(milliseconds=800)
# Per call. Each may cost a time-out, and the client waits 3 s by default.
MAX_SLOW_PEERS = 3
# Per call. If 10 of 37 peers have access, one call in 17 finds none of them;
# in an outage for all, each call costs no more than this until all back off.
MAX_LACKING_PEERS = 8
# Of these, peers of the own data centre before those of others are asked: the
# store may be lost to the whole data centre.
MAX_NEAR_FIRST = MAX_LACKING_PEERS // 2
# Together, quick replies cost no more than one time-out.
QUICK_REPLY = CALL_TIMEOUT / MAX_LACKING_PEERS
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
    """Ask peers one after another, some in the same data centre first."""

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
        asked: list[str] = []
        reply = await self._ask_in_turn(call, asked)
        self._log.emit(
            "call_forwarded",
            method=call.method,
            path=call.path,
            asked=asked,
            status=reply.status if reply else None,
            config_version=reply.config_version if reply else None,
        )
        return reply

    async def _ask_in_turn(
        self, call: base.Call, asked: list[str]
    ) -> base.Reply | None:
        """Return the reply; append the names of the peers asked."""
        until = self._clock.monotonic() + call.timeout
        reply = None
        slow = lacking = 0
        for name, peer in self._candidates():
            sent_at = self._clock.monotonic()
            left = until - sent_at
            if left < CALL_TIMEOUT:
                break
            asked.append(name)
            answer = await self._ask(
                name, peer, dataclasses.replace(call, timeout=left)
            )
            if answer and answer.is_outcome_unknown:
                # Changes are idempotent: the next peer can repeat this one.
                reply = answer if call.is_change else None
            elif answer and not answer.lacks_store:
                self._last_responder = name
                # What this peer refuses, an earlier one may have stored.
                return answer if answer.is_confirmation else reply or answer
            took = self._clock.monotonic() - sent_at
            if answer and answer.lacks_store and took <= QUICK_REPLY:
                lacking += 1
            else:
                slow += 1
            if slow == MAX_SLOW_PEERS or lacking == MAX_LACKING_PEERS:
                break
        return reply

    async def _ask(
        self, name: str, peer: codec.Peer, call: base.Call
    ) -> base.Reply | None:
        """Return a peer's reply; None if it was not reached."""
        try:
            reply = await relay_rpc.ask(self._pool, peer.address, call)
        except rpc.BusyError:
            return None  # calls that wait here say nothing about the peer
        except rpc.UnreachedError as error:
            self._back_off(name, UNREACHABLE_BACKOFF, error)
            return None
        except rpc.CALL_ERRORS as error:
            self._back_off(name, UNREACHABLE_BACKOFF, error)
            return base.OUTCOME_UNKNOWN
        if reply.lacks_store:
            self._back_off(name, NO_STORE_BACKOFF, None)
        return reply

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
        known.sort(key=lambda pair: pair[0] != self._last_responder)
        near, far = [], []
        for name, peer in known:
            is_near = peer.data_centre == self._origin.data_centre
            is_first = is_near or name == self._last_responder
            (near if is_first else far).append((name, peer))
        return near[:MAX_NEAR_FIRST] + far + near[MAX_NEAR_FIRST:]
