from __future__ import annotations

import unittest

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.journal.record import (
    decode_record,
    encode_record,
    request_id_for,
)

from .world import submission


class RecordTest(unittest.TestCase):
    def test_a_record_survives_encoding(self):
        record = submission("key").to_record("i0", 1, "token", 5, 1_024)
        self.assertEqual(decode_record(encode_record(record)), record)

    def test_unknown_formats_and_garbage_give_failures(self):
        record = submission("key").to_record("i0", 1, "token", 5, 1_024)
        data = encode_record(record)
        for bad in (b"", b"\x63" + data[1:], data[:-3], data[:1] + b"\x01"):
            found = decode_record(bad)
            self.assertIsInstance(found, Failure)
            self.assertEqual(found.reason, Reason.PROTOCOL)

    def test_request_ids_keep_customer_class_and_key_apart(self):
        ids = {
            request_id_for("a", "b", "c"),
            request_id_for("ab", "", "c"),
            request_id_for("a", "bc", ""),
            request_id_for("", "ab", "c"),
        }
        self.assertEqual(len(ids), 4)
        self.assertEqual(request_id_for("a", "b", "c"), request_id_for("a", "b", "c"))

    def test_a_large_body_is_stored_as_an_object(self):
        work = submission("key", b"x" * 100)
        record = work.to_record("i0", 1, "token", 5, 99)
        self.assertEqual(record.call.body, b"")
        self.assertEqual(record.object_names(), (record.call.body_object,))
