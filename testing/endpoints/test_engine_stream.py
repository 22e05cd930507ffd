import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.endpoints.engine import Finished, Token
from _monsoonpulley.endpoints.engine_stream import EngineStreamDecoder
from _monsoonpulley.endpoints.openai_wire import CHAT_PATH, AnswerWriter
from _monsoonpulley.endpoints.sse import DONE
from _monsoonpulley.errors import Delivery, Failure

from ..standins.fleet import engine_call

WRITER = AnswerWriter(CHAT_PATH, "x1", 1, "m")
GOOD = (
    WRITER.opening_event(),
    WRITER.token_event("a"),
    WRITER.finish_event("stop"),
    WRITER.usage_event(Finished("a", "stop", 4, 1)),
    DONE,
)
ODD = (
    b"",
    b"null",
    b"{}",
    b'{"id":null}',
    b'{"choices":null}',
    b'{"choices":[{"delta":null}]}',
    b'{"choices":[{"delta":{"content":7}}]}',
    b'{"usage":{"prompt_tokens":-5,"completion_tokens":1e99}}',
    b'{"choices":[' + b"[" * 5_000,
)


class GarbageTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.lists(st.sampled_from(GOOD + ODD) | st.binary(max_size=40), max_size=8))
    def test_any_events_give_tokens_in_order_and_one_end(self, events):
        assembler = EngineStreamDecoder(engine_call(tokens_so_far=5), "e1")
        items = []
        for event in events:
            items.extend(assembler.feed(event))
            if items and not isinstance(items[-1], Token):
                break
        else:
            items.append(assembler.end("closed"))
        offsets = [item.offset for item in items if isinstance(item, Token)]
        self.assertEqual(offsets, list(range(5, 5 + len(offsets))))
        self.assertIsInstance(items[-1], Finished | Failure)
        if isinstance(items[-1], Failure):
            self.assertEqual(items[-1].delivery, Delivery.MAYBE)
        else:
            self.assertIn(WRITER.finish_event("stop"), events)
            self.assertGreaterEqual(items[-1].prompt_tokens, 0)

    def test_valid_events_give_the_complete_answer(self):
        decoder = EngineStreamDecoder(engine_call(), "e1")
        items = [item for event in GOOD for item in decoder.feed(event)]
        self.assertEqual(items[0], Token("r1.1", 0, "a"))
        self.assertEqual(items[1:], [Finished("r1.1", "stop", 4, 1)])

    def test_a_finish_reason_of_a_failure_completes_no_answer(self):
        for reason in (b"error", b"abort"):
            last = b'{"choices":[{"delta":{"content":"out of memory"},'
            last += b'"finish_reason":"%b"}]}' % reason
            decoder = EngineStreamDecoder(engine_call(), "e1")
            events = (*GOOD[:2], last, DONE)
            token, *end = [item for each in events for item in decoder.feed(each)]
            self.assertEqual(token.text, "a")
            self.assertEqual([type(item) for item in end], [Failure])
