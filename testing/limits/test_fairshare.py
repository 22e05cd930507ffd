"""Fair shares of the work between customers."""

from __future__ import annotations

import unittest

import msgspec

from _monsoonpulley.ids import CustomerId, InstanceId, ServiceId
from _monsoonpulley.limits.fairshare import (
    MAX_DIGEST_ENTRIES,
    MIN_FACTOR,
    FairShares,
    fair_level,
)
from _monsoonpulley.sharing.bundles import MAX_BUNDLE_DIGESTS

DATAGRAM_BYTES, OTHER_BYTES = 65_507, 1_000
SERVICE = ServiceId("model")
SMALL, LARGE = CustomerId("small"), CustomerId("large")


def record(shares, customer, admitted, refused, rank=0, work_ms=10.0):
    for is_admitted, count in ((True, admitted), (False, refused)):
        for _ in range(count):
            shares.record(SERVICE, rank, customer, work_ms, 0, is_admitted=is_admitted)


class TestFairShares(unittest.TestCase):
    def setUp(self):
        self.shares = FairShares()

    def factor(self, customer, rank=0, now_ms=200):
        return self.shares.limit_factor(SERVICE, rank, customer, now_ms)

    def test_nothing_changes_while_all_that_arrives_is_admitted(self):
        record(self.shares, SMALL, 5, 0)
        record(self.shares, LARGE, 500, 0)
        self.assertEqual([self.factor(SMALL), self.factor(LARGE)], [1.0, 1.0])

    def test_nothing_changes_for_the_only_customer(self):
        record(self.shares, LARGE, 50, 50, rank=0)
        record(self.shares, LARGE, 50, 0, rank=1)
        self.assertEqual([self.factor(LARGE), self.factor(LARGE, 1)], [1.0, 1.0])

    def test_the_one_above_its_share_is_refused_first_and_the_other_is_not(self):
        record(self.shares, SMALL, 10, 10)
        record(self.shares, LARGE, 60, 60)
        self.assertEqual(self.factor(SMALL), 1.0)
        self.assertLess(self.factor(LARGE), 1.0)

    def test_shares_are_of_work_and_not_of_requests(self):
        record(self.shares, SMALL, 50, 50, work_ms=1.0)
        record(self.shares, LARGE, 10, 10, work_ms=100.0)
        self.assertEqual(self.factor(SMALL), 1.0)
        self.assertLess(self.factor(LARGE), 1.0)

    def test_a_factor_has_a_lower_bound(self):
        # At 0, endpoints would be idle between two requests.
        record(self.shares, SMALL, 10, 90)
        record(self.shares, LARGE, 90, 10)
        self.assertEqual(self.factor(LARGE), MIN_FACTOR)

    def test_a_customers_share_is_for_its_most_urgent_requests_first(self):
        record(self.shares, SMALL, 10, 20, rank=1)
        for rank in (0, 1):
            record(self.shares, LARGE, 30, 70, rank=rank)
        urgent, other = (
            self.shares.standing(SERVICE, rank, LARGE, 200) for rank in (0, 1)
        )
        self.assertGreater(urgent.share_ms, other.share_ms)
        self.assertLess(other.factor, urgent.factor)

    def test_a_kind_is_not_admitted_more_often_than_a_more_urgent_one(self):
        for customer in (SMALL, LARGE):
            record(self.shares, customer, 50, 50, rank=0)
            record(self.shares, customer, 70, 30, rank=1)
        self.assertEqual(self.factor(SMALL, 0), 1.0)
        self.assertLess(self.factor(SMALL, 1), 1.0)

    def test_a_kind_that_is_starved_gets_more_and_the_others_yield(self):
        for customer in (SMALL, LARGE):
            record(self.shares, customer, 80, 20, rank=0)
            record(self.shares, customer, 1, 20, rank=1)
        self.assertGreater(self.factor(SMALL, 1), 1.0)
        self.assertLess(self.factor(SMALL, 0), 1.0)

    def test_the_share_is_given_back_within_seconds(self):
        record(self.shares, SMALL, 10, 10)
        record(self.shares, LARGE, 60, 60)
        self.assertEqual(self.factor(LARGE, now_ms=30_000), 1.0)

    def test_shares_are_those_of_all_instances_and_of_the_reachable_ones(self):
        # Here the large customer looks no larger than the small one.
        record(self.shares, SMALL, 10, 10)
        record(self.shares, LARGE, 10, 10)
        self.assertEqual(self.factor(LARGE), 1.0)
        other = FairShares()
        record(other, LARGE, 90, 90)
        peer = InstanceId("i-2")
        for _ in range(2):  # A repeated digest counts once.
            self.shares.update_peer(peer, other.own_entries(0))
        self.assertLess(self.factor(LARGE, now_ms=400), 1.0)
        self.shares.remove_peer(peer)
        self.assertEqual(self.factor(LARGE, now_ms=600), 1.0)

    def test_a_kind_with_hardly_a_request_does_not_hold_back_the_others(self):
        """Guards against a share of a part of a request that counts as a refusal."""
        self.shares.record(SERVICE, 0, CustomerId("rare"), 100.0, 0, is_admitted=True)
        for number in range(1_000):
            now_ms = 10 * number
            self.shares.record(
                SERVICE,
                1,
                CustomerId("usual"),
                100.0,
                now_ms,
                is_admitted=number % 10 > 0,
            )
        factor = self.shares.limit_factor(SERVICE, 1, CustomerId("usual"), 10_000)
        self.assertGreater(factor, 0.5)

    def test_digests_have_a_bounded_number_of_entries(self):
        # The digests of a bundle, with all their fields, have to fit into a datagram.
        for number in range(2 * MAX_DIGEST_ENTRIES):
            record(self.shares, CustomerId(f"customer-{number:04}"), 1 + number, 0)
        entries = self.shares.own_entries(0)
        self.assertEqual(len(entries[SERVICE][0]), MAX_DIGEST_ENTRIES)
        self.assertIn(f"customer-{2 * MAX_DIGEST_ENTRIES - 1:04}", entries[SERVICE][0])
        size = len(msgspec.msgpack.encode(entries))
        self.assertLess(size, DATAGRAM_BYTES / MAX_BUNDLE_DIGESTS - OTHER_BYTES)


class TestFairLevel(unittest.TestCase):
    def test_what_small_ones_leave_goes_to_the_others(self):
        self.assertAlmostEqual(fair_level([(0, 10), (0, 100), (0, 100)], 110), 50)

    def test_least_shares_count(self):
        self.assertAlmostEqual(fair_level([(40, 100), (0, 100), (0, 100)], 60), 10)
