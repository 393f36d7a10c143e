"""Test what an owner may start on a worker's new process."""

import dataclasses

from cardamomcroft.log import records
from cardamomcroft.ports import messages
from cardamomcroft.ports import verdict
from cardamomcroft.settings import parsing
from cardamomcroft.standin import workers
from cardamomcroft.state import models
from tests import harness

TASK = messages.TaskId("job-1", 1, 0)
TOKEN = 1


class NamelessWorkers(workers.StandinWorkers):
    """Workers of a version that names no incarnation."""

    async def _call(self, worker_id: str, operation: str, command):
        result = await super()._call(worker_id, operation, command)
        if operation == "execute":
            return result
        return result.map(
            lambda answer: dataclasses.replace(
                answer, incarnation="", age_s=0.0
            )
        )


class StandinWorkerTest(harness.ClusterCase):
    """Send commands to a worker's processes."""

    async def asyncSetUp(self) -> None:
        """Reserve on a worker."""
        await super().asyncSetUp()
        self.worker = self.cluster.workers.by_id["w1"]
        self.former = self.reserve().incarnation

    def reserve(self) -> messages.Done:
        """Reserve and return the answer."""
        cell = messages.Cell(0, 1)
        return self.worker.reserve(messages.Reserve(TASK, TOKEN, cell, 2.0)).ok

    def start(self, incarnation: str):
        """Start the task on the named incarnation."""
        return self.worker.start(
            messages.Start(TASK, TOKEN, 12.0, "", 1.0, incarnation)
        )

    async def test_start_for_a_former_incarnation_is_refused(self):
        self.worker.lose()
        self.assertNotEqual(self.former, self.reserve().incarnation)
        refused = self.start(self.former).error
        self.assertIs(verdict.Verdict.NOT_RUN, refused.verdict)
        self.assertIs(verdict.Reason.RESTARTED, refused.reason)
        self.assertTrue(self.start(self.worker.incarnation).is_ok())

    async def test_start_of_an_older_instance_names_none(self):
        self.assertTrue(self.start("").is_ok())

    def stop(self, incarnation: str):
        """Stop the task on the named incarnation."""
        return self.worker.stop(
            messages.Stop(TASK, TOKEN, incarnation=incarnation)
        )

    async def test_new_process_at_the_address_confirms_a_stop(self):
        self.worker.lose()
        self.assertTrue(self.stop(self.former).is_ok())

    async def test_process_at_another_address_confirms_no_stop(self):
        self.cluster.workers.add("w1")
        self.worker = self.cluster.workers.by_id["w1"]
        refused = self.stop(self.former).error
        self.assertIs(verdict.Verdict.NOT_RUN, refused.verdict)
        self.assertIs(verdict.Reason.RESTARTED, refused.reason)

    async def test_process_without_an_address_confirms_no_stop(self):
        self.assertFalse(messages.has_replaced("@1", "@0"))
        self.assertFalse(messages.has_replaced("a:1@1", "a:1@1"))
        self.assertFalse(messages.has_replaced("a:1@1", ""))
        self.assertTrue(messages.has_replaced("a:1@1", "a:1@0"))

    async def test_stop_of_an_older_instance_names_none(self):
        self.assertTrue(self.stop("").is_ok())

    async def test_age_counts_from_the_start_of_the_process(self):
        await self.cluster.advance(5)
        self.assertEqual(5.0, self.reserve().age_s)
        self.worker.lose()
        self.assertEqual(0.0, self.reserve().age_s)

    async def test_messages_of_older_versions_are_understood(self):
        converter = parsing.make_converter(strict=False)
        for message in (
            messages.Done(),
            messages.Start(TASK, TOKEN, 12.0, "", 1.0),
            messages.Stop(TASK, TOKEN),
            records.Placement("w1", messages.Cell(0, 1)),
            messages.Inventory("w1", TOKEN, False),
        ):
            older = converter.unstructure(message)
            del older["incarnation"]
            older["unknown"] = 1
            self.assertEqual(
                message, converter.structure(older, type(message))
            )


class RestartedWorkerTest(harness.ClusterCase):
    """Start jobs on a worker with a new process."""

    async def asyncSetUp(self) -> None:
        """Start two instances and a worker; count the owner's extra reads."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(2, worker_count=1)
        await self.cluster.ready()
        await self.cluster.advance(5)
        self.replica = self.cluster.owner.replica
        self.refreshes = 0
        refresh = self.replica.refresh

        async def counted():
            self.refreshes += 1
            return await refresh()

        self.replica.refresh = counted

    async def test_first_start_after_the_restart_reads_the_log(self):
        shared = self.cluster.workers
        reserve = shared.reserve
        restarts = []

        async def restart_and_reserve(worker_id, command):
            if not restarts:
                restarts.append(worker_id)
                shared.by_id[worker_id].lose()
            return await reserve(worker_id, command)

        shared.reserve = restart_and_reserve
        job_id = await self.cluster.submit(run_s=5.0)
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(["w1"], restarts)
        self.assertEqual(1, self.refreshes)
        self.assertEqual(1, len(self.cluster.runs(job_id)))

    async def test_job_runs_again_at_once_at_the_same_address(self):
        job_id = await self.cluster.submit(run_s=60.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.cluster.workers.by_id["w1"].lose()
        restarted = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 2, 3
        )
        self.assertTrue(restarted)

    async def test_start_on_an_older_process_reads_nothing(self):
        job_id = await self.cluster.submit(run_s=5.0)
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(0, self.refreshes)

    async def test_start_waits_while_the_log_may_hold_a_claim(self):
        """The read does not show that nobody else has claimed."""
        self.cluster.workers.by_id["w1"].lose()
        freshness = self.cluster.owner.freshness
        complete = freshness.is_complete_as_of
        freshness.is_complete_as_of = lambda at, limit: False
        job_id = await self.cluster.submit(run_s=5.0)
        await self.cluster.advance(3)
        self.assertEqual([], self.cluster.runs(job_id))
        freshness.is_complete_as_of = complete
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertIs(models.Phase.COMPLETED, self.cluster.job(job_id).phase)


class NamelessWorkerTest(harness.ClusterCase):
    """Run jobs on workers of an older version."""

    async def test_jobs_run_and_run_again_after_a_loss(self):
        cluster = self.cluster
        cluster.workers = NamelessWorkers(cluster.clock)
        for worker_id in cluster.worker_ids:
            cluster.workers.add(worker_id)
        await cluster.ready()
        job_id = await cluster.submit(run_s=5.0)
        await cluster.reach(job_id, models.Phase.RUNNING)
        [run] = cluster.runs(job_id)
        cluster.workers.by_id[run.worker_id].lose()
        await cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(2, len(cluster.runs(job_id)))
        self.assertIs(models.Phase.COMPLETED, cluster.job(job_id).phase)
