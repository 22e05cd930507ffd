"""Limits of the log writer, and its behaviour with a blocked reader."""

from __future__ import annotations

import asyncio
import os
import unittest

from _monsoonpulley.observability.logwriter import (
    MAX_BURST_LINES,
    MAX_LINES_PER_S,
    LogWriter,
)


class TestLogWriter(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        self.now_ms = 0
        self.writer = LogWriter(self.write_end, lambda: self.now_ms)

    def tearDown(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def read(self) -> list[str]:
        return self.read_bytes().decode().splitlines()

    def read_bytes(self) -> bytes:
        data = b""
        while True:
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                return data

    async def test_lines_arrive_in_order(self):
        for number in range(10):
            self.writer.write(f"line {number}")
        self.writer.flush()
        self.assertEqual(self.read(), [f"line {n}" for n in range(10)])

    async def test_lines_beyond_the_rate_are_dropped_and_counted(self):
        for _ in range(MAX_BURST_LINES + 100):
            self.writer.write("x")
            self.writer.flush()
        lines = self.read()
        self.assertEqual(self.writer.dropped_count, 100)
        self.assertEqual(lines.count("x"), MAX_BURST_LINES)
        self.now_ms = 1_000
        for _ in range(MAX_LINES_PER_S + 1):
            self.writer.write("y")
        self.assertEqual(self.writer.dropped_count, 101)

    async def test_a_blocked_reader_blocks_no_write_and_loses_only_lines(self):
        line = "x" * 1_000
        for number in range(2_000):
            self.now_ms = number * 10
            self.writer.write(line)
            self.writer.flush()
        self.assertGreater(self.writer.dropped_count, 0)
        data = b""
        for _ in range(50):
            data += self.read_bytes()
            self.writer.flush()
        received = data.decode().splitlines()
        self.assertTrue(all(x == line or "log_lines_dropped" in x for x in received))
        self.assertTrue(any("log_lines_dropped" in x for x in received))

    async def test_lines_are_written_by_the_timer(self):
        self.writer.write("line")
        async with asyncio.timeout(5):
            while not (lines := self.read()):
                await asyncio.sleep(0.01)
        self.assertEqual(lines, ["line"])
