"""An aborted connection must not deliver anything later."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Failure
from _monsoonpulley.wire.events import Mailbox
from _monsoonpulley.wire.pool import ConnectionPool


class TestReset(unittest.IsolatedAsyncioTestCase):
    async def test_an_aborted_exchange_resets_its_connection(self):
        # After a mere close the kernel goes on sending: after a network partition,
        # the order of a holder with an expired lease arrived 5 s after its call
        # had failed.
        ended = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            try:
                while await reader.read(1024):
                    pass
                ended.set_result("closed")
            except ConnectionResetError:
                ended.set_result("reset")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool("127.0.0.1", port, Clock.from_system(), 1)
        connection = await pool.acquire()
        self.assertNotIsInstance(connection, Failure)
        connection.send(b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", Mailbox())
        await asyncio.sleep(0)
        connection.abort()
        self.assertEqual(await asyncio.wait_for(ended, 5), "reset")
