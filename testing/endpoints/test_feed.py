"""The feed polls the other engines when one fails."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.endpoints.engine import LoadReport
from _monsoonpulley.endpoints.feed import EngineFeed
from _monsoonpulley.observability.metrics import NoMetrics


class Engine:
    def __init__(self, error: Exception | None = None):
        self.error = error

    async def load_report(self):
        if self.error is not None:
            raise self.error
        return LoadReport(1, 3, 2, 9, 0.2, 8000.0, 12.5, 16)

    async def cache_events(self, after_seq):
        return ()


class Sink(NoMetrics):
    def __init__(self):
        self.loads: list[str] = []
        self.counted: list[str] = []

    def apply_load(self, endpoint, report, now_ms, wall_ms):
        self.loads.append(endpoint)

    def incr(self, stat, count=1):
        self.counted.append(stat)


class TestFeed(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_over_one_engine_does_not_end_the_polls_of_others(self):
        engines = {"a": Engine(), "odd": Engine(OverflowError()), "z": Engine()}
        sink = Sink()
        feed = EngineFeed(lambda: engines, sink, ManualClock(), random.Random(1), sink)
        await feed.poll()
        self.assertEqual(sink.loads, ["a", "z"])
        self.assertEqual(sink.counted, ["feed.error"])
