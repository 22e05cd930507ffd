import unittest

from _monsoonpulley.clock import ManualClock


class ManualClockTest(unittest.TestCase):
    def test_moves_only_when_advanced(self):
        clock = ManualClock(now_ms=5, wall_offset_ms=100)
        clock.advance_ms(7)
        self.assertEqual(clock.now_ms(), 12)
        self.assertEqual(clock.wall_ms(), 112)

    def test_refuses_to_go_back(self):
        with self.assertRaises(ValueError):
            ManualClock().advance_ms(-1)
