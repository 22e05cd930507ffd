import tempfile
import unittest
from pathlib import Path

from _monsoonpulley.errors import SettingsError
from _monsoonpulley.settings.inivalues import AdapterAddress, ListenAddress, Secret
from _monsoonpulley.settings.process import LogLevel, Settings

EXAMPLES = Path(__file__).parents[2] / "examples"
VALID = (EXAMPLES / "entry.ini").read_text(encoding="utf-8")


class SettingsTest(unittest.TestCase):
    def assert_problem(self, before, after, *parts):
        self.assertIn(before, VALID)
        with self.assertRaises(SettingsError) as caught:
            Settings.from_text(VALID.replace(before, after), "s.ini")
        text = str(caught.exception)
        self.assertEqual(len(text.splitlines()), 1, text)
        for part in ("s.ini: ", *parts):
            self.assertIn(part, text)

    def test_example_is_read(self):
        settings = Settings.from_file(EXAMPLES / "entry.ini")
        self.assertEqual(settings.entry.http_listen, ListenAddress("10.0.1.4", 8080))
        expected = AdapterAddress("etcd-v3-json", "http://10.0.0.9:7001")
        self.assertEqual(settings.platform.table, expected)
        self.assertIs(settings.log.level, LogLevel.INFO)

    def test_sections_with_defaults_may_be_left_out(self):
        text = VALID.partition("[log]")[0]
        self.assertEqual(Settings.from_text(text).limits.in_progress, 4_096)

    def test_unknown_section(self):
        self.assert_problem("[metrics]", "[metric]", "[metric]", "'metrics'")

    def test_missing_section(self):
        text = VALID.partition("[operator]")
        key = text[2].split("\n", 3)[2]
        section = f"[operator]{text[2].partition('[log]')[0]}"
        self.assertIn(key, section)
        self.assert_problem(section, "", "[operator]: section is missing")

    def test_unknown_field(self):
        self.assert_problem("zone = ", "zoen = a\nzone = ", "zoen", "'zone'")

    def test_missing_field(self):
        self.assert_problem("zone = co-andina-a\n", "", "[entry] zone: is missing")

    def test_number_out_of_range(self):
        self.assert_problem("port = 8125", "port = 0", "'0'", "from 1 to 65535")

    def test_unknown_log_level(self):
        self.assert_problem("level = INFO", "level = LOUD", "'LOUD'", "DEBUG, INFO")

    def test_invalid_listen_address(self):
        for bad in ("8080", "host:80", "10.0.0.1:65536", "10.0.0.256:1", "10.0.0.1:"):
            with self.subTest(bad):
                line = f"http_listen = {bad}"
                good = "http_listen = 10.0.1.4:8080"
                self.assert_problem(good, line, repr(bad), "IP:PORT")

    def test_ipv6_listen_address(self):
        address = ListenAddress.from_text("[::1]:80")
        self.assertEqual((address.ip, str(address)), ("::1", "[::1]:80"))

    def test_adapter_without_a_url_scheme(self):
        before = "cloud = http http://10.0.0.9:7004/cloud"
        after = "cloud = standin 10.0.0.9:7001"
        self.assert_problem(before, after, "[platform] cloud", "an adapter name")

    def test_invalid_secrets_are_not_shown(self):
        before = "key = replace-this-by-32-random-characters"
        self.assert_problem(before, "key = short", "value not shown", "at least 16")
        digest = VALID.partition("credential_sha256 = ")[2].split("\n")[0]
        with self.assertRaises(SettingsError) as caught:
            Settings.from_text(VALID.replace(digest, "clear-text-credential"))
        self.assertNotIn("clear-text", str(caught.exception))

    def test_secret_comes_from_a_file_and_is_never_printed(self):
        with tempfile.NamedTemporaryFile("w", suffix=".key") as file:
            file.write("0123456789abcdef\n")
            file.flush()
            secret = Secret.from_text(f"file:{file.name}")
        self.assertEqual(secret.value, "0123456789abcdef")
        self.assertNotIn("0123", f"{secret} {secret!r}")

    def test_missing_secret_file_is_reported(self):
        before = "key = replace-this-by-32-random-characters"
        self.assert_problem(before, "key = file:/no/key", "/no/key", "No such file")

    def test_unreadable_settings_file(self):
        with self.assertRaisesRegex(SettingsError, r"^/no/file: can't be read"):
            Settings.from_file("/no/file")

    def test_all_problems_are_reported_at_once(self):
        text = VALID.replace("8125", "0").replace("INFO", "X").replace("4096", "0")
        with self.assertRaises(SettingsError) as caught:
            Settings.from_text(text)
        self.assertEqual(len(str(caught.exception).splitlines()), 3)
