"""How many endpoints of a service each data centre should have.

Answers for load that changes within seconds and for data centres whose
reclaimable machines are all taken back at once: reclaimable endpoints are
spread over all data centres with room to spare, since they cost a fraction of
the others. Others are ordered only where no reclaimable ones are to be had and
those left can't carry the load.
"""

from __future__ import annotations

import math

import msgspec

from ..fleet.model import ScalingSpec
from ..ids import ZoneId

TARGET_UTILIZATION = 0.45
"""Share of an endpoint's slots that the load should take: steps stay short, and
the loss of a data centre or a burst finds the rest free."""

PREFILL_TOKENS_PER_EXTRA_ENDPOINT = 30_000.0
"""Unread prompt tokens, about 500 ms of reading, that call for an endpoint more."""

MIN_PER_ZONE = 2
"""Reclaimable endpoints in each data centre at least, so that one is left when
another crashes."""

MIN_SHARE_OF_MAXIMUM = 0.3
"""Of the most endpoints that a data centre may have, the share kept there at least:
bursts come faster than an endpoint starts."""

DEMAND_HOLD_MS = 20_000
"""A need is kept this long after it was last seen: bursts come in series, and an
endpoint takes seconds to start."""

UNAVAILABLE_MS = 4_000
"""After a refused order, or machines taken back, until the next try there."""

SCARCE_MS = 12_000
"""After the last refusal or loss, reclaimable machines count as scarce: where one
data centre's are taken back, others' follow within seconds."""

MIN_ON_DEMAND_WHILE_SCARCE = 2
"""Endpoints that can't be reclaimed, at least, while the others are scarce."""

ORDER_REPEAT_MS = 1_500
"""Between two equal orders while the endpoints are not there yet."""


class ZoneFleet(msgspec.Struct):
    """Endpoints of a service in one data centre that take requests."""

    reclaimable_count: int = 0
    on_demand_count: int = 0
    draining_reclaimable_count: int = 0
    """Reclaimable endpoints that finish their last requests."""


class Load(msgspec.Struct, frozen=True):
    """Work at a service's endpoints.

    Attributes
    ----------
    running_count : int
        Requests without a complete answer.
    prefill_tokens : int
        Prompt tokens that are yet to be read.
    """

    running_count: int
    prefill_tokens: int


class Order(msgspec.Struct, frozen=True):
    """An order: so many endpoints of a kind in a data centre, and why."""

    zone: ZoneId
    is_reclaimable: bool
    count: int
    rule: str


class _AcceptedOrder(msgspec.Struct):
    count: int
    accepted_ms: int


