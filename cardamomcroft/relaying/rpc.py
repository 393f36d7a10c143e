"""Forward calls between instances over Thrift."""

import collections.abc
import datetime
import importlib.resources

import thriftpy2

from cardamomcroft.ports import rpc
from cardamomcroft.relaying import base

_IDL = importlib.resources.files("cardamomcroft.relaying") / "relay.thrift"
WIRE = thriftpy2.load(str(_IDL), module_name="cardamomcroft_relay_thrift")
_MS = datetime.timedelta(milliseconds=1)


class _Dispatcher:
    """Adapt an Answerer to the Thrift service."""

    def __init__(self, answerer: base.Answerer) -> None:
        self._answerer = answerer

    async def answer(self, wire):
        reply = await self._answerer.answer(
            base.Call(
                wire.method,
                wire.host,
                wire.path,
                wire.key,
                wire.body,
                wire.patience_ms * _MS,
                wire.config_version or 0,  # none from older instances
            )
        )
        return WIRE.Reply(
            reply.status,
            reply.body,
            reply.retry_after_s,
            reply.lacks_store,
            reply.config_version,
        )


def make_server(
    address: str,
    answerer: base.Answerer,
    report: collections.abc.Callable[[Exception], None],
) -> rpc.Server:
    """Return a server for calls from peers, not started yet."""
    return rpc.Server(address, WIRE.Relay, _Dispatcher(answerer), report)


def make_pool(timeout: datetime.timedelta) -> rpc.Pool:
    """Return a pool of connections to peers."""
    return rpc.Pool(WIRE.Relay, timeout)


async def ask(pool: rpc.Pool, address: str, call: base.Call) -> base.Reply:
    """Return a peer's reply; raise one of rpc.CALL_ERRORS on failure."""
    wire = WIRE.Call(
        call.method,
        call.host,
        call.path,
        call.key,
        call.body,
        round(call.timeout / _MS),
        call.config_version,
    )
    answer = await pool.call(address, "answer", wire)
    return base.Reply(
        answer.status,
        answer.body,
        answer.retry_after_s,
        answer.lacks_store,
        answer.config_version or 0,
    )
