"""Requests that arrive, or are in progress, while an instance stops."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from _monsoonpulley.ingress import service

from .site import Site, configuration, read_answer, request

LISTEN_MS = 200
"""Shortened time of listening during a stop."""


async def answer(call) -> None:
    call.answer(body=b"whole answer")


class TestStop(unittest.IsolatedAsyncioTestCase):
    """Guards against accepted requests that are cut off without an answer."""

    async def asyncSetUp(self):
        self.site = Site()
        self.addAsyncCleanup(self.site.stop)
        patch = mock.patch.object(service, "DRAIN_LISTEN_MS", LISTEN_MS)
        patch.start()
        self.addCleanup(patch.stop)

    async def start(self, script=answer, grace_period_s=8.0, **changes):
        endpoint = await self.site.add_endpoint(script)
        await self.site.start(configuration(**changes), grace_period_s=grace_period_s)
        return endpoint

    def begin_stop(self) -> asyncio.Task:
        stopping = asyncio.create_task(self.site.service.stop())
        self.addAsyncCleanup(asyncio.wait, [stopping])
        return stopping

    async def read(self, reader):
        return await asyncio.wait_for(read_answer(reader), 5)

    async def test_a_connection_accepted_last_gets_its_request_answered(self):
        await self.start()
        stopping = self.begin_stop()
        await asyncio.sleep(LISTEN_MS / 2000)
        reader, writer = await self.site.connect()
        await asyncio.sleep(LISTEN_MS / 1000)
        writer.write(request())
        got = await self.read(reader)
        self.assertEqual((got.status, got.headers["connection"]), (200, "close"))
        self.assertFalse(stopping.done())
        writer.close()

    async def test_a_connection_that_waits_to_be_accepted_is_served(self):
        await self.start()
        with mock.patch.object(service, "DRAIN_LISTEN_MS", 0):
            with socket.create_connection(
                self.site.service.caller_server.address()
            ) as caller:
                caller.sendall(request())
                self.begin_stop()
                reader, writer = await asyncio.open_connection(sock=caller)
                self.assertEqual((await self.read(reader)).status, 200)
                writer.close()

    async def test_a_body_that_still_arrives_is_waited_for(self):
        await self.start()
        reader, writer = await self.site.connect()
        data = request(body=b"long work")
        writer.write(data[:-4])
        stopping = self.begin_stop()
        await asyncio.sleep(LISTEN_MS / 1000 + 0.3)
        self.assertFalse(stopping.done())
        writer.write(data[-4:])
        self.assertEqual((await self.read(reader)).status, 200)
        writer.close()

    async def test_an_answer_that_is_read_slowly_arrives_whole(self):
        async def large(call) -> None:
            call.answer(body=b"x" * 8_000_000)

        await self.start(large)
        reader, writer = await self.site.connect()
        writer.write(request())
        await asyncio.sleep(0.3)
        stopping = self.begin_stop()
        await asyncio.sleep(LISTEN_MS / 1000 + 1)
        self.assertFalse(stopping.done())
        self.assertTrue((await self.read(reader)).is_whole)
        writer.close()

    async def test_pipelined_requests_are_all_answered(self):
        release = asyncio.Event()

        async def slow(call) -> None:
            await release.wait()
            call.answer()

        endpoint = await self.start(slow)
        reader, writer = await self.site.connect()
        writer.write(request("a1") + request("a2") + request("a3"))
        await self.site.wait_until(lambda: endpoint.calls)
        self.begin_stop()
        await asyncio.sleep(0.05)
        release.set()
        answers = [await self.read(reader) for _ in range(3)]
        self.assertEqual([got.status for got in answers], [200] * 3)
        self.assertEqual(
            [got.headers.get("connection") for got in answers], [None, None, "close"]
        )
        writer.close()

    async def test_an_announced_close_is_not_taken_back(self):
        """A request behind an announced close is not read: its sender repeats it."""
        release = asyncio.Event()

        async def stream(call) -> None:
            call.start_stream()
            call.write_event(1)
            await release.wait()
            call.write_chunk(b"")

        endpoint = await self.start(stream, kind="streaming")
        reader, writer = await self.site.connect()
        self.begin_stop()
        await asyncio.sleep(0.02)
        writer.write(request("a1"))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
        self.assertIn(b"Connection: close", head)
        writer.write(request("a2"))
        await asyncio.sleep(0.05)
        release.set()
        await asyncio.wait_for(reader.read(), 5)
        self.assertEqual(len(endpoint.calls), 1)
        writer.close()

    async def test_a_request_gets_an_answer_before_the_process_is_killed(self):
        """The platform kills the process at the end of its grace period."""

        async def hang(call) -> None:
            await asyncio.sleep(10)

        await self.start(hang, grace_period_s=1.5, timeout_ms=8_000)
        reader, writer = await self.site.connect()
        writer.write(request(deadline_ms=8_000))
        await asyncio.sleep(0.05)
        stopping = self.begin_stop()
        got = await self.read(reader)
        self.assertEqual((got.status, stopping.done()), (504, False))
        await asyncio.wait_for(stopping, 1)
        stopped = self.site.log_events("stopped")[0]
        self.assertEqual((stopped["ended"], stopped["cut_off"]), (1, 0))
        writer.close()

    async def test_idle_connections_hardly_delay_the_stop(self):
        await self.start()
        reader, writer = await self.site.connect()
        writer.write(request())
        await self.read(reader)
        async with asyncio.timeout(LISTEN_MS / 1000 + 2):
            await self.site.service.stop()
        self.assertEqual(await reader.read(), b"")
        writer.close()


if __name__ == "__main__":
    unittest.main()
