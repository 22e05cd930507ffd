"""Which data centres this instance can't reach now.

Answers for a data centre that is cut off: the first connection that times out
there, while none of its instances is heard, takes all of its endpoints out of the
choice until one of its instances is heard again.
"""

from __future__ import annotations

from ..ids import ZoneId

UNREACHABLE_EXPIRY_MS = 3_000
"""How long a data centre counts as cut off without another sign of it: its
instances may have ended for a reason of their own."""


class ZoneReach:
    """Data centres that are cut off from this instance, as far as it can tell."""

    def __init__(self) -> None:
        self._silent_zones: frozenset[ZoneId] = frozenset()
        self._timeout_ms_by_zone: dict[ZoneId, int] = {}

    def set_silent_zones(self, zones: frozenset[ZoneId]) -> None:
        """Take over the data centres none of whose instances is heard."""
        self._silent_zones = zones
        for zone in list(self._timeout_ms_by_zone):
            if zone not in zones:
                del self._timeout_ms_by_zone[zone]

    def record_connect_timeout(self, zone: ZoneId, now_ms: int) -> None:
        """Note that a connection to an endpoint there could not be made in time."""
        if zone in self._silent_zones:
            self._timeout_ms_by_zone[zone] = now_ms

    def unreachable_zones(self, now_ms: int) -> frozenset[ZoneId]:
        """Return the data centres that count as cut off."""
        if not self._timeout_ms_by_zone:
            return frozenset()
        return frozenset(
            z
            for z, ms in self._timeout_ms_by_zone.items()
            if now_ms - ms < UNREACHABLE_EXPIRY_MS
        )
