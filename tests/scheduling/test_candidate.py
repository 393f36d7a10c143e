"""Instances with more processor take the scheduler's role first."""

import asyncio

from cardamomcroft.scheduling import codec
from tests.scheduling import harness


class UnequalInstancesTest(harness.SchedulingTestCase):
    """Six slow instances and a fast one, as on the grown deployments."""

    async def asyncSetUp(self):
        """Start the instances; all are registered as peers."""
        await super().asyncSetUp()
        self.add_workers(1)
        self.cores_by_name = {f"slow{number}": 0.5 for number in range(6)}
        self.cores_by_name["fast"] = 2.0
        for name in self.cores_by_name:
            self.start(name)
        await self.wait_until(self.holder)

    def start(self, name: str) -> None:
        """Start an instance that knows all others."""
        self.start_node(
            name,
            cores=self.cores_by_name[name],
            peers=lambda: {
                peer: codec.Peer(f"{peer}:1", "dc", 0.0, cores)
                for peer, cores in self.cores_by_name.items()
            },
        )

    async def test_fast_instance_claims_first(self):
        """The scheduling rounds of a slow instance delay every start."""
        self.assertEqual(self.holder(), "fast")

    async def test_fast_instance_succeeds_a_slow_one(self):
        """A slow instance that has taken over is replaced by a fast one."""
        self.kill("fast")
        await self.wait_until(self.holder)
        slow = self.holder()
        self.start("fast")
        await self.pass_time(1)
        self.assertEqual(self.holder(), slow, "role moved without need")
        self.kill(slow)
        await self.wait_until(self.holder, 3)
        self.assertEqual(self.holder(), "fast")

    async def test_fast_instance_takes_a_released_role(self):
        """At a planned stop of the holder, slow instances wait as well."""
        self.kill("fast")
        await self.wait_until(self.holder)
        slow = self.holder()
        self.start("fast")
        await self.pass_time(1)
        stopping = asyncio.ensure_future(self.nodes_by_name[slow].stop())
        await self.wait_until(lambda: self.holder() not in (None, slow), 1)
        self.assertEqual(self.holder(), "fast")
        await stopping

    async def test_slow_instance_claims_soon_without_a_fast_one(self):
        """The record of a dead instance delays a takeover only briefly."""
        self.kill("fast")
        took = await self.wait_until(self.holder)
        self.assertLess(took, 2.6)


class EqualInstancesTest(harness.SchedulingTestCase):
    """Three instances that are all slow."""

    async def test_role_is_taken_at_once(self):
        """Without a faster instance nobody waits."""
        peers = {
            name: codec.Peer(f"{name}:1", "dc", 0.0, 0.5)
            for name in ("a", "b", "c")
        }
        for name in peers:
            self.start_node(name, cores=0.5, peers=lambda: peers)
        await self.wait_until(self.holder)
        self.kill(self.holder())
        self.assertLess(await self.wait_until(self.holder), 2.1)
