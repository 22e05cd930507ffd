import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.endpoints.sse import SseOverflowError, SseParser, sse_event

STREAM = (
    b"\xef\xbb\xbfdata: one\n\n: comment\r\n\r\n"
    b"event: x\rid: 7\rdata:two\rdata: lines\r\r"
    b"data: caf\xc3\xa9\r\n\r\ndata\n\nignored: 1\n\ndata: {}\n\ndata: cut off"
)
EVENTS = [b"one", b"two\nlines", b"caf\xc3\xa9", b"", b"{}"]


def parse(chunks, **kwargs):
    parser = SseParser(**kwargs)
    return [event for chunk in chunks for event in parser.feed(chunk)]


class SseParserTest(unittest.TestCase):
    def test_split_at_every_byte(self):
        self.assertEqual(parse([STREAM]), EVENTS)
        self.assertEqual(parse([bytes([byte]) for byte in STREAM]), EVENTS)
        for cut in range(len(STREAM)):
            self.assertEqual(parse([STREAM[:cut], STREAM[cut:]]), EVENTS)

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(st.lists(st.integers(0, len(STREAM)), max_size=12))
    def test_split_anywhere(self, cuts):
        edges = [0, *sorted(cuts), len(STREAM)]
        pieces = [STREAM[a:b] for a, b in itertools.pairwise(edges)]
        self.assertEqual(parse(pieces), EVENTS)

    def test_events_and_lines_over_the_limit_are_rejected(self):
        for chunk in (b"x" * 50, b"data: " + b"y" * 10 + b"\n", b"data\n"):
            with self.assertRaises(SseOverflowError):
                parse([chunk] * 1_000, max_event_bytes=200)

    def test_comments_between_events_are_no_stream_without_data(self):
        """Guards against sound streams that are cut for what keeps them open."""
        idle = b": alive\n\n" * 10
        events = parse([idle, b"data: x\n\n"] * 100, max_bytes_without_data=150)
        self.assertEqual(events, [b"x"] * 100)
        with self.assertRaises(SseOverflowError):
            parse([idle, idle], max_bytes_without_data=150)

    def test_the_limit_holds_per_event_not_per_stream(self):
        events = parse([sse_event(b"z" * 90, "r1:7")] * 1_000, max_event_bytes=100)
        self.assertEqual(events, [b"z" * 90] * 1_000)
