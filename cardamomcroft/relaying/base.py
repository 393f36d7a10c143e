"""Define client calls, replies and the interfaces that serve them."""

import abc
import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A client's call, with everything that its reply depends on."""

    method: str
    host: str  # without the port
    path: str
    key: str  # API key of the client account; empty if none was sent
    body: bytes
    timeout: datetime.timedelta  # how long the client waits for the reply
    # The reply must not follow an older configuration; 0 for any.
    config_version: int = 0

    @property
    def is_change(self) -> bool:
        """Return whether the call may change stored state."""
        return self.method != "GET"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A reply to a client: an HTTP status and a JSON object."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int = 0  # 0 omits the header
    lacks_store: bool = False  # a peer that reaches it may reply better
    config_version: int = 0  # of the configuration followed; 0 if unknown

    @property
    def is_outcome_unknown(self) -> bool:
        """Return whether the change may have been made or not."""
        return self.status == OUTCOME_UNKNOWN.status

    @property
    def is_confirmation(self) -> bool:
        """Return whether the change is made, maybe to an unknown job."""
        return self.status in (200, 410)


OUTCOME_UNKNOWN = Reply(504, b'{"error":"outcome unknown"}')


class Answerer(abc.ABC):
    """Answer client calls from this instance's own data."""

    @abc.abstractmethod
    async def answer(self, call: Call) -> Reply:
        """Return the reply without calling other instances."""


class Forwarder(abc.ABC):
    """Forward calls to other instances."""

    @abc.abstractmethod
    async def forward(self, call: Call) -> Reply | None:
        """Return a peer's reply; None if the call was certainly not run.

        A change whose reply was lost gets status 504.
        """


class NoForwarder(Forwarder):
    """Forward no calls."""

    async def forward(self, call: Call) -> Reply | None:
        """Return None: the call was not run elsewhere."""
        return None
