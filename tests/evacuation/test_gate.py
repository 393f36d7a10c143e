"""The gate closes before an evacuation could be missed."""

import datetime
import unittest

from cardamomcroft.evacuation import gate as gates

MS = datetime.timedelta(milliseconds=1)


class GateTest(unittest.TestCase):
    """A gate with a bound of 5 s."""

    def setUp(self):
        """Create a gate with a view that has not been read."""
        self.age = None
        self.gate = gates.Gate(None, lambda: self.age, 5000 * MS)

    def test_view_that_was_never_read_closes(self):
        """A successor must not start anything before its first read."""
        self.assertFalse(self.gate.is_open)

    def test_view_must_be_younger_than_the_bound_less_the_sending_time(self):
        """A start sent at the last moment still arrives within the bound."""
        self.age = 3499 * MS
        self.assertTrue(self.gate.is_open)
        self.age = 3500 * MS
        self.assertFalse(self.gate.is_open)

    def test_without_a_bound_the_age_does_not_matter(self):
        """Deployments without evacuations must not wait for the view."""
        self.assertTrue(gates.Gate().is_open)
        self.assertTrue(gates.Gate(None, lambda: 60_000 * MS).is_open)
        self.assertFalse(gates.Gate().is_evacuated("east"))
