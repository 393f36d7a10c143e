"""Define how an instance reaches its peers."""

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
        """Give a digest and take one."""

    @abc.abstractmethod
    async def read_log(
        self, address: str, offset: int, limit: int
    ) -> expression.Result[messages.LogPage, verdict.Failure]:
        """Read records that the peer has folded."""

    @abc.abstractmethod
    async def snapshot(
        self, address: str
    ) -> expression.Result[str, verdict.Failure]:
        """Return the peer's encoded state."""


class PeerHandler(abc.ABC):
    """Answer the calls of other instances."""

    @abc.abstractmethod
    def exchange(self, digest: digests.Digest) -> digests.Digest:
        """Take a digest and give one."""

    @abc.abstractmethod
    def read_log(self, offset: int, limit: int) -> messages.LogPage:
        """Return records folded here."""

    @abc.abstractmethod
    def snapshot(self) -> str:
        """Return the encoded state."""
