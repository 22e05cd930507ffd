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
RETURN_GOAL = 0.9
"""Share of the callers who return on time that are to be served."""

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

    def check_kinds(self, fleet: Fleet) -> None:
        """Check that what is urgent and cheap goes first, and nothing starves."""
        shares = fleet.kind_shares(fleet.heavy)
        self.assertGreater(shares["buy"], shares["plan"])
        for kind, share in shares.items():
            self.assertGreaterEqual(share, 0.25 * fleet.served_share(), kind)
            for first, last in ((0.9, 1.0), (0.7, 0.9)):
                part = fleet.size_share(kind, first, last)
                self.assertGreaterEqual(part, 0.5 * share, (kind, first))

    def test_work_within_the_limit_is_admitted_and_none_beyond_the_bound(self):
        returned = {9: (0, 0), 65: (0, 0)}
        for play in PLAYS:
            with self.subTest(play=play):
                fleet = self.play(*play)
                counts = zip(returned[play[0]], fleet.returned(), strict=True)
                returned[play[0]] = tuple(map(sum, counts))
                self.check(fleet)
                self.check_kinds(fleet)
        for count, (all_count, served_count) in returned.items():
            with self.subTest(instances=count):
                self.assertGreaterEqual(served_count, RETURN_GOAL * all_count)

    def test_hundreds_of_instances_keep_the_bound(self):
        for play in LARGE_PLAYS:
            with self.subTest(play=play):
                fleet = self.play(*play)
                self.check(fleet)
                self.check_kinds(fleet)
