"""Small fleets, offers and planner inputs for capacity tests."""

from __future__ import annotations

from _monsoonpulley.control.capacitydecision import (
    Plan,
    PlanInput,
    PlanSettings,
    PlanState,
)
from _monsoonpulley.control.fleet import (
    EndpointState,
    FleetEndpoint,
    Market,
    Need,
    Offer,
)

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
UNITS = 100.0


def offer(zone, price, reclaimable=True, size="small", units=UNITS, reclaims=0.2):
    return Offer(Market(zone, size, reclaimable), price, units, 60_000, reclaims)


def offers(prices=(400, 430, 470, 520), on_demand=1_300):
    found = [offer(z, p) for z, p in zip(ZONES, prices, strict=True)]
    found += [offer(z, on_demand, reclaimable=False, reclaims=0.0) for z in ZONES]
    return tuple(found)


def endpoint(name, zone, state=EndpointState.READY, reclaimable=True, **fields):
    market = Market(zone, "small", reclaimable)
    return FleetEndpoint(name, market, "v1", UNITS, state, **fields)


def spread_fleet(count):
    return tuple(endpoint(f"e{n}", ZONES[n % 4]) for n in range(count))


def need(total=1_000.0, loss=700.0, firm=0.0, version="v1"):
    return Need(version, total, loss, firm)


def make_input(fleet=(), needs=None, **fields):
    fields = {"offers": offers(), **fields}
    return PlanInput(
        service="model", needs=needs or (need(),), fleet=tuple(fleet), **fields
    )


def as_ready(planned: Plan) -> list[FleetEndpoint]:
    found = []
    for number, each in enumerate(planned.orders):
        market = each.order.market
        units = 2 * UNITS if market.machine_class == "large" else UNITS
        version = each.order.version
        found.append(FleetEndpoint(f"new{number}", market, version, units))
    return found


SETTINGS = PlanSettings(shortage_milli_per_unit_h=20.0)
INITIAL_STATE = PlanState()
