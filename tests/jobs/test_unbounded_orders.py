"""Test that what a successor cannot see has ended before it acts."""

import datetime
import unittest

import structlog.testing

from cardamomcroft.jobs import takeover as takeovers
from cardamomcroft.log import records
from cardamomcroft.ports import clock as clocks
from cardamomcroft.ports import messages
from cardamomcroft.settings import instance
from cardamomcroft.settings import parsing
from cardamomcroft.standin import workers
from cardamomcroft.state import models
from tests import harness

LATE = datetime.timedelta(seconds=3)  # orders may be carried out seconds late
FORMER_EPOCH, EPOCH = 1, 2
TICK = datetime.timedelta(milliseconds=20)


class LateRenewalTest(unittest.IsolatedAsyncioTestCase):
    """The last renewal of a former owner is carried out late."""

    async def test_takeover_waits_for_the_lease_that_it_renews(self):
        self.enterContext(structlog.testing.capture_logs())
        clock = clocks.FakeClock()
        timing = instance.Timing()
        standin = workers.StandinWorkers(clock)
        standin.add("w1")
        takeover = takeovers.Takeover(EPOCH, standin, clock, timing)
        task = messages.TaskId("job-1", 1, 0)
        await clock.advance(timing.duration("self_lease"))
        await standin.reserve(
            "w1",
            messages.Reserve(
                task, FORMER_EPOCH, messages.Cell(0, 4), timing.hold_s
            ),
        )
        await standin.start(
            "w1",
            messages.Start(task, FORMER_EPOCH, timing.lease_s, "", 600.0),
        )
        # Sent now, with the start record not confirmed yet.
        renewal = messages.Renew(FORMER_EPOCH, timing.lease_s, (task,))
        await clock.advance(LATE)
        renewed = await standin.renew("w1", renewal)
        self.assertTrue(renewed.is_ok())
        worker = standin.by_id["w1"]
        worker.cut(True)
        while not takeover.is_settled:
            await takeover.step(("w1",))
            await clock.advance(TICK)
        worker.refresh()
        self.assertGreater(standin.injected["worker_unreachable"], 0)
        self.assertIsNotNone(worker.runs[0].ended_at)


class MovedWorkerTest(harness.ClusterCase):
    """A new process has a worker's id; the former one runs on elsewhere."""

    async def test_tasks_of_the_former_process_are_not_run_twice(self):
        await self.cluster.ready()
        job_id = await self.cluster.submit(run_s=90.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        victim = self.cluster.job(job_id).placements[0].worker_id
        by_id = self.cluster.workers.by_id
        by_id["former"] = by_id[victim]
        self.cluster.workers.add(victim)
        started = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 2
        )
        self.assertTrue(started)
        self.assertEqual({}, self.cluster.violations())


class UnrecordedGangCase(harness.ClusterCase):
    """Give each test a gang that ran before its owner could record it."""

    async def lose_owner_with_its_start_record(self, **spec) -> str:
        """Kill the owner of a job that the log shows as queued."""
        cluster, owner = self.cluster, self.cluster.owner
        for worker in cluster.workers.by_id.values():
            worker.faults.refused["reserve"] = 1000
        job_id = await cluster.submit(run_s=60.0, **spec)
        cluster.log.down = True
        for worker in cluster.workers.by_id.values():
            worker.faults.refused["reserve"] = 0
        await cluster.until(lambda: cluster.runs(job_id))
        await cluster.advance(2.5)
        cluster.log.down = False
        owner.appender._entries.clear()
        await cluster.kill(owner.settings.instance_id)
        await cluster.until(lambda: cluster.node().replica.reachable, 5)
        return job_id


class MovedWorkerTakeoverTest(UnrecordedGangCase):
    """A worker's new process answers a takeover; the former one runs on."""

    async def test_unrecorded_gang_there_is_not_run_twice(self):
        """The log shows another gang of the former process."""
        self.cluster = harness.FakeCluster(worker_count=1)
        await self.cluster.ready()
        recorded = await self.cluster.submit(accelerators=4, run_s=90.0)
        await self.cluster.reach(recorded, models.Phase.RUNNING)
        job_id = await self.lose_owner_with_its_start_record(accelerators=4)
        victim = self.cluster.runs(job_id)[0].worker_id
        by_id = self.cluster.workers.by_id
        by_id["former"] = by_id[victim]
        self.cluster.workers.add(victim)
        started = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 2
        )
        self.assert_injected("log_down")
        self.assertTrue(started)
        self.assertEqual({}, self.cluster.violations())


class WithdrawnWorkerTest(UnrecordedGangCase):
    """A worker leaves the settings just before a takeover."""

    async def test_its_unrecorded_gang_is_not_run_twice(self):
        await self.cluster.ready()
        job_id = await self.lose_owner_with_its_start_record()
        victim = self.cluster.runs(job_id)[0].worker_id
        others = [name for name in self.cluster.worker_ids if name != victim]
        path = "fleet/dahab"
        settings = self.cluster.node().replica.state.settings
        content = parsing.to_json(harness.fleet_document(others))
        edit = records.Edit(path, settings[path].revision, content)
        result = await self.cluster.confirm(
            records.SettingsChanged("root", (edit,))
        )
        self.assertTrue(result.ok.accepted)
        await self.cluster.until(lambda: len(self.cluster.runs(job_id)) == 2)
        self.assert_injected("log_down")
        self.assertEqual({}, self.cluster.violations())


class ReturningWorkerTest(harness.ClusterCase):
    """A worker is back with a result after its leases must have expired."""

    async def asyncSetUp(self) -> None:
        """Start one instance and one worker."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(1, worker_count=1)
        await self.cluster.ready()

    async def test_result_listed_before_the_next_attempt_counts(self):
        job_id = await self.cluster.submit(run_s=5.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        worker = self.cluster.workers.by_id["w1"]
        worker.cut(True)
        await self.cluster.reach(job_id, models.Phase.ENDING)
        await self.cluster.reach(job_id, models.Phase.QUEUED)
        worker.cut(False)
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assert_injected("worker_unreachable")
        self.assertEqual({}, self.cluster.violations())
