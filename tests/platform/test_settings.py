"""Check what the settings file decides about planning."""

import datetime
import pathlib
import tempfile
import unittest

import yaml

from cardamomcroft.platform import settings as platform_settings

_DOCUMENT = {
    "NodeName": "entry-1",
    "Zone": "dahab",
    "Ip": "127.0.0.1",
    "ListenAddrs": {"FrontendAddr": "127.0.0.1:1", "Ready": "127.0.0.1:2"},
    "InternalPorts": [7000, 7015],
    "platform": {"Address": "127.0.0.1:3"},
    "HeartbeatMs": 1500,
    "Bounds": {
        "ConfigApplyMs": 3000,
        "MaxHoldMs": 10000,
        "StopTimeoutMs": 200,
        "GraceS": 6,
        "DrainMs": 3000,
        "RemoteFactor": 3,
        "CheckpointS": 2,
        "RestoreMs": 250,
        "GangTimeoutMs": 4000,
        "status_s": 120,
    },
}


def decode(**bounds: object) -> platform_settings.Settings:
    """Return settings with these bounds changed."""
    data = _DOCUMENT | {"Bounds": _DOCUMENT["Bounds"] | bounds}
    return platform_settings.decode(data, "boot.yaml")


class PlanningTest(unittest.TestCase):
    """Deployments whose workers stop runs fast are served as before."""

    def test_fast_stops_are_planned_reactively(self):
        """Stops of up to 400 ms leave urgent work the time to preempt."""
        for bound_ms in (200, 400, 599):
            settings = decode(StopTimeoutMs=bound_ms)
            self.assertFalse(settings.plans_ahead())

    def test_slow_stops_are_planned_ahead(self):
        """A stop of 900 ms takes longer than urgent work can wait."""
        self.assertTrue(decode(StopTimeoutMs=900).plans_ahead())
        self.assertTrue(decode(StopTimeoutMs=600).plans_ahead("auto"))

    def test_mode_overrides_the_bound(self):
        """Operators can choose the mode whatever the bound."""
        self.assertTrue(decode(StopTimeoutMs=200).plans_ahead("ahead"))
        self.assertFalse(decode(StopTimeoutMs=900).plans_ahead("reactive"))

    def test_unknown_mode_is_an_error(self):
        """A misspelt mode must not select one silently."""
        with self.assertRaisesRegex(
            platform_settings.SettingsError, "'forward'"
        ):
            decode().plans_ahead("forward")


class EvacuationBoundTest(unittest.TestCase):
    """Not every deployment has evacuations."""

    def test_bound_is_optional(self):
        """Settings without the bound have no evacuations."""
        self.assertIsNone(decode().evacuation_bound)

    def test_bound_is_decoded(self):
        """The bound is in milliseconds."""
        settings = decode(EvacuateMs=5000)
        self.assertEqual(
            settings.evacuation_bound, datetime.timedelta(seconds=5)
        )

    def test_file_is_read(self):
        """The bound comes from the file that the platform writes."""
        path = (
            pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
            / "b.yaml"
        )
        data = _DOCUMENT | {
            "Bounds": _DOCUMENT["Bounds"] | {"EvacuateMs": 4000}
        }
        path.write_text(yaml.safe_dump(data))
        settings = platform_settings.load(str(path))
        self.assertEqual(
            settings.evacuation_bound, datetime.timedelta(seconds=4)
        )


class RunTimesTest(unittest.TestCase):
    """Run times are learned where planning is ahead, unless switched off."""

    def test_reactive_planning_learns_nothing(self):
        """Deployments whose workers stop runs fast are served as before."""
        for source in ("", "learned", "declared"):
            found = platform_settings.learns_run_times(False, source)
            self.assertFalse(found)

    def test_declared_times_can_be_chosen(self):
        """An operator may do without the records."""
        learns = platform_settings.learns_run_times
        self.assertTrue(learns(True))
        self.assertTrue(learns(True, "learned"))
        self.assertFalse(learns(True, "declared"))

    def test_unknown_source_is_refused(self):
        """A mistyped value must not choose one silently."""
        with self.assertRaises(platform_settings.SettingsError):
            platform_settings.learns_run_times(True, "Declared")
