"""Streams of the engine stand-in."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.ids import AttemptId
from _monsoonpulley.standins.engine_streams import OpenStreams

ATTEMPT = AttemptId("r1.1")


class TestCancellation(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancellation_that_arrives_with_an_item_is_not_lost(self):
        for turns in range(6):
            streams = OpenStreams()
            streams.open(ATTEMPT)
            task = asyncio.create_task(streams.next_item(ATTEMPT, 60_000))
            await asyncio.sleep(0.01)
            streams.emit([(ATTEMPT, Failure(Reason.CANCELLED, "test"))])
            for _ in range(turns):
                await asyncio.sleep(0)
            if task.cancel():
                with self.assertRaises(asyncio.CancelledError):
                    await task
