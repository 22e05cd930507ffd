import asyncio
import unittest

from _monsoonpulley.gateway.eventstream import CALLER_STALL_TIMEOUT_MS, EventStream
from _monsoonpulley.standins.manualloop import run_manual, running_clock


class EventStreamTest(unittest.TestCase):
    def serve(self, send, events):
        """Serve events; return the end time in ms and whether they were closed."""
        closed = []

        async def source():
            try:
                async for event in events():
                    yield event
            finally:
                closed.append(True)

        async def receive():
            await asyncio.sleep(1_000_000)

        async def main():
            stream = EventStream(source(), {})
            await stream({"type": "http"}, receive, send)
            return running_clock().now_ms(), bool(closed)

        return run_manual(main())

    def test_a_stalled_caller_is_dropped_and_its_event_generator_closed(self):
        async def endless():
            while True:
                yield b"data: x\n\n"

        async def send(message):
            if message["type"] == "http.response.body":
                await asyncio.sleep(1_000_000)

        ended_ms, closed = self.serve(send, endless)
        self.assertTrue(closed)
        self.assertGreaterEqual(ended_ms, CALLER_STALL_TIMEOUT_MS)
        self.assertLessEqual(ended_ms, 2 * CALLER_STALL_TIMEOUT_MS)

    def test_a_slow_caller_and_a_slow_source_do_not_count_as_stalled(self):
        async def slow():
            for _ in range(5):
                await asyncio.sleep(3 * CALLER_STALL_TIMEOUT_MS / 1_000)
                yield b"data: x\n\n"

        parts = []

        async def send(message):
            await asyncio.sleep(0.4 * CALLER_STALL_TIMEOUT_MS / 1_000)
            parts.append(message.get("body"))

        self.serve(send, slow)
        self.assertEqual(parts.count(b"data: x\n\n"), 5)
        self.assertEqual(parts[-1], b"")
