"""Tests of the pauses that callers bear within a stream."""

from __future__ import annotations

import unittest

from _monsoonpulley.fleet.model import Route, RouteKind
from _monsoonpulley.limits.streampause import longest_pause_ms, stall_ms


def route(target_latency_ms, target_gap_ms):
    return Route(
        name="r",
        host="h",
        prefix=b"/",
        kind=RouteKind.STREAMING,
        services=(),
        timeout_ms=60_000,
        target_latency_ms=target_latency_ms,
        target_gap_ms=target_gap_ms,
    )


class TestStreamPause(unittest.TestCase):
    def test_callers_bear_the_longest_of_three_pauses(self):
        """The three are stated by the callers; see docs/design/streams.md."""
        self.assertEqual(longest_pause_ms(route(200, 100)), 2_000)
        self.assertEqual(longest_pause_ms(route(1_045, 300)), 4_180)
        self.assertEqual(longest_pause_ms(route(519, 600)), 4_800)

    def test_a_moved_stream_has_its_target_left_for_the_next_event(self):
        """Guards against a move that comes only when the caller gives up."""
        for each in (route(200, 100), route(1_045, 300), route(519, 600)):
            left_ms = longest_pause_ms(each) - stall_ms(each)
            self.assertEqual(left_ms, each.target_latency_ms)
            self.assertGreaterEqual(stall_ms(each), 0.75 * longest_pause_ms(each))


if __name__ == "__main__":
    unittest.main()
