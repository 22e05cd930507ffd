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

FILL = 0.45
"""Share of an endpoint's slots that the load should take: steps stay short, and
the loss of a data centre or a burst finds the rest free."""

BACKLOG_TOKENS = 30_000.0
"""Unread prompt tokens, about 500 ms of reading, that call for an endpoint more."""

SPARE_PER_ZONE = 2
"""Reclaimable endpoints in each data centre at least, so that one is left when
another crashes."""

SPARE_SHARE = 0.3
"""Of the most endpoints that a data centre may have, the share kept there at least:
bursts come faster than an endpoint starts."""

HOLD_MS = 20_000
"""A need is kept this long after it was last seen: bursts come in series, and an
endpoint takes seconds to start."""

DRY_MS = 4_000
"""After a refused order, or machines taken back, until the next try there."""

SCARCE_MS = 12_000
"""After the last refusal or loss, reclaimable machines count as scarce: where one
data centre's are taken back, others' follow within seconds."""

SCARCE_BASE = 2
"""Endpoints that can't be reclaimed, at least, while the others are scarce."""

REPEAT_MS = 1_500
"""Between two equal orders while the endpoints are not there yet."""


class ZoneFleet(msgspec.Struct):
    """Endpoints of a service in one data centre that take requests."""

    reclaimable: int = 0
    others: int = 0
    leaving: int = 0
    """Reclaimable endpoints that finish their last requests."""


class Load(msgspec.Struct, frozen=True):
    """Work at a service's endpoints.

    Attributes
    ----------
    running : int
        Requests without a complete answer.
    unread_tokens : int
        Prompt tokens that are yet to be read.
    """

    running: int
    unread_tokens: int


class Order(msgspec.Struct, frozen=True):
    """An order: so many endpoints of a kind in a data centre, and why."""

    zone: ZoneId
    is_reclaimable: bool
    count: int
    rule: str


class _Sent(msgspec.Struct):
    count: int
    sent_ms: int


