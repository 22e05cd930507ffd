"""Customers at several times their usual load, in fleets of 9, 65 and 300 instances."""

from __future__ import annotations

import unittest

from .quotafleet import FAULTS, Fleet

GOAL = 0.97
"""Share of the work within a limit that is to be admitted, as the requirements say."""

PLAYS = [
    (count, fault, factor)
    for count in (9, 65)
    for fault in FAULTS
    for factor in (6.0, 8.0)
]
LARGE_PLAYS = [(300, "calm", 8.0), (300, "partition", 6.0)]


class TestFleet(unittest.TestCase):
    def play(self, count: int, fault: str, factor: float) -> Fleet:
        short = {"heavy_ms": 9_000, "end_ms": 21_000} if count > 100 else {}
        fleet = Fleet(count, seed=1, factor=factor, **short)
        fleet.run(FAULTS[fault])
        return fleet

    def check(self, fleet: Fleet) -> None:
        """Check that a limit is kept, and that what is within it is admitted."""
        for customer in fleet.rates:
            self.assertLessEqual(fleet.window_share(customer), 1.0, customer)
            self.assertGreaterEqual(fleet.within_share(customer), GOAL, customer)

    def test_work_within_the_limit_is_admitted_and_none_beyond_the_bound(self):
        for play in PLAYS:
            with self.subTest(play=play):
                self.check(self.play(*play))

    def test_hundreds_of_instances_keep_the_bound(self):
        for play in LARGE_PLAYS:
            with self.subTest(play=play):
                self.check(self.play(*play))
