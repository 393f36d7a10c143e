"""Test the choice of addresses on loopback."""

import unittest
from unittest import mock

from cardamomcroft.standin import cluster
from cardamomcroft.standin import loopback

FEW_PORTS = (11_000, 11_016)


class AddressesTest(unittest.TestCase):
    """Choose addresses before any of them is bound."""

    def setUp(self):
        """Leave few ports to choose from."""
        patch = mock.patch.object(loopback, "PORT_RANGE", FEW_PORTS)
        patch.start()
        self.addCleanup(patch.stop)
        chosen = mock.patch.object(loopback, "_chosen_ports", set())
        chosen.start()
        self.addCleanup(chosen.stop)

    def test_no_address_is_chosen_twice(self):
        """Addresses chosen at different times differ."""
        chosen = [*loopback.free_addresses(6), *loopback.free_addresses(6)]
        self.assertEqual(len(set(chosen)), 12)

    def test_addresses_of_instances_differ(self):
        """No two servers of a cluster get the same port."""
        addresses = []
        for name in ("a", "b", "c"):
            settings = cluster.make_settings(name, "store:1")
            addresses += [
                settings.ingress_address,
                settings.ready_address,
                settings.metrics_address,
                settings.peer_address,
            ]
        self.assertEqual(len(set(addresses)), 12)

    def test_ports_that_run_out_are_an_error(self):
        """A call does not search forever."""
        with self.assertRaises(RuntimeError):
            loopback.free_addresses(17)
