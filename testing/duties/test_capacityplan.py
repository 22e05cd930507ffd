"""Orders of endpoints for loads and shortages played over time."""

from __future__ import annotations

import unittest

from _monsoonpulley.duties.capacityplan import (
    CapacityPlan,
    Load,
    Order,
    ZoneFleet,
)
from _monsoonpulley.fleet.model import ScalingSpec
from _monsoonpulley.ids import ZoneId

ZONES = [ZoneId(f"zone-{name}") for name in "abcd"]
SPEC = ScalingSpec(
    minimum=1,
    maximum=5,
    boot_ms=4_000,
    reclaimable_price=0.22,
    zone_prices=dict(zip(ZONES, (1.0, 0.8, 1.25, 0.9), strict=True)),
)
STEP_MS = 500
NOTICE_MS = 2_500


class Cloud:
    """Endpoints that come a boot time after their order."""

    def __init__(self, others_per_zone: int = 2):
        self.plan = CapacityPlan(slots=32)
        self.fleet = {z: ZoneFleet(others=others_per_zone) for z in ZONES}
        self.dry: set[ZoneId] = set()
        self.now_ms = 0
        self.coming: list[tuple[int, Order]] = []
        self.gone_ms: dict[ZoneId, int] = {}
        self.calls = 0
        self.refusals = 0

    def run(self, duration_ms: int, load: Load) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._arrive()
            for order in self.plan.orders(SPEC, self.fleet, load, self.now_ms):
                self._take(order)

    def reclaim(self, zone: ZoneId) -> None:
        self.fleet[zone].leaving = self.fleet[zone].reclaimable
        self.fleet[zone].reclaimable = 0
        self.gone_ms[zone] = self.now_ms + NOTICE_MS
        self.coming = [
            (at_ms, order)
            for at_ms, order in self.coming
            if order.zone != zone or not order.is_reclaimable
        ]

    def _take(self, order: Order) -> None:
        self.calls += 1
        if order.is_reclaimable and order.zone in self.dry:
            self.refusals += 1
            self.plan.refused(order, self.now_ms)
            return
        self.plan.sent(order, self.now_ms)
        self.coming.append((self.now_ms + SPEC.boot_ms, order))

    def _arrive(self) -> None:
        for zone, gone_ms in self.gone_ms.items():
            if self.now_ms >= gone_ms:
                self.fleet[zone].leaving = 0
        for at_ms, order in list(self.coming):
            if at_ms <= self.now_ms:
                self.coming.remove((at_ms, order))
                stand = self.fleet[order.zone]
                if order.is_reclaimable:
                    stand.reclaimable = order.count
                else:
                    stand.others = order.count

    @property
    def reclaimable(self) -> int:
        return sum(f.reclaimable for f in self.fleet.values())

    @property
    def others(self) -> int:
        return sum(f.others for f in self.fleet.values())


CALM = Load(running=25, unread_tokens=5_000)


class TestCapacityPlan(unittest.TestCase):
    def test_reclaimable_endpoints_replace_the_others(self):
        cloud = Cloud()
        cloud.run(15_000, CALM)
        self.assertEqual((cloud.reclaimable, cloud.others), (8, 0))
        self.assertTrue(all(f.reclaimable == 2 for f in cloud.fleet.values()))

    def test_the_others_stay_until_reclaimable_ones_have_come(self):
        cloud = Cloud()
        cloud.dry = set(ZONES)
        cloud.run(10_000, CALM)
        self.assertEqual(cloud.others, 8)

    def test_orders_settle(self):
        cloud = Cloud()
        cloud.run(15_000, CALM)
        calls = cloud.calls
        cloud.run(30_000, CALM)
        self.assertEqual(cloud.calls, calls)

    def test_load_brings_more_endpoints_within_the_limits(self):
        cloud = Cloud()
        cloud.run(10_000, CALM)
        cloud.run(10_000, Load(running=200, unread_tokens=60_000))
        self.assertGreaterEqual(cloud.reclaimable, 14)
        cloud.run(10_000, Load(running=2_000, unread_tokens=0))
        self.assertEqual(cloud.reclaimable, 4 * SPEC.maximum)

    def test_more_endpoints_go_again_once_the_load_has_long_passed(self):
        cloud = Cloud()
        cloud.run(10_000, Load(running=200, unread_tokens=0))
        cloud.run(40_000, CALM)
        self.assertEqual(cloud.reclaimable, 8)

    def test_others_are_ordered_as_soon_as_one_zone_is_reclaimed(self):
        # Two more zones follow within seconds, none to be had anywhere.
        cloud = Cloud()
        cloud.run(15_000, CALM)
        cloud.dry = set(ZONES)
        cloud.reclaim(ZONES[3])
        cloud.run(6_000, Load(running=50, unread_tokens=10_000))
        self.assertGreaterEqual(cloud.others, 2)
        cloud.reclaim(ZONES[2])
        cloud.run(6_000, Load(running=50, unread_tokens=10_000))
        cloud.reclaim(ZONES[1])
        cloud.run(1_000, Load(running=50, unread_tokens=10_000))
        self.assertGreaterEqual(cloud.others + cloud.reclaimable, 4)

    def test_others_go_once_reclaimable_ones_are_plenty_again(self):
        cloud = Cloud()
        cloud.run(15_000, CALM)
        cloud.dry = set(ZONES)
        cloud.reclaim(ZONES[0])
        cloud.run(6_000, CALM)
        self.assertGreater(cloud.others, 0)
        cloud.dry = set()
        cloud.run(30_000, CALM)
        self.assertEqual((cloud.reclaimable, cloud.others), (8, 0))

    def test_a_dry_zone_is_not_asked_all_the_time(self):
        cloud = Cloud()
        cloud.run(15_000, CALM)
        cloud.dry = {ZONES[0]}
        cloud.reclaim(ZONES[0])
        cloud.run(12_000, CALM)
        self.assertLessEqual(cloud.refusals, 4)

    def test_without_reclaimable_machines_others_carry_the_load(self):
        plan = CapacityPlan(slots=32)
        spec = ScalingSpec(1, 5, 4_000, 1.0, SPEC.zone_prices)
        fleet = {zone: ZoneFleet() for zone in ZONES}
        orders = plan.orders(spec, fleet, Load(200, 0), 0)
        counts = {o.zone: o.count for o in orders if not o.is_reclaimable}
        self.assertGreaterEqual(sum(counts.values()), 14)
