"""Log lines of values that come from outside."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.observability.log import Log


class TestEvent(unittest.TestCase):
    def test_a_value_that_json_can_not_hold_does_not_end_what_is_logged(self):
        deep: list = []
        for _ in range(100_000):
            deep = [deep]
        for odd in ("\ud800", ["\ud800"], 10**5_000, deep):
            with self.subTest(odd=type(odd)):
                lines: list[str] = []
                Log(ManualClock(5), lines.append).event("seen", odd=odd, sound=1)
                line = json.loads(lines[0])
                self.assertEqual((line["event"], line["sound"]), ("seen", 1))
                self.assertIn("can't be logged", line["odd"])
