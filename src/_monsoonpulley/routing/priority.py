"""Engine priority from slack; engines run the lower number first."""

from __future__ import annotations

PRIORITY_STEP_MS = 100
PRIORITY_ORIGIN_WALL_MS = 1_767_225_600_000
"""2026-01-01T00:00:00Z, so that priorities fit 32 bits until 2032."""
MAX_PRIORITY = 2**31 - 1


def engine_priority(wall_ms: int, slack_ms: float) -> int:
    """Return the priority of work that must start within ``slack_ms``.

    It is the latest start as an absolute time in steps of 100 ms, so that
    requests of all daemons compare, and none starves: what waits becomes the
    most urgent. Slack is target time left less predicted service time.
    """
    latest_start_ms = wall_ms + slack_ms - PRIORITY_ORIGIN_WALL_MS
    return min(MAX_PRIORITY, max(0, int(latest_start_ms // PRIORITY_STEP_MS)))
