"""Endpoints that fall over when they turn too many requests away."""

from __future__ import annotations

import unittest

from _monsoonpulley.ids import EndpointId, ServiceId
from _monsoonpulley.limits.brittleness import (
    MAX_PAUSE_MS,
    MEMORY_MS,
    BrittleServices,
)
from _monsoonpulley.limits.endpointpauses import EndpointPauses

SERVICE = ServiceId("svc")
ENDPOINT = EndpointId("e-1")


class BrittleTest(unittest.TestCase):
    def setUp(self):
        self.pauses = EndpointPauses()
        self.brittle = BrittleServices(self.pauses)


class TestStatements(BrittleTest):
    def test_a_statement_holds_for_a_while(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        self.assertEqual(self.brittle.refusals_per_s(SERVICE, 1_000 + MEMORY_MS), 5.0)
        self.assertIsNone(self.brittle.refusals_per_s(SERVICE, 1_001 + MEMORY_MS))

    def test_other_instances_learn_of_it_with_its_age(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        told = BrittleServices(EndpointPauses())
        told.update_peer(self.brittle.notices(1_400), 9_000)
        self.assertEqual(told.notices(9_000), {SERVICE: (5.0, 400)})
        told.update_peer({SERVICE: (3.0, 2_000)}, 9_000)
        self.assertEqual(told.refusals_per_s(SERVICE, 9_000), 5.0)

    def test_nothing_is_told_once_it_no_longer_holds(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        self.assertEqual(self.brittle.notices(1_001 + MEMORY_MS), {})


class TestRefusals(BrittleTest):
    def test_endpoints_without_statement_get_no_pause(self):
        self.assertIsNone(self.brittle.record_refusal(ENDPOINT, SERVICE, 0))
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 0), 0)
        self.assertIsNone(self.brittle.max_running(SERVICE, 8, 0))

    def test_all_instances_together_cause_less_than_an_endpoint_bears(self):
        for member_count in (1, 4, 9):
            for per_s in (2.0, 5.0, 20.0):
                self.brittle.set_member_count(member_count)
                self.brittle.record_answer(SERVICE, per_s, 0)
                pause_ms = self.brittle.record_refusal(ENDPOINT, SERVICE, 0)
                caused_per_s = member_count * 1_000 / pause_ms
                self.assertLess(caused_per_s, per_s)
                self.assertLessEqual(pause_ms, MAX_PAUSE_MS)

    def test_a_small_endpoint_may_have_one_request(self):
        self.brittle.record_answer(SERVICE, 5.0, 0)
        self.assertEqual(self.brittle.max_running(SERVICE, 1, 0), 1)
        self.assertEqual(self.brittle.max_running(SERVICE, 8, 0), 6)


if __name__ == "__main__":
    unittest.main()
