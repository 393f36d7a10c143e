"""Define the interfaces to everything outside the process."""

import abc
import collections.abc
import datetime

import expression

from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict

Outcome = expression.Result


class Clock(abc.ABC):
    """Read the time and wait for durations."""

    @abc.abstractmethod
    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""

    @abc.abstractmethod
    def monotonic(self) -> datetime.timedelta:
        """Return a monotonic time that includes suspension."""

    @abc.abstractmethod
    async def sleep(self, duration: datetime.timedelta) -> None:
        """Wait for the duration."""


class PlatformLog(abc.ABC):
    """Append to and read from the platform's append-only log."""

    @abc.abstractmethod
    async def append(
        self, payloads: collections.abc.Sequence[str]
    ) -> Outcome[int, verdict.Failure]:
        """Append all payloads in order and return the first offset."""

    @abc.abstractmethod
    async def read(
        self, offset: int, limit: int, wait: datetime.timedelta
    ) -> Outcome[messages.LogPage, verdict.Failure]:
        """Return records from the offset on; wait if there are none yet."""


class InstanceList(abc.ABC):
    """Read the platform's instance list, which may be out of date."""

    @abc.abstractmethod
    async def instances(
        self,
    ) -> Outcome[tuple[messages.ListedInstance, ...], verdict.Failure]:
        """Return the live and leaving instances."""


class WorkerClient(abc.ABC):
    """Send commands to the workers."""

    @abc.abstractmethod
    async def reserve(
        self, worker_id: str, command: messages.Reserve
    ) -> Outcome[messages.Done, verdict.Failure]:
        """Reserve capacity for a gang member for a limited time."""

    @abc.abstractmethod
    async def start(
        self, worker_id: str, command: messages.Start
    ) -> Outcome[messages.Done, verdict.Failure]:
        """Start a gang member on its reserved capacity under a lease."""

    @abc.abstractmethod
    async def stop(
        self, worker_id: str, command: messages.Stop
    ) -> Outcome[messages.Done, verdict.Failure]:
        """Stop a gang member or release its reserved capacity."""

    @abc.abstractmethod
    async def renew(
        self, worker_id: str, command: messages.Renew
    ) -> Outcome[messages.Inventory, verdict.Failure]:
        """Renew leases, raise the fence and return the inventory."""

    @abc.abstractmethod
    async def execute(
        self, worker_id: str, command: messages.Execute
    ) -> Outcome[messages.Answer, verdict.Failure]:
        """Run a request on the backend server and return its answer."""


class Metrics(abc.ABC):
    """Emit metrics."""

    @abc.abstractmethod
    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abc.abstractmethod
    def timing(self, name: str, duration: datetime.timedelta) -> None:
        """Record a duration."""
