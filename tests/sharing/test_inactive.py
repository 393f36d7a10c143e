"""Deployments whose workers stop runs quickly are served as before."""

import unittest
from unittest import mock

from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from cardamomcroft.scheduling import ledger as ledgers
from cardamomcroft.scheduling import queue_waits
from cardamomcroft.sharing import fair_shares
from cardamomcroft.sharing import refusals
from tests.scheduling import harness
from tests.sharing import account_load
from tests.sharing import test_shared_load

WIDE = harness.make_step(width=4, accelerators=8)


class InactiveTest(account_load.LoadTestCase):
    """The scheduler does not plan ahead."""

    parameters = harness.PARAMETERS

    async def asyncSetUp(self):
        """Fail on any use of shares or of forecasts by account."""
        for unused in (fair_shares.FairShares, refusals.AccountForecast):
            patch = mock.patch.object(
                unused, "__init__", autospec=True, side_effect=AssertionError
            )
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_flood_is_ordered_and_forecast_as_before(self):
        """Shares and entries of accounts must not appear anywhere."""
        expected: list[dict[str, int]] = []
        expected_waits = queue_waits.expected_waits

        def record(*arguments):
            expected.append(expected_waits(*arguments))
            return expected[-1]

        with mock.patch.object(queue_waits, "expected_waits", record):
            for tick in range(20):
                self.submit_as("a", WIDE)
                if tick % 4 == 0:
                    self.submit_as("b", test_shared_load.FLOOD_STEP)
                await self.pass_time(0.25)
            await self.pass_time(2)
        claims = [
            codec.decode_claim(record.value).wait_ms_by_queue
            for record in self.store.records_by_stream[store.Stream.JOBS]
            if record.key == ledgers.CLAIM_KEY
        ]
        self.assertTrue(any(claims))
        for waits in claims:
            self.assertIn(waits, [{}, *expected])
        self.assertEqual(self.scheduler.largest_share_ratios(), {})
        self.assertIs(type(self.scheduler._forecast), queue_waits.Forecast)

    async def test_jobs_start_by_deadline_alone(self):
        """The first of equal jobs starts first, whoever floods."""
        for number in range(12):
            self.submit_as("b" if number == 11 else "a", WIDE)
            await self.pass_time(0.1)
        await self.pass_time(1)
        begun = list(self.started_at())
        self.assertEqual(begun, list(self.submitted_at)[: len(begun)])


if __name__ == "__main__":
    unittest.main()
