"""Test that jobs go on when their workers leave the settings."""

import expression

from cardamomcroft.log import records
from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing
from cardamomcroft.standin import workers
from cardamomcroft.state import models
from tests import harness


class DeclaredWorkers(workers.StandinWorkers):
    """Workers of which only those with a declared address can be called."""

    def __init__(self, clock) -> None:
        """Know every address at first."""
        super().__init__(clock)
        self.undeclared: set[str] = set()

    async def _call(self, worker_id: str, operation: str, command):
        if worker_id not in self.undeclared:
            return await super()._call(worker_id, operation, command)
        self.injected["undeclared"] += 1
        return expression.Error(
            verdict.not_run(verdict.Reason.NOT_FOUND, "no address is known")
        )


class WithdrawnWorkerTest(harness.ClusterCase):
    """Remove a worker with a running gang member from the settings."""

    async def test_its_gang_starts_elsewhere_after_the_leases(self):
        cluster = self.cluster
        cluster.workers = DeclaredWorkers(cluster.clock)
        for worker_id in cluster.worker_ids:
            cluster.workers.add(worker_id)
        await cluster.ready()
        job_id = await cluster.submit(run_s=20.0)
        await cluster.reach(job_id, models.Phase.RUNNING)
        victim = cluster.job(job_id).placements[0].worker_id
        others = [name for name in cluster.worker_ids if name != victim]
        path = "fleet/dahab"
        revision = cluster.node().replica.state.settings[path].revision
        content = parsing.to_json(harness.fleet_document(others))
        edit = records.Edit(path, revision, content)
        await cluster.confirm(records.SettingsChanged("root", (edit,)))
        cluster.workers.undeclared.add(victim)
        await cluster.reach(job_id, models.Phase.COMPLETED, 90)
        self.assertIs(models.Phase.COMPLETED, cluster.job(job_id).phase)
        self.assert_injected("undeclared")
        self.assertEqual({}, cluster.violations())
