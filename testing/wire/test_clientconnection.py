"""Tests of answers that reach a connection late, twice or without an id."""

from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.wire.clientconnection import (
    MAX_REFUSED_ID_BYTES,
    MAX_REFUSED_IDS,
    ClientConnection,
)
from _monsoonpulley.wire.events import (
    AnswerData,
    AnswerEnd,
    AnswerHead,
    AnswerIncomplete,
)


class StandinTransport(asyncio.Transport):
    """A transport that discards what is sent and remembers an abort."""

    is_aborted = False

    def write(self, data):
        pass

    def abort(self):
        self.is_aborted = True

    def is_closing(self):
        return self.is_aborted

    def get_write_buffer_size(self):
        return 0


class Events:
    """A mailbox that keeps the events of one exchange."""

    def __init__(self):
        self.list = []

    def put(self, source, event):
        self.list.append(event)

    @property
    def body(self):
        return b"".join(e.data for e in self.list if isinstance(e, AnswerData))

    @property
    def statuses(self):
        return [e.status for e in self.list if isinstance(e, AnswerHead)]

    @property
    def is_complete(self):
        return any(isinstance(e, AnswerEnd) for e in self.list)


def answer(body, request_id=None, status=200):
    named = b"Request-Id: %s\r\n" % request_id if request_id else b""
    return b"HTTP/1.1 %d S\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        named,
        len(body),
        body,
    )


class ConnectionTest(unittest.TestCase):
    def setUp(self):
        self.transport = StandinTransport()
        self.connection = ClientConnection(Clock.from_system())
        self.connection.connection_made(self.transport)

    def send(self, request_id):
        events = Events()
        self.connection.send(b"...", events, expected_id=(b"request-id", request_id))
        return events

    def receive(self, *pieces):
        for piece in pieces:
            self.connection.data_received(piece)

    def exchange(self, request_id, received):
        events = self.send(request_id)
        self.receive(received)
        return events


class TestBodies(ConnectionTest):
    def test_a_body_of_many_small_chunks_is_put_once_for_each_read(self):
        """Guards against faulty endpoints that take the processor with tiny chunks."""
        head = b"HTTP/1.1 200 S\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"1\r\nx\r\n" * 1_000
        events = self.exchange(b"a1", head + chunks + chunks + b"0\r\n\r\n")
        kinds = [type(event) for event in events.list]
        self.assertEqual(kinds, [AnswerHead, AnswerData, AnswerEnd])
        self.assertEqual(events.body, b"x" * 2_000)

    def test_a_long_stream_of_small_chunks_is_sound(self):
        """Guards against long streams that are cut for the framing of their chunks."""
        head = b"HTTP/1.1 200 S\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
        events = self.send(b"a1")
        self.receive(head)
        chunk = b"9\r\ndata: x\n\n\r\n"
        for _ in range(200):
            self.receive(chunk * 1_000)
        self.receive(b"0\r\n\r\n")
        self.assertTrue(events.is_complete)
        self.assertEqual(len(events.body), 9 * 200_000)

    def test_what_came_of_a_body_is_put_before_its_error(self):
        head = b"HTTP/1.1 200 S\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
        events = self.exchange(b"a1", head + b"4\r\nmore\r\nnot a chunk")
        kinds = [type(event) for event in events.list]
        self.assertEqual(kinds, [AnswerHead, AnswerData, AnswerIncomplete])


class TestCutAnswers(ConnectionTest):
    """An answer that ends at any byte, with its connection."""

    HEAD = b"HTTP/1.1 200 S\r\nRequest-Id: a1\r\nKeep-Alive: timeout=5\r\n"
    SIZED = HEAD + b"Content-Length: 12\r\n\r\nwhole answer"
    CHUNKED = (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n"
    )
    UNFRAMED_HEAD = HEAD + b"Connection: close\r\n\r\n"

    def close_after(self, received, is_reset):
        """Return the events of an answer whose connection closes or is reset."""
        self.setUp()
        events = self.send(b"a1")
        for start in range(0, len(received), 40):
            self.receive(received[start : start + 40])
        if is_reset:
            self.connection.connection_lost(ConnectionResetError())
        else:
            self.connection.eof_received()
            self.connection.connection_lost(None)
        return events

    def check_cuts(self, answer, first_whole):
        for cut in range(len(answer) + 1):
            for is_reset in (False, True):
                with self.subTest(cut=cut, is_reset=is_reset):
                    events = self.close_after(answer[:cut], is_reset)
                    ends = [type(e) for e in events.list if type(e) is not AnswerData]
                    is_whole = cut >= first_whole
                    self.assertIs(ends[-1], AnswerEnd if is_whole else AnswerIncomplete)
                    self.assertEqual(ends.count(AnswerEnd), is_whole)
                    self.assertFalse(self.connection.is_reusable)

    def test_an_answer_with_a_length_is_whole_only_at_its_end(self):
        """Guards against a head that ends early and is taken for a whole answer."""
        self.check_cuts(self.SIZED, len(self.SIZED))

    def test_an_answer_in_chunks_is_whole_only_at_its_end(self):
        """Guards against a head that ends early and is taken for a whole answer."""
        self.check_cuts(self.CHUNKED, len(self.CHUNKED))

    def test_an_answer_without_a_length_is_not_whole_within_its_head(self):
        """Guards against a head that ends early and is taken for a whole answer."""
        for cut in range(len(self.UNFRAMED_HEAD)):
            events = self.close_after(self.UNFRAMED_HEAD[:cut], is_reset=False)
            self.assertEqual([type(e) for e in events.list], [AnswerIncomplete])
        events = self.close_after(self.UNFRAMED_HEAD, is_reset=False)
        self.assertTrue(events.is_complete)
        events = self.close_after(self.UNFRAMED_HEAD, is_reset=True)
        self.assertFalse(events.is_complete)


