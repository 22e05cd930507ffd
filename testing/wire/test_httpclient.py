"""The time-out of calls to a service."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.wire.httpclient import HttpClient
from _monsoonpulley.wire.server import HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits, Exchange


class TestTimeout(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.targets: list[bytes] = []
        self.clock = Clock.from_system()
        self.server = HttpServer(self.answer, CallerLimits, self.clock)
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)
        self.client = HttpClient(*self.server.address(), self.clock)
        self.addCleanup(self.client.close)

    def answer(self, exchange: Exchange) -> None:
        self.targets.append(exchange.request.target)
        exchange.respond(200, [])

    async def test_nothing_is_sent_after_the_timeout(self):
        now_ms = self.clock.now_ms
        stall_ms = 0
        acquire = self.client._pool.acquire

        async def acquire_and_stall():
            nonlocal stall_ms
            connection = await acquire()
            stall_ms = 1_500
            return connection

        with (
            mock.patch.object(self.client._pool, "acquire", acquire_and_stall),
            mock.patch.object(self.clock, "now_ms", lambda: now_ms() + stall_ms),
        ):
            result = await self.client.call("POST", "/order", timeout_ms=1_000)
        self.assertIsInstance(result, Failure)
        self.assertEqual(
            (result.reason, result.delivery), (Reason.TIMEOUT, Delivery.NOT_SENT)
        )
        # The connection is reused, and nothing was sent on it before.
        reply = await self.client.call("GET", "/next", timeout_ms=1_000)
        self.assertEqual((reply.status, self.targets), (200, [b"/next"]))


class TestSize(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_without_end_fails_before_the_timeout(self):
        async def answer_without_end(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            try:
                while True:
                    writer.write(b"more" * 65_536)
                    await writer.drain()
            except ConnectionError:
                writer.close()

        server = await asyncio.start_server(answer_without_end, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = HttpClient(*server.sockets[0].getsockname(), Clock.from_system())
        self.addCleanup(client.close)
        result = await client.call("GET", "/rows", timeout_ms=30_000)
        self.assertIsInstance(result, Failure)
        self.assertEqual(
            (result.reason, result.delivery), (Reason.PROTOCOL, Delivery.MAYBE)
        )
