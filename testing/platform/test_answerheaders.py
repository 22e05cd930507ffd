"""Headers of endpoints' answers."""

from __future__ import annotations

import unittest

from _monsoonpulley.errors import Failure
from _monsoonpulley.platform.answerheaders import (
    is_from_endpoint,
    read_pause_ms,
    read_rate_limit,
)
from _monsoonpulley.wire.events import AnswerHead


def head(status: int = 200, **fields: bytes) -> AnswerHead:
    named = {name.replace("_", "-").encode(): value for name, value in fields.items()}
    return AnswerHead(status, list(named.items()), named)


class TestRateLimit(unittest.TestCase):
    def test_a_decimal_number_is_a_limit(self):
        self.assertEqual(read_rate_limit(head(server_limit=b"1.6")), 1.6)
        self.assertEqual(read_rate_limit(head(server_limit=b"0")), 0)
        self.assertIsNone(read_rate_limit(head()))

    def test_other_values_are_failures(self):
        for value in (b"", b"many", b"-1", b"nan", b"inf", b"1,5", b"1e999"):
            self.assertIsInstance(
                read_rate_limit(head(server_limit=value)), Failure, value
            )

    def test_only_marked_answers_are_the_endpoints_own(self):
        seal, not_run = "monsoonpulley_response_seal", "monsoonpulley_not_executed"
        self.assertTrue(is_from_endpoint(head(**{seal: b"x"})))
        self.assertTrue(is_from_endpoint(head(503, **{not_run: b"1"})))
        self.assertFalse(is_from_endpoint(head(421, **{not_run: b"1"})))
        self.assertFalse(is_from_endpoint(head(500)))


class TestPause(unittest.TestCase):
    WALL_MS = 784_111_777_000
    """Sun, 06 Nov 1994 08:49:37 GMT."""

    def read(self, value: bytes, status: int = 503):
        return read_pause_ms(head(status, retry_after=value), self.WALL_MS)

    def test_seconds_may_have_fractions(self):
        self.assertEqual(self.read(b"2"), 2_000)
        self.assertEqual(self.read(b"0.25"), 250)
        self.assertEqual(self.read(b"0"), 0)
        self.assertEqual(self.read(b"7200"), 7_200_000)

    def test_a_date_is_the_end_of_the_pause(self):
        self.assertEqual(self.read(b"Sun, 06 Nov 1994 08:49:40 GMT"), 3_000)
        self.assertEqual(self.read(b"Sun, 06 Nov 1994 08:00:00 GMT"), 0)

    def test_other_values_are_failures(self):
        for value in (b"", b"-1", b"soon", b"nan", b"inf", b"2 s"):
            self.assertIsInstance(self.read(value), Failure, value)

    def test_only_a_503_asks_for_a_pause(self):
        self.assertIsNone(self.read(b"2", status=429))
        self.assertIsNone(self.read(b"2", status=200))
        self.assertIsNone(read_pause_ms(head(503), self.WALL_MS))
