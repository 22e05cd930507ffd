import unittest

from _monsoonpulley.endpoints.feed import poll_interval_ms
from _monsoonpulley.endpoints.roster import refresh_interval_ms


class IntervalTest(unittest.TestCase):
    def test_small_fleets_are_polled_at_the_minimum_interval(self):
        self.assertEqual(poll_interval_ms(1), 500)
        self.assertEqual(refresh_interval_ms(23), 2_000)

    def test_polls_per_second_are_bounded_for_large_fleets(self):
        for count in (10, 100, 1_000):
            self.assertLessEqual(count / poll_interval_ms(count), 1 / 300)
            self.assertLessEqual(10 * count / refresh_interval_ms(10 * count), 1 / 40)
