"""Test that results count which arrive after their attempt was settled."""

import types

from cardamomcroft.jobs import launcher
from cardamomcroft.log import records
from cardamomcroft.settings import instance
from cardamomcroft.state import models
from tests import harness
from tests.jobs import test_silent_worker as silent

ANSWER_S = 0.6  # over the slow link, well within the time-out of a call
HOLD_MARGIN_S = 0.2
ROUNDS_S = 0.5  # two rounds of the scheduler

GANG = types.MappingProxyType({"members": 2, "accelerators": 8})


class FormerAttemptCase(harness.ClusterCase):
    """Give each test jobs that end on workers that are cut off."""

    async def ready(self, instance_count: int = 1, worker_count: int = 1):
        """Start a cluster of the given size."""
        self.cluster = harness.FakeCluster(
            instance_count, worker_count=worker_count
        )
        await self.cluster.ready()

    async def run_cut_off(self, **spec) -> str:
        """Let a job run whose workers are cut off at once."""
        job_id = await self.cluster.submit(run_s=5.0, **spec)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        for run in self.cluster.runs(job_id):
            self.cluster.workers.by_id[run.worker_id].cut(True)
        return job_id

    async def settle_cut_off(self, **spec) -> str:
        """Let a job end while cut off, until its attempt is settled."""
        job_id = await self.run_cut_off(**spec)
        await self.cluster.reach(job_id, models.Phase.ENDING)
        await self.cluster.reach(job_id, models.Phase.QUEUED)
        return job_id

    def reconnect(self) -> None:
        """Make every worker reachable."""
        for worker in self.cluster.workers.by_id.values():
            worker.cut(False)

    async def assert_counts(self, job_id: str, members: int = 1) -> None:
        """Fail unless the job completes without a further run."""
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assert_injected("worker_unreachable")
        self.assertEqual(
            models.Phase.COMPLETED, self.cluster.job(job_id).phase
        )
        self.assertEqual(members, len(self.cluster.runs(job_id)))


class ReturnTest(FormerAttemptCase):
    """Workers are back before the next attempt begins."""

    async def test_result_counts_although_another_worker_is_free(self):
        await self.ready(worker_count=2)
        job_id = await self.settle_cut_off()
        self.reconnect()
        await self.assert_counts(job_id)

    async def test_results_of_many_workers_that_are_back_at_once_count(self):
        await self.ready(worker_count=12)
        jobs = [
            await self.cluster.submit(accelerators=8, run_s=5.0)
            for _ in range(12)
        ]
        await self.cluster.until(lambda: all(map(self.cluster.runs, jobs)))
        for worker in self.cluster.workers.by_id.values():
            worker.cut(True)
        for phase in (models.Phase.ENDING, models.Phase.QUEUED):
            for job_id in jobs:
                await self.cluster.reach(job_id, phase)
        self.reconnect()
        for job_id in jobs:
            await self.assert_counts(job_id)

    async def test_result_of_a_job_without_room_counts_at_once(self):
        await self.ready()
        job_id = await self.settle_cut_off()
        worker = self.cluster.workers.by_id["w1"]
        worker.faults.refused["reserve"] = 1000
        self.reconnect()
        period_s = self.cluster.timing.renew_period_s
        counted = await self.cluster.reach(
            job_id, models.Phase.COMPLETED, period_s + ROUNDS_S
        )
        self.assert_injected("worker_unreachable")
        self.assertTrue(counted)

    async def test_result_counts_after_a_start_that_failed(self):
        await self.ready(worker_count=2)
        job_id = await self.settle_cut_off()
        spare = next(
            worker
            for worker in self.cluster.workers.by_id.values()
            if not worker.runs
        )
        spare.faults.refused["start"] = 1
        settled = self.cluster.job(job_id).attempt
        await self.cluster.until(
            lambda: self.cluster.job(job_id).attempt > settled
        )
        self.assert_injected("start_refused")
        spare.faults.refused["reserve"] = 1000
        await self.cluster.advance(2 * self.cluster.timing.renew_period_s)
        self.reconnect()
        await self.assert_counts(job_id)

    async def test_attempt_limit_is_not_reached_by_a_finished_run(self):
        await self.ready()
        job_id = await self.settle_cut_off(max_attempts=1)
        self.reconnect()
        await self.assert_counts(job_id)
        self.assertEqual(0, self.cluster.job(job_id).failures)

    async def test_result_of_a_failed_run_counts_as_none(self):
        await self.ready()
        job_id = await self.run_cut_off()
        worker = self.cluster.workers.by_id["w1"]
        worker.faults.fails_tasks = True
        await self.cluster.reach(job_id, models.Phase.ENDING)
        await self.cluster.reach(job_id, models.Phase.QUEUED)
        worker.refresh()
        worker.faults.fails_tasks = False
        self.reconnect()
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(
            [False, True], [run.finished for run in self.cluster.runs(job_id)]
        )

    async def test_unknown_time_of_the_end_is_no_estimate(self):
        await self.ready()
        job_id = await self.settle_cut_off()
        history = self.cluster.owner.scheduler._dependencies.history
        self.reconnect()
        before = history.estimates
        await self.assert_counts(job_id)
        self.assertEqual(before, history.estimates)

    async def test_cancelled_job_stays_cancelled(self):
        await self.ready()
        job_id = await self.settle_cut_off()
        await self.cluster.confirm(records.JobCancelled(job_id, "tester"))
        self.reconnect()
        await self.cluster.reach(job_id, models.Phase.CANCELLED)
        await self.cluster.advance(10)
        self.assert_injected("worker_unreachable")
        job = self.cluster.job(job_id)
        self.assertEqual(models.Phase.CANCELLED, job.phase)
        self.assertEqual(1, len(self.cluster.runs(job_id)))


