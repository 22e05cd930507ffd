"""Quotas over several instances, simulated with the exchange of their digests."""

from __future__ import annotations

import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.fleet.model import Configuration, Customer, Quota
from _monsoonpulley.ids import CustomerId, InstanceId
from _monsoonpulley.limits.quota import QuotaLedger, QuotaRefusal
from _monsoonpulley.wire.serverconnection import CallerLimits

CUSTOMER = CustomerId("customer-1")
RATE_PER_S, BURST, WINDOW_S = 1_000.0, 1_000.0, 8
OVERAGE, SLACK = 0.1, 1_000.0
COST = 10


def configuration(rate_per_s=RATE_PER_S, burst=BURST) -> Configuration:
    quota = Quota(True, rate_per_s, burst, 200)
    return Configuration(
        version=1,
        routes_by_host={},
        services={},
        customers={CUSTOMER: Customer(CUSTOMER, None, quota)},
        customer_by_key={},
        has_customers=True,
        limits=CallerLimits(),
    )


def ledger(*, starts_full=True) -> QuotaLedger:
    made = QuotaLedger(WINDOW_S, OVERAGE, SLACK, starts_full=starts_full)
    made.configure(configuration(), 0)
    return made


class Group:
    """Instances whose callers send far more than the quota allows."""

    def __init__(self, count: int, rng: random.Random):
        self.ledgers = [ledger() for _ in range(count)]
        self.incarnations = [1] * count
        self.is_partitioned = [False] * count
        self.rng = rng
        self.consumed: list[tuple[int, float]] = []

    def run(self, start_ms: int, end_ms: int) -> None:
        for now_ms in range(start_ms, end_ms, 10):
            if now_ms % 150 == 0:
                self.exchange_digests(now_ms)
            for each in self.ledgers:
                for _ in range(self.rng.choice((0, 1, 3))):
                    if each.consume(CUSTOMER, COST, now_ms) is None:
                        self.consumed.append((now_ms, COST))

    def exchange_digests(self, now_ms: int) -> None:
        count = len(self.ledgers)
        for index, each in enumerate(self.ledgers):
            reachable_ids = set()
            for other in range(count):
                if (
                    other == index
                    or self.is_partitioned[index]
                    or self.is_partitioned[other]
                ):
                    continue
                name = InstanceId(str(other))
                reachable_ids.add(name)
                used = self.ledgers[other].used_by_customer()
                each.record_peer_usage(name, self.incarnations[other], used)
            each.set_members(frozenset(reachable_ids), count, now_ms)

    def restart(self, index: int, now_ms: int) -> None:
        self.ledgers[index] = QuotaLedger(WINDOW_S, OVERAGE, SLACK, starts_full=False)
        self.ledgers[index].configure(configuration(), now_ms)
        self.ledgers[index].set_members(frozenset(), len(self.ledgers), now_ms)
        self.incarnations[index] += 1

    def max_window_cost(self) -> float:
        return max_window_cost(self.consumed)


def max_window_cost(consumed: list[tuple[int, float]]) -> float:
    """Return the highest sum of costs in any window, from times in ms and costs."""
    max_cost = total = 0.0
    start = 0
    for now_ms, cost in consumed:
        total += cost
        while consumed[start][0] <= now_ms - WINDOW_S * 1000:
            total -= consumed[start][1]
            start += 1
        max_cost = max(max_cost, total)
    return max_cost


ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK


