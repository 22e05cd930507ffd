"""Plan of the number of endpoints of a service in each data centre.

All reclaimable machines of a data centre may be reclaimed at once. Since reclaimable
endpoints cost a fraction of on-demand ones, they are spread over all data centres, so
many that the others carry the load when one loses its own. On-demand endpoints, which
can't be reclaimed, replace reclaimable ones as soon as these are refused or leaving,
and stay until enough reclaimable ones run again.

A roll-out starts endpoints of the new version beside those of the old one. The platform
counts both, while only one of the versions has the traffic. An order for fewer
endpoints, or for more than the maximum leaves room for, could stop those that have it,
so that none is sent until one version is left.
"""

from __future__ import annotations

import math

import msgspec

from ..fleet.model import ScalingSpec
from ..ids import ZoneId
from .capacityneed import CapacityNeed

DEMAND_HOLD_MS = 20_000
"""Time for which a needed number of endpoints is kept after it was last seen: bursts
come in series, and an endpoint takes seconds to start."""

ON_DEMAND_HOLD_MS = 6_000
"""The same for on-demand endpoints, which cost several times as much."""

UNAVAILABLE_MS = 4_000
"""Time without orders of a kind in a data centre after a refused order or reclaimed
machines."""

SCARCE_MS = 12_000
"""Time for which reclaimable machines count as scarce after a refused order or
reclaimed machines, unless an order there is accepted: other data centres' machines
are often reclaimed seconds later."""

MIN_PER_ZONE_AT_START = 2
"""Minimum of endpoints in each data centre until the arriving work is known, so that
one is left when another crashes."""

OBSERVATION_MS = 6_000
"""Time after the first read of the endpoints until orders are made: endpoints that run
write their rows at each heartbeat, and the rows of all are there after a few."""

START_MARGIN_MS = 2_000
"""Time beyond an endpoint's start after which its order is sent again."""


class ZoneFleet(msgspec.Struct):
    """Endpoints of a service in one data centre."""

    reclaimable_count: int = 0
    on_demand_count: int = 0
    draining_reclaimable_count: int = 0
    """Reclaimable endpoints that finish their last requests; not included above."""
    idle_reclaimable_count: int = 0
    idle_on_demand_count: int = 0
    """Endpoints of a version without the service's traffic; not included above. The
    platform counts them."""
    lost_reclaimable_count: float = 0.0
    """What reclaimable endpoints don't carry because they are cold, in warm ones."""

    def record_idle_version(self, is_reclaimable: bool) -> None:
        """Count an endpoint of a version without the service's traffic."""
        if is_reclaimable:
            self.idle_reclaimable_count += 1
        else:
            self.idle_on_demand_count += 1

    def idle_count(self, is_reclaimable: bool) -> int:
        """Return the endpoints of a kind whose version has no traffic."""
        if is_reclaimable:
            return self.idle_reclaimable_count
        return self.idle_on_demand_count

    def total_count(self) -> int:
        """Return the endpoints that the maximum of the data centre covers."""
        return (
            self.reclaimable_count
            + self.on_demand_count
            + self.idle_reclaimable_count
            + self.idle_on_demand_count
        )


class Order(msgspec.Struct, frozen=True):
    """Order for endpoints of a kind in a data centre.

    Attributes
    ----------
    zone, is_reclaimable : ZoneId, bool
        Data centre and kind.
    count : int
        Endpoints that are to carry the traffic.
    rule : str
        Reason of the order.
    idle_count : int
        Endpoints of a version without traffic, which the platform counts as well.
    """

    zone: ZoneId
    is_reclaimable: bool
    count: int
    rule: str
    idle_count: int = 0

    @property
    def total_count(self) -> int:
        """Endpoints of the kind that the platform is to run there."""
        return self.count + self.idle_count


class _AcceptedOrder(msgspec.Struct):
    count: int
    accepted_ms: int


