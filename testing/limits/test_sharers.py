"""Division of capacity between instances that know each other, or don't."""

from __future__ import annotations

import unittest

from _monsoonpulley.ids import EndpointId, InstanceId
from _monsoonpulley.limits.sharers import SETTLE_MS, Sharers

ENDPOINT = EndpointId("e-1")


def make_sharers(count: int) -> list[Sharers]:
    names = [InstanceId(f"i-{number}") for number in range(count)]
    made = [Sharers(name) for name in names]
    for sharers in made:
        sharers.set_instances(names)
    return made


class TestShares(unittest.TestCase):
    def test_shares_add_up_to_the_whole(self):
        for count in (1, 4, 9, 65, 300):
            for units in (1, 8, 13):
                sharers = make_sharers(count)
                with self.subTest(count=count, units=units):
                    shares = [each.own_units(ENDPOINT, units) for each in sharers]
                    self.assertEqual(sum(shares), units)
                    parts = [each.own_fraction(ENDPOINT, units) for each in sharers]
                    self.assertAlmostEqual(sum(parts), 1)

    def test_a_change_of_the_instances_changes_the_revision(self):
        sharers = Sharers(InstanceId("i-0"))
        before = sharers.revision
        sharers.set_instances([InstanceId("i-1")])
        self.assertNotEqual(sharers.revision, before)
        before = sharers.revision
        sharers.set_instances([InstanceId("i-1"), InstanceId("i-0")])
        self.assertEqual(sharers.revision, before)


class TestSettling(unittest.TestCase):
    def settles(self, reachable_count: int, is_registered: bool, for_ms: int) -> bool:
        sharers = make_sharers(5)[0]
        for now_ms in (0, for_ms):
            sharers.record_contact(reachable_count, is_registered, now_ms)
        return sharers.is_settled

    def test_an_instance_that_hears_most_others_settles_after_a_while(self):
        self.assertTrue(self.settles(2, True, SETTLE_MS))
        self.assertFalse(self.settles(2, True, SETTLE_MS - 1))

    def test_an_instance_in_a_minority_does_not_settle(self):
        self.assertFalse(self.settles(1, True, 60_000))

    def test_an_instance_that_has_not_read_the_rows_of_others_does_not_settle(self):
        self.assertFalse(self.settles(4, False, 60_000))

    def test_an_instance_stays_settled_when_others_become_silent(self):
        sharers = make_sharers(5)[0]
        for reachable_count, now_ms in ((4, 0), (4, SETTLE_MS), (0, 2 * SETTLE_MS)):
            sharers.record_contact(reachable_count, True, now_ms)
        self.assertTrue(sharers.is_settled)
