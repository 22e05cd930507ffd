import unittest

from _monsoonpulley.endpoints.feed import poll_interval_ms
from _monsoonpulley.endpoints.roster import refresh_interval_ms


class IntervalTest(unittest.TestCase):
    def test_small_fleets_are_asked_often(self):
        self.assertEqual(poll_interval_ms(1), 500)
        self.assertEqual(refresh_interval_ms(23), 2_000)

    def test_traffic_does_not_grow_with_the_fleet(self):
        for size in (10, 100, 1_000):
            self.assertLessEqual(size / poll_interval_ms(size), 1 / 300)
            self.assertLessEqual(10 * size / refresh_interval_ms(10 * size), 1 / 40)