class TestGroup(unittest.TestCase):
    def test_instances_together_stay_within_the_quota(self):
        group = Group(6, random.Random(1))
        group.run(0, 20_000)
        self.assertLessEqual(group.max_window_cost(), ALLOWED)

    def test_the_quota_can_be_used_up(self):
        group = Group(6, random.Random(1))
        group.run(0, 20_000)
        consumed = sum(cost for _, cost in group.consumed)
        self.assertGreaterEqual(consumed, 0.95 * (RATE_PER_S * 20 + BURST))

    def test_one_instance_may_use_the_whole_quota(self):
        group = Group(6, random.Random(1))
        busy = group.ledgers[0]
        consumed = 0
        for now_ms in range(0, 10_000, 10):
            if now_ms % 150 == 0:
                group.exchange_digests(now_ms)
            for _ in range(2):
                consumed += COST * (busy.consume(CUSTOMER, COST, now_ms) is None)
        self.assertGreaterEqual(consumed, 0.95 * (RATE_PER_S * 10 + BURST))

    @settings(max_examples=30, derandomize=True, deadline=None)
    @given(
        st.lists(st.booleans(), min_size=6, max_size=6),
        st.integers(min_value=0, max_value=8_000),
    )
    def test_cut_groups_together_stay_within_the_quota(self, is_partitioned, at_ms):
        group = Group(6, random.Random(3))
        at_ms -= at_ms % 150
        group.run(0, at_ms)
        group.is_partitioned = is_partitioned
        group.run(at_ms, at_ms + 12_000)
        group.is_partitioned = [False] * 6
        group.run(at_ms + 12_000, at_ms + 20_000)
        self.assertLessEqual(group.max_window_cost(), ALLOWED)

    def test_groups_cut_right_after_the_start_stay_within_the_quota(self):
        for pattern in itertools.product((False, True), repeat=6):
            for at_ms in range(0, 900, 150):
                with self.subTest(is_partitioned=pattern, at_ms=at_ms):
                    group = Group(6, random.Random(3))
                    group.run(0, at_ms)
                    group.is_partitioned = list(pattern)
                    group.run(at_ms, at_ms + 12_000)
                    self.assertLessEqual(group.max_window_cost(), ALLOWED)

    @settings(max_examples=20, derandomize=True, deadline=None)
    @given(
        st.lists(st.integers(min_value=0, max_value=5), max_size=12),
        st.integers(min_value=1_000, max_value=9_000),
    )
    def test_restarted_instances_do_not_start_with_a_quota_of_their_own(
        self, restarts, at_ms
    ):
        group = Group(6, random.Random(4))
        at_ms -= at_ms % 150
        group.run(0, at_ms)
        for index in restarts:
            group.restart(index, at_ms)
        group.run(at_ms, at_ms + 15_000)
        self.assertLessEqual(group.max_window_cost(), ALLOWED)

    def test_repeated_restarts_stay_within_the_quota(self):
        group = Group(1, random.Random(5))
        for now_ms in range(0, 16_200, 10):
            if now_ms % 300 == 0:
                group.restart(0, now_ms)
            while group.ledgers[0].consume(CUSTOMER, COST, now_ms) is None:
                group.consumed.append((now_ms, COST))
        self.assertLessEqual(group.max_window_cost(), ALLOWED)


class TestLedger(unittest.TestCase):
    def test_a_request_succeeds_after_the_refusals_retry_time(self):
        each = ledger()
        while (refusal := each.consume(CUSTOMER, 500, 0)) is None:
            pass
        self.assertIsInstance(refusal, QuotaRefusal)
        self.assertIsNone(each.consume(CUSTOMER, 500, refusal.retry_after_ms))

    def test_a_refund_makes_the_cost_available_again(self):
        each = ledger()
        each.consume(CUSTOMER, 800, 0)
        each.refund(CUSTOMER, 800)
        self.assertEqual(each.used_by_customer(), {CUSTOMER: 0.0})
        self.assertIsNone(each.consume(CUSTOMER, 900, 0))

    def test_a_lowered_quota_applies_at_once(self):
        each = ledger()
        each.configure(configuration(rate_per_s=10.0, burst=10.0), 0)
        each.consume(CUSTOMER, 10, 0)
        consumed = 0
        for now_ms in range(0, 8_000, 10):
            consumed += each.consume(CUSTOMER, 10, now_ms) is None
        allowed = (10 * WINDOW_S + 10) * (1 + OVERAGE) + SLACK
        self.assertLessEqual(consumed * 10, allowed)

    def test_digests_without_usage_change_nothing(self):
        each = ledger()
        peer = InstanceId("peer")
        for _ in range(10):
            each.record_peer_usage(peer, 1, {CUSTOMER: 500.0})
            each.record_peer_usage(peer, 1, {})
        self.assertIsNone(each.consume(CUSTOMER, 1_000, 0))

    def test_the_estimate_for_a_lost_peer_is_corrected_by_its_next_digest(self):
        each, peer = ledger(), InstanceId("peer")
        each.record_peer_usage(peer, 1, {CUSTOMER: 100.0})
        each.set_members(frozenset({peer}), 2, 0)
        self.assertIsNone(each.consume(CUSTOMER, 300, 0))
        each.set_members(frozenset(), 2, 0)
        self.assertIsInstance(each.consume(CUSTOMER, 900, 0), QuotaRefusal)
        each.set_members(frozenset({peer}), 2, 0)
        each.record_peer_usage(peer, 1, {CUSTOMER: 100.0})
        self.assertIsNone(each.consume(CUSTOMER, 600, 0))

    def test_a_customer_without_quota_is_never_refused(self):
        each = QuotaLedger(WINDOW_S, OVERAGE, SLACK, starts_full=False)
        self.assertIsNone(each.consume(CUSTOMER, 1e9, 0))

    def test_requests_without_token_counts_have_a_fixed_cost(self):
        each = ledger()
        self.assertEqual(each.cost(CUSTOMER, 0, None), 200)
        self.assertEqual(each.cost(CUSTOMER, 1_460, 80), 1_540)
