"""Test what a renewer concludes from a copy that lacks the newest records."""

from cardamomcroft.membership import members
from cardamomcroft.ports import messages
from cardamomcroft.standin import log
from cardamomcroft.standin import workers
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
        """Start two instances; the one that isn't the owner renews w1."""
        await super().asyncSetUp()
        self.cluster = harness.FakeCluster(2, worker_count=1)
        await self.cluster.ready()
        self.owner = self.cluster.owner
        [self.other] = [
            node
            for node in self.cluster.nodes.values()
            if node is not self.owner
        ]
        self.worker = self.cluster.workers.by_id["w1"]
        self.assertEqual(
            self.other.settings.instance_id,
            members.rank("w1", tuple(self.cluster.ids))[0],
        )

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
            accelerators=2,
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
        worker = self.worker
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

    async def _end_member_unseen(self) -> tuple[str, InstanceLog]:
        """End a member while the owner lacks the log; then start a gang."""
        gang = {"members": 2, "accelerators": 2, "run_s": 60.0}
        job_id = await self.cluster.submit(**gang)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.worker.faults.refused["reserve"] = 1000
        waiting = await self.cluster.submit(**gang)
        link = await self.lose_log(self.owner)
        first = self.cluster.job(job_id).task(0)
        tasks = self.worker._tasks
        tasks[first].ends_at = self.cluster.clock.monotonic()
        await self.cluster.until(lambda: first not in tasks)
        self.assertIn(0, self.cluster.job(job_id).finished)
        self.assertNotIn(0, self.owner.replica.state.jobs[job_id].finished)
        self.worker.faults.refused["reserve"] = 0
        await self.cluster.until(lambda: self.cluster.runs(waiting))
        return job_id, link

    async def test_member_that_partial_copy_misses_ends_no_gang(self):
        job_id, link = await self._end_member_unseen()
        await self.cluster.advance(10)
        link.down = False
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        job = self.cluster.job(job_id)
        self.assertEqual((models.Phase.COMPLETED, 1), (job.phase, job.starts))
        self.assertEqual(2, len(self.cluster.runs(job_id)))

    async def test_worker_that_partial_copy_cannot_reach_ends_no_gang(self):
        job_id, link = await self._end_member_unseen()
        reachable = self.owner.renewer._workers
        unreachable = workers.StandinWorkers(self.cluster.clock)
        self.owner.renewer._workers = unreachable
        await self.cluster.advance(20)
        self.assertGreater(unreachable.injected["worker_unreachable"], 6)
        self.owner.renewer._workers = reachable
        link.down = False
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        self.assertEqual(1, self.cluster.job(job_id).starts)

    async def test_member_lost_in_outage_of_all_is_noticed_in_outage(self):
        job_id = await self.cluster.submit(members=2, run_s=30.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.cluster.log.down = True
        await self.cluster.advance(4)
        self.worker.lose()
        settled = await self.cluster.until(
            lambda: (
                self.owner.overlay.state().jobs[job_id].phase
                is models.Phase.QUEUED
            ),
            10,
        )
        self.assertTrue(settled)
        self.assert_injected("log_down")
        self.cluster.log.down = False
        await self.cluster.reach(job_id, models.Phase.COMPLETED)
        self.assertEqual(2, self.cluster.job(job_id).starts)

    async def test_lost_member_is_replaced_within_one_renewal_period(self):
        job_id = await self.cluster.submit(members=2, run_s=30.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        self.worker.lose()
        restarted = await self.cluster.until(
            lambda: len(self.cluster.runs(job_id)) == 4, 4
        )
        self.assertTrue(restarted)

    async def _miss_one_renewal(self) -> None:
        """Cut the owner's links until it fails to renew on w1 once."""
        renewer, network = self.owner.renewer, self.cluster.network
        reachable = renewer._workers
        renewer._workers = workers.StandinWorkers(self.cluster.clock)
        network.cut.add(frozenset(network.handlers))
        missed = await self.cluster.until(
            lambda: renewer._workers.injected["worker_unreachable"], 20
        )
        self.assertTrue(missed)
        renewer._workers = reachable
        network.cut.clear()
        await self.cluster.advance(0.5)

    async def test_renewals_missed_long_apart_end_no_gang(self):
        job_id = await self.cluster.submit(members=2, run_s=90.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        for _ in range(2):
            await self._miss_one_renewal()
            # Its peer has renewed all the time and does so on its own now.
            await self.cluster.advance(20)
        self.assert_injected("peer_link_cut")
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        self.assertEqual(1, self.cluster.job(job_id).starts)
        self.assertEqual(2, len(self.cluster.runs(job_id)))

    async def test_time_without_renewals_here_ends_no_gang(self):
        job_id = await self.cluster.submit(members=2, run_s=60.0)
        await self.cluster.reach(job_id, models.Phase.RUNNING)
        renewer, network = self.other.renewer, self.cluster.network
        reachable = renewer._workers
        cut_off = workers.StandinWorkers(self.cluster.clock)
        renewer._workers = cut_off
        network.cut.add(frozenset(network.handlers))
        link = await self.lose_log(self.other)
        # The owner renews on w1, as its peer counts as failed.
        await self.cluster.advance(20)
        self.assertFalse(self.other.freshness.is_fresh())
        missed = cut_off.injected["worker_unreachable"]
        self.assertGreater(missed, 0)
        link.down = False  # the links to the workers are back a little later
        network.cut.clear()
        missed_again = await self.cluster.until(
            lambda: cut_off.injected["worker_unreachable"] > missed, 20
        )
        self.assertTrue(missed_again)
        renewer._workers = reachable
        await self.cluster.reach(job_id, models.Phase.COMPLETED, 120)
        self.assertEqual(1, self.cluster.job(job_id).starts)
        self.assertEqual(2, len(self.cluster.runs(job_id)))
