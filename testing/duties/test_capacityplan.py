"""Orders of endpoints for simulated loads and shortages."""

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
    """Cloud whose endpoints start a boot time after their order."""

    def __init__(self, on_demand_per_zone: int = 2):
        self.plan = CapacityPlan(slots=32)
        self.fleet = {z: ZoneFleet(on_demand_count=on_demand_per_zone) for z in ZONES}
        self.unavailable_zones: set[ZoneId] = set()
        self.now_ms = 0
        self.pending: list[tuple[int, Order]] = []
        self.removed_ms: dict[ZoneId, int] = {}
        self.order_count = 0
        self.refusal_count = 0

    def run(self, duration_ms: int, load: Load) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._start_endpoints()
            for order in self.plan.due_orders(SPEC, self.fleet, load, self.now_ms):
                self._handle_order(order)

    def reclaim(self, zone: ZoneId) -> None:
        self.fleet[zone].draining_reclaimable_count = self.fleet[zone].reclaimable_count
        self.fleet[zone].reclaimable_count = 0
        self.removed_ms[zone] = self.now_ms + NOTICE_MS
        self.pending = [
            (at_ms, order)
            for at_ms, order in self.pending
            if order.zone != zone or not order.is_reclaimable
        ]

    def _handle_order(self, order: Order) -> None:
        self.order_count += 1
        if order.is_reclaimable and order.zone in self.unavailable_zones:
            self.refusal_count += 1
            self.plan.record_refusal(order, self.now_ms)
            return
        self.plan.record_accepted(order, self.now_ms)
        self.pending.append((self.now_ms + SPEC.boot_ms, order))

    def _start_endpoints(self) -> None:
        for zone, removed_ms in self.removed_ms.items():
            if self.now_ms >= removed_ms:
                self.fleet[zone].draining_reclaimable_count = 0
        for at_ms, order in list(self.pending):
            if at_ms <= self.now_ms:
                self.pending.remove((at_ms, order))
                current = self.fleet[order.zone]
                if order.is_reclaimable:
                    current.reclaimable_count = order.count
                else:
                    current.on_demand_count = order.count

    @property
    def reclaimable_count(self) -> int:
        return sum(f.reclaimable_count for f in self.fleet.values())

    @property
    def on_demand_count(self) -> int:
        return sum(f.on_demand_count for f in self.fleet.values())


LOW_LOAD = Load(running_count=25, prefill_tokens=5_000)


class TestCapacityPlan(unittest.TestCase):
    def test_reclaimable_endpoints_replace_on_demand_ones(self):
        cloud = Cloud()
        cloud.run(15_000, LOW_LOAD)
        self.assertEqual((cloud.reclaimable_count, cloud.on_demand_count), (8, 0))
        self.assertTrue(all(f.reclaimable_count == 2 for f in cloud.fleet.values()))

    def test_on_demand_endpoints_stay_until_reclaimable_ones_start(self):
        cloud = Cloud()
        cloud.unavailable_zones = set(ZONES)
        cloud.run(10_000, LOW_LOAD)
        self.assertEqual(cloud.on_demand_count, 8)

    def test_a_constant_load_needs_no_more_orders(self):
        cloud = Cloud()
        cloud.run(15_000, LOW_LOAD)
        order_count = cloud.order_count
        cloud.run(30_000, LOW_LOAD)
        self.assertEqual(cloud.order_count, order_count)

    def test_more_load_adds_endpoints_up_to_the_maximum(self):
        cloud = Cloud()
        cloud.run(10_000, LOW_LOAD)
        cloud.run(10_000, Load(running_count=200, prefill_tokens=60_000))
        self.assertGreaterEqual(cloud.reclaimable_count, 14)
        cloud.run(10_000, Load(running_count=2_000, prefill_tokens=0))
        self.assertEqual(cloud.reclaimable_count, 4 * SPEC.maximum)

    def test_endpoints_are_removed_long_after_the_load_has_dropped(self):
        cloud = Cloud()
        cloud.run(10_000, Load(running_count=200, prefill_tokens=0))
        cloud.run(40_000, LOW_LOAD)
        self.assertEqual(cloud.reclaimable_count, 8)

    def test_on_demand_endpoints_are_ordered_once_a_zone_is_reclaimed(self):
        # Two more zones are reclaimed within seconds; no zone has capacity.
        cloud = Cloud()
        cloud.run(15_000, LOW_LOAD)
        cloud.unavailable_zones = set(ZONES)
        cloud.reclaim(ZONES[3])
        cloud.run(6_000, Load(running_count=50, prefill_tokens=10_000))
        self.assertGreaterEqual(cloud.on_demand_count, 2)
        cloud.reclaim(ZONES[2])
        cloud.run(6_000, Load(running_count=50, prefill_tokens=10_000))
        cloud.reclaim(ZONES[1])
        cloud.run(1_000, Load(running_count=50, prefill_tokens=10_000))
        self.assertGreaterEqual(cloud.on_demand_count + cloud.reclaimable_count, 4)

    def test_on_demand_endpoints_go_once_capacity_is_available_again(self):
        cloud = Cloud()
        cloud.run(15_000, LOW_LOAD)
        cloud.unavailable_zones = set(ZONES)
        cloud.reclaim(ZONES[0])
        cloud.run(6_000, LOW_LOAD)
        self.assertGreater(cloud.on_demand_count, 0)
        cloud.unavailable_zones = set()
        cloud.run(30_000, LOW_LOAD)
        self.assertEqual((cloud.reclaimable_count, cloud.on_demand_count), (8, 0))

    def test_a_zone_without_capacity_gets_few_orders(self):
        cloud = Cloud()
        cloud.run(15_000, LOW_LOAD)
        cloud.unavailable_zones = {ZONES[0]}
        cloud.reclaim(ZONES[0])
        cloud.run(12_000, LOW_LOAD)
        self.assertLessEqual(cloud.refusal_count, 4)

    def test_without_reclaimable_machines_on_demand_ones_are_ordered(self):
        plan = CapacityPlan(slots=32)
        spec = ScalingSpec(1, 5, 4_000, 1.0, SPEC.zone_prices)
        fleet = {zone: ZoneFleet() for zone in ZONES}
        orders = plan.due_orders(spec, fleet, Load(200, 0), 0)
        counts = {o.zone: o.count for o in orders if not o.is_reclaimable}
        self.assertGreaterEqual(sum(counts.values()), 14)
