"""The capacity duty: one lease per service, for all zones of the region.

One holder plans all zones together, because the fleet must survive the loss of any
one of them. A data centre partitioned from the platform can't order instances in
any case, and keeps using the endpoints that it has.
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
    """Keeps the fleet of each service at the capacity that it needs."""

    def __init__(self, parts: DutyParts):
        self._parts = parts

    def shards(self) -> tuple[str, ...]:
        """Return the services whose instances this deployment orders."""
        document = self._parts.document()
        if document is None:
            return ()
        return tuple(
            service
            for service in sorted(document.services)
            if self._parts_of(ServiceId(service)) is not None
        )

    async def run(self, shard: str, hold: Hold) -> None:
        """Manage the fleet of one service until cancelled."""
        found = self._parts_of(ServiceId(shard))
        if found is not None:
            await FleetOrders(found, hold).run()

    def _parts_of(self, service: ServiceId) -> CapacityParts | None:
        make_parts = self._parts.capacity
        return make_parts(service) if make_parts is not None else None
