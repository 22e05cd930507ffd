"""Calls of one address, and until when they may be sent."""

from __future__ import annotations

import unittest
from unittest import mock

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.wire.httpclient import HttpClient
from _monsoonpulley.wire.server import HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits, Exchange


class TestTimeout(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.asked: list[bytes] = []
        self.clock = Clock.from_system()
        self.server = HttpServer(self.answer, CallerLimits, self.clock)
        await self.server.listen("127.0.0.1", 0)
        self.addCleanup(self.server.stop_listening)
        self.caller = HttpClient(*self.server.address(), self.clock)
        self.addCleanup(self.caller.close)

    def answer(self, exchange: Exchange) -> None:
        self.asked.append(exchange.request.target)
        exchange.respond(200, [])

    async def test_nothing_is_sent_once_the_time_is_over(self):
        now_ms = self.clock.now_ms
        stood_still_ms = 0
        acquire = self.caller._pool.acquire

        async def acquire_and_stand_still():
            nonlocal stood_still_ms
            connection = await acquire()
            stood_still_ms = 1_500
            return connection

        with (
            mock.patch.object(self.caller._pool, "acquire", acquire_and_stand_still),
            mock.patch.object(self.clock, "now_ms", lambda: now_ms() + stood_still_ms),
        ):
            result = await self.caller.call("POST", "/order", timeout_ms=1_000)
        self.assertIsInstance(result, Failure)
        self.assertEqual(
            (result.reason, result.delivery), (Reason.TIMEOUT, Delivery.NOT_SENT)
        )
        # The connection is still good, and nothing went over it.
        reply = await self.caller.call("GET", "/next", timeout_ms=1_000)
        self.assertEqual((reply.status, self.asked), (200, [b"/next"]))