class CapacityPlan:
    """Plan of the endpoints of one service."""

    def __init__(self) -> None:
        self._needs: list[tuple[int, CapacityNeed]] = []
        self._initial_count = 0
        self._started_ms: int | None = None
        self._has_orders = False
        self._accepted: dict[tuple[ZoneId, bool], _AcceptedOrder] = {}
        self._unavailable_until_ms: dict[tuple[ZoneId, bool], int] = {}
        self._scarce_until_ms: dict[ZoneId, int] = {}
        self._room_zones: list[ZoneId] = []

    def due_orders(
        self,
        spec: ScalingSpec,
        fleet: dict[ZoneId, ZoneFleet],
        need: CapacityNeed,
        observed_ms: int,
        now_ms: int,
        is_version_changing: bool = False,
    ) -> list[Order]:
        """Return the orders to send now.

        Parameters
        ----------
        spec : ScalingSpec
            Limits and prices.
        fleet : dict
            Current endpoints by data centre.
        need : CapacityNeed
            What the arriving work needs.
        observed_ms : int
            Time since the endpoints were first read.
        now_ms : int
            Monotonic time.
        is_version_changing : bool
            Whether a roll-out of the service is in progress.
        """
        zones = sorted(spec.zone_prices, key=lambda zone: spec.zone_prices[zone])
        if not zones:
            return []
        current = {zone: fleet.get(zone, ZoneFleet()) for zone in zones}
        self._record_fleet(current, need, now_ms)
        if observed_ms < OBSERVATION_MS:
            return []
        self._has_orders = True
        reclaimable = self._reclaimable_targets(spec, zones, current, now_ms)
        expected = self._expected_reclaimable(spec, current, reclaimable, now_ms)
        on_demand = self._on_demand_targets(spec, zones, current, expected, now_ms)
        self._make_room(spec, current, reclaimable, on_demand, need, now_ms)
        orders: list[Order] = []
        for zone in zones:
            self._append_if_due(
                orders,
                Order(zone, True, reclaimable[zone], f"{need.binding} of the load"),
                current[zone].reclaimable_count,
                spec,
                now_ms,
            )
            self._append_if_due(
                orders,
                Order(zone, False, on_demand[zone], "reclaimable ones don't suffice"),
                current[zone].on_demand_count,
                spec,
                now_ms,
            )
        is_mixed = is_version_changing or any(
            each.idle_reclaimable_count or each.idle_on_demand_count
            for each in current.values()
        )
        if is_mixed:
            orders = self._orders_beside_another_version(orders, current, spec, now_ms)
        return orders

    def record_refusal(self, order: Order, now_ms: int) -> None:
        """Record that an order was refused for want of capacity."""
        if order.is_reclaimable:
            self._record_scarcity(order.zone, now_ms)
            return
        self._unavailable_until_ms[order.zone, False] = now_ms + UNAVAILABLE_MS
        self._accepted.pop((order.zone, False), None)

    def record_accepted(self, order: Order, now_ms: int) -> None:
        """Record that an order was accepted."""
        self._accepted[order.zone, order.is_reclaimable] = _AcceptedOrder(
            order.count, now_ms
        )
        if order.is_reclaimable:
            self._scarce_until_ms.pop(order.zone, None)

    def _record_fleet(
        self, current: dict[ZoneId, ZoneFleet], need: CapacityNeed, now_ms: int
    ) -> None:
        if self._started_ms is None:
            self._started_ms = now_ms
        if not self._has_orders:
            count = sum(
                each.reclaimable_count + each.on_demand_count
                for each in current.values()
            )
            self._initial_count = max(self._initial_count, count)
        self._needs = [
            (ms, past) for ms, past in self._needs if now_ms - ms < DEMAND_HOLD_MS
        ]
        self._needs.append((now_ms, need))
        for zone, each in current.items():
            if self._has_lost_reclaimable(zone, each):
                self._record_scarcity(zone, now_ms)

    def _has_lost_reclaimable(self, zone: ZoneId, current: ZoneFleet) -> bool:
        """Return whether reclaimable endpoints leave without an order to do so.

        The orders of an earlier holder of the duty are not known.
        """
        if not current.draining_reclaimable_count:
            return False
        accepted = self._accepted.get((zone, True))
        return accepted is None or current.reclaimable_count < accepted.count

    def _record_scarcity(self, zone: ZoneId, now_ms: int) -> None:
        self._unavailable_until_ms[zone, True] = now_ms + UNAVAILABLE_MS
        self._scarce_until_ms[zone] = now_ms + SCARCE_MS
        self._accepted.pop((zone, True), None)

    def _age_ms(self, now_ms: int) -> int:
        return now_ms - self._started_ms if self._started_ms is not None else 0

    def _needed_count(
        self,
        needs: list[CapacityNeed],
        counts: list[int],
        zone_count: int,
        now_ms: int,
    ) -> int:
        """Return the most endpoints needed of the counts of ``needs``.

        What the service had when the plan began is kept until the work that arrives
        is known: for the whole time of ``needs``, and long enough to have had a peak.
        """
        is_new = self._age_ms(now_ms) < DEMAND_HOLD_MS
        had_traffic = needs[0].demand.requests_per_s > 0
        if is_new or not had_traffic:
            counts = [*counts, self._initial_count]
        if is_new and not had_traffic:
            counts.append(MIN_PER_ZONE_AT_START * zone_count)
        return max(counts)

    def _reclaimable_targets(
        self,
        spec: ScalingSpec,
        zones: list[ZoneId],
        current: dict[ZoneId, ZoneFleet],
        now_ms: int,
    ) -> dict[ZoneId, int]:
        """Return the target of reclaimable endpoints by data centre."""
        if spec.reclaimable_price >= 1:
            return dict.fromkeys(zones, 0)
        needs = [need for _, need in self._needs]
        counts = [need.count for need in needs]
        needed = self._needed_count(needs, counts, len(zones), now_ms)
        least = max(need.least_count for need in needs)
        needed = max(needed, _count_with_spare_zone(least, len(zones)))
        available = [z for z in zones if not self._is_unavailable(z, True, now_ms)]
        targets = {zone: current[zone].reclaimable_count for zone in zones}
        for index, zone in enumerate(available):
            share = needed // len(available) + (index < needed % len(available))
            targets[zone] = min(spec.maximum, max(spec.minimum, 1, share))
        # Those of another data centre stay until enough others run.
        surplus = _bearing_reclaimable(current) - needed
        for zone in available:
            excess = current[zone].reclaimable_count - targets[zone]
            if excess > 0:
                removed = min(excess, max(0, surplus))
                targets[zone] += excess - removed
                surplus -= removed
        return targets

    def _on_demand_targets(
        self,
        spec: ScalingSpec,
        zones: list[ZoneId],
        current: dict[ZoneId, ZoneFleet],
        expected_reclaimable: int,
        now_ms: int,
    ) -> dict[ZoneId, int]:
        """Return the target of on-demand endpoints by data centre."""
        needs = [need for ms, need in self._needs if now_ms - ms < ON_DEMAND_HOLD_MS]
        counts = [need.on_demand_count for need in needs]
        needed = self._needed_count(needs, counts, len(zones), now_ms)
        # On-demand endpoints stay while those that replace them are cold.
        running = _bearing_reclaimable(current)
        present = sum(each.on_demand_count for each in current.values())
        missing = needed - expected_reclaimable
        kept = min(present, needed - running)
        wanted = max(missing, kept, 0)
        targets = dict.fromkeys(zones, 0)
        # Those that run or start stay where they are: an order for fewer stops them.
        for zone in zones:
            starting = self._starting_count(zone, False, spec, now_ms)
            committed = max(current[zone].on_demand_count, starting)
            targets[zone] = min(wanted, committed)
            wanted -= targets[zone]
        totals = {z: targets[z] + current[z].reclaimable_count for z in zones}
        while wanted > 0:
            room = [
                zone
                for zone in zones
                if totals[zone] < spec.maximum
                and not self._is_unavailable(zone, False, now_ms)
            ]
            if not room:
                break
            zone = min(room, key=lambda zone: totals[zone])
            targets[zone] += 1
            totals[zone] += 1
            wanted -= 1
        return targets

    def _make_room(
        self,
        spec: ScalingSpec,
        current: dict[ZoneId, ZoneFleet],
        reclaimable: dict[ZoneId, int],
        on_demand: dict[ZoneId, int],
        need: CapacityNeed,
        now_ms: int,
    ) -> None:
        """Lower targets of on-demand endpoints that prevent the start of others.

        The maximum of a data centre covers both kinds. With traffic, one data centre
        at a time makes room; the others carry its share meanwhile.
        """
        if self._is_scarce(now_ms):
            self._room_zones = []
            return
        missing = [
            zone
            for zone in current
            if current[zone].reclaimable_count < reclaimable[zone]
            and not self._is_unavailable(zone, True, now_ms)
        ]
        self._room_zones = [zone for zone in self._room_zones if zone in missing]
        for zone in missing:
            if self._room_zones and need.demand.requests_per_s > 0:
                break
            is_crowded = (
                current[zone].on_demand_count + reclaimable[zone] > spec.maximum
            )
            if is_crowded and zone not in self._room_zones:
                self._room_zones.append(zone)
                # The order for the reclaimable ones had no effect while it was full.
                self._accepted.pop((zone, True), None)
        for zone in self._room_zones:
            room = max(0, spec.maximum - reclaimable[zone])
            on_demand[zone] = min(on_demand[zone], room)

    def _expected_reclaimable(
        self,
        spec: ScalingSpec,
        current: dict[ZoneId, ZoneFleet],
        targets: dict[ZoneId, int],
        now_ms: int,
    ) -> int:
        """Return how many reclaimable endpoints to rely on.

        Ordered ones count while they start. While reclaimable endpoints are scarce,
        those of the data centre with the most count as lost: a replacement takes
        longer to start than their notice.
        """
        is_scarce = self._is_scarce(now_ms)
        counts = []
        for zone, each in current.items():
            count = each.reclaimable_count
            if not self._is_unavailable(zone, True, now_ms):
                starting = self._starting_count(zone, True, spec, now_ms)
                count = max(count, starting if is_scarce else targets[zone])
            counts.append(count)
        return sum(counts) - max(counts) if is_scarce else sum(counts)

    def _starting_count(
        self, zone: ZoneId, is_reclaimable: bool, spec: ScalingSpec, now_ms: int
    ) -> int:
        """Return the count of the last order if its endpoints may start, else 0."""
        accepted = self._accepted.get((zone, is_reclaimable))
        if accepted is None or now_ms >= _repeat_ms(accepted, spec):
            return 0
        return accepted.count

    def _append_if_due(
        self,
        orders: list[Order],
        order: Order,
        current_count: int,
        spec: ScalingSpec,
        now_ms: int,
    ) -> None:
        if self._is_unavailable(order.zone, order.is_reclaimable, now_ms):
            return
        accepted = self._accepted.get((order.zone, order.is_reclaimable))
        if accepted is None:
            if current_count != order.count:
                orders.append(order)
            return
        is_overdue = now_ms >= _repeat_ms(accepted, spec)
        is_missing = current_count < order.count and is_overdue
        if accepted.count != order.count or is_missing:
            orders.append(order)

    def _orders_beside_another_version(
        self,
        orders: list[Order],
        current: dict[ZoneId, ZoneFleet],
        spec: ScalingSpec,
        now_ms: int,
    ) -> list[Order]:
        """Return the orders that stop no endpoint, with the idle ones included."""
        kept = []
        for order in orders:
            zone = current[order.zone]
            running = (
                zone.reclaimable_count if order.is_reclaimable else zone.on_demand_count
            )
            starting = self._starting_count(
                order.zone, order.is_reclaimable, spec, now_ms
            )
            total = zone.total_count() + order.count - running
            if order.count > max(running, starting) and total <= spec.maximum:
                idle_count = zone.idle_count(order.is_reclaimable)
                kept.append(msgspec.structs.replace(order, idle_count=idle_count))
        return kept

    def _is_scarce(self, now_ms: int) -> bool:
        return any(now_ms < ms for ms in self._scarce_until_ms.values())

    def _is_unavailable(self, zone: ZoneId, is_reclaimable: bool, now_ms: int) -> bool:
        return now_ms < self._unavailable_until_ms.get((zone, is_reclaimable), 0)


def _bearing_reclaimable(current: dict[ZoneId, ZoneFleet]) -> int:
    """Return the reclaimable endpoints, cold ones as the part that they carry."""
    lost = sum(each.lost_reclaimable_count for each in current.values())
    return sum(each.reclaimable_count for each in current.values()) - math.ceil(lost)


def _repeat_ms(accepted: _AcceptedOrder, spec: ScalingSpec) -> int:
    """Return when an order is sent again if its endpoints haven't started."""
    return accepted.accepted_ms + spec.boot_ms + START_MARGIN_MS


def _count_with_spare_zone(least: int, zones: int) -> int:
    """Return the smallest count of which ``least`` remain without the fullest zone."""
    if zones < 2:
        return least
    count = least
    while count - math.ceil(count / zones) < least:
        count += 1
    return count
