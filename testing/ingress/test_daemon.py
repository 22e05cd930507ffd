"""The end of the ingress process."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from _monsoonpulley.ingress.daemon import SettingsReloader, stop_service
from _monsoonpulley.platform.localsettings import LocalSettings

FILE = """
node_name = "entry-a-1"
zone = "zone-a"
ip_address = "10.1.0.14"
internal_port_range = [7600, 7615]
[listen]
frontend = "10.1.0.14:8221"
ready = "10.1.0.14:8224"
[platform]
address = "10.200.1.7:8225"
[cloud]
address = ""
[bounds]
grace_period_s = %d
"""


class TestStop(unittest.IsolatedAsyncioTestCase):
    async def test_a_stop_has_the_grace_period_that_the_file_has_then(self):
        """Guards against a kill before requests are ended, as the period is shorter."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "local.toml")
            path.write_text(FILE % 8)
            settings = LocalSettings.from_file(path)
            service = mock.Mock(settings=settings, stop=mock.AsyncMock())
            reloader = SettingsReloader(path, settings, service)
            path.write_text(FILE % 3)
            await stop_service(service, reloader)
        self.assertEqual(service.mock_calls[0][0], "reload")
        self.assertEqual(service.reload.call_args[0][0].bounds.grace_period_s, 3)
        service.stop.assert_awaited_once()


if __name__ == "__main__":
    unittest.main()
