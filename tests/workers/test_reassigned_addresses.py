"""Test that nothing is concluded from another worker's answer."""

from cardamomcroft.standin import workers
from cardamomcroft.state import models
from tests import harness


class DivertedWorkers(workers.StandinWorkers):
    """Workers of which some have lost their address to another worker."""

    def __init__(self, clock) -> None:
        """Let every call reach its worker at first."""
        super().__init__(clock)
        self.stranger_by_id: dict[str, str] = {}

    async def _call(self, worker_id: str, operation: str, command):
        reached = self.stranger_by_id.get(worker_id, worker_id)
        if reached != worker_id:
            self.injected[f"{operation}_diverted"] += 1
        return await super()._call(reached, operation, command)


class ReassignedAddressTest(harness.ClusterCase):
    """Give a worker's address to another; the first one runs on."""

    async def asyncSetUp(self) -> None:
        """Replace the stand-in workers; one more is not declared."""
        await super().asyncSetUp()
        cluster = self.cluster
        cluster.workers = DivertedWorkers(cluster.clock)
        for worker_id in (*cluster.worker_ids, "stranger"):
            cluster.workers.add(worker_id)

    async def divert_a_running_job(self) -> str:
        """Let the address of a job's only worker lead to the stranger."""
        await self.cluster.ready()
        job_id = await self.cluster.submit(run_s=90.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        victim = self.cluster.job(job_id).placements[0].worker_id
        self.cluster.workers.stranger_by_id[victim] = "stranger"
        return job_id

    async def test_member_that_the_stranger_lacks_is_not_run_twice(self):
        job_id = await self.divert_a_running_job()
        started = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 2
        )
        self.assert_injected("renew_diverted")
        self.assertTrue(started)
        self.assertEqual({}, self.cluster.violations())

    async def test_stranger_does_not_count_as_fenced(self):
        job_id = await self.divert_a_running_job()
        await self.cluster.kill(self.cluster.owner.settings.instance_id)
        await self.cluster.until(
            lambda: (
                self.cluster.owner is not None
                and self.cluster.owner.scheduler.takeover is not None
                and self.cluster.owner.scheduler.takeover.is_settled
            )
        )
        victim = self.cluster.runs(job_id)[0].worker_id
        takeover = self.cluster.owner.scheduler.takeover
        self.assertFalse(takeover.is_fenced(victim))
