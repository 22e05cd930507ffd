"""Leases end when cancelled, even if a table call ends at the same time."""

from __future__ import annotations

import asyncio
import random
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.control.leases import Leases
from _monsoonpulley.control.leasestate import LeaseSettings
from _monsoonpulley.identity import Identity
from _monsoonpulley.observability.log import Log
from _monsoonpulley.observability.metrics import NoMetrics

ENDS_WITHIN_S = 2


class ManualTable:
    """A table whose scans are answered by the test."""

    def __init__(self):
        self.answers: list[asyncio.Future] = []

    async def scan(self, prefix, *, after="", limit=500):
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        return await answer


class EmptyPlacement:
    """A placement with no duties."""

    def duties(self):
        return ()

    def rank(self, duty):
        return None

    def successor(self, duty):
        return ""


class TestEnd(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_together_with_an_answer_is_not_lost(self):
        table = ManualTable()
        clock = Clock.from_system()
        leases = Leases(
            table,
            Identity("a", "zone-a", "", 1),
            EmptyPlacement(),
            clock,
            random.Random(1),
            Log(clock, lambda line: None),
            NoMetrics(),
            LeaseSettings(),
        )
        task = asyncio.create_task(leases.run())
        while not table.answers:
            await asyncio.sleep(0)
        table.answers[0].set_result(())
        # The answer wakes the task of the scan first, then the one that awaits it.
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=ENDS_WITHIN_S)
        self.assertTrue(task.done())
