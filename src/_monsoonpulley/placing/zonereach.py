"""Data centres that this instance can't reach.

A data centre counts as unreachable from the first connection time-out to one of its
endpoints while none of its instances sends digests, until a digest arrives again.
"""

from __future__ import annotations

from ..ids import ZoneId

UNREACHABLE_EXPIRY_MS = 3_000
"""Time after which a data centre without another time-out is tried again: its
instances may have stopped although the network works."""


class ZoneReach:
    """Detection of data centres that are unreachable from this instance."""

    def __init__(self) -> None:
        self._silent_zones: frozenset[ZoneId] = frozenset()
        self._timeout_ms_by_zone: dict[ZoneId, int] = {}

    def set_silent_zones(self, zones: frozenset[ZoneId]) -> None:
        """Set the data centres from whose instances no digests arrive."""
        self._silent_zones = zones
        for zone in list(self._timeout_ms_by_zone):
            if zone not in zones:
                del self._timeout_ms_by_zone[zone]

    def record_connect_timeout(self, zone: ZoneId, now_ms: int) -> None:
        """Record a connection time-out to an endpoint of a data centre."""
        if zone in self._silent_zones:
            self._timeout_ms_by_zone[zone] = now_ms

    def unreachable_zones(self, now_ms: int) -> frozenset[ZoneId]:
        """Return the data centres that count as unreachable."""
        if not self._timeout_ms_by_zone:
            return frozenset()
        return frozenset(
            z
            for z, ms in self._timeout_ms_by_zone.items()
            if now_ms - ms < UNREACHABLE_EXPIRY_MS
        )