class TestSecondCopies(ConnectionTest):
    """A second copy of an answer, which must not reach the next request."""

    def test_a_copy_before_the_own_answer_is_skipped_however_it_is_cut(self):
        """Guards against a late copy that is taken for the next answer.

        `ClientConnection._find_owner` compares the ids.
        """
        first, second = answer(b"first", b"a1"), answer(b"second", b"a2")
        both = first + second
        for cut in range(len(both) + 1):
            with self.subTest(cut=cut):
                self.setUp()
                self.exchange(b"a1", first)
                self.assertTrue(self.connection.is_reusable)
                events = self.send(b"a2")
                self.receive(both[:cut], both[cut:])
                self.assertEqual((events.body, events.is_complete), (b"second", True))
                self.assertFalse(self.connection.is_reusable)

    def test_a_copy_that_begins_behind_its_answer_ends_the_connection(self):
        """Guards against a copy whose end arrives under the next request.

        `ClientConnection.on_message_begin` notices its first byte.
        """
        first = answer(b"first", b"a1")
        for begun in range(1, len(first)):
            with self.subTest(begun=begun):
                self.setUp()
                self.exchange(b"a1", first + first[:begun])
                self.assertFalse(self.connection.is_reusable)

    def test_a_copy_on_an_idle_connection_ends_it(self):
        """Guards against bytes that wait for the next request.

        `ClientConnection.data_received` aborts a connection without a request.
        """
        self.exchange(b"a1", answer(b"first", b"a1"))
        self.receive(b"H")
        self.assertTrue(self.transport.is_aborted)

    def test_a_copy_that_has_no_end_fails_the_next_request(self):
        """Guards against a next request that waits for the rest of a copy."""
        self.exchange(b"a1", answer(b"first", b"a1"))
        events = self.send(b"a2")
        self.receive(answer(b"first", b"a1")[:-1])
        self.connection.eof_received()
        self.assertIsInstance(events.list[-1], AnswerIncomplete)
        self.assertEqual(events.statuses, [])

    def test_a_connection_is_not_reused_after_an_answer_without_an_id(self):
        """Guards against a copy without an id, taken for the next answer.

        A copy of a refusal would say that the next request has not run, and it would
        be sent again.
        """
        for status in (200, 421, 500, 503):
            with self.subTest(status=status):
                self.setUp()
                events = self.exchange(b"a1", answer(b"why", None, status))
                self.assertEqual(events.statuses, [status])
                self.assertFalse(self.connection.is_reusable)

    def test_a_connection_remembers_a_limited_number_of_refusals(self):
        """Guards against ids that fill the memory, and against forgotten ones."""
        for number in range(MAX_REFUSED_IDS):
            self.assertTrue(self.connection.may_carry(b"next"))
            request_id = b"%d" % number
            self.exchange(request_id, answer(b"", request_id, 503))
            self.connection.record_refusal()
            self.assertFalse(self.connection.may_carry(request_id))
        self.assertFalse(self.connection.may_carry(b"next"))

    def test_a_connection_is_replaced_after_the_refusal_of_a_long_id(self):
        """Guards against ids of many KB that fill the memory."""
        request_id = b"a" * (MAX_REFUSED_ID_BYTES + 1)
        self.exchange(request_id, answer(b"", request_id, 503))
        self.connection.record_refusal()
        self.assertFalse(self.connection.may_carry(b"next"))
        self.assertEqual(self.connection._refused_ids, set())

    def test_white_space_around_an_id_is_no_part_of_it(self):
        """Guards against a request that waits for an answer that was skipped."""
        events = self.exchange(b"a1", answer(b"why", b" \ta1\t "))
        self.assertTrue(events.is_complete and self.connection.is_reusable)

    def test_exchanges_without_ids_keep_their_connection(self):
        """Guards against a connection of its own for each call of the store."""
        events = Events()
        self.connection.send(b"...", events)
        self.receive(answer(b"rows"))
        self.assertTrue(events.is_complete and self.connection.is_reusable)


class TestLostConnection(unittest.TestCase):
    def test_a_request_on_a_connection_that_is_lost_fails_at_once(self):
        # It would wait for an answer until its time is over.
        connection, events = ClientConnection(Clock.from_system()), Events()
        connection.connection_made(StandinTransport())
        connection.connection_lost(ConnectionResetError())
        connection.send(b"GET / HTTP/1.1\r\n\r\n", events)
        self.assertEqual([type(event) for event in events.list], [AnswerIncomplete])
        self.assertFalse(connection.is_reusable)


if __name__ == "__main__":
    unittest.main()