class CapacityPlan:
    """Plans the endpoints of one service.

    Parameters
    ----------
    slots : int
        Requests that one endpoint runs at once.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self._needs: list[tuple[int, int]] = []
        self._sent: dict[tuple[ZoneId, bool], _Sent] = {}
        self._dry_until_ms: dict[ZoneId, int] = {}
        self._scarce_until_ms = 0

    def orders(
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
            if self._is_reclaimed(zone, fleet.get(zone, ZoneFleet())):
                self._dry_until_ms[zone] = now_ms + DRY_MS
                self._scarce_until_ms = now_ms + SCARCE_MS
        need = self._need(spec, load, len(zones), now_ms)
        wanted = self._wanted(spec, zones, need, now_ms)
        others = self._others(spec, zones, fleet, load, now_ms)
        orders = []
        for zone in zones:
            stand = fleet.get(zone, ZoneFleet())
            if not self._is_dry(zone, now_ms):
                order = Order(zone, True, wanted[zone], f"need of {need}")
                self._add(orders, order, stand.reclaimable, now_ms)
            order = Order(zone, False, others[zone], "what reclaimable ones lack")
            self._add(orders, order, stand.others, now_ms)
        return orders

    def refused(self, order: Order, now_ms: int) -> None:
        """Note that no endpoints of the kind are to be had there now."""
        if order.is_reclaimable:
            self._dry_until_ms[order.zone] = now_ms + DRY_MS
            self._scarce_until_ms = now_ms + SCARCE_MS
        self._sent.pop((order.zone, order.is_reclaimable), None)

    def sent(self, order: Order, now_ms: int) -> None:
        """Note that an order was taken."""
        self._sent[order.zone, order.is_reclaimable] = _Sent(order.count, now_ms)

    def _is_reclaimed(self, zone: ZoneId, stand: ZoneFleet) -> bool:
        """Return whether reclaimable endpoints leave that were not ordered away."""
        sent = self._sent.get((zone, True))
        ordered = sent.count if sent is not None else 0
        return stand.leaving > 0 and stand.reclaimable < ordered

    def _need(self, spec: ScalingSpec, load: Load, zones: int, now_ms: int) -> int:
        spare = max(SPARE_PER_ZONE, math.ceil(SPARE_SHARE * spec.maximum))
        need = max(self._load_need(load), spare * zones)
        self._needs = [(n, ms) for n, ms in self._needs if now_ms - ms < HOLD_MS]
        self._needs = [(n, ms) for n, ms in self._needs if n > need]
        self._needs.append((need, now_ms))
        return self._needs[0][0]

    def _load_need(self, load: Load) -> int:
        need = math.ceil(load.running / (FILL * self._slots))
        return need + int(load.unread_tokens / BACKLOG_TOKENS)

    def _wanted(
        self, spec: ScalingSpec, zones: list[ZoneId], need: int, now_ms: int
    ) -> dict[ZoneId, int]:
        """Return reclaimable endpoints by data centre, dry ones left as they are."""
        wanted = dict.fromkeys(zones, 0)
        if spec.reclaimable_price >= 1:
            return wanted
        open_zones = [zone for zone in zones if not self._is_dry(zone, now_ms)]
        # Data centres that are dry keep their share: it is ordered there later.
        for index, zone in enumerate(zones):
            share = need // len(zones) + (index < need % len(zones))
            if zone in open_zones:
                wanted[zone] = min(spec.maximum, max(spec.minimum, share))
        return wanted

    def _others(
        self,
        spec: ScalingSpec,
        zones: list[ZoneId],
        fleet: dict[ZoneId, ZoneFleet],
        load: Load,
        now_ms: int,
    ) -> dict[ZoneId, int]:
        """Return endpoints that can't be reclaimed, by data centre."""
        stand = {zone: fleet.get(zone, ZoneFleet()) for zone in zones}
        reclaimable = sum(f.reclaimable for f in stand.values())
        if spec.reclaimable_price < 1 and reclaimable == 0:
            # Nothing has arrived yet: what stands carries the load meanwhile.
            kept = {zone: stand[zone].others for zone in zones}
            if now_ms >= self._scarce_until_ms or sum(kept.values()):
                return kept
        lacking = self._lacking(spec, len(zones), stand, load, now_ms)
        others = dict.fromkeys(zones, 0)
        while lacking > 0:
            room = [z for z in zones if others[z] + stand[z].reclaimable < spec.maximum]
            if not room:
                break
            for zone in room[:lacking]:
                others[zone] += 1
            lacking -= len(room)
        return others

    def _lacking(
        self,
        spec: ScalingSpec,
        zones: int,
        stand: dict[ZoneId, ZoneFleet],
        load: Load,
        now_ms: int,
    ) -> int:
        """Return how many others the load needs besides the reclaimable ones.

        While reclaimable ones are scarce, the largest data centre's are counted
        as lost already: a replacement takes longer than their notice.
        """
        if spec.reclaimable_price >= 1:
            return max(self._load_need(load), SPARE_PER_ZONE * zones)
        if now_ms >= self._scarce_until_ms:
            return 0
        counts = [fleet.reclaimable for fleet in stand.values()]
        lasting = sum(counts) - max(counts)
        return max(SCARCE_BASE, self._load_need(load) - lasting)

    def _add(
        self, orders: list[Order], order: Order, standing: int, now_ms: int
    ) -> None:
        sent = self._sent.get((order.zone, order.is_reclaimable))
        if sent is None:
            if standing != order.count:
                orders.append(order)
            return
        if sent.count != order.count:
            orders.append(order)
        elif standing < order.count and now_ms - sent.sent_ms > REPEAT_MS:
            orders.append(order)

    def _is_dry(self, zone: ZoneId, now_ms: int) -> bool:
        return now_ms < self._dry_until_ms.get(zone, 0)
