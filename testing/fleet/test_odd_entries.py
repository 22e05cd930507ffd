"""An odd row among those of endpoints or instances costs only itself."""

from __future__ import annotations

import asyncio
import json
import random
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.errors import Failure
from _monsoonpulley.fleet.directory import EndpointDirectory
from _monsoonpulley.fleet.relay import MAX_RELAY_BYTES
from _monsoonpulley.fleet.tablefollower import TableFollower
from _monsoonpulley.ids import InstanceId, ServiceId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.endpoints import decode_endpoint
from _monsoonpulley.platform.store import Row, Rows
from _monsoonpulley.sharing.digest import Digest, decode_message, encode_message
from _monsoonpulley.sharing.members import Members
from _monsoonpulley.sharing.registration import InstanceRow, Registration
from _monsoonpulley.standins.manualloop import running_clock

SOUND = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "state": "draining",
    "slots": 4,
    "born": 1,
}
DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 5_000

ODD_FIELDS = {
    "": (b"1",),
    "x": (b'"\xff"', DEEP, b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "slots": (HUGE, b"-1", b"4611686018427387904", b"1e18", b"NaN"),
    "born": (HUGE, b"9" * 400, b"18446744073709551616", b"-1", b"1e18"),
    "leaves_ms": (HUGE, b"1e308", b"1e999", b"-1e300", b"Infinity"),
    "cold_remaining_ms": (HUGE, b"1e308", b"1e999", b"-1e300", b'"1"'),
    "version": (b'"\\ud800"', b'"\xff"', b'"%s"' % (b"v" * 60_000), b"{}"),
    "service": (b'"\\ud800x"', b'"%s"' % (b"s" * 60_000), b"null"),
    "address": tuple(
        json.dumps(address).encode()
        for address in (
            "",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:-1",
            "10.0.0.1:65536",
            "10.0.0.1:70000",
            "10.0.0.1:" + "9" * 5_000,
            "10.0.0.1:\u0661",
            " 10.0.0.1:80",
            "10.0.0.256:80",
            "a\0b:80",
            "a" * 70 + ":80",
            "host.example:80",
            "http://10.0.0.1:80",
            "[::1]:70000",
        )
    ),
}


def value(field: str = "", text: bytes = b"") -> bytes:
    sound = json.dumps(SOUND).encode()
    return sound[:-1] + b',"%s":%s}' % (field.encode(), text) if text else sound


def odd_values() -> list[bytes]:
    values = [value(field, text) for field in ODD_FIELDS for text in ODD_FIELDS[field]]
    return [*values[1:], b"", b"\xff\xfe", b"null", DEEP, b'{"service":"svc"', HUGE]


class Instance:
    """A directory and its follower, which relays to ``others``."""

    def __init__(self, rows: tuple[Row, ...] = (), is_reader: bool = False):
        self.rows = rows
        self.relays: list[bytes] = []
        clock = running_clock()
        log = Log(clock, lambda line: None)
        self.directory = EndpointDirectory(clock, log, lambda endpoint: None)
        self.follower = TableFollower(
            self,
            "servers",
            self.directory.apply,
            clock,
            log,
            wait_ms=0,
            pause_ms=500,
            max_silence_ms=1_000,
            carries_rows=True,
            content_of=lambda row: decode_endpoint(row.key, row.value or b""),
            is_reader=lambda: is_reader,
            send=self.relays.extend,
        )

    async def read_table(self, table, timeout_ms=0):
        return Rows((), 0)

    async def read_changes(self, table, after, wait_ms, timeout_ms=0):
        return Rows(self.rows, 3)

    def listed(self) -> list[str]:
        return sorted(endpoint.id for endpoint in self.directory.all())


class TestEndpointRows(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_row_takes_no_other_endpoint_out_here_or_elsewhere(self):
        for odd in odd_values():
            with self.subTest(row=odd[:200][-60:]):
                keys = ("a", "odd" * 60, "z")
                values = (value(), odd, value())
                rows = tuple(map(Row, keys, values, (1, 2, 3)))
                reader, other = Instance(rows, is_reader=True), Instance()
                for _ in range(2):
                    await reader.follower.poll_store()
                await other.follower.poll_store()
                for relay in reader.relays:
                    data = encode_message(relay)
                    self.assertLess(len(data), 2 * MAX_RELAY_BYTES)
                    other.follower.handle_relay(decode_message(data))
                for instance in (reader, other):
                    self.assertEqual(instance.listed(), ["a", "z"])

    async def test_an_error_over_one_row_does_not_keep_the_others_from_being_used(self):
        clock = ManualClock()
        lines: list[str] = []

        def fail_for_odd(endpoint, row_version, has_started):
            if endpoint.id == "odd":
                raise OverflowError("not foreseen")

        directory = EndpointDirectory(
            clock, Log(clock, lines.append), lambda endpoint: None, None, fail_for_odd
        )
        sound = json.dumps({**SOUND, "state": "ready"}).encode()
        rows = map(Row, ("a", "odd", "z"), (sound,) * 3, (1, 2, 3))
        directory.apply(Rows(tuple(rows), 3), True)
        ready = directory.ready_endpoints(ServiceId("svc"))
        self.assertEqual([endpoint.id for endpoint in ready], ["a", "z"])
        self.assertTrue(directory.is_loaded)
        self.assertEqual(directory.failed_row_count, 1)
        self.assertIn("endpoint_row_failed", "".join(lines))


ODD_INSTANCE_ROWS = (
    b'{"ip":"10.0.0.1","port":70000}',
    b'{"ip":"10.0.0.1","port":0}',
    b'{"ip":"10.0.0.1","port":%s}' % HUGE,
    b'{"ip":"a\\u0000b","port":80}',
    b'{"ip":"host.example","port":80}',
    b'{"ip":"10.0.0.1","port":80,"x":%s}' % DEEP,
)


class TestInstanceRows(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_sent_to_an_odd_address_which_would_end_all_sending(self):
        clock = ManualClock()
        log = Log(clock, lambda line: None)
        members = Members(InstanceId("own"), clock, log)
        sound = b'{"ip":"10.0.0.1","port":80,"zone":"z"}'
        rows = [Row(f"odd-{n}", odd, n) for n, odd in enumerate(ODD_INSTANCE_ROWS)]

        class FakeStore:
            async def write(self, puts):
                return 1

            async def read_table(self, table):
                return Rows((*rows, Row("z", sound, 9)), 9)

        own = InstanceRow("10.0.0.2", 80, ZoneId("z"))
        registration = Registration(
            members.own, own, FakeStore(), members, clock, log, random.Random(1)
        )
        self.assertEqual(await asyncio.wait_for(registration.register(), 10), "")
        digest = Digest("odd", 1, 1, "10.0.0.1", 70_000)
        received = decode_message(encode_message(digest))
        if not isinstance(received, Failure):
            members.record_digest(received)
        self.assertEqual([member.instance for member in members.all()], ["z"])
