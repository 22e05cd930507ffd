"""Values read from callers' headers."""

import unittest

from _monsoonpulley.platform.requestheaders import (
    MAX_PART_ID_BYTES,
    parse_request_headers,
)
from _monsoonpulley.wire.requestmessage import RequestMessage


def parts(prefix: bytes) -> list[str]:
    fields = {b"monsoonpulley-prompt-prefix": prefix}
    request = RequestMessage(b"POST", b"/a", [], fields, b"", True, 0)
    return [part.id for part in parse_request_headers(request).parts]


class TestPromptParts(unittest.TestCase):
    """Guards against ids of many KB that are remembered after their requests."""

    def test_ids_as_users_send_them_are_kept(self):
        longest = b"f" * MAX_PART_ID_BYTES
        ids = parts(b"5c1e07a2:800,91bd3f06:410," + longest + b":250")
        self.assertEqual(ids, ["5c1e07a2", "91bd3f06", longest.decode()])

    def test_long_ids_are_short_and_differ_as_before(self):
        first, second = b"a" * 7_000, b"a" * 6_999 + b"b"
        ids = parts(first + b":1," + second + b":1," + first + b":1")
        self.assertEqual(ids[0], ids[2])
        self.assertNotEqual(ids[0], ids[1])
        self.assertTrue(all(len(each) <= MAX_PART_ID_BYTES for each in ids))
