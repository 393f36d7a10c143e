"""Check that shares and forecasts leave evacuated data centres out."""

import unittest

from cardamomcroft.scheduling import models
from cardamomcroft.sharing import backlogs
from cardamomcroft.sharing import fair_shares
from tests.scheduling import harness
from tests.scheduling import test_planning


class EvacuatedTest(unittest.TestCase):
    """Half of the workers are in an evacuated data centre."""

    def setUp(self):
        """Create two workers, one of them evacuated."""
        make = test_planning.make_worker
        self.workers = [make("w1"), make("w2")]
        self.workers[1].is_evacuated = True

    def test_shares_count_no_evacuated_capacity(self):
        """Shares of twice the capacity would all look small."""
        shares = fair_shares.FairShares()
        shares.refresh([], self.workers, {}, harness.seconds(0))
        listing = self.workers[0].listing
        self.assertEqual(
            shares.totals_by_service,
            {
                listing.service: models.Demand(
                    listing.milli_cores,
                    listing.memory_mb,
                    listing.accelerators,
                )
            },
        )

    def test_forecast_counts_no_evacuated_capacity(self):
        """A forecast would count room that no start may use."""
        listing = self.workers[0].listing
        total = models.Demand(
            listing.milli_cores, listing.memory_mb, listing.accelerators
        )
        room = backlogs.Room(self.workers, total)
        self.assertEqual(room.free, (1.0, 1.0, 1.0))

    def test_service_that_is_evacuated_whole_has_no_capacity(self):
        """Its runs go on, and their shares must not stop the rounds."""
        self.workers[0].is_evacuated = True
        shares = fair_shares.FairShares()
        shares.refresh([], self.workers, {}, harness.seconds(0))
        service = self.workers[0].listing.service
        self.assertEqual(shares.totals_by_service[service], models.Demand())
