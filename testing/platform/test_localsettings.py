"""Decoding of the platform's settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from _monsoonpulley.errors import SettingsError
from _monsoonpulley.platform.localsettings import Address, LocalSettings

FILE = """
node_name = "entry-a-1"
zone = "zone-a"
ip_address = "10.1.0.14"
internal_port_range = [7600, 7615]
first_start = true
unknown_field = "ignored"
region = "west"
[zones]
zone-a = "west"
zone-b = "east"
[listen]
frontend = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
[platform]
address = "10.200.1.7:8225"
history_s = 20
[cloud]
address = "10.200.0.35:8225"
duties = ["usage_reporting", "scaling"]
[limits]
memory_mb = 300
file_descriptors = 4200
link_mbps = 1000.0
[bounds]
quota_window_s = 8
budget_extra_retries = 52
exposure_share = 0.1
revoke_when_partitioned = false
cold_overage = 1.5
cold_slack = 5
evacuation_ms = 5000
"""


class TestLocalSettings(unittest.TestCase):
    def read_settings(self, text: str) -> LocalSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.toml")
            path.write_text(text)
            return LocalSettings.from_file(path)

    def test_fields_are_decoded_and_unknown_ones_ignored(self):
        settings = self.read_settings(FILE)
        self.assertEqual(settings.instance, "entry-a-1")
        self.assertEqual(settings.caller_address, Address("10.1.0.14", 8221))
        self.assertEqual(settings.store_address, Address("10.200.1.7", 8225))
        self.assertEqual(settings.peer_ports, (7600, 7615))
        self.assertEqual(settings.bounds.budget_extra_retries, 52)
        self.assertTrue(settings.is_first_start)
        self.assertEqual(settings.region, "west")
        self.assertEqual(settings.region_by_zone, {"zone-a": "west", "zone-b": "east"})
        bounds = settings.bounds
        self.assertEqual((bounds.cold_overage, bounds.cold_slack), (1.5, 5))
        self.assertEqual(bounds.evacuation_ms, 5_000)
        self.assertEqual(settings.memory_bytes, 300_000_000)
        self.assertEqual(settings.file_descriptors, 4_200)

    def test_limits_that_are_not_given_are_decoded_as_none(self):
        for text in (
            FILE.replace("memory_mb = 300\nfile_descriptors = 4200\n", ""),
            FILE.replace("= 300", "= 0").replace("= 4200", "= 0"),
        ):
            settings = self.read_settings(text)
            self.assertIsNone(settings.memory_bytes)
            self.assertIsNone(settings.file_descriptors)

    def test_an_empty_cloud_address_is_decoded_as_none(self):
        text = FILE.replace('address = "10.200.0.35:8225"', 'address = ""')
        self.assertIsNone(self.read_settings(text).cloud_address)

    def test_errors_name_the_faulty_field_value_or_file(self):
        expected_text_by_file = {
            FILE.replace("node_name", "other"): "node_name",
            FILE.replace('"10.1.0.14:8221"', '"10.1.0.14"'): "10.1.0.14",
            "[": "local.toml",
        }
        for text, expected_text in expected_text_by_file.items():
            with self.assertRaisesRegex(SettingsError, expected_text):
                self.read_settings(text)

    def test_an_error_names_a_missing_file(self):
        with self.assertRaisesRegex(SettingsError, "none.toml"):
            LocalSettings.from_file(Path("none.toml"))
