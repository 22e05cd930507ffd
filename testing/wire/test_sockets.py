"""An aborted connection must not deliver anything later."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from unittest import mock

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Failure
from _monsoonpulley.wire import sockets
from _monsoonpulley.wire.events import Mailbox
from _monsoonpulley.wire.pool import ConnectionPool
from _monsoonpulley.wire.server import HttpServer
from _monsoonpulley.wire.serverconnection import CallerLimits
from _monsoonpulley.wire.sockets import (
    PROBE_IDLE_S,
    PROBE_INTERVAL_S,
    UNACKNOWLEDGED_TIMEOUT_MS,
)

MAX_MOMENT_MS = 1_500
"""A sound server may be silent for a second or so."""

MAX_DETECTION_MS = 3_000
"""Users' time from a cut until requests have to be served again."""


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


class StandinSocket:
    """A socket with packets that are not acknowledged, and its options."""

    def __init__(self, unacknowledged_count):
        self.unacknowledged_count = unacknowledged_count
        self.timeout_ms = None

    def fileno(self):
        return 3

    def getsockopt(self, level, option, size):
        info = bytearray(size)
        offset = sockets.UNACKNOWLEDGED_COUNT_OFFSET
        info[offset : offset + 4] = struct.pack("I", self.unacknowledged_count)
        return bytes(info)

    def setsockopt(self, level, option, value):
        self.timeout_ms = value


class StandinTransport:
    def __init__(self, sock):
        self.socket = sock

    def get_extra_info(self, name):
        return self.socket


class TestUnreadBytes(unittest.IsolatedAsyncioTestCase):
    """`testing.ingress.test_slow_readers` shows it with connections."""

    def setUp(self):
        patch = mock.patch.object(sockets, "UNREAD_CHECK_INTERVAL_MS", 5)
        patch.start()
        self.addCleanup(patch.stop)

    async def timeout_after_a_pause(self, unacknowledged_count):
        sock = StandinSocket(unacknowledged_count)
        watch = sockets.UnreadWatch(StandinTransport(sock))
        watch.on_pause()
        await asyncio.sleep(0.03)
        paused_ms = sock.timeout_ms
        watch.on_resume()
        self.assertEqual(sock.timeout_ms, UNACKNOWLEDGED_TIMEOUT_MS)
        return paused_ms

    async def test_a_peer_without_room_gets_more_time(self):
        self.assertEqual(await self.timeout_after_a_pause(0), sockets.UNREAD_TIMEOUT_MS)

    async def test_a_peer_that_may_be_lost_does_not(self):
        """Guards against long requests that hang when a link is cut."""
        self.assertEqual(await self.timeout_after_a_pause(3), UNACKNOWLEDGED_TIMEOUT_MS)


class TestSilence(unittest.IsolatedAsyncioTestCase):
    """Linux probes after `PROBE_IDLE_S` and then every `PROBE_INTERVAL_S`.

    At each of these times it ends the connection if a probe is unanswered and the last
    sign of the peer is as old as ``TCP_USER_TIMEOUT``, however many probes were lost.
    """

    def silence_before_end_ms(self, since_sign_ms: int) -> int:
        """Return how long a peer can be silent that begins so long after its sign."""
        due_ms, is_probed = PROBE_IDLE_S * 1000, False
        while not (is_probed and due_ms >= UNACKNOWLEDGED_TIMEOUT_MS):
            is_probed = is_probed or due_ms >= since_sign_ms
            due_ms += PROBE_INTERVAL_S * 1000
        return due_ms - since_sign_ms

    def test_a_peer_that_is_silent_for_a_moment_keeps_its_connections(self):
        longest_ms = PROBE_IDLE_S * 1000
        for since_sign_ms in range(0, longest_ms, 10):
            silence_ms = self.silence_before_end_ms(since_sign_ms)
            self.assertGreater(silence_ms, MAX_MOMENT_MS)

    def test_a_connection_to_a_lost_peer_ends_soon(self):
        self.assertLessEqual(self.silence_before_end_ms(0), MAX_DETECTION_MS)

    async def test_the_options_are_set_on_both_sides(self):
        server = HttpServer(lambda exchange: None, CallerLimits, Clock.from_system())
        await server.listen("127.0.0.1", 0)
        self.addCleanup(server.stop_listening)
        pool = ConnectionPool(*server.address(), Clock.from_system(), 1)
        connection = await pool.acquire()
        await asyncio.sleep(0.01)
        (served,) = server._connections
        for transport in (connection._transport, served._transport):
            sock = transport.get_extra_info("socket")
            for option, value in (
                (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
                (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
                (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
            ):
                self.assertEqual(sock.getsockopt(socket.IPPROTO_TCP, option), value)
        connection.abort()
