"""Poll the platform's instance list."""

import datetime

from cardamomcroft.membership import members
from cardamomcroft.ports import base


class ListWatcher:
    """Apply the instance list to the membership once per period."""

    def __init__(
        self,
        instances: base.InstanceList,
        membership: members.Membership,
        clock: base.Clock,
        period: datetime.timedelta,
    ) -> None:
        """Prepare to poll; ``run`` starts it."""
        self._instances = instances
        self._membership = membership
        self._clock = clock
        self._period = period

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.step()
            await self._clock.sleep(self._period)

    async def step(self) -> None:
        """Poll once; if the list is unreachable, the membership stays."""
        listed = await self._instances.instances()
        if listed.is_ok():
            self._membership.apply_instance_list(listed.ok)
