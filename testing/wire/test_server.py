"""Connections that arrive while a server ceases to listen."""

from __future__ import annotations

import asyncio
import socket
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.wire.server import ACCEPT_ROUNDS, HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits

MAX_WAIT_S = 2
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class TestEndListening(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that are accepted and dropped without an answer."""

    async def asyncSetUp(self):
        loop = asyncio.get_running_loop()
        loop.set_debug(True)
        self.errors = []
        loop.set_exception_handler(lambda _, context: self.errors.append(context))
        self.server = HttpServer(
            lambda exchange: exchange.respond(200, []),
            CallerLimits,
            Clock.from_system(),
        )
        await self.server.listen("127.0.0.1", 0)

    async def test_a_connection_that_is_accepted_last_is_answered(self):
        address = self.server.address()
        ending = asyncio.create_task(self.server.end_listening())
        callers = []
        for _ in range(ACCEPT_ROUNDS + 2):
            caller = socket.socket()
            self.addCleanup(caller.close)
            if caller.connect_ex(address) == 0:
                caller.sendall(REQUEST)
                caller.setblocking(False)
                callers.append(caller)
            await asyncio.sleep(0)
        await ending
        for caller in callers:
            try:
                got = await self.receive(caller)
                self.assertTrue(got.startswith(b"HTTP/1.1 200"), got)
            except ConnectionResetError:
                pass  # It was still waiting to be accepted.
        self.assertEqual(self.errors, [])
        async with asyncio.timeout(MAX_WAIT_S):
            while self.server.connection_count:
                await asyncio.sleep(0.01)

    async def receive(self, caller):
        loop = asyncio.get_running_loop()
        return await asyncio.wait_for(loop.sock_recv(caller, 1_000), MAX_WAIT_S)


if __name__ == "__main__":
    unittest.main()
