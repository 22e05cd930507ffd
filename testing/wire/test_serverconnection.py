"""A server's connection to a caller, without a network."""

import asyncio
import unittest
from unittest import mock

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.wire.requestmessage import RequestMessage
from _monsoonpulley.wire.serverconnection import (
    CallerLimits,
    Exchange,
    ServerConnection,
)

CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


class Transport(asyncio.Transport):
    """A transport that keeps what is written, and whose peer may not read."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.unsent_bytes = 0
        self.is_reading = True
        self.is_closed = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def can_write_eof(self):
        return True

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class ExchangeTest(unittest.TestCase):
    def test_an_answer_gets_no_second_head(self):
        connection = mock.Mock()
        exchange = Exchange(
            RequestMessage(b"POST", b"/", [], {}, b"", True, 0), connection
        )
        exchange.start(200, [])
        connection.write.reset_mock()
        with self.assertRaises(RuntimeError):
            exchange.respond(502, [], b"error")
        connection.write.assert_not_called()


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """One connection whose requests are collected."""

    limits = CallerLimits()

    async def asyncSetUp(self):
        self.clock = ManualClock(1_000)
        self.exchanges = []
        self.transport = Transport()
        self.connection = self.make_connection()
        self.connection.connection_made(self.transport)

    def make_connection(self):
        return ServerConnection(
            self.exchanges.append, lambda: self.limits, self.clock, lambda _: None
        )


class TestTrailers(ConnectionCase):
    """Guards against trailers that take memory, or pass as headers."""

    async def test_are_discarded(self):
        body = b"4\r\nwork\r\n0\r\nAuthorization: Bearer x\r\n\r\n"
        self.connection.data_received(CHUNKED + body)
        request = self.exchanges[0].request
        self.assertEqual(request.body, b"work")
        self.assertNotIn(b"authorization", request.fields)
        self.assertEqual(len(request.headers), 2)

    async def test_without_end_are_refused(self):
        self.connection.data_received(CHUNKED + b"4\r\nwork\r\n0\r\n")
        for _ in range(5):
            self.connection.data_received(b"a: b\r\n" * 1_000)
        self.assertEqual(self.exchanges, [])
        self.assertTrue(self.transport.written.startswith(b"HTTP/1.1 431 "))


if __name__ == "__main__":
    unittest.main()
