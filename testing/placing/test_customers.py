"""What customers, kinds and sizes of requests get while there is too little capacity.

The bounds are those of docs/design/uneven-load.md, section 5.
"""

from __future__ import annotations

import itertools
import unittest

from .customerplay import DAYS, OVERLOAD_S, SURGING, CustomerPlay, Report

MORE_SERVED, MORE_IN_TARGET = 0.05, 0.15
"""A less urgent kind may be served, and be in its target, more often than a more urgent
one by at most these shares."""

LEAST_SHARE = 0.25
"""A kind or a customer is served at least so often, relative to all."""

LEAST_SIZE_SHARE = 0.5
"""The largest tenth of a kind and the fifth below it, relative to the kind."""

NEVER_SERVED, NEVER_SERVED_SHARE = 2, 0.04
"""Sessions, and share of them, that may go without any answer, on each day."""

FOUND_SHARE = 0.9
"""Of the callers that return at the time that they were told."""

WITHIN_LIMIT_SHARE = 0.97
"""Of what a customer within its limit asks for: section 3."""


class TestCustomers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        plays = ((9, 1), (9, 2), (65, 1))
        cls.by_day = {
            name: [play(seed, size).report(*OVERLOAD_S[name]) for size, seed in plays]
            for name, play in DAYS.items()
        }
        cls.reports = {
            name: Report(o for report in reports for o in report.outcomes)
            for name, reports in cls.by_day.items()
        }

    def each_kind(self):
        for name, report in self.reports.items():
            for kind, each in report.by_kind().items():
                with self.subTest(day=name, kind=kind):
                    yield report, each

    def test_no_kind_gets_more_than_a_more_urgent_one(self):
        for name, report in self.reports.items():
            kinds = list(report.by_kind().values())
            for more_urgent, other in itertools.combinations(kinds, 2):
                with self.subTest(day=name):
                    self.assertLessEqual(other.served - more_urgent.served, MORE_SERVED)
                    self.assertLessEqual(
                        other.share("in_target") - more_urgent.share("in_target"),
                        MORE_IN_TARGET,
                    )

    def test_no_kind_is_starved(self):
        for report, kind in self.each_kind():
            self.assertGreaterEqual(kind.served, LEAST_SHARE * report.served)

    def test_no_customer_is_starved(self):
        for name, report in self.reports.items():
            for customer, each in report.by(lambda o: o.customer).items():
                with self.subTest(day=name, customer=customer):
                    self.assertGreaterEqual(each.served, LEAST_SHARE * report.served)

    def test_no_size_is_starved(self):
        for _, kind in self.each_kind():
            for largest in kind.largest():
                self.assertGreaterEqual(largest.served, LEAST_SIZE_SHARE * kind.served)

    def test_callers_that_return_when_told_find_capacity(self):
        for name, report in self.reports.items():
            with self.subTest(day=name):
                self.assertGreaterEqual(report.found_share(), FOUND_SHARE)

    def test_few_sessions_are_never_served(self):
        # The sums of several days may not be worse than each day.
        for name, reports in self.by_day.items():
            counts = [report.sessions() for report in reports]
            often, never = (sum(values) for values in zip(*counts, strict=True))
            with self.subTest(day=name):
                allowed = len(reports) * NEVER_SERVED + NEVER_SERVED_SHARE * often
                self.assertLessEqual(never, allowed)

    def test_a_surge_costs_the_others_little(self):
        usual = [o for o in self.reports["surge"].outcomes if o.customer != SURGING]
        self.assertGreaterEqual(Report(usual).served, WITHIN_LIMIT_SHARE)


class TestShares(unittest.TestCase):
    def test_without_a_shortage_everything_is_decided_as_without_shares(self):
        days = [CustomerPlay(1, 9, load=0.4, is_sharing=on) for on in (False, True)]
        for day in days:
            day.run(12)
        self.assertEqual(*(day.outcomes for day in days))
        self.assertEqual(days[1].report().served, 1.0)
