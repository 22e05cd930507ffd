"""Memory of a body in small chunks."""

import tracemalloc
import unittest

from _monsoonpulley.wire.bodybuffer import BLOCK_BYTES, BodyBuffer


class TestBodyBuffer(unittest.TestCase):
    def test_returns_what_was_added_once(self):
        buffer = BodyBuffer()
        pieces = [b"a", b"bc", b"d" * (BLOCK_BYTES + 1), b"", b"e"]
        for piece in pieces:
            buffer.add(piece)
        self.assertEqual(buffer.take(), b"".join(pieces))
        self.assertEqual(buffer.take(), b"")

    def test_small_pieces_take_little_more_than_their_bytes(self):
        buffer = BodyBuffer()
        count = 100_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(count):
            buffer.add((number % 65_536).to_bytes(2, "big"))
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 1.5 * 2 * count)
