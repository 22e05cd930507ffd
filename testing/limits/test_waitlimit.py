"""Limits on waits by target, rank and time already spent."""

from __future__ import annotations

import unittest

from _monsoonpulley.fleet.model import Configuration, Route, RouteKind
from _monsoonpulley.ids import ServiceId
from _monsoonpulley.limits.waitlimit import LATE_SHARE, WaitLimits
from _monsoonpulley.wire.serverconnection import CallerLimits

SERVICE = ServiceId("model")


def route(name: str, rank: int, target_ms: int) -> Route:
    services = ((SERVICE, 1.0),)
    return Route(
        name, "host", b"/", RouteKind.STREAMING, services, 9_000, target_ms, rank=rank
    )


URGENT, LONG, CHAT = route("a", 0, 800), route("b", 1, 5_000), route("c", 2, 600)


class TestWaitLimits(unittest.TestCase):
    def setUp(self):
        self.limits = WaitLimits()
        routes = {"host": (URGENT, LONG, CHAT)}
        self.limits.configure(
            Configuration(1, routes, {}, {}, {}, False, CallerLimits())
        )

    def limit_ms(self, route: Route, elapsed_ms: float = 0) -> float:
        return self.limits.max_wait_ms(route, elapsed_ms, route.rank)

    def test_the_wait_leaves_time_for_the_request_itself(self):
        self.assertLess(self.limit_ms(URGENT), 800)
        self.assertGreater(self.limit_ms(URGENT), 400)

    def test_less_urgent_routes_get_shorter_limits_even_with_longer_targets(self):
        limits_ms = [self.limit_ms(each) for each in (URGENT, LONG, CHAT)]
        self.assertEqual(limits_ms, sorted(limits_ms, reverse=True))
        self.assertLess(limits_ms[1], limits_ms[0])

    def test_a_customers_rank_shortens_the_limit(self):
        self.assertLess(
            self.limits.max_wait_ms(URGENT, 0, 2), self.limits.max_wait_ms(URGENT, 0, 0)
        )

    def test_a_request_that_can_only_be_late_yields_to_the_others(self):
        self.assertEqual(
            self.limit_ms(URGENT, elapsed_ms=900), LATE_SHARE * self.limit_ms(URGENT)
        )

    def test_a_caller_that_returns_has_spent_what_it_waits_less_than_before(self):
        self.assertEqual(self.limits.spent_ms(URGENT, 6_000), 0)
        self.assertEqual(self.limits.spent_ms(URGENT, 4_500), 1_500)
        self.assertEqual(self.limits.spent_ms(URGENT, None), 0)

    def test_one_caller_with_a_long_time_out_does_not_make_all_others_late(self):
        """Guards against new requests that are taken for returning ones for good."""
        self.limits.spent_ms(URGENT, 6_000, 0)
        self.assertEqual(self.limits.spent_ms(URGENT, 5_000, 19_000), 1_000)
        self.assertEqual(self.limits.spent_ms(URGENT, 5_000, 40_000), 0)

    def test_one_caller_that_waits_too_long_makes_no_other_late(self):
        self.limits.spent_ms(URGENT, 10**9)
        self.assertEqual(self.limits.spent_ms(URGENT, URGENT.timeout_ms), 0)

    def test_callers_that_wait_less_than_the_route_allows_are_not_late(self):
        for _ in range(3):
            self.assertEqual(self.limits.spent_ms(LONG, 2_000), 0)

    def test_the_limit_falls_with_the_time_that_is_left(self):
        limits_ms = [self.limit_ms(URGENT, elapsed) for elapsed in range(0, 1_000, 50)]
        self.assertEqual(limits_ms, sorted(limits_ms, reverse=True))

    def test_a_route_of_a_later_configuration_has_a_limit(self):
        self.assertGreater(self.limit_ms(route("new", 0, 500)), 0)
