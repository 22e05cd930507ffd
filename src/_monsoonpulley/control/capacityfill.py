"""Selects instances for a fleet of a given size, the cheapest offers first."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from ..ids import ZoneId
from .capacityneed import EPSILON
from .fleet import FleetEndpoint, Need, Offer, units_by_zone

MS_PER_H = 3_600_000


class Pricing(msgspec.Struct, frozen=True):
    """Cost of an offer, reclaim risk included.

    Attributes
    ----------
    load_ms : int
        From the start of an instance's process until it serves: the wait for the
        weight store and the loading.
    shortage_milli_per_unit_h : float
        Cost of one hour in which one unit a second of capacity is missing, in
        1/1000 of the currency.
    """

    load_ms: int
    shortage_milli_per_unit_h: float

    def cost_milli_per_h(self, offer: Offer, zone_share: float = 1.0) -> float:
        """Return the price plus the expected cost of reclaims.

        A reclaimed instance costs its replacement and the shortage until that
        serves. ``zone_share`` is the share of the fleet that is in the zone, and
        is lost with it.
        """
        lead_h = (offer.start_ms + self.load_ms) / MS_PER_H
        shortage_milli_per_h = (
            offer.units_per_s * self.shortage_milli_per_unit_h * zone_share
        )
        return offer.milli_per_h + offer.reclaims_per_h * lead_h * (
            offer.milli_per_h + shortage_milli_per_h
        )


class FilledFleet(msgspec.Struct, frozen=True):
    """Instances to start for a fleet of one size, and whether it meets the need."""

    size_units_per_s: float
    counts: tuple[tuple[Offer, int], ...]
    cost_milli_per_h: float
    meets_need: bool


class _FleetBuilder:
    """Capacity and counts of a fleet while offers are added to it."""

    def __init__(self, endpoints: Sequence[FleetEndpoint]):
        self.zones: dict[ZoneId, float] = units_by_zone(endpoints)
        self.total = sum(self.zones.values())
        self.firm = sum(
            each.units_per_s for each in endpoints if not each.market.reclaimable
        )
        self.counts: dict[Offer, int] = {}

    def add(self, offer: Offer, count: int) -> None:
        if count <= 0:
            return
        units = offer.units_per_s * count
        zone = offer.market.zone
        self.counts[offer] = self.counts.get(offer, 0) + count
        self.zones[zone] = self.zones.get(zone, 0.0) + units
        self.total += units
        if not offer.market.reclaimable:
            self.firm += units

    def count_that_fits(self, offer: Offer, zone_limit: float) -> int:
        room = zone_limit - self.zones.get(offer.market.zone, 0.0)
        return max(0, math.floor(room / offer.units_per_s + EPSILON))


def fill_fleet(
    need: Need,
    size_units_per_s: float,
    endpoints: Sequence[FleetEndpoint],
    offers: Sequence[Offer],
    pricing: Pricing,
) -> FilledFleet:
    """Return the instances to add so that a fleet of this size survives any zone."""
    zone_limit = size_units_per_s - need.loss_units_per_s
    share = zone_limit / size_units_per_s if size_units_per_s else 1.0
    ordered = _sort_by_unit_cost(offers, pricing, share)
    builder = _FleetBuilder(endpoints)
    for offer in ordered:
        if not offer.market.reclaimable:
            missing = _missing_count(need.firm_units_per_s - builder.firm, offer)
            builder.add(offer, min(missing, builder.count_that_fits(offer, zone_limit)))
    for offer in ordered:
        missing = _missing_count(size_units_per_s - builder.total, offer)
        builder.add(offer, min(missing, builder.count_that_fits(offer, zone_limit)))
    return _build(need, size_units_per_s, builder, pricing, share)


def fill_total_only(
    need: Need,
    endpoints: Sequence[FleetEndpoint],
    offers: Sequence[Offer],
    pricing: Pricing,
) -> FilledFleet:
    """Return the instances to add for the total alone.

    For when too few zones have offers to survive a loss. Zones are filled evenly
    first, so that the loss of one costs as little capacity as possible.
    """
    builder = _FleetBuilder(endpoints)
    ordered = _sort_by_unit_cost(offers, pricing, 1.0)
    even_zone_units = need.total_units_per_s / max(
        1, len({o.market.zone for o in offers})
    )
    for offer in ordered:
        missing = _missing_count(need.total_units_per_s - builder.total, offer)
        builder.add(
            offer, min(missing, builder.count_that_fits(offer, even_zone_units))
        )
    for offer in ordered:
        builder.add(
            offer, _missing_count(need.total_units_per_s - builder.total, offer)
        )
    return _build(need, need.total_units_per_s, builder, pricing, 1.0)


def _missing_count(missing_units_per_s: float, offer: Offer) -> int:
    return max(0, math.ceil(missing_units_per_s / offer.units_per_s - EPSILON))


def _sort_by_unit_cost(
    offers: Sequence[Offer], pricing: Pricing, share: float
) -> list[Offer]:
    def key(offer: Offer) -> tuple:
        cost = pricing.cost_milli_per_h(offer, share)
        return cost / offer.units_per_s, offer.market

    return sorted(offers, key=key)


def _build(
    need: Need, size: float, builder: _FleetBuilder, pricing: Pricing, share: float
) -> FilledFleet:
    counts = tuple(builder.counts.items())
    cost = sum(pricing.cost_milli_per_h(each, share) * n for each, n in counts)
    largest_zone = max(builder.zones.values(), default=0.0)
    meets_need = (
        builder.total >= need.total_units_per_s - EPSILON
        and builder.total - largest_zone >= need.loss_units_per_s - EPSILON
        and builder.firm >= need.firm_units_per_s - EPSILON
    )
    return FilledFleet(size, counts, cost, meets_need)
