"""How long the events of a stream may pause.

Load addressed: engines that stall within a stream and keep its connection open, also
by sending a byte now and then. Callers abandon a stream after a long pause, so that one
that can go on elsewhere has to be moved before.
"""

from __future__ import annotations

from ..fleet.model import Route

MIN_PATIENCE_MS = 2_000
LATENCY_PATIENCE_FACTOR = 4
GAP_PATIENCE_FACTOR = 8
"""Callers abandon a stream after a pause of the longest of 2 s, four times its target
latency, and eight times its target gap between events."""


def longest_pause_ms(route: Route) -> int:
    """Return the longest pause within a stream that callers of a route bear."""
    return max(
        MIN_PATIENCE_MS,
        LATENCY_PATIENCE_FACTOR * route.target_latency_ms,
        GAP_PATIENCE_FACTOR * route.target_gap_ms,
    )


def stall_ms(route: Route) -> int:
    """Return the pause after which a stream counts as stalled.

    It leaves the target latency of the route, in which another endpoint should send
    the next event.
    """
    return longest_pause_ms(route) - route.target_latency_ms
