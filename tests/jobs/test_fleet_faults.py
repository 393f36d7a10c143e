"""Test the loss of workers and racks, and a rolling replacement."""

import asyncio

from cardamomcroft.log import records
from cardamomcroft.requests import messages
from cardamomcroft.state import models
from tests import harness


class WorkerDeathTest(harness.ClusterCase):
    """Workers lost during a gang's launch, a rack lost, a racing cancel."""

    async def _die_after(self, operation: str) -> None:
        """Lose w2's tasks and cut its link after its first answer."""
        workers = self.cluster.workers
        call = getattr(workers, operation)
        died = []

        async def wrapper(worker_id, command):
            result = await call(worker_id, command)
            if worker_id == "w2" and not died:
                died.append(worker_id)
                workers.by_id["w2"].lose()
                workers.by_id["w2"].cut(True)
            return result

        setattr(workers, operation, wrapper)
        job_id = await self.cluster.submit(
            members=3, accelerators=8, run_s=5.0
        )
        done = await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        self.assertEqual(["w2"], died)
        self.assertTrue(done, self.cluster.job(job_id))
        self.assert_injected("worker_unreachable")

    async def test_worker_dies_after_its_reservation(self):
        await self.cluster.ready()
        await self._die_after("reserve")

    async def test_worker_dies_after_its_start(self):
        await self.cluster.ready()
        await self._die_after("start")

    async def test_worker_dies_after_a_renewal(self):
        await self.cluster.ready()
        await self._die_after("renew")

    async def test_rack_is_lost_at_once(self):
        await self.cluster.ready()
        jobs = [
            await self.cluster.submit(members=2, accelerators=8, run_s=20.0)
            for _ in range(2)
        ]
        await self.cluster.advance(3)
        for worker_id in ("w1", "w2"):
            worker = self.cluster.workers.by_id[worker_id]
            worker.lose()
            worker.cut(True)
        for job_id in jobs:
            await self.cluster.reach(job_id, models.Phase.COMPLETED, 200)
            self.assertIs(
                models.Phase.COMPLETED, self.cluster.job(job_id).phase
            )
        self.assert_injected("worker_unreachable")

    async def test_owner_and_worker_are_lost_together(self):
        await self.cluster.ready()
        job_id = await self.cluster.submit(
            members=3, accelerators=8, run_s=20.0
        )
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        worker_id = self.cluster.job(job_id).placements[0].worker_id
        self.cluster.workers.by_id[worker_id].lose()
        self.cluster.workers.by_id[worker_id].cut(True)
        await self.cluster.kill(self.cluster.owner.settings.instance_id)
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 200)
        self.assertIs(models.Phase.COMPLETED, self.cluster.job(job_id).phase)

    async def test_cancel_races_the_start(self):
        await self.cluster.ready()
        body = self.cluster.submission(members=3, accelerators=8, run_s=60.0)
        await self.cluster.confirm(body)
        await self.cluster.confirm(records.JobCancelled(body.job_id, "me"))
        await self.cluster.until(
            lambda: self.cluster.job(body.job_id).phase.is_final
        )
        await self.cluster.advance(1)
        self.assertIs(
            models.Phase.CANCELLED, self.cluster.job(body.job_id).phase
        )
        for run in self.cluster.runs(body.job_id):
            self.assertIsNotNone(run.ended_at)


class RollingReplacementTest(harness.ClusterCase):
    """Replace each of seven instances in turn under load."""

    async def asyncSetUp(self) -> None:
        """Set up a cluster of seven instances."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(7)

    async def test_nothing_is_cut_and_the_gang_runs_on(self):
        await self.cluster.ready()
        for worker in self.cluster.workers.by_id.values():
            worker.faults.service_time = harness.seconds(0.4)
        job_id = await self.cluster.submit(
            members=3, accelerators=8, run_s=90.0
        )
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        requests = []
        for instance_id in list(self.cluster.ids):
            node = self.cluster.node(instance_id)
            requests.extend(self._send(node, len(requests)))
            await self.cluster.advance(0.1)
            await self.cluster.run(node.drain())
            await self.cluster.kill(instance_id)
            node = await self.cluster.start_node(instance_id)
            await self.cluster.until(
                lambda node=node: node.lifecycle.state == "serving"
            )
        await self.cluster.advance(5)
        self.assertEqual(35, len(requests))
        for task in requests:
            self.assertTrue(task.done() and task.result().is_ok())
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        job = self.cluster.job(job_id)
        self.assertEqual((models.Phase.COMPLETED, 1), (job.phase, job.starts))

    def _send(self, node, first: int) -> list[asyncio.Task]:
        deadline = self.cluster.clock.monotonic() + harness.seconds(20)
        return [
            asyncio.ensure_future(
                node.router.run(
                    messages.Request(
                        f"r{first + number}",
                        harness.ACCOUNT,
                        "counter",
                        "body",
                        deadline,
                    )
                )
            )
            for number in range(5)
        ]
