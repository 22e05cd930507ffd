"""What other writers leave in rows that both front ends read raises no error."""

from __future__ import annotations

import json
import unittest

import msgspec

from _monsoonpulley.config.rows import decode_revision, read_change_token
from _monsoonpulley.control import fleetrows, leasestate, orders, rolloutrows
from _monsoonpulley.duties.usagereport import _stored_counts
from _monsoonpulley.endpoints.openai_wire import parse_chunk
from _monsoonpulley.errors import Failure
from _monsoonpulley.external.table import Conflict, Row
from _monsoonpulley.journal.record import decode_record
from _monsoonpulley.platform.configuration import decode_configuration
from _monsoonpulley.platform.rollouts import decode_order, decode_status
from _monsoonpulley.quarantine.rows import decode_entry
from _monsoonpulley.requests.handover import decode_index
from _monsoonpulley.requests.quarantinetable import decode_table_entry
from _monsoonpulley.requests.streamstate import decode_state
from _monsoonpulley.sharing.digest import decode_message

DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 400


def row(value: bytes) -> Row:
    return Row("k", value, 1)


READERS = {
    "configuration": decode_configuration,
    "order": lambda value: decode_order(value, 1),
    "status": decode_status,
    "quarantine": lambda value: decode_entry("k", value),
    "quarantine table": lambda value: decode_table_entry("k", value),
    "lease": lambda value: leasestate.decode_row(row(value)),
    "fleet": lambda value: fleetrows.decode(row(value)),
    "fleet head": lambda value: fleetrows.decode_head(row(value)),
    "trip": lambda value: rolloutrows.decode(row(value), rolloutrows.TripRow),
    "order of an engine": lambda value: orders._decode_row(row(value)),
    "revision": lambda value: decode_revision(row(value)),
    "change token": lambda value: read_change_token(row(value)),
    "usage": lambda value: _stored_counts("k", Conflict({"k": row(value)})),
    "chunk": parse_chunk,
    "journal": lambda value: decode_record(b"\1" + value),
    "stream": decode_state,
    "index": decode_index,
    "message": decode_message,
}

ODD_VALUES = {
    "empty": b"",
    "no text": b"\xff\xfe\xfd",
    "nested": b'{"x":' + DEEP + b"}",
    "nested msgpack": b"\x81\xa1x" + b"\x91" * 100_000 + b"\1",
    "nested msgpack list": b"\x91" * 100_000 + b"\1",
    "surrogate": b'{"x":"\\ud800"}',
    "huge order": b'{"service":"s","to":"v","duration_s":1e308}',
    "huge cold start": b'{"version":1,"services":[{"name":"s","cold_start_s":1e308}]}',
}


class TestRows(unittest.TestCase):
    def test_no_odd_value_raises_an_error(self):
        for name, read in READERS.items():
            for odd, value in ODD_VALUES.items():
                with self.subTest(reader=name, odd=odd):
                    read(value)

    def test_an_order_of_endless_duration_is_refused(self):
        for duration in (b"1e308", b"1e300", b"1e12"):
            order = b'{"service":"s","to":"v","duration_s":%s}' % duration
            self.assertIsInstance(decode_order(order, 1), Failure)

    def test_what_can_not_be_sent_to_other_instances_is_not_read(self):
        """A lease or an entry with such a number would end all digests."""
        lease = {"holder": "i", "incarnation": 1, "fencing_number": 1, "token": "t"}
        entry = {"fingerprints": ["f"], "service": "s", "versions": ["v"]}
        entry |= {"since_wall_ms": 1, "instance": "i", "endpoints": ["e"]}
        for reader, sound, field in (
            ("lease", lease, "fencing_number"),
            ("lease", lease, "incarnation"),
            ("quarantine", entry, "since_wall_ms"),
            ("quarantine table", [*entry.values()], 3),
        ):
            read = READERS[reader]
            decoded = read(json.dumps(sound).encode())
            self.assertIsInstance(decoded, msgspec.Struct)
            for number in (HUGE, str(2**64).encode(), b"-1"):
                with self.subTest(reader=reader, field=field, number=number[:20]):
                    odd = sound.copy()
                    odd[field] = msgspec.Raw(number)
                    got = read(msgspec.json.encode(odd))
                    self.assertNotEqual(type(got), type(decoded))
