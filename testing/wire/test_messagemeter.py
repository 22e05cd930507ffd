"""Sizes of messages that don't end."""

import unittest
from http import HTTPStatus

from _monsoonpulley.wire.messagemeter import MessageMeter

MAX_HEADER_BYTES = 1_000


class TestMessageMeter(unittest.TestCase):
    def setUp(self):
        self.meter = MessageMeter()

    def begin_body(self) -> None:
        self.meter.begin_read(20)
        self.meter.begin_message()
        self.meter.add_header(b"name", b"value")
        self.meter.end_head(1, 1)
        self.assertIsNone(self.meter.end_read(MAX_HEADER_BYTES))

    def read(self, size_bytes: int, body_bytes: int = 0) -> HTTPStatus | None:
        self.meter.begin_read(size_bytes)
        self.meter.add_body(body_bytes)
        return self.meter.end_read(MAX_HEADER_BYTES)

    def test_a_head_without_end_is_refused(self):
        self.assertIsNone(self.read(1_000))
        status = self.read(1)
        self.assertEqual(status, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def test_the_beginning_of_a_head_counts(self):
        self.meter.begin_read(600)
        self.meter.begin_message()
        self.assertIsNone(self.meter.end_read(MAX_HEADER_BYTES))
        self.assertIsNotNone(self.read(600))

    def test_line_ends_before_a_message_count_as_its_head(self):
        self.begin_body()
        self.meter.end_message()
        status = self.read(1_001)
        self.assertEqual(status, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def test_the_size_of_a_head_is_that_of_its_target_and_lines(self):
        self.meter.begin_message()
        self.assertTrue(self.meter.add_header(b"name", b"value"))
        self.assertEqual(self.meter.end_head(10, 1), 10 + 9 + 4)

    def test_trailers_are_no_headers_and_are_refused_without_end(self):
        self.begin_body()
        for _ in range(70):
            self.meter.begin_read(14)
            self.assertFalse(self.meter.add_header(b"name", b"value"))
            self.assertIsNone(self.meter.end_read(MAX_HEADER_BYTES))
        for _ in range(7):
            self.meter.begin_read(14)
            self.meter.add_header(b"name", b"value")
        status = self.meter.end_read(MAX_HEADER_BYTES)
        self.assertEqual(status, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def test_a_trailer_without_end_is_refused(self):
        self.begin_body()
        statuses = [self.read(100) for _ in range(11)]
        self.assertEqual(statuses[:10], [None] * 10)
        self.assertIsNotNone(statuses[10])

    def test_a_body_in_chunks_of_one_byte_is_allowed(self):
        self.begin_body()
        for _ in range(10_000):
            self.assertIsNone(self.read(60, body_bytes=10))

    def test_chunks_with_long_extensions_without_end_are_refused(self):
        self.begin_body()
        statuses = [self.read(100, body_bytes=1) for _ in range(50)]
        self.assertEqual(statuses[-1], HTTPStatus.BAD_REQUEST)

    def test_each_message_is_counted_by_itself(self):
        for _ in range(100):
            self.begin_body()
            self.assertIsNone(self.read(200, body_bytes=100))
            self.meter.end_message()