class GangReturnTest(FormerAttemptCase):
    """A gang ends on two workers that are cut off."""

    async def test_gang_with_one_result_is_run_again(self):
        await self.ready(worker_count=4)
        job_id = await self.settle_cut_off(**GANG)
        away, back = self.cluster.runs(job_id)
        self.cluster.workers.by_id[back.worker_id].cut(False)
        started = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 4,
            launcher.RETRY_DELAY.total_seconds() + ROUNDS_S,
        )
        self.assert_injected("worker_unreachable")
        self.assertTrue(started)
        self.cluster.workers.by_id[away.worker_id].cut(False)
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        finished = [run.finished for run in self.cluster.runs(job_id)]
        self.assertEqual([True] * 4, finished)

    async def test_gang_whose_workers_are_back_in_turn_counts(self):
        await self.ready(worker_count=2)
        job_id = await self.settle_cut_off(**GANG)
        period_s = self.cluster.timing.renew_period_s
        for worker in self.cluster.workers.by_id.values():
            worker.cut(False)
            await self.cluster.advance(period_s + ROUNDS_S)
            worker.cut(True)
        await self.assert_counts(job_id, 2)

    async def test_member_that_finished_in_touch_counts_for_its_gang(self):
        await self.ready(worker_count=2)
        job_id = await self.cluster.submit(run_s=5.0, **GANG)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.cluster.workers.by_id["w1"].cut(True)
        await self.cluster.reach(job_id, models.Phase.ENDING)
        self.assertEqual(1, len(self.cluster.job(job_id).finished))
        await self.cluster.reach(job_id, models.Phase.QUEUED)
        self.reconnect()
        await self.assert_counts(job_id, 2)


class TakeoverReturnTest(FormerAttemptCase):
    """The owner that settled the attempt is gone when the worker is back."""

    async def test_successor_counts_the_result(self):
        await self.ready(instance_count=2)
        job_id = await self.settle_cut_off()
        owner = self.cluster.owner.settings.instance_id
        await self.cluster.kill(owner)
        self.reconnect()
        await self.assert_counts(job_id)
        self.assertNotEqual(owner, self.cluster.owner.settings.instance_id)

    async def test_owner_that_loaded_a_snapshot_counts_the_result(self):
        self.cluster = harness.FakeCluster(
            1,
            worker_count=1,
            timing=instance.Timing(snapshot_every_records=20),
        )
        await self.cluster.ready()
        job_id = await self.settle_cut_off()
        settled_at = self.cluster.log.end
        edits = 0
        while self.cluster.node().replica.state.snapshot_as_of < settled_at:
            await self.cluster.declare(
                {
                    f"teams/shops/accounts/a{edits}": (
                        harness.account_document()
                    )
                }
            )
            edits += 1
        self.cluster.log.retention = self.cluster.log.end - settled_at
        self.cluster.log._expire()
        await self.cluster.kill("entry-1")
        await self.cluster.start_node("entry-1")
        self.reconnect()
        await self.cluster.until(
            lambda: job_id in self.cluster.node().replica.state.jobs
        )
        self.assertGreater(self.cluster.log.first, settled_at - 1)
        await self.assert_counts(job_id)


class SlowWorkers(silent.SilentWorkers):
    """Workers whose answers to some operations take long on the way."""

    def __init__(self, clock, timeout) -> None:
        """Delay answers to stops."""
        super().__init__(clock, timeout)
        self.delays = {"stop": ANSWER_S}

    async def _call(self, worker_id: str, operation: str, command):
        result = await super()._call(worker_id, operation, command)
        if operation in self.delays and result.is_ok():
            self.injected[f"slow_{operation}"] += 1
            delay = harness.seconds(self.delays[operation])
            await self._clock.sleep(delay)
        return result


class SlowReturnTest(FormerAttemptCase):
    """A worker that is back answers slowly, or not at all."""

    async def asyncSetUp(self) -> None:
        """Start two workers behind a slow link."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(1, worker_count=2)
        self.cluster.workers = SlowWorkers(
            self.cluster.clock, self.cluster.timing.duration("call_timeout")
        )
        for worker_id in self.cluster.worker_ids:
            self.cluster.workers.add(worker_id)
        await self.cluster.ready()

    async def test_result_counts_over_a_slow_link(self):
        job_id = await self.settle_cut_off()
        self.reconnect()
        await self.assert_counts(job_id)
        self.assert_injected("slow_stop")

    async def test_result_heard_during_a_launch_counts(self):
        job_id = await self.settle_cut_off()
        self.cluster.workers.delays = {
            "reserve": self.cluster.timing.ordered_hold_s - HOLD_MARGIN_S
        }
        await self.cluster.until(
            lambda: self.cluster.injected()["slow_reserve"]
        )
        self.reconnect()
        await self.assert_counts(job_id)
        self.assert_injected("slow_reserve")

    async def test_each_launch_waits_for_a_silent_worker_for_one_call(self):
        """The first one is on the silent worker."""
        job_id = await self.cluster.submit(run_s=5.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        run = self.cluster.runs(job_id)[0]
        self.cluster.workers.by_id[run.worker_id].cut(True)
        self.cluster.workers.silent.add(run.worker_id)
        await self.cluster.reach(job_id, models.Phase.ENDING)
        await self.cluster.reach(job_id, models.Phase.QUEUED)
        retry_s = launcher.RETRY_DELAY.total_seconds()
        limit_s = 2 * self.cluster.timing.call_timeout_s + retry_s + ROUNDS_S
        started = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 2, limit_s
        )
        self.assert_injected("silent_stop")
        self.assertTrue(started)
        self.cluster.workers.silent.clear()
