"""In-memory stand-in for the platform's list of instances."""

import datetime

import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict


class StandinInstances(base.InstanceList):
    """An instance list that shows its entries as of ``lag`` ago."""

    def __init__(
        self,
        clock: base.Clock,
        lag: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Create an empty list."""
        self.lag = lag
        self.down = False
        self._clock = clock
        self._versions: list[
            tuple[datetime.timedelta, dict[str, messages.ListedInstance]]
        ] = [(datetime.timedelta.min, {})]

    def put(self, instance: messages.ListedInstance) -> None:
        """Add or change an entry."""
        self._append_version(self._latest | {instance.instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Remove an entry."""
        latest = dict(self._latest)
        latest.pop(instance_id, None)
        self._append_version(latest)

    @property
    def _latest(self) -> dict[str, messages.ListedInstance]:
        return self._versions[-1][1]

    def _append_version(
        self, listed: dict[str, messages.ListedInstance]
    ) -> None:
        self._versions.append((self._clock.monotonic(), listed))

    async def instances(
        self,
    ) -> expression.Result[
        tuple[messages.ListedInstance, ...], verdict.Failure
    ]:
        """Return the entries as of ``lag`` ago."""
        if self.down:
            return expression.Error(
                verdict.not_run(verdict.Reason.UNAVAILABLE, "list is down")
            )
        horizon = self._clock.monotonic() - self.lag
        while len(self._versions) > 1 and self._versions[1][0] <= horizon:
            del self._versions[0]
        return expression.Ok(tuple(self._versions[0][1].values()))
