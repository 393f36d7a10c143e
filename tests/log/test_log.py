"""Test appends, gaps and snapshots with a failing log."""

from cardamomcroft.log import records
from cardamomcroft.ports import verdict
from cardamomcroft.state import models
from tests import harness


class AppendTest(harness.ClusterCase):
    """Refuse, lose and delay appends."""

    async def test_refused_connection_is_not_run(self):
        await self.cluster.ready()
        self.cluster.log.down = True
        await self.cluster.advance(5)
        body = self.cluster.submission()
        result = await self.cluster.confirm(body)
        self.assertIs(verdict.Verdict.NOT_RUN, result.error.verdict)
        self.assertIsNotNone(result.error.retry_after)
        self.cluster.log.down = False
        await self.cluster.advance(30)
        self.assertNotIn(body.job_id, self.cluster.node().replica.state.jobs)
        self.assert_injected("log_down")

    async def test_unknown_append_is_voided_or_seen(self):
        await self.cluster.ready()
        self.cluster.log.lost_requests = 1000
        body = self.cluster.submission()
        result = await self.cluster.confirm(body)
        self.assertIs(verdict.Verdict.MAY_HAVE_RUN, result.error.verdict)
        self.cluster.log.lost_requests = 0
        await self.cluster.advance(10)
        self.assertNotIn(body.job_id, self.cluster.node().replica.state.jobs)
        self.assert_injected("append_lost")

    async def test_slow_log_keeps_order_and_loses_nothing(self):
        await self.cluster.ready()
        self.cluster.log.delay = harness.seconds(1.0)
        jobs = [await self.cluster.submit(run_s=1.0) for _ in range(5)]
        for job_id in jobs:
            await self.cluster.until(
                lambda job_id=job_id: (
                    self.cluster.job(job_id).phase is models.Phase.COMPLETED
                )
            )
            self.assertEqual(1, self.cluster.job(job_id).starts)
        self.assert_injected("log_slow")


class SnapshotTest(harness.ClusterCase):
    """Start instances that cannot read the log from its beginning."""

    async def asyncSetUp(self) -> None:
        """Take frequent snapshots and shorten the log's retention."""
        await super().asyncSetUp()
        timing = self.cluster.timing
        self.cluster.timing = type(timing)(snapshot_every_records=20)
        self.cluster.log.retention = 60

    async def test_new_instance_starts_from_snapshot_in_log(self):
        await self.cluster.ready()
        jobs = [await self.cluster.submit(run_s=1.0) for _ in range(40)]
        await self.cluster.advance(30)
        self.assertGreater(self.cluster.log.first, 0)
        await self.cluster.stop()
        node = await self.cluster.start_node("entry-3")
        await self.cluster.until(lambda: node.lifecycle.state == "serving")
        state = node.replica.state
        self.assertEqual(set(jobs), set(state.jobs))
        self.assertIn("teams/shops/accounts/north", state.settings)

    async def test_new_instance_starts_from_peer_in_outage(self):
        self.cluster.ids.append("entry-4")
        await self.cluster.start(["entry-1", "entry-2", "entry-3"])
        await self.cluster.advance(3)
        await self.cluster.declare(
            {
                "teams/shops/accounts/north": harness.account_document(),
            }
        )
        self.cluster.log.down = True
        await self.cluster.advance(5)
        began = self.cluster.clock.monotonic()
        node = await self.cluster.start_node("entry-4")
        await self.cluster.until(lambda: node.lifecycle.state == "serving")
        took = self.cluster.clock.monotonic() - began
        self.assertIn(
            "teams/shops/accounts/north", node.replica.state.settings
        )
        self.assertLessEqual(took, harness.seconds(19))
        self.assert_injected("log_down")

    async def test_instance_that_lost_the_log_alone_is_relayed(self):
        await self.cluster.ready()
        node = self.cluster.node("entry-2")
        dead = type(self.cluster.log)(self.cluster.clock)
        dead.down = True
        node.replica._log = dead
        await self.cluster.advance(4)
        body = records.SettingsChanged(
            "root",
            (records.Edit("teams/x/operators", -1, '{"operators":{}}'),),
        )
        await self.cluster.confirm(body, "entry-1")
        await self.cluster.until(
            lambda: "teams/x/operators" in node.replica.state.settings, 19
        )
        self.assertIn("teams/x/operators", node.replica.state.settings)
        self.assertGreater(dead.injected["log_down"], 0)
