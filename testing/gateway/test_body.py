import asyncio
import unittest

from starlette.requests import Request

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.gateway.body import BODY_TIMEOUT_MS, read_body
from _monsoonpulley.standins.manualloop import run_manual, running_clock

SCOPE = {"type": "http", "method": "POST", "path": "/", "headers": []}


def read(messages, gap_s=0.0, max_bytes=10):
    """Return a body whose parts arrive ``gap_s`` apart, and the time in ms."""
    remaining_messages = iter(messages)

    async def receive():
        await asyncio.sleep(gap_s)
        return next(remaining_messages)

    async def main():
        body = await read_body(Request(SCOPE, receive), max_bytes)
        return body, running_clock().now_ms()

    return run_manual(main())


def part(body, more=True):
    return {"type": "http.request", "body": body, "more_body": more}


class BodyTest(unittest.TestCase):
    def test_parts_are_joined(self):
        body, _ = read([part(b"ab"), part(b"cd", more=False)])
        self.assertEqual(body, b"abcd")

    def test_a_body_without_a_declared_length_is_rejected_at_the_size_limit(self):
        body, _ = read([part(b"12345678") for _ in range(100)])
        self.assertIsInstance(body, Failure)
        self.assertIs(body.reason, Reason.BODY_TOO_LARGE)

    def test_a_caller_that_sends_too_slowly_gets_a_timeout(self):
        body, elapsed_ms = read(
            [part(b"x") for _ in range(100)], gap_s=9, max_bytes=999
        )
        self.assertIs(body.reason, Reason.TIMEOUT)
        self.assertEqual(elapsed_ms, BODY_TIMEOUT_MS)

    def test_a_disconnect_while_sending_the_body_counts_as_cancelled(self):
        body, _ = read([part(b"x"), {"type": "http.disconnect"}])
        self.assertIs(body.reason, Reason.CANCELLED)
