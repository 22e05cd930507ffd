import unittest

from _monsoonpulley.ingress.eventsplitter import EventSplitter

STREAM = (
    b": alive\n\nid: 1\ndata: one\n\n\n\n: alive\n\ndata: two\ndata: lines\n\n"
    b"event: x\nid: 3\n\n\ndata\n\nid: 5\ndata: cut off"
)
CONTENT = [
    (b"id: 1\ndata: one\n\n", b"1", True),
    (b"data: two\ndata: lines\n\n", None, True),
    (b"event: x\nid: 3\n\n", b"3", False),
    (b"data\n\n", None, True),
]


def split(*pieces, max_count=100):
    """Return the events of a stream that is read in pieces, and the splitter."""
    splitter, events = EventSplitter(), []
    for piece in pieces:
        splitter.feed(piece)
        while splitter.has_events:
            events += splitter.take_events(max_count)
    return events, splitter


class TestEventSplitter(unittest.TestCase):
    def check(self, events):
        content = [(e.raw.lstrip(b"\n"), e.id, e.has_data) for e in events]
        self.assertEqual([c for c in content if c[1] or c[2]], CONTENT)
        whole = b"".join(event.raw for event in events)
        self.assertEqual(whole, STREAM[: len(whole)])
        self.assertEqual(STREAM[len(whole) :], b"id: 5\ndata: cut off")

    def test_bytes_are_unchanged_wherever_reads_end(self):
        self.check(split(STREAM)[0])
        self.check(split(*(bytes([byte]) for byte in STREAM))[0])
        for cut in range(len(STREAM)):
            self.check(split(STREAM[:cut], STREAM[cut:])[0])
            self.check(split(STREAM[:cut], STREAM[cut:], max_count=1)[0])

    def test_events_without_content_come_as_one(self):
        events, _ = split(b"\n" * 1_001 + b": x\n\n" * 1_000)
        self.assertEqual(len(events), 1)
        self.assertFalse(events[0].has_data)

    def test_no_more_events_are_taken_than_asked_for(self):
        splitter = EventSplitter()
        splitter.feed(b"data: x\n\n" * 5)
        taken = []
        while splitter.has_events:
            taken.append(len(splitter.take_events(2)))
        self.assertEqual(taken, [2, 2, 1])

    def test_an_incomplete_event_is_noticed(self):
        _, splitter = split(STREAM)
        self.assertTrue(splitter.has_partial_event)
        _, splitter = split(b"data: x\n\n\n")
        self.assertFalse(splitter.has_partial_event)

    def test_the_limit_of_an_event_does_not_count_whole_events(self):
        splitter = EventSplitter()
        splitter.feed(b"data: x\n\n" * 200_000)
        self.assertFalse(splitter.is_too_large)
        splitter.feed(b"data: " + b"x" * 1_100_000)
        self.assertTrue(splitter.is_too_large)
