import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.routing.overflow import (
    OVERFLOW_RULES,
    BacklogDifference,
    LeastPredicted,
    LocalFirst,
    Prices,
    ZoneOffer,
)
from _monsoonpulley.routing.router import Router

from .fixtures import DOCUMENT, member, report, request

INVARIANT = settings(
    max_examples=60, deadline=None, derandomize=True, database=None, print_blob=False
)
ZONES = ("a", "b", "c", "d")


def router_for_zones(rule, waiting_tokens, zone="a", prices=None):
    """Return a router with one endpoint per data centre, by queue length."""
    rng = random.Random(1)
    router = Router(zone, rng, overflow=rule, prices=prices or Prices())
    router.reconfigure(DOCUMENT)
    router.apply_members([member(f"w{z}", zone=z) for z in waiting_tokens], 0)
    for name, tokens in waiting_tokens.items():
        router.apply_load(f"w{name}", report(1, tokens), now_ms=1)
    return router


class RuleTest(unittest.TestCase):
    def test_a_lead_below_the_round_trip_keeps_a_request_local(self):
        local, other = ZoneOffer("a", 100.0, 50.0), ZoneOffer("b", 99.0, 49.0)
        for name in OVERFLOW_RULES:
            with self.subTest(name):
                chosen = OVERFLOW_RULES.get(name)().choose(local, [other])
                self.assertEqual(chosen.zone, "a")

    def test_backlog_difference_takes_the_greatest_positive_weight(self):
        local = ZoneOffer("a", 900.0, 500.0, 100.0)
        near = ZoneOffer("b", 500.0, 100.0, 400.0)
        cheap = ZoneOffer("c", 700.0, 300.0, 50.0)
        choose = {v: BacklogDifference(v).choose for v in (0.0, 1.0, 100.0)}
        self.assertEqual(choose[0.0](local, [near, cheap]).zone, "b")
        self.assertEqual(choose[1.0](local, [near, cheap]).zone, "c")
        self.assertEqual(choose[100.0](local, [near]).zone, "a")

    def test_prices_are_equal_unless_given_and_transfer_counts_elsewhere_only(self):
        free = Prices()
        self.assertEqual(
            free.cost_micros("a", "a", 3_600, 9), free.cost_micros("b", "a", 3_600, 9)
        )
        paid = Prices({"b": 0.5}, transfer_price_per_million_tokens=2.0)
        self.assertAlmostEqual(paid.cost_micros("a", "a", 3_600, 10), 1_000.0)
        self.assertAlmostEqual(paid.cost_micros("b", "a", 3_600, 10), 520.0)


class RouterTest(unittest.TestCase):
    @INVARIANT
    @given(
        st.sampled_from(OVERFLOW_RULES.names()),
        st.lists(st.integers(0, 200_000), min_size=4, max_size=4),
        st.sets(st.sampled_from(ZONES[1:]), min_size=1),
        st.integers(0, 60_000),
    )
    def test_never_chooses_an_unreachable_data_centre(
        self, name, tokens, unreachable, target_ms
    ):
        rule = OVERFLOW_RULES.get(name)()
        subject = router_for_zones(rule, dict(zip(ZONES, tokens, strict=True)))
        subject.set_unreachable_zones(frozenset(unreachable))
        decision = subject.choose(request(target_ms=target_ms), now_ms=1)
        self.assertNotIn(decision.zone, unreachable)
        self.assertFalse({p.zone for p in decision.candidates} & unreachable)

    def test_by_default_stays_local_when_local_meets_the_target(self):
        subject = router_for_zones(None, {"a": 16_000, "b": 0, "c": 0})
        decision = subject.choose(request(target_ms=10_000), now_ms=1)
        self.assertEqual(decision.zone, "a")
        self.assertEqual(decision.rule, "predicted-completion/local")

    def test_by_default_overflows_before_local_uses_the_whole_target(self):
        subject = router_for_zones(None, {"a": 16_000, "b": 0})
        decision = subject.choose(request(target_ms=4_000), now_ms=1)
        self.assertLess(decision.runner_up_ms, 4_000)
        self.assertEqual((decision.zone, decision.runner_up), ("b", "wa"))

    def test_by_default_overflows_to_the_least_predicted(self):
        subject = router_for_zones(None, {"a": 80_000, "b": 8_000, "c": 0})
        decision = subject.choose(request(target_ms=3_000), now_ms=1)
        self.assertEqual(decision.chosen, "wc")
        self.assertEqual(decision.rule, "predicted-completion/elsewhere")

    def test_two_overloaded_data_centres_do_not_exchange_requests(self):
        loads = {"a": 80_000, "b": 80_000}
        for rule in (LocalFirst(), LeastPredicted(), BacklogDifference()):
            for zone in loads:
                with self.subTest(type(rule).__name__, zone=zone):
                    subject = router_for_zones(rule, loads, zone)
                    decision = subject.choose(request(target_ms=1_000), now_ms=1)
                    self.assertEqual(decision.zone, zone)

    def test_a_request_is_sent_directly_to_the_endpoint(self):
        subject = router_for_zones(None, {"a": 80_000, "b": 0})
        decision = subject.choose(request(target_ms=3_000), now_ms=1)
        endpoint = subject.fleet.endpoints[decision.chosen]
        self.assertEqual(decision.address, endpoint.address)
        self.assertEqual(endpoint.zone, "b")

    def test_least_predicted_leaves_a_local_endpoint_that_meets_the_target(self):
        subject = router_for_zones(LeastPredicted(), {"a": 16_000, "b": 0})
        decision = subject.choose(request(target_ms=10_000), now_ms=1)
        self.assertEqual(decision.zone, "b")

    def test_backlog_difference_pays_for_an_empty_queue_only_up_to_the_tradeoff(self):
        prices = Prices({"a": 1.0, "b": 3.0})
        for tradeoff, zone in ((0.0, "b"), (100.0, "a")):
            with self.subTest(tradeoff):
                rule = BacklogDifference(tradeoff)
                subject = router_for_zones(rule, {"a": 16_000, "b": 0}, prices=prices)
                self.assertEqual(subject.choose(request(), now_ms=1).zone, zone)
