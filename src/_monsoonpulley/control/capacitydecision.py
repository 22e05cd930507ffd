"""Input, settings, state and output of the capacity planner."""

from __future__ import annotations

import msgspec

from ..ids import ServiceId, ZoneId
from ..observability.log import Decision
from .fleet import FleetEndpoint, Market, Need, Offer, Order, Release


class WeightLoads(msgspec.Struct, frozen=True):
    """State of weight loading, which serves one instance after the other.

    Attributes
    ----------
    load_ms : int
        How long one instance loads at the weight store's rate limit.
    free_ms : int
        When the loads that are already queued will be done.
    """

    load_ms: int = 0
    free_ms: int = 0


class PlanSettings(msgspec.Struct, frozen=True):
    """Settings of the planner.

    Attributes
    ----------
    overdue_ms : int
        How long after its expected time a starting instance still counts as
        capacity.
    release_margin : float
        Capacity that must remain after a release, as a share above the need; it
        keeps the fleet's size from oscillating.
    surplus_hold_ms : int
        How long a surplus must have lasted before a release.
    max_release_ratio : float
        Largest share of the fleet to release in one pass; at least one instance.
    min_saving_ratio : float
        Smallest relative saving for which an instance is replaced by a cheaper
        one; it keeps price changes from causing constant replacement.
    saving_hold_ms : int
        How long the saving must have lasted.
    firm_saving_hold_ms : int
        The same for on-demand instances, whose prices hardly move.
    max_replacing_ratio : float
        Largest share of the fleet under replacement at a time; at least one
        instance.
    payback_ms : int
        Time within which the saving must pay for running the old and the new
        instance side by side.
    shortage_milli_per_unit_h : float
        Cost of one hour in which one unit a second of capacity is missing, in
        1/1000 of the currency.
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
    """State that the planner keeps from one pass to the next.

    Attributes
    ----------
    surplus_since_ms : int or None
        Since when an instance could be released.
    saving_since_ms, firm_saving_since_ms : int or None
        Since when a reclaimable, or an on-demand, instance could be replaced by a
        cheaper one.
    """

    surplus_since_ms: int | None = None
    saving_since_ms: int | None = None
    firm_saving_since_ms: int | None = None


class PlanInput(msgspec.Struct, frozen=True, kw_only=True):
    """Input of one planning pass.

    Attributes
    ----------
    service : ServiceId
        The service, over all zones of the region.
    needs : tuple of Need
        One for each version that must have endpoints.
    fleet : tuple of FleetEndpoint
        Endpoint instances, including those on order.
    offers : tuple of Offer
        Prices, speeds, lead times and reclaim rates.
    blocked : frozenset of Market
        Markets that recently refused a start or reclaimed an instance.
    """

    service: ServiceId
    needs: tuple[Need, ...]
    fleet: tuple[FleetEndpoint, ...]
    offers: tuple[Offer, ...]
    loads: WeightLoads = WeightLoads()
    blocked: frozenset[Market] = frozenset()


class MarketCount(msgspec.Struct, frozen=True):
    """Number of instances of a market."""

    market: Market
    count: int


class CapacityDecision(Decision, frozen=True, kw_only=True, tag="capacity_decision"):
    """A decision on the capacity of one version, with its inputs.

    Attributes
    ----------
    fleet, ordered : tuple of MarketCount
        Instances that count as capacity, and those to start.
    size_units_per_s, runner_up_units_per_s : float
        Chosen size of the fleet and that of the next cheapest; 0 where no sizes
        were compared.
    cost_milli_per_h, runner_up_milli_per_h : float
        Their cost of the instances to start, reclaim risk included.
    releases : tuple of str
        Instances to drain and stop.
    replaced : str
        Instance that is released once the started one serves; else empty.
    unmet : tuple of str
        Constraints that are not met even with the instances to start.
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
    """An order and the name of the instance that it replaces, if any."""

    order: Order
    replaces: str = ""


class Plan(msgspec.Struct, frozen=True):
    """Output of one planning pass."""

    orders: tuple[PlannedOrder, ...]
    releases: tuple[Release, ...]
    state: PlanState
    decisions: tuple[CapacityDecision, ...]
