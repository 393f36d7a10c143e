"""Test decoding of the platform's messages, valid and invalid."""

import datetime
import json
import struct
import unittest

from cardamomcroft.platform import configuration
from cardamomcroft.platform import settings
from cardamomcroft.platform import store as platform_store
from cardamomcroft.platform import submissions
from cardamomcroft.platform import workers
from cardamomcroft.ports import fleet
from cardamomcroft.ports import store
from cardamomcroft.scheduling import codec
from tests.scheduling import harness

NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)


class StoreTest(unittest.TestCase):
    """Decode pages of length-prefixed records."""

    def test_pages_keep_offsets(self):
        """Records have consecutive offsets from the requested one."""
        entries = [store.Entry("a", b"1"), store.Entry("b", None)]
        body = struct.pack(">QQ", 12, 3)
        body += platform_store.encode_entries(entries)
        page = platform_store.decode_page(10, body)
        self.assertEqual(
            page.records,
            (store.Record(10, "a", b"1"), store.Record(11, "b", None)),
        )
        self.assertEqual(page.end_offset, 12)

    def test_partial_page_is_read_on(self):
        """A page shorter than the stream ends after its last record."""
        body = struct.pack(">QQ", 99, 0)
        body += platform_store.encode_entries([store.Entry("a", b"1")])
        page = platform_store.decode_page(10, body)
        self.assertEqual(page.end_offset, 11)
        self.assertTrue(page.has_more)

    def test_page_that_starts_later_is_expired(self):
        """Records deleted before the page are not skipped silently."""
        body = struct.pack(">QQ", 99, 11)
        body += platform_store.encode_entries([store.Entry("a", b"1")])
        failure = platform_store.decode_page(10, body)
        self.assertIs(failure.status, store.ReadStatus.EXPIRED)

    def test_truncated_page_is_refused(self):
        """No part of a page is taken for the whole, wherever it ends."""
        body = struct.pack(">QQ", 11, 0)
        body += platform_store.encode_entries([store.Entry("a", b"1")])
        for length in (len(body) - 1, 17, 15):
            with self.assertRaises(ValueError):
                platform_store.decode_page(10, body[:length])

    def test_empty_page_ends_at_the_stream(self):
        """A page without records ends at the end of the stream."""
        page = platform_store.decode_page(10, struct.pack(">QQ", 10, 0))
        self.assertEqual(page, store.Page((), 10))


def entry(**changes: object) -> store.Record:
    """Return the record of a worker's entry."""
    data = {
        "Service": "svc",
        "Address": "10.0.0.1:80",
        "Zone": "dahab",
        "State": "ready",
        "Capacity": {"Cpu": 64000, "MemMb": 131072, "Gpu": 8},
        "Labels": ["a", "r1-3"],
        "ClockMs": 5,
        "born": 7,
    }
    data |= changes
    return store.Record(0, "i-1", json.dumps(data).encode())


class WorkerTest(unittest.TestCase):
    """Decode workers' entries and inventories."""

    def test_entry(self):
        """An entry holds address, capacity and rack."""
        listing = workers.decode_listing(entry())
        self.assertEqual(listing.address, fleet.Address("i-1", "10.0.0.1:80"))
        self.assertEqual(listing.rack, "r1-3")
        self.assertEqual(listing.accelerators, 8)

    def test_version_is_optional(self):
        """An entry without a version, or with an odd one, is valid."""
        for changes, version in (
            ({"Version": "v2"}, "v2"),
            ({}, ""),
            ({"Version": None}, ""),
            ({"Version": 7}, ""),
        ):
            with self.subTest(changes=changes):
                listing = workers.decode_listing(entry(**changes))
                self.assertEqual(listing.version, version)

    def test_damaged_entries_name_no_worker(self):
        """An entry with a missing, mistyped or unknown field is rejected."""
        for changes in (
            {"State": "odd"},
            {"State": None},
            {"Capacity": 5},
            {"Capacity": {"Cpu": "x"}},
            {"Labels": "a"},
            {"Labels": [1]},
            {"Address": 5},
            {"born": 1.5},
            {"ClockMs": None},
        ):
            with self.subTest(changes=changes):
                damaged = entry(**changes)
                self.assertIsNone(workers.decode_listing(damaged))
        unborn = json.loads(entry().value)
        del unborn["born"]
        raw = store.Record(0, "i-1", json.dumps(unborn).encode())
        self.assertIsNone(workers.decode_listing(raw))
        raw = store.Record(0, "i-1", b"\xff\x00")
        self.assertIsNone(workers.decode_listing(raw))

    def test_inventory(self):
        """Both lists are decoded, with or without the fifth column."""
        inventory = workers.decode_inventory(
            {
                "ClockMs": 9,
                "born": 7,
                "Running": [["j.0.0.1", 2, "c", 41, 12]],
                "Finished": [[58, "j.0.0.2", 1, "alone", ""]],
            }
        )
        self.assertEqual(inventory.running[0].gauge, 12)
        end = inventory.finished[0].end
        self.assertIs(end, fleet.End.GANG_INCOMPLETE)
        self.assertTrue(inventory.is_complete)

    def test_inventory_with_a_full_page_of_ends_is_a_part(self):
        """The protocol lists 500 ends at a time."""
        ends = [[n, f"j.0.0.{n}", 1, "done", ""] for n in range(1, 501)]
        for count, is_complete in ((499, True), (500, False)):
            data = {"ClockMs": 9, "Running": [], "Finished": ends[:count]}
            inventory = workers.decode_inventory(data)
            self.assertIs(inventory.is_complete, is_complete)


