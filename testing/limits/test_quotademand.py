"""Which share of a customer's requests is admitted, by class."""

from __future__ import annotations

import unittest

from _monsoonpulley.limits.quotademand import (
    CLASSES_PER_RANK,
    MAX_KINDS,
    KindCosts,
    PeerDemand,
    mean_cost,
    share_in_order,
)


class TestShareInOrder(unittest.TestCase):
    def test_all_is_admitted_within_the_limit(self):
        self.assertEqual(share_in_order({8: 50.0, 13: 50.0}, 100.0), {8: 1.0, 13: 1.0})

    def test_nothing_requested_and_nothing_allowed_is_no_error(self):
        self.assertEqual(share_in_order({}, -5.0), {})

    def test_cheap_and_urgent_classes_come_first_without_starving_others(self):
        rates = {8: 30_000.0, 11: 200_000.0, CLASSES_PER_RANK + 8: 300_000.0}
        shares = share_in_order(rates, 250_000.0)
        used = sum(rates[name] * share for name, share in shares.items())
        self.assertAlmostEqual(used, 250_000, delta=1_000)
        self.assertGreater(shares[8], shares[11])
        self.assertGreater(shares[11], shares[CLASSES_PER_RANK + 8])
        counts = {name: rate / mean_cost(name) for name, rate in rates.items()}
        served = sum(counts[name] * shares[name] for name in rates)
        self.assertGreaterEqual(
            min(shares.values()), 0.25 * served / sum(counts.values())
        )


class TestKindCosts(unittest.TestCase):
    def test_a_kind_is_known_by_its_mean_cost(self):
        costs = KindCosts()
        for _ in range(50):
            plan = costs.record("plan", 1, 12_000)
            buy = costs.record("buy", 1, 200)
        self.assertLess(buy, plan)
        self.assertLess(plan, costs.record("buy", 2, 200))

    def test_kinds_without_end_take_no_memory_without_end(self):
        costs = KindCosts()
        for n in range(10 * MAX_KINDS):
            costs.record(f"kind-{n}", 0, 10)
        self.assertLessEqual(len(costs._means), MAX_KINDS + 1)


class TestPeerDemand(unittest.TestCase):
    def test_a_new_report_replaces_the_last_one(self):
        demand = PeerDemand()
        demand.update("a", {1: 10})
        demand.update("b", {1: 5})
        demand.update("a", {2: 7})
        self.assertEqual(demand.sums, {1: 5, 2: 7})
        demand.update("b", None)
        self.assertEqual((demand.sums[1], demand.reporting_count), (0, 1))
