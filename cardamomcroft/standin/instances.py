"""Stand in for the platform's lagging list of instances."""

import datetime

import expression

from cardamomcroft.ports import base
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict


class StandinInstances(base.InstanceList):
    """Show what was true ``lag`` ago."""

    def __init__(
        self,
        clock: base.Clock,
        lag: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Start with an empty list."""
        self.lag = lag
        self.down = False
        self._clock = clock
        self._versions: list[
            tuple[datetime.timedelta, dict[str, messages.ListedInstance]]
        ] = [(datetime.timedelta.min, {})]

    def put(self, instance: messages.ListedInstance) -> None:
        """Add or change an entry."""
        self._change(self._latest | {instance.instance_id: instance})

    def remove(self, instance_id: str) -> None:
        """Drop an entry."""
        latest = dict(self._latest)
        latest.pop(instance_id, None)
        self._change(latest)

    @property
    def _latest(self) -> dict[str, messages.ListedInstance]:
        return self._versions[-1][1]

    def _change(self, listed: dict[str, messages.ListedInstance]) -> None:
        self._versions.append((self._clock.monotonic(), listed))

    async def instances(
        self,
    ) -> expression.Result[
        tuple[messages.ListedInstance, ...], verdict.Failure
    ]:
        """Return the list as it was before the lag."""
        if self.down:
            return expression.Error(
                verdict.not_run(verdict.Reason.UNAVAILABLE, "list is down")
            )
        horizon = self._clock.monotonic() - self.lag
        while len(self._versions) > 1 and self._versions[1][0] <= horizon:
            del self._versions[0]
        return expression.Ok(tuple(self._versions[0][1].values()))
