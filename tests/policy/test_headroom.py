"""Units that batch work leaves idle serve urgent jobs at once."""

import datetime
import unittest

from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import registry
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
ACCOUNTS = {
    "a": base.AccountView("a", 1.0, (), {"x": 1.0, "y": 1.0}),
    "b": base.AccountView("b", 1.0, (), {"x": 1.0}),
}
UNITS = 8


def make_spec(urgency: documents.Urgency, members: int) -> documents.JobSpec:
    """Return a gang of members with a whole worker each."""
    return documents.JobSpec(
        "k", members, UNITS, 1, 1, documents.Adjacency.REGION, urgency
    )


def make_job(
    job_id: str, caller: str, urgency: documents.Urgency, members: int = 1
) -> base.WaitingJob:
    """Return a job of the first account that has just arrived."""
    spec = make_spec(urgency, members)
    return base.WaitingJob(job_id, "a", caller, spec, NOW, int(job_id))


class ReservedHeadroomTest(unittest.TestCase):
    """The first account has used more than its share of six workers."""

    def decide(self, idle: int, *waiting: base.WaitingJob) -> list[str]:
        """Return the jobs started while a number of workers is idle."""
        workers = tuple(
            base.WorkerView(f"w{number}", "d", "r", UNITS, 64, 128)
            for number in range(6)
        )
        spec = make_spec(documents.Urgency.URGENT, 1)
        running = tuple(
            base.RunningGang(
                f"running-{worker.worker_id}",
                "a",
                "y",
                spec,
                (
                    records.Placement(
                        worker.worker_id, messages.Cell(0, UNITS)
                    ),
                ),
                NOW - datetime.timedelta(seconds=30),
            )
            for worker in workers[idle:]
        )
        policy = registry.by_name()[registry.CURRENT]
        view = base.View(NOW, workers, ACCOUNTS, waiting, running)
        return [start.job_id for start in policy.decide(view).starts]

    def test_batch_gang_that_must_leave_the_headroom_does_not_reserve_it(self):
        """Nothing would start there: neither the gang nor urgent work."""
        batch = make_job("1", "x", documents.Urgency.BATCH)
        urgent = make_job("2", "y", documents.Urgency.URGENT)
        self.assertEqual(self.decide(1, batch), [])
        self.assertEqual(self.decide(1, batch, urgent), ["2"])

    def test_gang_that_waits_for_cells_still_reserves(self):
        """Idle cells are kept for a gang that lacks others."""
        batch = make_job("1", "x", documents.Urgency.BATCH, members=2)
        later = make_job("2", "y", documents.Urgency.NORMAL)
        self.assertEqual(self.decide(1, later), ["2"])
        self.assertEqual(self.decide(1, batch, later), [])


if __name__ == "__main__":
    unittest.main()
