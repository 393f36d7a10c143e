"""Define a client's call, its reply, and who answers or hands it on."""

import abc
import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Hold what decides the reply to a client."""

    method: str
    host: str  # without a port
    path: str
    key: str  # of the client account; empty without one
    body: bytes
    timeout: datetime.timedelta  # for how long the client waits

    @property
    def is_change(self) -> bool:
        """Tell whether carrying it out changes anything."""
        return self.method != "GET"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold a status and a JSON object for a client."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int = 0  # 0 sends none
    lacks_store: bool = False  # an instance that reaches it knows better


OUTCOME_UNKNOWN = Reply(504, b'{"error":"outcome unknown"}')


class Answerer(abc.ABC):
    """Answer clients' calls from what this instance knows."""

    @abc.abstractmethod
    async def answer(self, call: Call) -> Reply:
        """Return the reply without asking other instances."""


class Forwarder(abc.ABC):
    """Hand calls on to other instances."""

    @abc.abstractmethod
    async def forward(self, call: Call) -> Reply | None:
        """Return another's reply; None if it was certainly not carried out.

        A change whose reply was lost is answered 504.
        """


class NoForwarder(Forwarder):
    """Serve alone."""

    async def forward(self, call: Call) -> Reply | None:
        """Return None."""
        return None
