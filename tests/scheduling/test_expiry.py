"""Records of ended jobs are dropped, so the job stream stays bounded."""

from cardamomcroft.ports import store
from cardamomcroft.scheduling import ledger as ledgers
from tests.scheduling import harness

RETENTION_S = harness.PARAMETERS.retention.total_seconds()


class ExpiryTest(harness.SchedulingTestCase):
    """Two nodes with ended and running jobs."""

    async def asyncSetUp(self):
        """Start two nodes."""
        await super().asyncSetUp()
        self.add_workers(2)
        self.start_node("a")
        self.start_node("b")
        await self.wait_until(self.holder)

    def kept_keys(self) -> set[str]:
        """Return the jobs' keys that the store still has a value for."""
        newest = {}
        for record in self.store.records_by_stream[store.Stream.JOBS]:
            newest[record.key] = record.value
        return {key for key, value in newest.items() if value}

    async def test_ended_jobs_are_dropped_after_the_retention(self):
        """All records of an ended job go after the retention, not earlier."""
        completed = self.submit(harness.make_step())
        cancelled = self.submit(harness.make_step())
        await self.wait_until(lambda: self.fleet.running())
        self.cancel(cancelled)
        await self.wait_until(lambda: self.state(completed) == "completed")
        await self.pass_time(RETENTION_S - 3)
        self.assertEqual(self.state(completed), "completed")
        self.assertEqual(self.state(cancelled), "cancelled")
        await self.pass_time(5)
        for job_id in (completed, cancelled):
            self.assertIsNone(self.state(job_id))
            for kind in ledgers.Kind:
                self.assertNotIn(kind.key(job_id), self.kept_keys())

    async def test_successor_drops_what_it_inherits(self):
        """A successor drops inherited ended jobs and keeps running ones."""
        ended = self.submit(harness.make_step())
        await self.wait_until(lambda: self.state(ended) == "completed")
        self.kill(self.holder())
        await self.wait_until(self.holder)
        await self.pass_time(RETENTION_S - 1)
        lasting = self.submit(harness.make_step(is_lasting=True))
        await self.pass_time(4)
        self.assertIsNone(self.state(ended))
        self.assertEqual(self.state(lasting), "running")
