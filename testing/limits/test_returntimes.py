"""Return times of callers who are refused in an overload."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.limits.fairshare import ServiceWork
from _monsoonpulley.limits.returntimes import (
    is_on_time,
    kept_share,
    tell_return_time,
)


class TestReturnTimes(unittest.TestCase):
    def tell(self, drained_ms, left_ms, share, seed=1):
        return tell_return_time(drained_ms, left_ms, share, random.Random(seed))

    def test_only_so_many_are_told_a_time_as_there_will_be_capacity_for(self):
        told = [self.tell(200, 6_000, 0.25, seed) for seed in range(1_000)]
        self.assertAlmostEqual(sum(t.is_kept for t in told) / 1_000, 0.25, delta=0.05)

    def test_times_are_spread_over_those_for_which_callers_wait(self):
        # All at the earliest time would be as many at once as were refused at once.
        times = [self.tell(200, 6_000, 1.0, n).retry_after_ms for n in range(100)]
        self.assertGreaterEqual(min(times), 200)
        self.assertLessEqual(max(times), 6_000 / 3)
        self.assertGreater(max(times) - min(times), 1_000)

    def test_what_has_no_capacity_before_its_deadline_is_told_so(self):
        told = self.tell(200, 300, 1.0)
        self.assertEqual((told.retry_after_ms, told.is_kept), (300, False))

    def test_capacity_that_is_spare_on_average_is_kept_for_returns(self):
        burst = ServiceWork(2_500, 2_000)
        self.assertEqual(kept_share(burst, 6_000), 1.0)
        self.assertLess(kept_share(ServiceWork(5_000, 2_000), 3_000), 0.1)

    def test_a_caller_that_returns_when_told_is_known_by_its_age(self):
        self.assertTrue(is_on_time(1_400, 4_600))
        self.assertFalse(is_on_time(0, 6_000))
        self.assertFalse(is_on_time(2_000, 4_000))
