"""Test that an owner knows which workers failed before it began."""

from cardamomcroft.settings import instance
from cardamomcroft.state import models
from tests import harness


class FailureHistoryTest(harness.ClusterCase):
    """A worker fails every task, before and after a new owner begins."""

    async def asyncSetUp(self) -> None:
        """Let a job fail on the only worker and take a snapshot."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(
            1,
            worker_count=1,
            timing=instance.Timing(snapshot_every_records=20),
        )
        await self.cluster.ready()
        worker = self.cluster.workers.by_id["w1"]
        worker.faults.fails_tasks = True
        await self.fail(max_attempts=1)

    async def fail(self, **spec) -> models.Job:
        """Let a job fail once; return it once that is settled."""
        job_id = await self.cluster.submit(run_s=1.0, **spec)
        await self.cluster.until(lambda: self.cluster.runs(job_id))
        attempt = self.cluster.runs(job_id)[0].task.attempt
        await self.cluster.until(
            lambda: (
                self.cluster.job(job_id).attempt == attempt
                and not self.cluster.job(job_id).placements
            )
        )
        return self.cluster.job(job_id)

    async def begin_anew(self) -> None:
        """Replace the owner by a new process."""
        await self.cluster.kill("entry-1")
        await self.cluster.start_node("entry-1")
        await self.cluster.until(
            lambda: (
                self.cluster.owner is not None
                and self.cluster.owner.scheduler.takeover is not None
                and self.cluster.owner.scheduler.takeover.is_settled
            )
        )

    async def test_owner_that_read_the_log_blames_the_worker(self):
        await self.begin_anew()
        self.assertEqual(0, (await self.fail()).failures)

    async def test_owner_that_loaded_a_snapshot_blames_the_worker(self):
        failed_at = self.cluster.log.end
        edits = 0
        while self.cluster.node().replica.state.snapshot_as_of < failed_at:
            path = f"teams/shops/accounts/a{edits}"
            await self.cluster.declare({path: harness.account_document()})
            edits += 1
        self.cluster.log.retention = self.cluster.log.end - failed_at
        self.cluster.log._expire()
        await self.begin_anew()
        self.assertGreaterEqual(self.cluster.log.first, failed_at)
        self.assertEqual(0, (await self.fail()).failures)
