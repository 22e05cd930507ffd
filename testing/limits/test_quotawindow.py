"""Usage over a sliding window."""

from __future__ import annotations

import unittest

from _monsoonpulley.limits.quotawindow import SLOT_COUNT, SlotUsage, reserve_for

ALL = [1.0] * (SLOT_COUNT + 1)


class TestSlotUsage(unittest.TestCase):
    def test_usage_leaves_after_the_window_and_not_before(self):
        usage = SlotUsage(8_000, 0)
        usage.add_own(100, 0)
        self.assertEqual(sum(usage.by_slot(7_999, ALL)), 100)
        self.assertEqual(sum(usage.by_slot(8_250, ALL)), 0)

    def test_usage_of_a_silent_peer_is_spread_like_the_known_usage(self):
        usage = SlotUsage(8_000, 0)
        usage.add_own(100, 1_000)
        usage.add_own(300, 3_000)
        usage.add_alike(400, 0, 4_000)
        slots = usage.by_slot(4_000, ALL)
        self.assertEqual([cost for cost in slots if cost], [200, 600])

    def test_a_profile_is_taken_over_with_the_own_usage_counted_once(self):
        sender, receiver = SlotUsage(8_000, 0), SlotUsage(8_000, 0)
        sender.add_peers(640, 0, 7_999, 7_999)
        receiver.add_own(20, 7_999)
        receiver.adopt(sender.profile(7_999, 0.0), 7_999)
        self.assertEqual(sum(receiver.by_slot(7_999, ALL)), 640)


class TestReserve(unittest.TestCase):
    def test_a_used_up_window_still_serves_a_steady_rate(self):
        # All was used in the last slot: the rate must be served for the window.
        slots = [0.0] * SLOT_COUNT + [9_000.0]
        self.assertAlmostEqual(reserve_for(0.5, slots, 250.0, 1.0), 3_875)

    def test_even_usage_needs_no_reserve(self):
        slots = [250.0] * (SLOT_COUNT + 1)
        self.assertEqual(reserve_for(0.5, slots, 250.0, 0.0), 0)