class SubmissionTest(unittest.TestCase):
    """Decode clients' submissions."""

    def decode(self, data: object):
        """Decode a submission with the given body."""
        body = json.dumps(data).encode()
        queue = harness.make_queue()
        return submissions.decode("0" * 16, queue, "acc", body, NOW)

    def test_round_trip_through_the_record(self):
        """A job survives encoding to its record and decoding."""
        job = self.decode(
            {
                "Spec": "text",
                "Phases": [
                    {"Count": 4, "Cpu": 500, "Gang": True, "Gpu": 2},
                    {
                        "Count": 2,
                        "After": [0],
                        "EstimateMs": 900,
                        "TargetMs": 80,
                        "Affinity": "r1-3",
                        "Checkpointing": True,
                    },
                ],
                "RepeatCount": 3,
                "StartAtMs": 1_785_000_000_000,
                "IntervalMs": 2000,
            }
        )
        self.assertEqual(
            codec.decode_job("0" * 16, codec.encode_job(job)), job
        )

    def test_damaged_submissions_are_refused(self):
        """An invalid submission raises an error instead of being cut down."""
        for data in (
            [],
            {},
            {"Phases": []},
            {"Phases": [{"Count": "x"}]},
            {"Phases": [{"Count": 1, "Cpu": -1}]},
            {"Phases": [{"Count": 1, "After": [0]}]},
            {"Phases": [5]},
            {"Phases": [{"Count": 1}], "Spec": 5},
            {"Phases": [{"Count": 1}], "RepeatCount": 2},
        ):
            with (
                self.subTest(data=data),
                self.assertRaises(submissions.SubmissionError),
            ):
                self.decode(data)


class ConfigurationTest(unittest.TestCase):
    """Decode the operator's configuration."""

    def test_longest_prefix_wins(self):
        """Host and longest prefix select the route."""
        routes = [
            {"Name": n, "Host": "h", "PathPrefix": p, "Service": "s"}
            for n, p in (("short", "/a/"), ("long", "/a/b/"))
        ]
        value = json.dumps(
            {
                "Version": 3,
                "Routes": routes,
                "Tenants": [
                    {
                        "Name": "t",
                        "ApiKeys": ["k"],
                        "Guaranteed": {"Gpu": 56},
                    }
                ],
            }
        ).encode()
        config = configuration.decode(value)
        self.assertEqual(config.route("h", "/a/b/1").queue.name, "long")
        self.assertEqual(config.route("h", "/a/1").queue.name, "short")
        self.assertIsNone(config.route("other", "/a/1"))
        account = config.accounts_by_key["k"]
        self.assertEqual(account.guaranteed_accelerators, 56)

    def test_queues_that_share_a_name_are_not_told_apart(self):
        """Jobs of either keep the terms of their acceptance."""
        routes = [
            {"Name": n, "Host": "h", "PathPrefix": f"/{s}/", "Service": s}
            for n, s in (("one", "a"), ("two", "b"), ("two", "c"))
        ]
        value = json.dumps({"Version": 3, "Routes": routes}).encode()
        config = configuration.decode(value)
        self.assertEqual(list(config.queues_by_name), ["one"])
        self.assertEqual(config.queues_by_name["one"].service, "a")

    def test_account_exists_without_a_key(self):
        """Keys only say who calls."""
        tenants = [
            {"Name": "none", "Guaranteed": {"Gpu": 8}},
            {"Name": "empty", "ApiKeys": []},
            {"Name": "null", "ApiKeys": None},
            {"Name": "new", "ApiKeys": ["k"]},
        ]
        value = {"Version": 3, "Routes": [], "Tenants": tenants}
        config = configuration.decode(json.dumps(value).encode())
        self.assertEqual(
            list(config.accounts_by_name), ["none", "empty", "null", "new"]
        )
        account = config.accounts_by_name["none"]
        self.assertEqual(account.guaranteed_accelerators, 8)
        self.assertEqual(config.accounts_by_key["k"].name, "new")


class SettingsTest(unittest.TestCase):
    """Decode the settings file."""

    def test_missing_field_is_named(self):
        """The error names the file and the field."""
        with self.assertRaisesRegex(settings.SettingsError, "f: Bounds"):
            settings.decode({}, "f")

    def test_limits_are_those_of_the_process(self):
        """A process without limits has a core and no limit of memory."""
        names = (
            "ConfigApplyMs MaxHoldMs StopTimeoutMs GraceS DrainMs RemoteFactor"
            " CheckpointS RestoreMs GangTimeoutMs status_s"
        )
        listen = {"FrontendAddr": "h:1", "Ready": "h:2"}
        data = {
            "NodeName": "a",
            "Zone": "z",
            "Ip": "h",
            "InternalPorts": [7000],
            "HeartbeatMs": 1500,
            "ListenAddrs": listen,
            "Bounds": dict.fromkeys(names.split(), 1),
            "platform": {"Address": "h:3"},
        }
        limits = {"CpuShare": 0.5, "CpuCores": 3, "MemoryMb": 160}
        found = settings.decode(data | {"Limits": limits}, "f")
        self.assertEqual((found.cores, found.memory_mb), (1.5, 160))
        found = settings.decode(data, "f")
        self.assertEqual((found.cores, found.memory_mb), (1.0, 0))
