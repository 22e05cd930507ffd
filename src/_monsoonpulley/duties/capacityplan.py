"""Plan of the number of endpoints of a service in each data centre.

Load changes within seconds, and all reclaimable machines of a data centre may be
reclaimed at once. Since reclaimable endpoints cost a fraction of on-demand ones,
they are spread over all data centres with headroom. On-demand endpoints, which
can't be reclaimed, are ordered only while reclaimable capacity is unavailable and
the remaining endpoints can't carry the load.
"""

from __future__ import annotations

import math

import msgspec

from ..fleet.model import ScalingSpec
from ..ids import ZoneId

TARGET_UTILIZATION = 0.45
"""Target share of slots in use: keeps the engines' steps short and leaves headroom
for a burst or the loss of a data centre."""

PREFILL_TOKENS_PER_EXTRA_ENDPOINT = 30_000.0
"""Backlog for which one more endpoint is added; about 500 ms of prefill."""

MIN_PER_ZONE = 2
"""Minimum of endpoints in each data centre, so that one is left when another
crashes."""

MIN_SHARE_OF_MAXIMUM = 0.3
"""Minimum in each data centre as a share of the maximum there: bursts come faster
than an endpoint starts."""

DEMAND_HOLD_MS = 20_000
"""Time for which a needed number of endpoints is kept after it was last seen: bursts
come in series, and an endpoint takes seconds to start."""

UNAVAILABLE_MS = 4_000
"""Time without orders of reclaimable endpoints in a data centre after a refused order
or reclaimed machines."""

SCARCE_MS = 12_000
"""Time for which reclaimable machines count as scarce after a refused order or
reclaimed machines: other data centres' machines are often reclaimed seconds later."""

MIN_ON_DEMAND_WHILE_SCARCE = 2
"""Minimum of on-demand endpoints while reclaimable ones are scarce."""

ORDER_REPEAT_MS = 1_500
"""Interval between equal orders while the endpoints have not started yet."""


class ZoneFleet(msgspec.Struct):
    """Endpoints of a service in one data centre."""

    reclaimable_count: int = 0
    on_demand_count: int = 0
    draining_reclaimable_count: int = 0
    """Reclaimable endpoints that finish their last requests; not included above."""


class Load(msgspec.Struct, frozen=True):
    """Load of a service's endpoints.

    Attributes
    ----------
    running_count : int
        Requests without a complete answer.
    prefill_tokens : int
        Prompt tokens left to prefill.
    """

    running_count: int
    prefill_tokens: int


class Order(msgspec.Struct, frozen=True):
    """Order for ``count`` endpoints of a kind in a data centre, with its reason."""

    zone: ZoneId
    is_reclaimable: bool
    count: int
    rule: str


class _AcceptedOrder(msgspec.Struct):
    count: int
    accepted_ms: int


class CapacityPlan:
    """Plan of the endpoints of one service.

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
        """Return the orders to send now.

        Parameters
        ----------
        spec : ScalingSpec
            Limits and prices.
        fleet : dict
            Current endpoints by data centre.
        load : Load
            Sum over all data centres.
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
                order = Order(
                    zone, True, targets[zone], f"{needed} endpoints needed in all zones"
                )
                self._append_if_due(orders, order, current.reclaimable_count, now_ms)
            order = Order(
                zone,
                False,
                on_demand_targets[zone],
                "load beyond the reclaimable endpoints",
            )
            self._append_if_due(orders, order, current.on_demand_count, now_ms)
        return orders

    def record_refusal(self, order: Order, now_ms: int) -> None:
        """Record that an order was refused for want of capacity."""
        if order.is_reclaimable:
            self._unavailable_until_ms[order.zone] = now_ms + UNAVAILABLE_MS
            self._scarce_until_ms = now_ms + SCARCE_MS
        self._accepted.pop((order.zone, order.is_reclaimable), None)

    def record_accepted(self, order: Order, now_ms: int) -> None:
        """Record that an order was accepted."""
        self._accepted[order.zone, order.is_reclaimable] = _AcceptedOrder(
            order.count, now_ms
        )

    def _has_lost_reclaimable(self, zone: ZoneId, current: ZoneFleet) -> bool:
        """Return whether reclaimable endpoints leave without an order to do so."""
        accepted = self._accepted.get((zone, True))
        ordered = accepted.count if accepted is not None else 0
        return (
            current.draining_reclaimable_count > 0
            and current.reclaimable_count < ordered
        )

    def _needed_count(
        self, spec: ScalingSpec, load: Load, zones: int, now_ms: int
    ) -> int:
        zone_minimum = max(MIN_PER_ZONE, math.ceil(MIN_SHARE_OF_MAXIMUM * spec.maximum))
        needed = max(self._count_for_load(load), zone_minimum * zones)
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
        """Return the target of reclaimable endpoints by data centre.

        The targets of data centres without available capacity are 0 and not ordered.
        """
        targets = dict.fromkeys(zones, 0)
        if spec.reclaimable_price >= 1:
            return targets
        available_zones = [
            zone for zone in zones if not self._is_unavailable(zone, now_ms)
        ]
        # The share of an unavailable data centre isn't moved: it is ordered later.
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
        """Return the target of on-demand endpoints by data centre."""
        current = {zone: fleet.get(zone, ZoneFleet()) for zone in zones}
        reclaimable = sum(f.reclaimable_count for f in current.values())
        if spec.reclaimable_price < 1 and reclaimable == 0:
            # No reclaimable endpoint has started yet: keep the on-demand ones.
            current_counts = {zone: current[zone].on_demand_count for zone in zones}
            if now_ms >= self._scarce_until_ms or sum(current_counts.values()):
                return current_counts
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
        """Return how many on-demand endpoints the load needs in addition.

        While reclaimable endpoints are scarce, those of the data centre with the
        most are counted as lost: a replacement takes longer than their notice.
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
