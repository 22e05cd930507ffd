"""What capacity is planned on, what comes out, and the logged decision."""

from __future__ import annotations

import msgspec

from ..ids import ServiceId, ZoneId
from ..observability.log import Decision
from .fleet import FleetEndpoint, Market, Need, Offer, Order, Release


class WeightLoads(msgspec.Struct, frozen=True):
    """Weight loading, one instance after the other.

    Attributes
    ----------
    load_ms : int
        How long one instance loads at the store's rate limit.
    free_ms : int
        When the loads that are asked for already will be done.
    """

    load_ms: int = 0
    free_ms: int = 0


class PlanSettings(msgspec.Struct, frozen=True):
    """Of the planner.

    Attributes
    ----------
    overdue_ms : int
        How late a coming instance may be and still count.
    release_margin : float
        Share above the need that must be left after a release; the hysteresis
        of sizes.
    surplus_hold_ms : int
        How long there must have been a surplus before a release.
    release_ratio : float
        Most of the fleet to release in one pass; at least one instance.
    switch_ratio : float
        Least saving for which an instance is replaced by a cheaper one; the
        hysteresis of prices.
    switch_hold_ms : int
        How long the saving must have lasted.
    firm_hold_ms : int
        The same for on-demand instances, whose prices hardly move.
    switch_share : float
        Most of the fleet that may be in replacement; at least one instance.
    payback_ms : int
        Time within which the saving must pay for running both for a while.
    late_milli_per_unit_h : float
        Cost of an hour in which one unit a second of capacity is missing.
    """

    overdue_ms: int = 120_000
    release_margin: float = 0.05
    surplus_hold_ms: int = 600_000
    max_release_ratio: float = 0.1
    min_saving_ratio: float = 0.15
    saving_hold_ms: int = 900_000
    firm_saving_hold_ms: int = 120_000
    max_replacing_ratio: float = 0.25
    payback_ms: int = 7_200_000
    shortage_milli_per_unit_h: float = 0.0


class PlanState(msgspec.Struct, frozen=True):
    """What the planner remembers from one pass to the next.

    Attributes
    ----------
    surplus_since_ms : int or None
        Since when something could be released.
    saving_since_ms, firm_saving_since_ms : int or None
        Since when something reclaimable, or on-demand, could be replaced by
        something cheaper.
    """

    surplus_since_ms: int | None = None
    saving_since_ms: int | None = None
    firm_saving_since_ms: int | None = None


class PlanInput(msgspec.Struct, frozen=True, kw_only=True):
    """What is planned on.

    Attributes
    ----------
    service : ServiceId
        The service, over all zones of the region.
    needs : tuple of Need
        One for each version that must have endpoints.
    offers : tuple of Offer
        Prices, speeds, lead times and reclaim rates.
    blocked : frozenset of Market
        Where starts were refused or instances reclaimed of late.
    """

    service: ServiceId
    needs: tuple[Need, ...]
    fleet: tuple[FleetEndpoint, ...]
    offers: tuple[Offer, ...]
    loads: WeightLoads = WeightLoads()
    blocked: frozenset[Market] = frozenset()


class MarketCount(msgspec.Struct, frozen=True):
    """Instances of a market."""

    market: Market
    count: int


class CapacityDecision(Decision, frozen=True, kw_only=True, tag="capacity_decision"):
    """What one version's capacity was decided on.

    Attributes
    ----------
    fleet, ordered : tuple of MarketCount
        Instances that count, and what is started.
    size_units_per_s, runner_up_units_per_s : float
        Chosen size of the fleet and the next best; 0 where none was compared.
    cost_milli_per_h, runner_up_milli_per_h : float
        Their cost for what is started, risk included.
    releases : tuple of str
        Instances to drain and stop.
    replaced : str
        Instance that a started one stands in for.
    unmet : tuple of str
        Constraints that no order can meet now.
    """

    service: ServiceId
    now_ms: int
    need: Need
    fleet: tuple[MarketCount, ...]
    units_by_zone: dict[ZoneId, float]
    offers: tuple[Offer, ...]
    blocked: tuple[Market, ...]
    loads: WeightLoads
    ordered: tuple[MarketCount, ...] = ()
    size_units_per_s: float = 0.0
    cost_milli_per_h: float = 0.0
    runner_up_units_per_s: float = 0.0
    runner_up_milli_per_h: float = 0.0
    releases: tuple[str, ...] = ()
    replaced: str = ""
    unmet: tuple[str, ...] = ()


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order and the instance that it replaces, empty for none."""

    order: Order
    replaces: str = ""


class Plan(msgspec.Struct, frozen=True):
    """What to do now, what to remember, and why."""

    orders: tuple[PlannedOrder, ...]
    releases: tuple[Release, ...]
    state: PlanState
    decisions: tuple[CapacityDecision, ...]
