"""Define the calls between an instance and its peers."""

import abc

import expression

from cardamomcroft.membership import digests
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict


class PeerClient(abc.ABC):
    """Call other instances."""

    @abc.abstractmethod
    async def exchange(
        self, address: str, digest: digests.Digest
    ) -> expression.Result[digests.Digest, verdict.Failure]:
        """Send this instance's digest and return the peer's."""

    @abc.abstractmethod
    async def read_log(
        self, address: str, offset: int, limit: int
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Return records that the peer has applied, from the offset on."""

    @abc.abstractmethod
    async def snapshot(
        self, address: str
    ) -> expression.Result[str, verdict.Failure]:
        """Return the peer's encoded state."""


class PeerHandler(abc.ABC):
    """Handle the calls of other instances."""

    @abc.abstractmethod
    def exchange(self, digest: digests.Digest) -> digests.Digest:
        """Record a peer's digest and return this instance's."""

    @abc.abstractmethod
    def read_log(self, offset: int, limit: int) -> messages.LogPage:
        """Return records applied here, from the offset on."""

    @abc.abstractmethod
    def snapshot(self) -> str:
        """Return this instance's encoded state."""
