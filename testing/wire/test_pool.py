"""Connections are opened within a limit that a pause of the process doesn't use up."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.wire.clientconnection import ClientConnection
from _monsoonpulley.wire.pool import CONNECT_TIMEOUT_MS, ConnectionPool

PAUSE_S = 2 * CONNECT_TIMEOUT_MS / 1000


async def ignore(reader, writer) -> None:
    with contextlib.suppress(ConnectionResetError):
        await reader.read()
    writer.close()


class TestAcquire(unittest.IsolatedAsyncioTestCase):
    async def test_a_pause_of_the_process_is_not_taken_for_an_unreachable_server(self):
        server = await asyncio.start_server(ignore, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        for passes in range(4):
            with self.subTest(passes_before_the_pause=passes):
                pool = ConnectionPool("127.0.0.1", port, Clock.from_system(), 1)
                acquired = asyncio.create_task(pool.acquire())
                for _ in range(passes):
                    await asyncio.sleep(0)
                time.sleep(PAUSE_S)
                connection = await acquired
                self.assertIsInstance(connection, ClientConnection)
                connection.abort()

    async def test_what_is_no_address_fails_like_any_unreachable_server(self):
        for ip, port in (("127.0.0.1", 70_000), ("127.0.0.1", -1), ("a\0b", 80)):
            with self.subTest(ip=ip, port=port):
                pool = ConnectionPool(ip, port, Clock.from_system(), 1)
                failure = await pool.acquire()
                self.assertIs(failure.reason, Reason.UNAVAILABLE)
                self.assertIs(failure.delivery, Delivery.NOT_SENT)

    async def test_a_server_that_does_not_answer_fails_within_the_limit(self):
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        port = listener.getsockname()[1]
        # Fills the queue of connections, so that the next SYN gets no answer.
        held = [socket.socket() for _ in range(4)]
        for each in held:
            self.addCleanup(each.close)
            each.setblocking(False)
            each.connect_ex(("127.0.0.1", port))
        pool = ConnectionPool("127.0.0.1", port, Clock.from_system(), 1)
        started_s = time.perf_counter()
        failure = await pool.acquire()
        took_ms = (time.perf_counter() - started_s) * 1000
        self.assertIsInstance(failure, Failure)
        self.assertIs(failure.reason, Reason.TIMEOUT)
        self.assertGreaterEqual(took_ms, CONNECT_TIMEOUT_MS * 0.95)
        self.assertLess(took_ms, 1000)


class TestProbe(unittest.IsolatedAsyncioTestCase):
    async def test_the_connection_of_a_probe_is_kept_for_the_next_request(self):
        server = await asyncio.start_server(ignore, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool("127.0.0.1", port, Clock.from_system(), 1)
        self.assertIsNone(await pool.probe())
        connection = await pool.acquire()
        self.assertEqual(pool.opened_count, 1)
        connection.abort()

    async def test_an_address_where_nothing_listens_is_told_from_other_failures(self):
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        listener.close()
        pool = ConnectionPool("127.0.0.1", port, Clock.from_system(), 1)
        failure = await pool.probe()
        self.assertIs(failure.reason, Reason.NOT_LISTENING)
