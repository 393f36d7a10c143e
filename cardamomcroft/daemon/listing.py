"""Follow the platform's instance list."""

import datetime

from cardamomcroft.membership import members
from cardamomcroft.ports import base


class ListWatcher:
    """Read the list every period into the membership."""

    def __init__(
        self,
        instances: base.InstanceList,
        membership: members.Membership,
        clock: base.Clock,
        period: datetime.timedelta,
    ) -> None:
        """Take the list and where it goes."""
        self._instances = instances
        self._membership = membership
        self._clock = clock
        self._period = period

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self._period)

    async def step(self) -> None:
        """Read once; an unreachable list changes nothing."""
        listed = await self._instances.instances()
        if listed.is_ok():
            self._membership.apply_instance_list(listed.ok)
