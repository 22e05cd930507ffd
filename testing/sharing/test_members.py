"""Reachability and expiry of members, choice of readers, encoding of digests."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.errors import Failure
from _monsoonpulley.ids import InstanceId, ZoneId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.sharing.digest import Digest, decode_message, encode_message
from _monsoonpulley.sharing.members import (
    MAX_PARTITION_MS,
    MAX_SILENCE_MS,
    MEMBER_EXPIRY_MS,
    Members,
)

OWN = InstanceId("own")


def digest(name: str, sequence: int = 1, incarnation: int = 1, **changes) -> Digest:
    return Digest(name, incarnation, sequence, "10.0.0.1", 7600, **changes)


class TestMembers(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.members = Members(OWN, self.clock, Log(self.clock, lambda line: None))

    def test_members_from_rows_are_reachable_after_a_digest(self):
        for name in ("a", "b", OWN):
            self.members.record_address(InstanceId(name), "10.0.0.1", 7600)
        self.assertEqual(self.members.refresh_counts(), (1, 3))
        self.members.record_digest(digest("a"))
        self.assertEqual(self.members.refresh_counts(), (2, 3))

    def test_a_digest_adds_an_instance_without_a_row(self):
        self.assertTrue(self.members.record_digest(digest("new")))
        self.assertEqual(self.members.refresh_counts(), (2, 2))

    def test_an_instance_that_stops_or_is_silent_serves_no_one(self):
        self.assertFalse(self.members.has_serving())
        self.members.record_digest(digest("a"))
        self.members.record_digest(digest("b", is_leaving=True))
        self.assertTrue(self.members.has_serving())
        self.clock.advance_ms(MAX_SILENCE_MS)
        self.members.record_digest(digest("b", 2, is_leaving=True))
        self.assertFalse(self.members.has_serving())

    def test_a_silent_instance_counts_until_it_expires(self):
        for name in "abc":
            self.members.record_digest(digest(name))
        self.clock.advance_ms(MAX_SILENCE_MS)
        for name in "ab":
            self.members.record_digest(digest(name, 2))
        self.assertEqual(self.members.refresh_counts(), (3, 4))
        self.clock.advance_ms(MEMBER_EXPIRY_MS)
        for name in "ab":
            self.members.record_digest(digest(name, 3))
        self.assertEqual(self.members.refresh_counts(), (3, 3))

    def test_a_partitioned_instance_expires_no_member(self):
        for name in "abcd":
            self.members.record_digest(digest(name))
        self.clock.advance_ms(MEMBER_EXPIRY_MS * 3)
        self.members.record_digest(digest("a", 2))
        self.assertEqual(self.members.refresh_counts(), (2, 5))

    def test_a_cut_off_instance_is_expected_back_but_a_lost_one_is_not(self):
        for name in "abc":
            self.members.record_digest(digest(name))
        self.members.record_digest(digest("b", 2, is_leaving=True))
        self.clock.advance_ms(MAX_SILENCE_MS)
        self.members.record_digest(digest("a", 2))
        self.assertEqual(self.members.expected_ids(), ["a", "c"])
        self.clock.advance_ms(MAX_PARTITION_MS)
        self.members.record_digest(digest("a", 3))
        self.assertEqual(self.members.expected_ids(), ["a"])

    def test_older_digests_are_ignored(self):
        self.assertTrue(self.members.record_digest(digest("a", 5, 2)))
        self.assertFalse(self.members.record_digest(digest("a", 5, 2)))
        self.assertFalse(self.members.record_digest(digest("a", 9, 1)))
        self.assertTrue(self.members.record_digest(digest("a", 1, 3)))

    def test_only_a_reachable_member_is_the_lease_holder(self):
        self.members.record_digest(digest("a", lease_token=4))
        self.members.record_digest(digest("b", lease_token=5))
        self.assertEqual(self.members.lease_holder().instance, "b")
        self.members.record_digest(digest("b", 2, is_leaving=True, lease_token=5))
        self.assertEqual(self.members.lease_holder().instance, "a")
        self.clock.advance_ms(MAX_SILENCE_MS)
        self.assertIsNone(self.members.lease_holder())


class TestReaders(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.members = Members(
            InstanceId("m"), self.clock, Log(self.clock, lambda line: None)
        )

    def is_reader(self) -> bool:
        return self.members.is_reader(ZoneId("zone-b"))

    def test_readers_are_in_different_zones(self):
        self.members.record_digest(digest("a1", zone="zone-a"))
        self.members.record_digest(digest("a2", zone="zone-a"))
        self.assertTrue(self.is_reader())
        self.members.record_digest(digest("l", zone="zone-b"))
        self.assertFalse(self.is_reader())

    def test_members_that_leave_or_do_not_reach_the_store_are_no_readers(self):
        self.members.record_digest(digest("a1", zone="zone-a"))
        self.members.record_digest(digest("l", zone="zone-b"))
        self.assertFalse(self.is_reader())
        self.members.record_digest(digest("l", 2, zone="zone-b", reaches_store=False))
        self.assertTrue(self.is_reader())
        self.members.record_digest(digest("l", 3, zone="zone-b", is_leaving=True))
        self.assertTrue(self.is_reader())

    def test_an_instance_without_reachable_members_is_a_reader(self):
        for name in "abc":
            self.members.record_digest(digest(name, zone="zone-a"))
            self.members.record_digest(digest(f"{name}2", zone="zone-b"))
        self.clock.advance_ms(MAX_SILENCE_MS)
        self.assertTrue(self.is_reader())

    def test_all_instances_choose_the_same_two_readers(self):
        names = {f"{zone}{n}": f"zone-{zone}" for zone in "abc" for n in range(3)}
        readers = []
        for own, zone in names.items():
            members = Members(
                InstanceId(own), self.clock, Log(self.clock, lambda line: None)
            )
            for name, member_zone in names.items():
                members.record_digest(digest(name, zone=member_zone))
            if members.is_reader(ZoneId(zone)):
                readers.append(own)
        self.assertEqual(readers, ["a0", "b0"])


class TestDigest(unittest.TestCase):
    def test_a_digest_is_decoded_as_encoded(self):
        sent = digest(
            "a",
            configuration=7,
            loads={"i-1": (3, 4_000, 9_000)},
            used={"customer-1": 12.5},
        )
        self.assertEqual(decode_message(encode_message(sent)), sent)

    def test_a_malformed_message_is_a_failure(self):
        for data in (b"", b"\xff" * 10, b"{}", encode_message(digest("a"))[:-3]):
            self.assertIsInstance(decode_message(data), Failure)
