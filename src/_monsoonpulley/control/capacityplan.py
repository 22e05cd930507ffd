"""Capacity planner: which endpoint instances to start and which to release.

For each need there are three constraints: the capacity is at least the total;
without any one zone it is at least the need after a loss; on-demand instances
provide at least the firm part. In a fleet of capacity X each zone may therefore
hold X minus the need after a loss. The planner fills zones up to that limit from
the cheapest offers, for several X, and chooses the cheapest fleet.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from ..ids import VersionId
from .capacitydecision import (
    CapacityDecision,
    MarketCount,
    Plan,
    PlanInput,
    PlannedOrder,
    PlanSettings,
    PlanState,
)
from .capacityfill import FilledFleet, Pricing, fill_fleet, fill_total_only
from .capacityneed import FleetCapacity, unmet_constraints
from .fleet import (
    EndpointState,
    FleetEndpoint,
    Market,
    Need,
    Offer,
    Order,
    Release,
    units_by_zone,
)

SIZES_COMPARED = 12
"""Fleet sizes to compare from the smallest on, one smallest instance apart."""


def plan(
    plan_input: PlanInput, state: PlanState, settings: PlanSettings, now_ms: int
) -> Plan:
    """Return which instances of each version of a service to start and release."""
    planner = _Planner(plan_input, state, settings, now_ms)
    for need in plan_input.needs:
        planner.plan_version(need)
    planner.release_unneeded_versions()
    return planner.result()


class _Planner:
    """One planning pass over the versions of a service."""

    def __init__(
        self,
        plan_input: PlanInput,
        state: PlanState,
        settings: PlanSettings,
        now_ms: int,
    ):
        self._input = plan_input
        self._state = state
        self._settings = settings
        self._now_ms = now_ms
        self._loading_free_ms = max(now_ms, plan_input.loads.free_ms)
        self._orders: list[PlannedOrder] = []
        self._releases: list[Release] = []
        self._decisions: list[CapacityDecision] = []
        self._has_surplus = False
        self._has_saving = False
        self._has_firm_saving = False
        self._endpoints_by_version: dict[VersionId, list[FleetEndpoint]] = {}
        for endpoint in plan_input.fleet:
            if endpoint.provides_capacity and not self._is_overdue(endpoint):
                self._endpoints_by_version.setdefault(endpoint.version, []).append(
                    endpoint
                )
        self._offers = tuple(
            offer
            for offer in plan_input.offers
            if offer.market not in plan_input.blocked
        )
        lead_ms = plan_input.loads.load_ms + self._loading_free_ms - now_ms
        self._pricing = Pricing(lead_ms, settings.shortage_milli_per_unit_h)
        self._unit_cost_by_market = {
            offer.market: self._pricing.cost_milli_per_h(offer) / offer.units_per_s
            for offer in plan_input.offers
        }
        self._offers_by_cost = sorted(
            self._offers, key=lambda offer: self._unit_cost_by_market[offer.market]
        )

    def result(self) -> Plan:
        state = PlanState(
            self._next_since_ms(self._has_surplus, self._state.surplus_since_ms),
            self._next_since_ms(self._has_saving, self._state.saving_since_ms),
            self._next_since_ms(
                self._has_firm_saving, self._state.firm_saving_since_ms
            ),
        )
        return Plan(
            tuple(self._orders), tuple(self._releases), state, tuple(self._decisions)
        )

    def plan_version(self, need: Need) -> None:
        """Order missing capacity; if there is none, release or replace instances."""
        endpoints = self._endpoints_by_version.get(need.version, [])
        if unmet_constraints(need, endpoints):
            self._order_missing(need, endpoints)
            return
        released = self._release_surplus(need, endpoints)
        if not released:
            self._replace_with_cheaper(need, endpoints)

    def release_unneeded_versions(self) -> None:
        """Release versions without a need once all needs are met by ready instances."""
        needed = {need.version: need for need in self._input.needs}
        for need in needed.values():
            ready = _ready_endpoints(self._endpoints_by_version.get(need.version, []))
            if unmet_constraints(need, ready) or not ready:
                return
        for version, endpoints in self._endpoints_by_version.items():
            if version not in needed:
                released_names = [each.name for each in _ready_endpoints(endpoints)]
                self._releases += [Release(name) for name in released_names]
                if released_names:
                    need = Need(version, 0.0, 0.0)
                    self._decide(
                        "version not needed",
                        need,
                        endpoints,
                        releases=tuple(released_names),
                    )

    def _order_missing(self, need: Need, endpoints: list[FleetEndpoint]) -> None:
        candidates = self._candidate_fleets(need, endpoints)
        sufficient = [each for each in candidates if each.meets_need]
        if sufficient:
            best, *alternatives = sorted(
                sufficient, key=lambda each: each.cost_milli_per_h
            )
            alternatives = [each for each in alternatives if each.counts != best.counts]
            rule = "cheapest fleet that survives any zone"
        else:
            best = fill_total_only(need, endpoints, self._offers, self._pricing)
            alternatives = []
            rule = "too few markets to survive every zone"
        for offer, count in best.counts:
            for _ in range(count):
                self._order_instance(need.version, offer)
        runner_up = alternatives[0] if alternatives else None
        planned = [*endpoints, *_as_endpoints(need.version, best)]
        self._decide(
            rule,
            need,
            endpoints,
            ordered=tuple(MarketCount(each.market, n) for each, n in best.counts),
            size_units_per_s=best.size_units_per_s,
            cost_milli_per_h=best.cost_milli_per_h,
            runner_up_units_per_s=runner_up.size_units_per_s if runner_up else 0.0,
            runner_up_milli_per_h=runner_up.cost_milli_per_h if runner_up else 0.0,
            unmet=unmet_constraints(need, planned),
        )

    def _candidate_fleets(
        self, need: Need, endpoints: list[FleetEndpoint]
    ) -> list[FilledFleet]:
        """Return a fleet for each of several sizes.

        The smallest size for a number of zones has them equally full.
        """
        if not self._offers:
            return []
        zones = units_by_zone(endpoints)
        offer_zones = {offer.market.zone for offer in self._offers}
        zone_count = len(offer_zones | set(zones))
        size_step = min(offer.units_per_s for offer in self._offers)
        sizes = {need.loss_units_per_s + max(zones.values(), default=0.0)}
        for count in range(2, zone_count + 1):
            # A zone may be blocked with little capacity in it; then fewer zones
            # share the rest, and the fleet must be larger.
            min_size = need.loss_units_per_s * count / (count - 1)
            sizes |= {
                min_size + size_step * step_count
                for step_count in range(zone_count + 1)
            }
        sizes = {max(need.total_units_per_s, size) for size in sizes}
        sizes |= {
            min(sizes) + size_step * step_count for step_count in range(SIZES_COMPARED)
        }
        return [
            fill_fleet(need, size, endpoints, self._offers, self._pricing)
            for size in sorted(sizes)
        ]

    def _release_surplus(self, need: Need, endpoints: list[FleetEndpoint]) -> bool:
        ready = _ready_endpoints(endpoints)
        replaced = {each.replaces for each in ready if each.replaces}
        need_with_margin = need.scaled_by(1 + self._settings.release_margin)
        has_lasted = self._has_lasted(
            self._state.surplus_since_ms, self._settings.surplus_hold_ms
        )
        max_releases = max(1, int(self._settings.max_release_ratio * len(ready)))
        released_names: list[str] = []
        capacity = FleetCapacity(ready)
        for endpoint in sorted(ready, key=self._release_sort_key):
            if len(released_names) >= max_releases:
                break
            if endpoint.name in replaced:
                can_release = capacity.can_remove(endpoint, need)
            elif capacity.can_remove(endpoint, need_with_margin):
                self._has_surplus = True
                can_release = has_lasted
            else:
                can_release = False
            if can_release:
                capacity.remove_endpoint(endpoint)
                released_names.append(endpoint.name)
        if released_names:
            self._releases += [Release(name) for name in released_names]
            rule = "more than needed for a while"
            self._decide(rule, need, endpoints, releases=tuple(released_names))
        return bool(released_names)

    def _replace_with_cheaper(self, need: Need, endpoints: list[FleetEndpoint]) -> None:
        """Replace the most expensive instances by cheaper ones, a few at a time."""
        names = {each.name for each in endpoints}
        pending = {each.replaces for each in endpoints} & names
        max_pending = max(1, int(self._settings.max_replacing_ratio * len(endpoints)))
        offers = {offer.market: offer for offer in self._input.offers}
        capacity = FleetCapacity(endpoints)
        priced = [
            each
            for each in _ready_endpoints(endpoints)
            if each.market in offers and each.name not in pending
        ]
        for most_expensive in sorted(priced, key=self._release_sort_key):
            if len(pending) >= max_pending:
                return
            replacement = self._find_cheaper_offer(
                offers[most_expensive.market], most_expensive, capacity, need
            )
            if replacement is None:
                return
            if not self._has_saving_lasted(most_expensive.market):
                continue
            capacity.remove_endpoint(most_expensive)
            capacity.add_offer(replacement)
            pending.add(most_expensive.name)
            self._order_instance(need.version, replacement, most_expensive.name)
            self._decide(
                "cheaper for long enough",
                need,
                endpoints,
                ordered=(MarketCount(replacement.market, 1),),
                replaced=most_expensive.name,
            )

    def _find_cheaper_offer(
        self, old: Offer, endpoint: FleetEndpoint, capacity: FleetCapacity, need: Need
    ) -> Offer | None:
        """Return the cheapest offer that may replace the endpoint, if any."""
        for offer in self._offers_by_cost:
            if not self._is_worth_replacing(old, offer):
                return None
            if capacity.is_met_with(offer, need, without=endpoint):
                return offer
        return None

    def _is_worth_replacing(self, old: Offer, replacement: Offer) -> bool:
        old_cost, new_cost = (
            self._unit_cost_by_market[old.market],
            self._unit_cost_by_market[replacement.market],
        )
        if new_cost > old_cost * (1 - self._settings.min_saving_ratio):
            return False
        lead_ms = replacement.start_ms + self._pricing.load_ms
        saved = (old_cost - new_cost) * self._settings.payback_ms
        return saved > old_cost * lead_ms

    def _has_saving_lasted(self, market: Market) -> bool:
        """Record that replacing would save; return whether it has for long enough.

        On-demand prices hardly move, so a shorter time is required there.
        """
        settings, state = self._settings, self._state
        if market.reclaimable:
            self._has_saving = True
            return self._has_lasted(state.saving_since_ms, settings.saving_hold_ms)
        self._has_firm_saving = True
        return self._has_lasted(
            state.firm_saving_since_ms, settings.firm_saving_hold_ms
        )

    def _order_instance(
        self, version: VersionId, offer: Offer, replaces: str = ""
    ) -> None:
        begin_ms = max(self._now_ms + offer.start_ms, self._loading_free_ms)
        ready_ms = begin_ms + self._input.loads.load_ms
        self._loading_free_ms = ready_ms
        order = Order(self._input.service, version, offer.market, ready_ms)
        self._orders.append(PlannedOrder(order, replaces))

    def _release_sort_key(self, endpoint: FleetEndpoint) -> tuple:
        """Return a key that sorts by cost (highest first), then by requests."""
        return (
            -self._unit_cost_by_market.get(endpoint.market, math.inf),
            endpoint.in_progress,
            endpoint.name,
        )

    def _is_overdue(self, endpoint: FleetEndpoint) -> bool:
        if endpoint.state is not EndpointState.COMING:
            return False
        return self._now_ms > endpoint.ready_ms + self._settings.overdue_ms

    def _has_lasted(self, since_ms: int | None, hold_ms: int) -> bool:
        return since_ms is not None and self._now_ms - since_ms >= hold_ms

    def _next_since_ms(self, is_now: bool, since_ms: int | None) -> int | None:
        if not is_now:
            return None
        return self._now_ms if since_ms is None else since_ms

    def _decide(
        self, rule: str, need: Need, endpoints: Sequence[FleetEndpoint], **fields
    ) -> None:
        counts = Counter(each.market for each in endpoints)
        self._decisions.append(
            CapacityDecision(
                rule=rule,
                service=self._input.service,
                now_ms=self._now_ms,
                need=need,
                fleet=tuple(MarketCount(each, counts[each]) for each in sorted(counts)),
                units_by_zone=units_by_zone(endpoints),
                offers=self._input.offers,
                blocked=tuple(sorted(self._input.blocked)),
                loads=self._input.loads,
                **fields,
            )
        )


def _ready_endpoints(endpoints: Sequence[FleetEndpoint]) -> list[FleetEndpoint]:
    return [each for each in endpoints if each.state is EndpointState.READY]


def _as_endpoints(version: VersionId, filled: FilledFleet) -> list[FleetEndpoint]:
    return [
        FleetEndpoint("", offer.market, version, offer.units_per_s * count)
        for offer, count in filled.counts
    ]