class CapacityPlan:
    """Plans the endpoints of one service.

    Parameters
    ----------
    slots : int
        Requests that one endpoint runs at once.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._needed_counts: list[tuple[int, int]] = []
        self._accepted: dict[tuple[ZoneId, bool], _AcceptedOrder] = {}
        self._unavailable_until_ms: dict[ZoneId, int] = {}
        self._scarce_until_ms = 0

    def due_orders(
        self,
        spec: ScalingSpec,
        fleet: dict[ZoneId, ZoneFleet],
        load: Load,
        now_ms: int,
    ) -> list[Order]:
        """Return the orders to give now.

        Parameters
        ----------
        spec : ScalingSpec
            Limits and prices.
        fleet : dict
            What stands, by data centre.
        load : Load
            Over all data centres.
        now_ms : int
            Monotonic time.
        """
        zones = sorted(spec.zone_prices, key=lambda zone: spec.zone_prices[zone])
        if not zones:
            return []
        for zone in zones:
            if self._has_lost_reclaimable(zone, fleet.get(zone, ZoneFleet())):
                self._unavailable_until_ms[zone] = now_ms + UNAVAILABLE_MS
                self._scarce_until_ms = now_ms + SCARCE_MS
        needed = self._needed_count(spec, load, len(zones), now_ms)
        targets = self._reclaimable_targets(spec, zones, needed, now_ms)
        on_demand_targets = self._on_demand_targets(spec, zones, fleet, load, now_ms)
        orders = []
        for zone in zones:
            current = fleet.get(zone, ZoneFleet())
            if not self._is_unavailable(zone, now_ms):
                order = Order(zone, True, targets[zone], f"need of {needed}")
                self._append_if_due(orders, order, current.reclaimable_count, now_ms)
            order = Order(
                zone, False, on_demand_targets[zone], "what reclaimable ones lack"
            )
            self._append_if_due(orders, order, current.on_demand_count, now_ms)
        return orders

    def record_refusal(self, order: Order, now_ms: int) -> None:
        """Note that no endpoints of the kind are to be had there now."""
        if order.is_reclaimable:
            self._unavailable_until_ms[order.zone] = now_ms + UNAVAILABLE_MS
            self._scarce_until_ms = now_ms + SCARCE_MS
        self._accepted.pop((order.zone, order.is_reclaimable), None)

    def record_accepted(self, order: Order, now_ms: int) -> None:
        """Note that an order was taken."""
        self._accepted[order.zone, order.is_reclaimable] = _AcceptedOrder(
            order.count, now_ms
        )

    def _has_lost_reclaimable(self, zone: ZoneId, current: ZoneFleet) -> bool:
        """Return whether reclaimable endpoints leave that were not ordered away."""
        accepted = self._accepted.get((zone, True))
        ordered = accepted.count if accepted is not None else 0
        return (
            current.draining_reclaimable_count > 0
            and current.reclaimable_count < ordered
        )

    def _needed_count(
        self, spec: ScalingSpec, load: Load, zones: int, now_ms: int
    ) -> int:
        spare = max(MIN_PER_ZONE, math.ceil(MIN_SHARE_OF_MAXIMUM * spec.maximum))
        needed = max(self._count_for_load(load), spare * zones)
        self._needed_counts = [
            (n, ms) for n, ms in self._needed_counts if now_ms - ms < DEMAND_HOLD_MS
        ]
        self._needed_counts = [(n, ms) for n, ms in self._needed_counts if n > needed]
        self._needed_counts.append((needed, now_ms))
        return self._needed_counts[0][0]

    def _count_for_load(self, load: Load) -> int:
        needed = math.ceil(load.running_count / (TARGET_UTILIZATION * self._slots))
        return needed + int(load.prefill_tokens / PREFILL_TOKENS_PER_EXTRA_ENDPOINT)

    def _reclaimable_targets(
        self, spec: ScalingSpec, zones: list[ZoneId], needed: int, now_ms: int
    ) -> dict[ZoneId, int]:
        """Return reclaimable endpoints by data centre, dry ones left as they are."""
        targets = dict.fromkeys(zones, 0)
        if spec.reclaimable_price >= 1:
            return targets
        available_zones = [
            zone for zone in zones if not self._is_unavailable(zone, now_ms)
        ]
        # Data centres that are dry keep their share: it is ordered there later.
        for index, zone in enumerate(zones):
            share = needed // len(zones) + (index < needed % len(zones))
            if zone in available_zones:
                targets[zone] = min(spec.maximum, max(spec.minimum, share))
        return targets

    def _on_demand_targets(
        self,
        spec: ScalingSpec,
        zones: list[ZoneId],
        fleet: dict[ZoneId, ZoneFleet],
        load: Load,
        now_ms: int,
    ) -> dict[ZoneId, int]:
        """Return endpoints that can't be reclaimed, by data centre."""
        current = {zone: fleet.get(zone, ZoneFleet()) for zone in zones}
        reclaimable = sum(f.reclaimable_count for f in current.values())
        if spec.reclaimable_price < 1 and reclaimable == 0:
            # Nothing has arrived yet: what stands carries the load meanwhile.
            kept = {zone: current[zone].on_demand_count for zone in zones}
            if now_ms >= self._scarce_until_ms or sum(kept.values()):
                return kept
        missing = self._missing_on_demand(spec, len(zones), current, load, now_ms)
        on_demand_targets = dict.fromkeys(zones, 0)
        while missing > 0:
            zones_with_room = [
                z
                for z in zones
                if on_demand_targets[z] + current[z].reclaimable_count < spec.maximum
            ]
            if not zones_with_room:
                break
            for zone in zones_with_room[:missing]:
                on_demand_targets[zone] += 1
            missing -= len(zones_with_room)
        return on_demand_targets

    def _missing_on_demand(
        self,
        spec: ScalingSpec,
        zones: int,
        current: dict[ZoneId, ZoneFleet],
        load: Load,
        now_ms: int,
    ) -> int:
        """Return how many others the load needs besides the reclaimable ones.

        While reclaimable ones are scarce, the largest data centre's are counted
        as lost already: a replacement takes longer than their notice.
        """
        if spec.reclaimable_price >= 1:
            return max(self._count_for_load(load), MIN_PER_ZONE * zones)
        if now_ms >= self._scarce_until_ms:
            return 0
        counts = [fleet.reclaimable_count for fleet in current.values()]
        remaining_count = sum(counts) - max(counts)
        return max(
            MIN_ON_DEMAND_WHILE_SCARCE, self._count_for_load(load) - remaining_count
        )

    def _append_if_due(
        self, orders: list[Order], order: Order, current_count: int, now_ms: int
    ) -> None:
        accepted = self._accepted.get((order.zone, order.is_reclaimable))
        if accepted is None:
            if current_count != order.count:
                orders.append(order)
            return
        if accepted.count != order.count:
            orders.append(order)
        elif (
            current_count < order.count
            and now_ms - accepted.accepted_ms > ORDER_REPEAT_MS
        ):
            orders.append(order)

    def _is_unavailable(self, zone: ZoneId, now_ms: int) -> bool:
        return now_ms < self._unavailable_until_ms.get(zone, 0)
