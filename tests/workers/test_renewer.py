"""Test what a renewer concludes from a copy that lacks the newest records."""

from cardamomcroft.ports import messages
from cardamomcroft.standin import log
from cardamomcroft.state import models
from tests import harness


class InstanceLog(log.StandinLog):
    """Link one instance to the shared log; the link can be cut."""

    def __init__(self, shared: log.StandinLog) -> None:
        """Read from and append to the shared log."""
        super().__init__(shared._clock)
        self._shared = shared

    async def append(self, payloads):
        """Append to the shared log while the link is up."""
        if self.down:
            return self._unavailable()
        return await self._shared.append(payloads)

    async def read(self, offset, limit, wait):
        """Read the shared log if the link is up at the answer."""
        if self.down:
            return self._unavailable()
        page = await self._shared.read(offset, limit, wait)
        return self._unavailable() if self.down else page


class PartialCopyTest(harness.ClusterCase):
    """Cut one of two instances off from the log and its peer's records."""

    async def asyncSetUp(self) -> None:
        """Start two instances."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(instance_count=2)
        await self.cluster.ready()
        self.owner = self.cluster.owner
        [self.other] = [
            node
            for node in self.cluster.nodes.values()
            if node is not self.owner
        ]

    async def lose_log(self, node) -> InstanceLog:
        """Cut a node's link to the log and stop its catching up."""
        link = InstanceLog(self.cluster.log)
        node.replica._log = node.appender._log = link
        link.down = True

        async def catch_up_in_vain():
            link.injected["no_catch_up"] += 1

        node.exchange._catch_up = catch_up_in_vain
        await self.cluster.until(lambda: link.injected["no_catch_up"])
        return link

    async def test_result_of_job_unknown_to_partial_copy_is_kept(self):
        link = await self.lose_log(self.other)
        job_id = await self.cluster.submit(
            self.owner.settings.instance_id,
            members=4,
            accelerators=8,
            run_s=0.5,
        )
        await self.cluster.advance(10)
        self.assertNotIn(job_id, self.other.replica.state.jobs)
        self.assertGreater(link.injected["log_down"], 0)
        link.down = False
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        await self.cluster.advance(10)
        job = self.cluster.job(job_id)
        self.assertEqual((models.Phase.COMPLETED, 1), (job.phase, job.starts))
        self.assertEqual(4, len(self.cluster.runs(job_id)))

    async def test_result_of_job_that_is_long_gone_is_forgotten(self):
        task = messages.TaskId("job-gone", 1, 0)
        worker = self.cluster.workers.by_id["w1"]
        worker.reserve(
            messages.Reserve(task, worker.fence, messages.Cell(0, 1), 2.0)
        )
        worker.start(messages.Start(task, worker.fence, 12.0, "", 0.0))
        await self.cluster.advance(0.1)
        worker.refresh()
        self.assertIn(task, worker._tasks)
        forgotten = await self.cluster.until(
            lambda: task not in worker._tasks, 10
        )
        self.assertTrue(forgotten)
