"""Capacity as a duty: one lease for each service, over all zones of the region.

The constraint that any one zone may be lost is over all zones, so that one holder
plans them together. A data centre that is cut off from the platform can order
nothing in any case, and goes on with the endpoints that it has.
"""

from __future__ import annotations

from ..ids import ServiceId
from .duties import duty_kinds
from .fleetorders import FleetOrders
from .fleetparts import CapacityParts
from .leases import Hold
from .parts import DutyParts


@duty_kinds.register("capacity")
class CapacityDuty:
    """Keeps the fleets of the services at their needs."""

    def __init__(self, parts: DutyParts):
        self._parts = parts

    def shards(self) -> tuple[str, ...]:
        """Return the services whose instances are ordered here."""
        document = self._parts.document()
        if document is None:
            return ()
        return tuple(
            service
            for service in sorted(document.services)
            if self._parts_of(ServiceId(service)) is not None
        )

    async def run(self, shard: str, hold: Hold) -> None:
        """Keep the fleet of one service until cancelled."""
        found = self._parts_of(ServiceId(shard))
        if found is not None:
            await FleetOrders(found, hold).run()

    def _parts_of(self, service: ServiceId) -> CapacityParts | None:
        make_parts = self._parts.capacity
        return make_parts(service) if make_parts is not None else None
