import time
import unittest
from unittest import mock

from _monsoonpulley.clock import Clock, ManualClock


class SystemClockTest(unittest.TestCase):
    def test_goes_on_while_the_machine_is_suspended(self):
        # Only the boot clock counts the time of a suspension.
        boot_s = 100.0
        with mock.patch.object(
            time, "clock_gettime", lambda of: boot_s if of == time.CLOCK_BOOTTIME else 0
        ):
            clock = Clock.from_system()
            boot_s += 5
            self.assertEqual(clock.now_ms(), 105_000)

    def test_steps_of_the_time_of_day_change_nothing(self):
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

    def test_refuses_to_go_back(self):
        with self.assertRaises(ValueError):
            ManualClock().advance_ms(-1)
