"""Test what an instance serves to its peers."""

from cardamomcroft.state import snapshots
from tests import harness


class SnapshotTest(harness.ClusterCase):
    """Serve snapshots to peers that cannot read the log."""

    async def test_peers_that_try_again_do_not_wait_for_the_encoding(self):
        """Encoding takes longer than a time-out at the two-year size."""
        await self.cluster.ready()
        exchange = self.cluster.node().exchange
        first = exchange.snapshot()
        self.assertIs(first, exchange.snapshot())
        job_id = await self.cluster.submit(run_s=1.0)
        newer = snapshots.decode(exchange.snapshot())
        self.assertIn(job_id, newer.jobs)
