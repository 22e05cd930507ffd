"""Headers of endpoints' answers."""

from __future__ import annotations

import unittest

from _monsoonpulley.errors import Failure
from _monsoonpulley.platform.answerheaders import is_from_endpoint, read_rate_limit
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
