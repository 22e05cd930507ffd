"""The platform's settings file, decoded."""

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
unknown_field = "passed over"
[listen]
frontend = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
[platform]
address = "10.200.1.7:8225"
history_s = 20
[cloud]
address = "10.200.0.35:8225"
duties = ["usage_reporting", "scaling"]
[bounds]
quota_window_s = 8
budget_extra_retries = 52
exposure_share = 0.1
revoke_when_partitioned = false
"""


class TestLocalSettings(unittest.TestCase):
    def read(self, text: str) -> LocalSettings:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.toml")
            path.write_text(text)
            return LocalSettings.from_file(path)

    def test_fields_are_decoded_and_unknown_ones_passed_over(self):
        settings = self.read(FILE)
        self.assertEqual(settings.instance, "entry-a-1")
        self.assertEqual(settings.caller_address, Address("10.1.0.14", 8221))
        self.assertEqual(settings.store_address, Address("10.200.1.7", 8225))
        self.assertEqual(settings.peer_ports, (7600, 7615))
        self.assertEqual(settings.bounds.budget_extra_retries, 52)
        self.assertTrue(settings.is_first_start)

    def test_a_missing_cloud_leaves_the_duties_out(self):
        text = FILE.replace('address = "10.200.0.35:8225"', 'address = ""')
        self.assertIsNone(self.read(text).cloud_address)

    def test_what_can_not_be_used_is_named(self):
        broken = {
            FILE.replace("node_name", "other"): "node_name",
            FILE.replace('"10.1.0.14:8221"', '"10.1.0.14"'): "10.1.0.14",
            "[": "local.toml",
        }
        for text, named in broken.items():
            with self.assertRaisesRegex(SettingsError, named):
                self.read(text)

    def test_a_missing_file_is_named(self):
        with self.assertRaisesRegex(SettingsError, "none.toml"):
            LocalSettings.from_file(Path("none.toml"))
