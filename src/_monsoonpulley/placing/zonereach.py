"""Which data centres this instance can't reach now.

Answers for a data centre that is cut off: the first connection that times out
there, while none of its instances is heard, takes all of its endpoints out of the
choice until one of its instances is heard again.
"""

from __future__ import annotations

from ..ids import ZoneId

HOLD_MS = 3_000
"""How long a data centre counts as cut off without another sign of it: its
instances may have ended for a reason of their own."""


class ZoneReach:
    """Data centres that are cut off from this instance, as far as it can tell."""

    def __init__(self) -> None:
        self._silent: frozenset[ZoneId] = frozenset()
        self._cut_ms: dict[ZoneId, int] = {}

    def set_silent(self, zones: frozenset[ZoneId]) -> None:
        """Take over the data centres none of whose instances is heard."""
        self._silent = zones
        for zone in list(self._cut_ms):
            if zone not in zones:
                del self._cut_ms[zone]

    def timed_out(self, zone: ZoneId, now_ms: int) -> None:
        """Note that a connection to an endpoint there could not be made in time."""
        if zone in self._silent:
            self._cut_ms[zone] = now_ms

    def cut(self, now_ms: int) -> frozenset[ZoneId]:
        """Return the data centres that count as cut off."""
        if not self._cut_ms:
            return frozenset()
        return frozenset(z for z, ms in self._cut_ms.items() if now_ms - ms < HOLD_MS)
