"""Checks whether endpoints meet a need, also as instances come and go."""

from __future__ import annotations

from collections.abc import Sequence

from .fleet import FleetEndpoint, Market, Need, Offer, units_by_zone

EPSILON = 1e-9
"""Tolerance for rounding in comparisons of capacity."""


def unmet_constraints(
    need: Need, endpoints: Sequence[FleetEndpoint]
) -> tuple[str, ...]:
    """Return the constraints of the need that the endpoints don't meet."""
    zones = units_by_zone(endpoints)
    total = sum(zones.values())
    firm = sum(
        each.units_per_s
        for each in endpoints
        if each.provides_capacity and not each.market.reclaimable
    )
    found = []
    if total < need.total_units_per_s - EPSILON:
        found.append("total")
    if firm < need.firm_units_per_s - EPSILON:
        found.append("firm")
    for zone in sorted(zones):
        if total - zones[zone] < need.loss_units_per_s - EPSILON:
            found.append(f"without {zone}")
    return tuple(found)


class FleetCapacity:
    """Capacity of a fleet by zone, updated as instances are added and removed."""

    def __init__(self, endpoints: Sequence[FleetEndpoint]):
        self._zones = units_by_zone(endpoints)
        self._total = sum(self._zones.values())
        self._firm = sum(
            each.units_per_s for each in endpoints if not each.market.reclaimable
        )

    def can_remove(self, endpoint: FleetEndpoint, need: Need) -> bool:
        """Return whether the need is met without the endpoint."""
        market = endpoint.market
        return self._is_met(need, market, -endpoint.units_per_s)

    def is_met_with(self, offer: Offer, need: Need, without: FleetEndpoint) -> bool:
        """Return whether the need is met with the offer in place of the endpoint."""
        self.remove_endpoint(without)
        is_met = self._is_met(need, offer.market, offer.units_per_s)
        self._change(without.market, without.units_per_s)
        return is_met

    def add_offer(self, offer: Offer) -> None:
        """Add one instance of the offer."""
        self._change(offer.market, offer.units_per_s)

    def remove_endpoint(self, endpoint: FleetEndpoint) -> None:
        """Remove the endpoint."""
        self._change(endpoint.market, -endpoint.units_per_s)

    def _change(self, market: Market, units_per_s: float) -> None:
        zones = self._zones
        zones[market.zone] = zones.get(market.zone, 0.0) + units_per_s
        self._total += units_per_s
        if not market.reclaimable:
            self._firm += units_per_s

    def _is_met(self, need: Need, market: Market, change: float) -> bool:
        zones = {**self._zones}
        zones[market.zone] = zones.get(market.zone, 0.0) + change
        total = self._total + change
        firm = self._firm + (0.0 if market.reclaimable else change)
        return (
            total >= need.total_units_per_s - EPSILON
            and total - max(zones.values()) >= need.loss_units_per_s - EPSILON
            and firm >= need.firm_units_per_s - EPSILON
        )
