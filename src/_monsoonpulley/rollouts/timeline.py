"""When the phases of a roll-out are due, as shares of the time to its deadline."""

from __future__ import annotations

JUDGED_AFTER_SHARE = 0.72
"""Share of the time after which a version is judged. Faults may show until then; the
rest is for moving the traffic."""

HALF_PHASE_SHARE = 0.06
"""Share of the time with half of the traffic."""

DONE_AFTER_SHARE = 0.9
"""Share of the time after which a version with all traffic is done."""

ROLL_BACK_AFTER_SHARE = 0.95
"""Share of the time after which a version that is not done is rolled back."""

MIN_FULL_PHASE_MS = 1_500
"""Minimum time with all traffic before a version is done: the old endpoints then stop
without draining, and a stream lasts about this long."""

STEPS_MS = 1_500
"""Time that the three last steps may be late, each up to an interval of the duties."""


def judged_after_ms(duration_ms: int) -> int:
    """Return the time after an order at which its version is judged."""
    last_ms = (ROLL_BACK_AFTER_SHARE - HALF_PHASE_SHARE) * duration_ms
    last_ms -= MIN_FULL_PHASE_MS + STEPS_MS
    return max(0, round(min(JUDGED_AFTER_SHARE * duration_ms, last_ms)))
