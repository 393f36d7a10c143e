"""Test what instances share of the work done in a log outage."""

from cardamomcroft.log import appender as appenders
from cardamomcroft.log import records
from cardamomcroft.ports import messages
from tests import harness

FACTS = 300  # more than a digest holds
ENDS = 8  # a worker's accelerators


def worker_lost(number: int) -> records.TasksEnded:
    """Return the end of a worker full of tasks of an unknown job."""
    return records.TasksEnded(
        f"other-worker-{number}",
        tuple(
            records.TaskEnd(
                messages.TaskId(f"{number:032x}", 1, member),
                records.EndKind.LOST,
                "worker unreachable",
            )
            for member in range(ENDS)
        ),
    )


class OutageTest(harness.ClusterCase):
    """Lose the log for all instances."""

    async def test_every_end_reaches_the_peers_and_stays_known(self):
        await self.cluster.ready()
        self.cluster.log.down = True
        await self.cluster.advance(5)
        self.assert_injected("log_down")
        sender = self.cluster.node("entry-1")
        for number in range(FACTS):
            sender.appender.submit(
                worker_lost(number), appenders.Priority.BOOKKEEPING
            )
        sent = {record.record_id for record in sender.overlay.pending()}
        self.assertEqual(FACTS, len(sent))
        await self.cluster.advance(30)
        receiver = self.cluster.node("entry-2")
        for _ in range(3):
            known = {record.record_id for record in receiver.overlay.pending()}
            self.assertEqual(0, len(sent - known))
            await self.cluster.advance(1)
        self.cluster.log.down = False
        await self.cluster.until(lambda: not receiver.overlay.pending())
        self.assertEqual((), receiver.overlay.pending())
