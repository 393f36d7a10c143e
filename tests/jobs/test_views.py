"""What policies see of accounts whose declaration has changed."""

import datetime
import unittest

from cardamomcroft.jobs import views
from cardamomcroft.log import records
from cardamomcroft.policy import base
from cardamomcroft.policy import registry
from cardamomcroft.ports import messages
from cardamomcroft.settings import documents

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
UNITS = 8
SPEC = documents.JobSpec("k", 1, UNITS)


class AccountWithoutCallersTest(unittest.TestCase):
    """An account's last caller goes while a job of its waits."""

    def decide(
        self, accounts: dict[str, base.AccountView], workers: int = 1
    ) -> base.Decision:
        """Decide beside work of another account on the first worker."""
        policy = registry.by_name()[registry.CURRENT]
        cells = (records.Placement("w0", messages.Cell(0, UNITS)),)
        borrower = base.RunningGang("running", "t/b", "x", SPEC, cells, NOW)
        view = base.View(
            NOW,
            tuple(
                base.WorkerView(f"w{number}", "d", "r", UNITS, 64, 128)
                for number in range(workers)
            ),
            accounts,
            (base.WaitingJob("waiting", "t/a", "gone", SPEC, NOW, 1),),
            (borrower,),
        )
        return policy.decide(view)

    def test_job_reclaims_its_account_s_guarantee(self):
        """The guarantee is the account's, not that of who called."""
        document = documents.Account(
            "region", (documents.Guarantee(UNITS, 1),)
        )
        account = views.account_view("t/a", document, NOW)
        stops = self.decide({"t/a": account}).stops
        self.assertEqual([stop.job_id for stop in stops], ["running"])

    def test_job_of_a_removed_account_runs_on_idle_cells(self):
        """It has no guarantee any more, but it is not lost."""
        self.assertEqual(self.decide({}).stops, ())
        (start,) = self.decide({}, workers=2).starts
        self.assertEqual(start.job_id, "waiting")
