"""The settings that trials of each size give to their instances."""

import pathlib
import tempfile
import types
import unittest

from cardamomcroft.platform import settings as platform_settings
from soak import instances
from soak import main


class SizesTest(unittest.TestCase):
    """Planning ahead has to be played too."""

    def plans_ahead(self, size: str) -> bool:
        """Return whether instances of a size plan ahead."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        instances.Instance(
            "entry-0",
            "127.0.0.1",
            types.SimpleNamespace(address="127.0.0.1:1"),
            folder,
            main.SIZES[size].stop_timeout_ms,
        )
        settings = platform_settings.load(str(folder / "entry-0.yaml"))
        return settings.plans_ahead()

    def test_one_size_plans_ahead(self):
        """Without it no trial would play the parts that anticipate load."""
        self.assertEqual(
            {size for size in main.SIZES if self.plans_ahead(size)},
            {"slow-stops"},
        )

    def test_stops_stay_within_their_bound(self):
        """Slower stops would be faults of the stand-in."""
        bound = main.SIZES["slow-stops"].stop_timeout_ms
        self.assertLessEqual(main.SLOW_STOP, bound * main._MS)
