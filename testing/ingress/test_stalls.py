"""Streams that stall, and sound ones that are slow."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from _monsoonpulley.limits import streampause

from .site import Site, configuration, read_answer, request

PATIENCE_MS = 800
"""Shortened time after which callers abandon a stream."""

STALL_MS = PATIENCE_MS - 200
"""The routes' target is 200 ms."""


class TestStalls(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        patch = mock.patch.object(streampause, "MIN_PATIENCE_MS", PATIENCE_MS)
        patch.start()
        self.addCleanup(patch.stop)

    async def play(self, first_script, endpoint_count=2, **changes):
        """Return the answer to a stream that ``first_script`` begins; another ends it.

        The later endpoints resume after the last event, up to the fifth.
        """
        self.calls = []

        async def stream(call) -> None:
            self.calls.append(call)
            call.start_stream()
            if len(self.calls) == 1:
                await first_script(call)
                return
            for number in range(int(call.headers["last-event-id"]) + 1, 6):
                call.write_event(number)
            call.write_chunk(b"")

        for _ in range(endpoint_count):
            await self.site.add_endpoint(stream)
        fields = {"kind": "streaming", "resume_streams": True, "timeout_ms": 3_000}
        await self.site.start(configuration(**{**fields, **changes}))
        return await self.site.send_request()

    def assert_has_all_events(self, got):
        ids = [line for line in got.body.decode().split("\n") if line.startswith("id")]
        self.assertEqual(ids, [f"id: {n}" for n in range(1, 6)])
        self.assertTrue(got.is_whole)

    async def trickle(self, call, piece: bytes) -> None:
        call.write_event(1)
        while not call.writer.is_closing():
            await asyncio.sleep(0.05)
            call.write_chunk(piece)

    async def test_a_stream_of_bytes_without_an_event_goes_on_elsewhere(self):
        """Guards against a stalled stream that is kept until its deadline."""
        got = await self.play(lambda call: self.trickle(call, b"x"))
        self.assert_has_all_events(got)
        ended = self.site.log_events("attempt")[0]
        self.assertLessEqual(ended["took_ms"], PATIENCE_MS)
        self.assertGreaterEqual(ended["took_ms"], STALL_MS)
        self.assertEqual(self.calls[1].headers["last-event-id"], "1")

    async def test_comments_are_no_progress(self):
        """Guards against a stalled engine whose server sends heartbeats."""
        got = await self.play(lambda call: self.trickle(call, b": still here\n\n"))
        self.assert_has_all_events(got)

    async def test_a_slow_stream_is_not_moved(self):
        """Guards against sound streams that are cut for a pause callers bear."""

        async def slow(call) -> None:
            for number in range(1, 6):
                call.write_event(number)
                await asyncio.sleep(0.7 * STALL_MS / 1000)
            call.write_chunk(b"")

        got = await self.play(slow)
        self.assert_has_all_events(got)
        self.assertEqual(len(self.calls), 1)

    async def test_a_long_wait_for_the_first_event_is_no_stall(self):
        """Guards against requests that queue at an engine and are sent twice."""

        async def late(call) -> None:
            await asyncio.sleep(2 * PATIENCE_MS / 1000)
            for number in range(1, 6):
                call.write_event(number)
            call.write_chunk(b"")

        got = await self.play(late)
        self.assert_has_all_events(got)
        self.assertEqual(len(self.calls), 1)

    async def pause_long(self, call) -> None:
        call.write_event(1)
        await call.writer.drain()
        await asyncio.sleep(2 * PATIENCE_MS / 1000)
        for number in range(2, 6):
            call.write_event(number)
        call.write_chunk(b"")

    async def test_a_stream_that_can_not_go_on_elsewhere_is_kept(self):
        """Guards against a stream that is cut although it might still go on."""
        for changes in (
            {"endpoint_count": 1},
            {"resume_streams": False},
            {"max_attempts": 1},
        ):
            with self.subTest(**changes):
                got = await self.play(self.pause_long, **changes)
                self.assert_has_all_events(got)
                self.assertEqual(len(self.calls), 1)
                await self.site.stop()
                self.site = Site()

    async def test_a_caller_that_does_not_read_is_no_stall(self):
        """Guards against moving a stream for a pause that its caller causes."""
        self.calls = []

        async def stream(call) -> None:
            self.calls.append(call)
            call.start_stream()
            for number in range(1, 40):
                call.write_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 250_000))
                await call.writer.drain()
            call.write_chunk(b"")

        for _ in range(2):
            await self.site.add_endpoint(stream)
        await self.site.start(
            configuration(kind="streaming", resume_streams=True, timeout_ms=8_000)
        )
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=8_000))
        await asyncio.sleep(2 * PATIENCE_MS / 1000)
        got = await asyncio.wait_for(read_answer(reader), 5)
        self.assertTrue(got.is_whole)
        self.assertEqual(len(self.calls), 1)
        writer.close()

    async def test_a_stalled_stream_that_is_not_moved_ends_at_its_deadline(self):
        """Guards against a stream without end; `RequestRun._serve` sets the timer."""
        started_ms = self.site.clock.now_ms()
        got = await self.play(
            lambda call: self.trickle(call, b"x"), endpoint_count=1, timeout_ms=1_500
        )
        self.assertFalse(got.is_whole)
        self.assertLessEqual(self.site.clock.now_ms() - started_ms, 2_500)


if __name__ == "__main__":
    unittest.main()
