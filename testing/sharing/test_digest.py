"""Messages between builds that know of more and of fewer fields."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.fleet.relay import Relay, RelayedRow
from _monsoonpulley.quarantine.evidence import Entry
from _monsoonpulley.sharing.digest import Digest, decode_message, encode_message


class OlderDigest(msgspec.Struct, array_like=True, frozen=True, tag="digest"):
    """The fields of a digest before those on eras and on endpoints' statements."""

    instance: str
    incarnation: int
    sequence: int
    ip: str
    port: int
    zone: str = ""
    configuration: int = 0
    is_leaving: bool = False
    reaches_store: bool = True
    lease_token: int = 0
    loads: dict = {}
    used: dict = {}
    rollouts: tuple = ()
    results: tuple = ()
    demand: dict = {}
    learned: dict = {}
    lease_row: list | None = None


class OlderRelay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """The fields of a relay before the era."""

    table: str
    since: int
    until: int
    rows: tuple = ()
    has_more: bool = False
    must_forward: bool = False


class TestBuilds(unittest.TestCase):
    def test_an_older_digest_is_read(self):
        sent = OlderDigest("i-1", 1, 2, "10.0.0.1", 7600, "zone-a", 5)
        got = decode_message(msgspec.msgpack.encode(sent))
        self.assertEqual((got.instance, got.configuration), ("i-1", 5))
        self.assertEqual((got.era, got.rate_limits, got.leaving), (0, {}, {}))

    def test_an_older_build_reads_a_digest(self):
        sent = Digest("i-1", 1, 2, "10.0.0.1", 7600, rate_limits={"e": (1.5, 3)}, era=4)
        got = msgspec.msgpack.decode(encode_message(sent), type=OlderDigest)
        self.assertEqual((got.instance, got.lease_row), ("i-1", None))

    def test_an_older_build_reads_a_digest_with_entries(self):
        entry = Entry(("part-1",), "svc", ("v1",), 5, "i-1", ("e",))
        sent = Digest(
            "i-1",
            1,
            2,
            "10.0.0.1",
            7600,
            quarantined=((entry, 7),),
            served={"part-2": 8},
            work={"svc": {0: {"customer-1": (30, 20, 10, 8)}}},
        )
        data = encode_message(sent)
        got = msgspec.msgpack.decode(data, type=OlderDigest)
        self.assertEqual((got.instance, got.lease_row), ("i-1", None))
        self.assertEqual(decode_message(data), sent)

    def test_older_relays_are_read_and_have_no_era(self):
        sent = OlderRelay("servers", 4, 5, (("a", b"x", 5),))
        got = decode_message(msgspec.msgpack.encode(sent))
        self.assertEqual(got.rows, (RelayedRow("a", b"x", 5),))
        self.assertEqual(got.era, 0)

    def test_an_older_build_reads_relays_with_the_versions_of_the_store(self):
        sent = Relay("servers", 4, 5, (RelayedRow("a", b"x", 5),), era=3)
        got = msgspec.msgpack.decode(encode_message(sent), type=OlderRelay)
        self.assertEqual((got.since, got.until), (4, 5))

    def test_statements_of_endpoints_survive_the_wire(self):
        sent = Digest(
            "i-1",
            1,
            2,
            "10.0.0.1",
            7600,
            rate_limits={"e": (1.5, 3), "f": (None, 10)},
            leaving={"g": 7, "h": None},
        )
        self.assertEqual(decode_message(encode_message(sent)), sent)
