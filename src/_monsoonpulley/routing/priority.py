"""Engine priority from slack; engines serve the lowest number first."""

from __future__ import annotations

PRIORITY_STEP_MS = 100
PRIORITY_ORIGIN_WALL_MS = 1_767_225_600_000
"""2026-01-01T00:00:00Z, so that priorities fit a signed 32-bit integer until 2032."""
MAX_PRIORITY = 2**31 - 1


def engine_priority(wall_ms: int, slack_ms: float) -> int:
    """Return the priority of work that must start within ``slack_ms``.

    The priority is the latest start as an absolute time in steps of 100 ms, so
    requests of all entry instances are comparable and none starves: a waiting
    request becomes the most urgent one. Slack is the remaining target time minus
    the predicted service time.
    """
    latest_start_ms = wall_ms + slack_ms - PRIORITY_ORIGIN_WALL_MS
    return min(MAX_PRIORITY, max(0, int(latest_start_ms // PRIORITY_STEP_MS)))
