import asyncio
import unittest

from _monsoonpulley.endpoints.engine import Finished, Token
from _monsoonpulley.endpoints.http_event_stream import EventStream
from _monsoonpulley.endpoints.http_transport import CallTrace, NotResentError
from _monsoonpulley.endpoints.openai_wire import CHAT_PATH, AnswerWriter
from _monsoonpulley.endpoints.sse import sse_event
from _monsoonpulley.errors import Delivery, Reason
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from ..standins.fleet import engine_call

WRITER = AnswerWriter(CHAT_PATH, "x1", 1, "m")
TOKEN = sse_event(WRITER.token_event("a"))
FINISH = sse_event(WRITER.finish_event("stop"))
COMMENT = b": alive\n\n"


class ScriptedResponse:
    """Response whose chunks arrive at given times in milliseconds."""

    def __init__(self, *script):
        self.content = self
        self.closed = asyncio.Event()
        self._chunks = asyncio.Queue()
        loop = asyncio.get_running_loop()
        for at_ms, chunk in script:
            loop.call_later(at_ms / 1000, self._chunks.put_nowait, chunk)

    def close(self):
        self.closed.set()

    async def read(self, size):
        get = asyncio.ensure_future(self._chunks.get())
        closed = asyncio.ensure_future(self.closed.wait())
        await asyncio.wait((get, closed), return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if self.closed.is_set():
            get.cancel()
            raise NotResentError("closed")
        return get.result()


def read_all(*script, consumer_ms=0, **timeouts):
    """Return the items of a stream and the time of the last one in milliseconds."""

    async def main():
        stream = EventStream(engine_call(**timeouts), "e1", CallTrace())
        stream.start(ScriptedResponse(*script))
        items = []
        while not items or isinstance(items[-1], Token):
            for item in await stream.read():
                items.append(item)
                last_item_ms = running_clock().now_ms()
                await running_clock().sleep_ms(consumer_ms)
                stream.renew_deadline()
        stream.close()
        return items, last_item_ms

    return run_manual(main())


class DeadlineTest(unittest.TestCase):
    def check_timed_out(self, result, at_ms):
        items, last_item_ms = result
        self.assertEqual(items[-1].reason, Reason.TIMEOUT)
        self.assertEqual(items[-1].delivery, Delivery.MAYBE)
        self.assertEqual(last_item_ms, at_ms)

    def test_the_first_token_has_its_own_time_limit(self):
        limits = {"first_token_timeout_ms": 900, "token_timeout_ms": 50}
        items, _ = read_all((890, TOKEN), (930, FINISH), (930, b""), **limits)
        self.assertIsInstance(items[-1], Finished)
        self.check_timed_out(read_all(**limits), 900)

    def test_a_shorter_limit_between_tokens_applies_from_the_first_token(self):
        limits = {"first_token_timeout_ms": 60_000, "token_timeout_ms": 50}
        self.check_timed_out(read_all((10, TOKEN), (40, TOKEN), **limits), 90)

    def test_comments_and_empty_events_do_not_move_the_deadline(self):
        idle = [(at_ms, COMMENT) for at_ms in range(20, 2_000, 20)]
        empty = [(at_ms, sse_event(b"{}")) for at_ms in range(25, 2_000, 20)]
        script = [(10, TOKEN), *idle, *empty]
        self.check_timed_out(read_all(*script, token_timeout_ms=100), 110)

    def test_time_that_the_consumer_takes_does_not_count(self):
        script = [(0, TOKEN), (20, TOKEN), (220, FINISH), (220, b"")]
        limits = {"first_token_timeout_ms": 500, "token_timeout_ms": 50}
        items, _ = read_all(*script, consumer_ms=150, **limits)
        self.assertIsInstance(items[-1], Finished)

    def test_a_timeout_after_the_finish_reason_is_no_failure(self):
        items, last_item_ms = read_all((0, TOKEN), (10, FINISH), token_timeout_ms=50)
        self.assertIsInstance(items[-1], Finished)
        self.assertEqual(last_item_ms, 50)
