"""What customers get in a fleet of 300 instances, whose digests arrive in bundles.

The bounds are those of docs/design/uneven-load.md, section 5.
"""

from __future__ import annotations

import unittest

from .customerplay import OVERLOAD_S, waves_day
from .test_customers import FOUND_SHARE, LEAST_SHARE, MORE_SERVED


class TestLargeFleet(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.report = waves_day(1, 300).report(*OVERLOAD_S["waves"])

    def test_no_customer_and_no_kind_is_starved(self):
        # With so many instances, each sees a request of a customer in several seconds.
        by_customer = self.report.by(lambda outcome: outcome.customer)
        for name, each in {**by_customer, **self.report.by_kind()}.items():
            with self.subTest(name):
                self.assertGreaterEqual(each.served, LEAST_SHARE * self.report.served)

    def test_kinds_keep_their_order(self):
        served = [each.served for each in self.report.by_kind().values()]
        for index, share in enumerate(served[1:], 1):
            self.assertLessEqual(share - min(served[:index]), MORE_SERVED)

    def test_callers_that_return_when_told_find_capacity(self):
        self.assertGreaterEqual(self.report.found_share(), FOUND_SHARE)
