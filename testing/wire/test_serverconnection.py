"""A server's connection to a caller, without a network."""

import asyncio
import unittest
from unittest import mock

from _monsoonpulley.callerbudget import BudgetLimits, CallerBudget, Stage
from _monsoonpulley.clock import ManualClock
from _monsoonpulley.wire.messagemeter import MAX_PIPELINED_REQUESTS
from _monsoonpulley.wire.requestmessage import RequestMessage
from _monsoonpulley.wire.serverconnection import (
    CallerLimits,
    Exchange,
    ServerConnection,
)

SMALL = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
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

    max_bytes = 1_000_000

    async def asyncSetUp(self):
        self.clock = ManualClock(1_000)
        self.budget = CallerBudget(BudgetLimits(self.max_bytes, 10))
        self.exchanges = []
        self.transport = Transport()
        self.connection = self.make_connection()
        self.connection.connection_made(self.transport)

    def make_connection(self):
        return ServerConnection(
            self.exchanges.append,
            lambda: self.limits,
            self.clock,
            lambda _: None,
            self.budget,
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


class TestPipelines(ConnectionCase):
    """Guards against one read that becomes thousands of requests."""

    async def test_no_more_requests_are_parsed_than_may_wait(self):
        self.connection.data_received(SMALL * 2_000)
        self.assertEqual(len(self.exchanges), 1)
        self.assertFalse(self.transport.is_reading)
        parsed_count = self.connection._request_count
        self.assertLess(parsed_count, 200)
        self.assertGreater(parsed_count, MAX_PIPELINED_REQUESTS)

    async def test_all_requests_of_a_read_are_served_in_turn(self):
        self.connection.data_received(SMALL * 2_000)
        for number in range(2_000):
            self.assertEqual(len(self.exchanges), number + 1)
            self.exchanges[-1].respond(200, [])
            await asyncio.sleep(0)
        self.assertTrue(self.transport.is_reading)
        self.assertTrue(self.connection.is_idle)

    async def test_no_request_is_begun_while_the_answer_before_is_not_read(self):
        self.connection.data_received(SMALL * 2)
        self.connection.pause_writing()
        self.exchanges[0].respond(200, [])
        await asyncio.sleep(0)
        self.assertEqual(len(self.exchanges), 1)
        self.connection.resume_writing()
        self.assertEqual(len(self.exchanges), 2)


class TestBudget(ConnectionCase):
    """Guards against memory that is not counted, and against untrue refusals."""

    def held(self):
        holding = self.connection._holding
        return holding.stage, holding.kept_bytes, holding.pending_bytes

    async def test_a_body_is_pending_until_it_is_complete(self):
        self.connection.data_received(CHUNKED + b"2710\r\n" + b"x" * 10_000)
        stage, _, pending_bytes = self.held()
        self.assertIs(stage, Stage.RECEIVING)
        self.assertGreater(pending_bytes, 20_000)
        self.connection.data_received(b"\r\n0\r\n\r\n")
        stage, kept_bytes, pending_bytes = self.held()
        self.assertIs(stage, Stage.SERVING)
        self.assertGreater(kept_bytes, 20_000)
        self.assertEqual(pending_bytes, 0)
        self.exchanges[0].respond(200, [])
        self.assertIs(self.held()[0], Stage.IDLE)
        self.connection.connection_lost(None)
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_a_lost_connection_keeps_nothing(self):
        self.connection.data_received(CHUNKED + b"2710\r\n" + b"x" * 10_000)
        self.connection.connection_lost(None)
        self.assertEqual(self.connection._body.take(), b"")
        self.assertEqual(self.connection._headers, [])

    async def test_header_lines_count_as_objects(self):
        lines = b"".join(b"%x:\r\n" % number for number in range(1_000))
        self.connection.data_received(SMALL[:-2] + lines + b"a: b")
        self.assertGreater(self.held()[2], 150_000)

    async def test_answers_that_are_not_read_are_pending(self):
        self.connection.data_received(SMALL)
        self.transport.unsent_bytes = 50_000
        self.exchanges[0].respond(200, [], b"x" * 50_000)
        self.assertEqual(self.held()[2], 50_000)
        self.transport.unsent_bytes = 0
        self.connection.check_timeouts(self.clock.now_ms())
        self.assertEqual(self.held()[2], 0)

    async def test_an_answer_is_unread_since_it_was_written(self):
        """Guards against callers that are blamed for the time of a slow endpoint."""
        self.connection.data_received(SMALL)
        self.clock.advance_ms(10_000)
        self.transport.unsent_bytes = 50_000
        self.exchanges[0].start(200, [])
        holding = self.connection._holding
        self.assertEqual(holding.unread_bytes, 50_000)
        self.assertLess(holding.overdue_ms(self.clock.now_ms()), 0)
        self.clock.advance_ms(5_000)
        self.assertGreater(holding.overdue_ms(self.clock.now_ms()), 0)

    async def test_a_request_that_is_shed_is_refused_and_never_begun(self):
        self.connection.data_received(CHUNKED + b"4\r\nwo")
        self.connection.drop_pending()
        self.assertTrue(self.transport.written.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1\r\n", self.transport.written)
        self.connection.data_received(b"rk\r\n0\r\n\r\n")
        self.assertEqual(self.exchanges, [])
        self.assertEqual(self.held()[2], 0)

    async def test_a_request_in_progress_is_answered_before_one_that_is_shed(self):
        self.connection.data_received(SMALL + CHUNKED + b"4\r\nwo")
        self.connection.drop_pending()
        self.assertEqual(self.transport.written, b"")
        self.exchanges[0].respond(200, [])
        await asyncio.sleep(0)
        answers = self.transport.written.split(b"HTTP/1.1 ")
        self.assertEqual([answer[:3] for answer in answers], [b"", b"200", b"503"])

    async def test_a_caller_that_reads_nothing_is_disconnected(self):
        self.connection.data_received(SMALL)
        self.transport.unsent_bytes = 50_000
        self.exchanges[0].respond(200, [], b"x" * 50_000)
        self.connection.drop_pending()
        self.assertTrue(self.transport.is_closed)

    async def test_a_connection_beyond_the_limit_is_closed(self):
        limited = CallerBudget(BudgetLimits(self.max_bytes, 0))
        connection = ServerConnection(
            self.exchanges.append,
            lambda: self.limits,
            self.clock,
            lambda _: None,
            limited,
        )
        transport = Transport()
        connection.connection_made(transport)
        connection.data_received(SMALL)
        self.assertTrue(transport.is_closed)
        self.assertEqual(self.exchanges, [])


class TestSmallBudget(ConnectionCase):
    max_bytes = 200_000

    async def test_a_body_that_can_not_be_kept_is_too_large(self):
        self.connection.data_received(
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
        )
        self.assertTrue(self.transport.written.startswith(b"HTTP/1.1 413 "))

    async def test_a_request_without_room_is_refused_before_it_begins(self):
        self.budget.add_shared(200_000)
        self.connection.data_received(SMALL)
        self.assertEqual(self.exchanges, [])
        self.assertTrue(self.transport.written.startswith(b"HTTP/1.1 503 "))


if __name__ == "__main__":
    unittest.main()
