"""Test what an owner that was replaced can still bring about."""

import asyncio

import expression

from cardamomcroft.ports import verdict
from cardamomcroft.standin import workers
from tests import harness
from tests.workers import test_renewer


class SlowReservations:
    """The workers as seen by an instance whose reservations are held up."""

    def __init__(self, shared: workers.StandinWorkers) -> None:
        """Hold up every reservation."""
        self._shared = shared
        self.asked = ""  # the worker of the first reservation
        self.has_arrived = asyncio.Event()

    def __getattr__(self, operation: str):
        """Return a call of the shared workers."""
        return getattr(self._shared, operation)

    async def reserve(self, worker_id, command):
        """Reserve once the call arrives."""
        self.asked = self.asked or worker_id
        await self.has_arrived.wait()
        return await self._shared.reserve(worker_id, command)


class OtherWorkers:
    """The workers as seen by an instance that cannot reserve on one."""

    def __init__(self, shared: workers.StandinWorkers) -> None:
        """Reserve on every worker at first."""
        self._shared = shared
        self.excluded = ""

    def __getattr__(self, operation: str):
        """Return a call of the shared workers."""
        return getattr(self._shared, operation)

    async def reserve(self, worker_id, command):
        """Reserve unless the worker is excluded."""
        if worker_id != self.excluded:
            return await self._shared.reserve(worker_id, command)
        return expression.Error(
            verdict.not_run(verdict.Reason.CONFLICT, "cell is in use")
        )


class FormerOwnerTest(harness.ClusterCase):
    """The owner loses its peers and the log, but not the workers."""

    async def asyncSetUp(self) -> None:
        """Let the owner read the log over a link of its own."""
        await super().asyncSetUp()
        await self.cluster.ready()
        shared = self.cluster.workers
        self.former = self.cluster.owner
        self.link = test_renewer.InstanceLog(self.cluster.log)
        self.former.replica._log = self.former.appender._log = self.link
        self.slow = SlowReservations(shared)
        self.former._workers._workers = self.slow
        self.other = OtherWorkers(shared)
        for node in self.cluster.nodes.values():
            if node is not self.former:
                node._workers._workers = self.other
        await self.cluster.advance(2)

    def has_successor(self) -> bool:
        """Return whether another instance has taken over."""
        return any(
            node.scheduler.takeover is not None
            and node.scheduler.takeover.is_settled
            for node in self.cluster.nodes.values()
            if node is not self.former
        )

    async def replace_owner(self) -> str:
        """Cut the owner off while it reserves for a job; return the job."""
        former_id = self.former.settings.instance_id
        for other in self.cluster.ids:
            if other != former_id:
                self.cluster.network.cut.add(
                    frozenset({f"{former_id}:1", f"{other}:1"})
                )
        await self.cluster.advance(1.5)
        other = next(i for i in self.cluster.ids if i != former_id)
        job_id = await self.cluster.submit(other, run_s=60.0)
        await self.cluster.until(lambda: self.slow.asked, 1)
        self.assertTrue(self.slow.asked)
        self.other.excluded = self.slow.asked
        self.link.down = True
        for _ in range(30):
            if self.has_successor():
                break
            await self.cluster.advance(0.05)
        self.assertTrue(self.has_successor())
        return job_id

    async def check_one_run(self, job_id: str) -> None:
        """Let the reservation arrive; the successor starts the job too."""
        self.assertTrue(self.former.scheduler.may_act())
        self.slow.has_arrived.set()
        await self.cluster.advance(1)
        self.assert_injected("peer_link_cut")
        self.assertEqual(1, len(self.cluster.runs(job_id)))

    async def test_fenced_worker_starts_nothing_for_it(self):
        await self.check_one_run(await self.replace_owner())

    async def test_worker_that_restarts_starts_nothing_for_it(self):
        """A new process has seen no fencing token."""
        job_id = await self.replace_owner()
        self.cluster.workers.add(self.slow.asked)
        await self.check_one_run(job_id)
