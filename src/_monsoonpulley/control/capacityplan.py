"""Planner of capacity: which endpoint instances to start and which to release.

The constraints, for each need: the capacity is no less than the total; without
any one zone it is no less than the need after a loss; on-demand instances give no
less than the firm part. Of a fleet of capacity X each zone may hold X less the
need after a loss, so the planner fills zones up to that from the cheapest offer
on, for several X, and takes the cheapest result.
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
    PlannedOrder,
    PlanSettings,
    PlanState,
    Situation,
)
from .capacityfill import Filled, Pricing, fill, fill_regardless
from .capacityneed import Room, unmet
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

SIZES_TRIED = 12
"""How many sizes of the fleet are compared, one least instance apart."""


def plan(
    situation: Situation, state: PlanState, settings: PlanSettings, now_ms: int
) -> Plan:
    """Return what to start and release for every version of a service."""
    planner = _Planner(situation, state, settings, now_ms)
    for need in situation.needs:
        planner.plan_version(need)
    planner.release_unneeded_versions()
    return planner.result()


class _Planner:
    """One pass over the versions of a service."""

    def __init__(
        self,
        situation: Situation,
        state: PlanState,
        settings: PlanSettings,
        now_ms: int,
    ):
        self._situation = situation
        self._state = state
        self._settings = settings
        self._now_ms = now_ms
        self._loads_free_ms = max(now_ms, situation.loads.free_ms)
        self._orders: list[PlannedOrder] = []
        self._releases: list[Release] = []
        self._decisions: list[CapacityDecision] = []
        self._has_surplus = False
        self._has_saving = False
        self._has_firm_saving = False
        self._versions: dict[VersionId, list[FleetEndpoint]] = {}
        for endpoint in situation.fleet:
            if endpoint.provides_capacity and not self._is_overdue(endpoint):
                self._versions.setdefault(endpoint.version, []).append(endpoint)
        self._offers = tuple(
            offer for offer in situation.offers if offer.market not in situation.blocked
        )
        lead_ms = situation.loads.load_ms + self._loads_free_ms - now_ms
        self._pricing = Pricing(lead_ms, settings.late_milli_per_unit_h)
        self._costs = {
            offer.market: self._pricing.cost_milli_per_h(offer) / offer.units_per_s
            for offer in situation.offers
        }
        self._offers_by_cost = sorted(
            self._offers, key=lambda offer: self._costs[offer.market]
        )

    def result(self) -> Plan:
        state = PlanState(
            self._since(self._has_surplus, self._state.surplus_since_ms),
            self._since(self._has_saving, self._state.saving_since_ms),
            self._since(self._has_firm_saving, self._state.firm_saving_since_ms),
        )
        return Plan(
            tuple(self._orders), tuple(self._releases), state, tuple(self._decisions)
        )

    def plan_version(self, need: Need) -> None:
        """Order what is missing; else release or replace."""
        endpoints = self._versions.get(need.version, [])
        if unmet(need, endpoints):
            self._order_missing(need, endpoints)
            return
        released = self._release_surplus(need, endpoints)
        if not released:
            self._switch_to_cheaper(need, endpoints)

    def release_unneeded_versions(self) -> None:
        """Release the versions without a need once all others are whole."""
        needed = {need.version: need for need in self._situation.needs}
        for need in needed.values():
            ready = _ready(self._versions.get(need.version, []))
            if unmet(need, ready) or not ready:
                return
        for version, endpoints in self._versions.items():
            if version not in needed:
                names = [each.name for each in _ready(endpoints)]
                self._releases += [Release(name) for name in names]
                if names:
                    need = Need(version, 0.0, 0.0)
                    self._decide(
                        "version not needed", need, endpoints, releases=tuple(names)
                    )

    def _order_missing(self, need: Need, endpoints: list[FleetEndpoint]) -> None:
        fills = self._fills(need, endpoints)
        whole = [each for each in fills if each.is_whole]
        if whole:
            best, *others = sorted(whole, key=lambda each: each.cost_milli_per_h)
            others = [each for each in others if each.counts != best.counts]
            rule = "cheapest fleet that survives any zone"
        else:
            best = fill_regardless(need, endpoints, self._offers, self._pricing)
            others = []
            rule = "too few markets to survive every zone"
        for offer, count in best.counts:
            for _ in range(count):
                self._start(need.version, offer)
        second = others[0] if others else None
        coming = [*endpoints, *_as_endpoints(need.version, best)]
        self._decide(
            rule,
            need,
            endpoints,
            ordered=tuple(MarketCount(each.market, n) for each, n in best.counts),
            size_units_per_s=best.size_units_per_s,
            cost_milli_per_h=best.cost_milli_per_h,
            runner_up_units_per_s=second.size_units_per_s if second else 0.0,
            runner_up_milli_per_h=second.cost_milli_per_h if second else 0.0,
            unmet=unmet(need, coming),
        )

    def _fills(self, need: Need, endpoints: list[FleetEndpoint]) -> list[Filled]:
        """Return fleets of several sizes; all zones equally full is the least."""
        if not self._offers:
            return []
        zones = units_by_zone(endpoints)
        usable = {offer.market.zone for offer in self._offers}
        places = len(usable | set(zones))
        step = min(offer.units_per_s for offer in self._offers)
        sizes = {need.loss_units_per_s + max(zones.values(), default=0.0)}
        for count in range(2, places + 1):
            # Some zones may hold too little and be blocked: fewer carry the rest.
            least = need.loss_units_per_s * count / (count - 1)
            sizes |= {least + step * more for more in range(places + 1)}
        sizes = {max(need.total_units_per_s, size) for size in sizes}
        sizes |= {min(sizes) + step * more for more in range(SIZES_TRIED)}
        return [
            fill(need, size, endpoints, self._offers, self._pricing)
            for size in sorted(sizes)
        ]

    def _release_surplus(self, need: Need, endpoints: list[FleetEndpoint]) -> bool:
        ready = _ready(endpoints)
        replaced = {each.replaces for each in ready if each.replaces}
        wide = need.scaled_by(1 + self._settings.release_margin)
        held = self._has_lasted(
            self._state.surplus_since_ms, self._settings.surplus_hold_ms
        )
        most = max(1, int(self._settings.release_ratio * len(ready)))
        names: list[str] = []
        room = Room(ready)
        for endpoint in sorted(ready, key=self._release_order):
            if len(names) >= most:
                break
            if endpoint.name in replaced:
                is_free = room.can_lose(endpoint, need)
            elif room.can_lose(endpoint, wide):
                self._has_surplus = True
                is_free = held
            else:
                is_free = False
            if is_free:
                room.lose(endpoint)
                names.append(endpoint.name)
        if names:
            self._releases += [Release(name) for name in names]
            rule = "more than needed for a while"
            self._decide(rule, need, endpoints, releases=tuple(names))
        return bool(names)

    def _switch_to_cheaper(self, need: Need, endpoints: list[FleetEndpoint]) -> None:
        """Order cheaper instances in place of the dearest, a few at a time."""
        names = {each.name for each in endpoints}
        pending = {each.replaces for each in endpoints} & names
        most = max(1, int(self._settings.switch_share * len(endpoints)))
        offers = {offer.market: offer for offer in self._situation.offers}
        room = Room(endpoints)
        priced = [
            each
            for each in _ready(endpoints)
            if each.market in offers and each.name not in pending
        ]
        for dearest in sorted(priced, key=self._release_order):
            if len(pending) >= most:
                return
            new = self._cheaper(offers[dearest.market], dearest, room, need)
            if new is None:
                return
            if not self._is_lasting(dearest.market):
                continue
            room.lose(dearest)
            room.gain(new)
            pending.add(dearest.name)
            self._start(need.version, new, dearest.name)
            self._decide(
                "cheaper for long enough",
                need,
                endpoints,
                ordered=(MarketCount(new.market, 1),),
                replaced=dearest.name,
            )

    def _cheaper(
        self, old: Offer, endpoint: FleetEndpoint, room: Room, need: Need
    ) -> Offer | None:
        """Return the cheapest offer that may replace the endpoint."""
        for offer in self._offers_by_cost:
            if not self._saves(old, offer):
                return None
            if room.is_met_with(offer, need, without=endpoint):
                return offer
        return None

    def _saves(self, old: Offer, new: Offer) -> bool:
        old_cost, new_cost = self._costs[old.market], self._costs[new.market]
        if new_cost > old_cost * (1 - self._settings.switch_ratio):
            return False
        lead_ms = new.start_ms + self._pricing.load_ms
        saved = (old_cost - new_cost) * self._settings.payback_ms
        return saved > old_cost * lead_ms

    def _is_lasting(self, market: Market) -> bool:
        """Tell whether replacing instances of the market paid for long enough.

        On-demand prices hardly move, so less time is asked for there.
        """
        settings, state = self._settings, self._state
        if market.reclaimable:
            self._has_saving = True
            return self._has_lasted(state.saving_since_ms, settings.switch_hold_ms)
        self._has_firm_saving = True
        return self._has_lasted(state.firm_saving_since_ms, settings.firm_hold_ms)

    def _start(self, version: VersionId, offer: Offer, replaces: str = "") -> None:
        begin_ms = max(self._now_ms + offer.start_ms, self._loads_free_ms)
        ready_ms = begin_ms + self._situation.loads.load_ms
        self._loads_free_ms = ready_ms
        order = Order(self._situation.service, version, offer.market, ready_ms)
        self._orders.append(PlannedOrder(order, replaces))

    def _release_order(self, endpoint: FleetEndpoint) -> tuple:
        """Sort what costs most first, and of equals the least busy."""
        return (
            -self._costs.get(endpoint.market, math.inf),
            endpoint.in_progress,
            endpoint.name,
        )

    def _is_overdue(self, endpoint: FleetEndpoint) -> bool:
        if endpoint.state is not EndpointState.COMING:
            return False
        return self._now_ms > endpoint.ready_ms + self._settings.overdue_ms

    def _has_lasted(self, since_ms: int | None, hold_ms: int) -> bool:
        return since_ms is not None and self._now_ms - since_ms >= hold_ms

    def _since(self, is_now: bool, since_ms: int | None) -> int | None:
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
                service=self._situation.service,
                now_ms=self._now_ms,
                need=need,
                fleet=tuple(MarketCount(each, counts[each]) for each in sorted(counts)),
                units_by_zone=units_by_zone(endpoints),
                offers=self._situation.offers,
                blocked=tuple(sorted(self._situation.blocked)),
                loads=self._situation.loads,
                **fields,
            )
        )


def _ready(endpoints: Sequence[FleetEndpoint]) -> list[FleetEndpoint]:
    return [each for each in endpoints if each.state is EndpointState.READY]


def _as_endpoints(version: VersionId, filled: Filled) -> list[FleetEndpoint]:
    return [
        FleetEndpoint("", offer.market, version, offer.units_per_s * count)
        for offer, count in filled.counts
    ]
