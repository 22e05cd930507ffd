import time
import unittest
from unittest import mock

from _monsoonpulley.clock import Clock, ManualClock


class SystemClockTest(unittest.TestCase):
    def test_counts_the_time_of_a_suspension(self):
        # Of the system's clocks, only CLOCK_BOOTTIME counts time in suspension.
        boot_s = 100.0
        with mock.patch.object(
            time, "clock_gettime", lambda of: boot_s if of == time.CLOCK_BOOTTIME else 0
        ):
            clock = Clock.from_system()
            boot_s += 5
            self.assertEqual(clock.now_ms(), 105_000)

    def test_ignores_steps_of_the_system_time(self):
        with mock.patch.object(time, "time", lambda: 1_000_000.0):
            clock = Clock.from_system()
        with mock.patch.object(time, "time", lambda: 2_000_000.0):
            self.assertLess(clock.wall_ms(), 1_000_000_000 + 60_000)


class ManualClockTest(unittest.TestCase):
    def test_moves_only_when_advanced(self):
        clock = ManualClock(now_ms=5, wall_offset_ms=100)
        clock.advance_ms(7)
        self.assertEqual(clock.now_ms(), 12)
        self.assertEqual(clock.wall_ms(), 112)

    def test_rejects_moving_back(self):
        with self.assertRaises(ValueError):
            ManualClock().advance_ms(-1)
