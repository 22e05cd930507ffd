"""Log lines of values that come from outside."""

from __future__ import annotations

import json
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.errors import Failure, Reason
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

    def test_long_values_are_cut(self):
        values = {
            "text": "x" * 15_000,
            "list": ["y" * 1_000] * 1_000,
            "table": {f"{number}": number for number in range(10_000)},
            "failure": Failure(Reason.BAD_REQUEST, "step", detail="z" * 15_000),
            "nested": [[[[[[[["deep" * 1_000]]]]]]]],
        }
        for name, value in values.items():
            with self.subTest(name):
                lines: list[str] = []
                Log(ManualClock(5), lines.append).event("seen", sound=1, odd=value)
                self.assertLess(len(lines[0]), 12_000)
                line = json.loads(lines[0])
                self.assertEqual((line["event"], line["sound"]), ("seen", 1))

    def test_values_of_ordinary_length_are_written_whole(self):
        lines: list[str] = []
        Log(ManualClock(5), lines.append).event("seen", odd="x" * 3_000)
        self.assertEqual(json.loads(lines[0])["odd"], "x" * 3_000)
