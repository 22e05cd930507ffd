"""Endpoints that fall over when they turn too many requests away."""

from __future__ import annotations

import unittest

from _monsoonpulley.ids import EndpointId, InstanceId, ServiceId
from _monsoonpulley.limits.brittleness import (
    MAX_PAUSE_MS,
    MEMORY_MS,
    BrittleServices,
)
from _monsoonpulley.limits.endpointpauses import EndpointPauses
from _monsoonpulley.limits.sharers import Sharers

OWN = InstanceId("instance-0")
SERVICE = ServiceId("svc")
ENDPOINT = EndpointId("e-1")


class BrittleTest(unittest.TestCase):
    def setUp(self):
        self.pauses = EndpointPauses()
        self.sharers = Sharers(OWN)
        self.brittle = BrittleServices(self.sharers, self.pauses)


class TestStatements(BrittleTest):
    def test_a_statement_holds_for_a_while(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        self.assertEqual(self.brittle.refusals_per_s(SERVICE, 1_000 + MEMORY_MS), 5.0)
        self.assertIsNone(self.brittle.refusals_per_s(SERVICE, 1_001 + MEMORY_MS))

    def test_other_instances_learn_of_it_with_its_age(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        told = BrittleServices(Sharers(OWN), EndpointPauses())
        told.update_peer(self.brittle.notices(1_400), 9_000)
        self.assertEqual(told.refusals_per_s(SERVICE, 8_600 + MEMORY_MS), 5.0)
        self.assertIsNone(told.refusals_per_s(SERVICE, 8_601 + MEMORY_MS))
        told.update_peer({SERVICE: (3.0, 2_000)}, 9_000)
        self.assertEqual(told.refusals_per_s(SERVICE, 9_000), 5.0)

    def test_what_others_told_is_not_passed_on(self):
        self.brittle.update_peer({SERVICE: (5.0, 0)}, 1_000)
        self.assertEqual(self.brittle.notices(1_000), {})

    def test_nothing_is_told_once_it_no_longer_holds(self):
        self.brittle.record_answer(SERVICE, 5.0, 1_000)
        self.assertEqual(self.brittle.notices(1_001 + MEMORY_MS), {})


def instances(count: int) -> list[InstanceId]:
    return [InstanceId(f"instance-{number}") for number in range(count)]


class TestRoom(BrittleTest):
    def test_endpoints_without_a_statement_have_any_room(self):
        self.assertIsNone(self.brittle.own_room(ENDPOINT, SERVICE, 8, 0))

    def test_all_instances_together_use_three_quarters_of_the_slots(self):
        for count in (1, 4, 6, 9, 195):
            for slots in (1, 2, 6, 12, 32):
                rooms = []
                for own in instances(count):
                    sharers = Sharers(own)
                    sharers.set_instances(instances(count))
                    brittle = BrittleServices(sharers, EndpointPauses())
                    brittle.record_answer(SERVICE, 5.0, 0)
                    rooms.append(brittle.own_room(ENDPOINT, SERVICE, slots, 0))
                with self.subTest(count=count, slots=slots):
                    self.assertEqual(sum(rooms), max(1, slots * 3 // 4))


class TestRefusals(BrittleTest):
    def test_endpoints_without_a_statement_get_no_pause(self):
        self.assertIsNone(self.brittle.record_refusal(ENDPOINT, SERVICE, 4, 0))
        self.assertEqual(self.pauses.wait_ms(ENDPOINT, 0), 0)

    def test_all_sharers_together_cause_less_than_an_endpoint_bears(self):
        for count in (1, 4, 9, 195):
            for per_s in (2.0, 5.0, 20.0):
                self.sharers.set_instances(instances(count))
                self.brittle.record_answer(SERVICE, per_s, 0)
                pause_ms = self.brittle.record_refusal(ENDPOINT, SERVICE, 4, 0)
                self.assertLess(min(count, 3) * 1_000 / pause_ms, per_s)
                self.assertLessEqual(pause_ms, MAX_PAUSE_MS)


if __name__ == "__main__":
    unittest.main()
