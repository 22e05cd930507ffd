"""Orders of endpoints for simulated needs and shortages."""

from __future__ import annotations

import unittest

from _monsoonpulley.duties.capacityneed import CapacityNeed
from _monsoonpulley.duties.capacityplan import (
    DEMAND_HOLD_MS,
    OBSERVATION_MS,
    CapacityPlan,
    Order,
    ZoneFleet,
)
from _monsoonpulley.fleet.model import ScalingSpec
from _monsoonpulley.ids import ZoneId
from _monsoonpulley.placing.demandmeter import Demand

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


def need(count: int, least_count: int = 0, requests_per_s: float = 20.0):
    demand = Demand(requests_per_s, requests_per_s, requests_per_s)
    return CapacityNeed(count, count, least_count or count // 2, "prefill", demand)


NO_TRAFFIC = need(0, requests_per_s=0.0)
LOW = need(8)


class Cloud:
    """Cloud whose endpoints start a boot time after their order.

    As on the users' platform, an order for fewer endpoints also cancels those that
    are starting, the maximum covers all endpoints of a data centre, and those of a
    version without traffic count. Of too many it stops those with the traffic.
    """

    def __init__(self, on_demand_per_zone: int = 2):
        self.plan = CapacityPlan()
        self.fleet = {z: ZoneFleet(on_demand_count=on_demand_per_zone) for z in ZONES}
        self.unavailable_zones: set[ZoneId] = set()
        self.now_ms = 0
        self.starts: dict[tuple[ZoneId, bool], list[int]] = {}
        self.removed_ms: dict[ZoneId, int] = {}
        self.orders: list[Order] = []
        self.refusal_count = 0
        self.is_version_changing = False

    def run(self, duration_ms: int, *needs: CapacityNeed) -> None:
        """Run the plan with each of the needs in turn."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._start_endpoints()
            current = needs[self.now_ms // STEP_MS % len(needs)]
            for order in self.plan.due_orders(
                SPEC,
                self.fleet,
                current,
                self.now_ms,
                self.now_ms,
                is_version_changing=self.is_version_changing,
            ):
                self._handle_order(order)

    def reclaim(self, zone: ZoneId) -> None:
        self.fleet[zone].draining_reclaimable_count = self.fleet[zone].reclaimable_count
        self.fleet[zone].reclaimable_count = 0
        self.removed_ms[zone] = self.now_ms + NOTICE_MS
        self.starts.pop((zone, True), None)

    def start_version(self, count_per_zone: int) -> None:
        self.is_version_changing = True
        for fleet in self.fleet.values():
            fleet.idle_on_demand_count = count_per_zone

    def take_version_back(self) -> None:
        self.is_version_changing = False
        for fleet in self.fleet.values():
            fleet.idle_on_demand_count = 0

    def give_version_all_traffic(self) -> None:
        for fleet in self.fleet.values():
            fleet.idle_reclaimable_count = fleet.reclaimable_count
            fleet.on_demand_count, fleet.idle_on_demand_count = (
                fleet.idle_on_demand_count,
                fleet.on_demand_count,
            )
            fleet.reclaimable_count = 0

    def end_old_version(self) -> None:
        self.is_version_changing = False
        for fleet in self.fleet.values():
            fleet.idle_reclaimable_count = fleet.idle_on_demand_count = 0

    def _handle_order(self, order: Order) -> None:
        self.orders.append(order)
        if order.is_reclaimable and order.zone in self.unavailable_zones:
            self.refusal_count += 1
            self.plan.record_refusal(order, self.now_ms)
            return
        self.plan.record_accepted(order, self.now_ms)
        running = self._running_count(order.zone, order.is_reclaimable)
        starts = self.starts.setdefault((order.zone, order.is_reclaimable), [])
        idle = self.fleet[order.zone].idle_count(order.is_reclaimable)
        other = self.fleet[order.zone].total_count() - running - idle
        count = max(0, min(order.total_count, SPEC.maximum - other) - idle)
        missing = count - running
        del starts[max(0, missing) :]
        if count < running:
            self._set_running_count(order.zone, order.is_reclaimable, count)
        starts += [self.now_ms + SPEC.boot_ms] * (missing - len(starts))

    def _start_endpoints(self) -> None:
        for zone, removed_ms in self.removed_ms.items():
            if self.now_ms >= removed_ms:
                self.fleet[zone].draining_reclaimable_count = 0
        for (zone, is_reclaimable), starts in self.starts.items():
            started = [ms for ms in starts if ms <= self.now_ms]
            del starts[: len(started)]
            count = self._running_count(zone, is_reclaimable) + len(started)
            self._set_running_count(zone, is_reclaimable, count)

    def _running_count(self, zone: ZoneId, is_reclaimable: bool) -> int:
        each = self.fleet[zone]
        return each.reclaimable_count if is_reclaimable else each.on_demand_count

    def _set_running_count(self, zone: ZoneId, is_reclaimable: bool, count: int):
        if is_reclaimable:
            self.fleet[zone].reclaimable_count = count
        else:
            self.fleet[zone].on_demand_count = count

    @property
    def reclaimable_count(self) -> int:
        return sum(f.reclaimable_count for f in self.fleet.values())

    @property
    def on_demand_count(self) -> int:
        return sum(f.on_demand_count for f in self.fleet.values())

    @property
    def total_count(self) -> int:
        return self.reclaimable_count + self.on_demand_count


SETTLED_MS = OBSERVATION_MS + SPEC.boot_ms + DEMAND_HOLD_MS + 5_000


class TestReclaimable(unittest.TestCase):
    def test_reclaimable_endpoints_replace_on_demand_ones(self):
        cloud = Cloud()
        cloud.run(15_000, LOW)
        self.assertEqual((cloud.reclaimable_count, cloud.on_demand_count), (8, 0))
        self.assertTrue(all(f.reclaimable_count == 2 for f in cloud.fleet.values()))

    def test_the_found_fleet_is_kept_until_traffic_is_known(self):
        cloud = Cloud(on_demand_per_zone=3)
        cloud.run(60_000, NO_TRAFFIC)
        self.assertEqual((cloud.reclaimable_count, cloud.on_demand_count), (12, 0))
        cloud.run(DEMAND_HOLD_MS + 5_000, need(4))
        self.assertEqual(cloud.reclaimable_count, 4)

    def test_nothing_is_ordered_before_the_endpoints_were_observed(self):
        cloud = Cloud()
        cloud.run(OBSERVATION_MS - STEP_MS, LOW)
        self.assertEqual(cloud.orders, [])

    def test_a_new_holder_orders_at_once(self):
        plan = CapacityPlan()
        fleet = {zone: ZoneFleet() for zone in ZONES}
        self.assertTrue(plan.due_orders(SPEC, fleet, LOW, 60_000, 60_000))

    def test_a_constant_need_causes_no_more_orders(self):
        cloud = Cloud()
        cloud.run(SETTLED_MS, LOW)
        before = len(cloud.orders)
        cloud.run(60_000, LOW)
        self.assertEqual(len(cloud.orders), before)

    def test_more_work_adds_endpoints_up_to_the_maximum(self):
        cloud = Cloud()
        cloud.run(10_000, LOW)
        cloud.run(10_000, need(14))
        self.assertGreaterEqual(cloud.reclaimable_count, 14)
        cloud.run(10_000, need(100))
        self.assertEqual(cloud.reclaimable_count, 4 * SPEC.maximum)

    def test_endpoints_are_removed_long_after_the_need_has_dropped(self):
        cloud = Cloud()
        cloud.run(15_000, need(16))
        cloud.run(DEMAND_HOLD_MS - 2_000, LOW)
        self.assertEqual(cloud.reclaimable_count, 16)
        cloud.run(20_000, LOW)
        self.assertEqual(cloud.reclaimable_count, 8)

    def test_the_loss_of_a_data_centre_leaves_what_can_carry_the_work(self):
        cloud = Cloud()
        cloud.run(SETTLED_MS, need(8, least_count=7))
        most = max(f.reclaimable_count for f in cloud.fleet.values())
        self.assertGreaterEqual(cloud.reclaimable_count - most, 7)

    def test_a_data_centre_without_capacity_gets_few_orders(self):
        cloud = Cloud()
        cloud.run(15_000, LOW)
        cloud.unavailable_zones = {ZONES[0]}
        cloud.reclaim(ZONES[0])
        cloud.run(12_000, LOW)
        self.assertLessEqual(cloud.refusal_count, 4)

    def test_other_data_centres_replace_one_without_capacity(self):
        cloud = Cloud()
        cloud.run(SETTLED_MS, LOW)
        cloud.unavailable_zones = {ZONES[0]}
        cloud.reclaim(ZONES[0])
        cloud.run(12_000, LOW)
        self.assertGreaterEqual(cloud.reclaimable_count, 8)

    def test_endpoints_that_were_lost_are_ordered_again(self):
        cloud = Cloud()
        cloud.run(SETTLED_MS, LOW)
        cloud.fleet[ZONES[1]].reclaimable_count -= 1
        cloud.run(SPEC.boot_ms + 1_000, LOW)
        self.assertEqual(cloud.reclaimable_count, 8)


class TestRollout(unittest.TestCase):
    def setUp(self):
        self.cloud = Cloud()
        self.cloud.run(SETTLED_MS, LOW)
        self.assertEqual(self.cloud.reclaimable_count, 8)

    def run_and_find_least(self, duration_ms: int, *needs: CapacityNeed) -> int:
        """Return the smallest number of endpoints with traffic."""
        least = self.cloud.total_count
        for _ in range(duration_ms // STEP_MS):
            self.cloud.run(STEP_MS, *needs)
            least = min(least, self.cloud.total_count)
        return least

    def test_endpoints_of_a_new_version_replace_none_with_the_traffic(self):
        # Less work than before: alone it would remove half of the endpoints.
        for count_per_zone in (1, 2, 3):
            with self.subTest(count_per_zone=count_per_zone):
                self.setUp()
                self.cloud.start_version(count_per_zone)
                least = self.run_and_find_least(2 * DEMAND_HOLD_MS, need(4))
                self.assertEqual(least, 8)
                self.cloud.take_version_back()
                least = self.run_and_find_least(2 * DEMAND_HOLD_MS, need(4))
                self.assertEqual(least, 4)

    def test_lost_endpoints_are_replaced_beside_a_new_version(self):
        self.cloud.start_version(1)
        self.cloud.unavailable_zones = set(ZONES)
        self.cloud.reclaim(ZONES[0])
        self.cloud.reclaim(ZONES[1])
        self.cloud.run(SPEC.boot_ms + 2_000, LOW)
        self.assertGreaterEqual(self.cloud.total_count, 8)
        idle = [f.idle_on_demand_count for f in self.cloud.fleet.values()]
        self.assertEqual(idle, [1, 1, 1, 1])

    def test_the_old_version_is_kept_until_it_is_stopped_by_the_platform(self):
        self.cloud.start_version(2)
        self.cloud.run(10_000, LOW)
        self.cloud.give_version_all_traffic()
        self.cloud.run(3_000, LOW)
        idle = [f.idle_reclaimable_count for f in self.cloud.fleet.values()]
        self.assertEqual(idle, [2, 2, 2, 2])
        self.cloud.end_old_version()
        self.assertGreaterEqual(self.run_and_find_least(40_000, LOW), 8)
        self.assertEqual(self.cloud.on_demand_count, 0)


class TestOnDemand(unittest.TestCase):
    def test_they_stay_until_reclaimable_ones_start(self):
        cloud = Cloud()
        cloud.unavailable_zones = set(ZONES)
        cloud.run(10_000, LOW)
        self.assertEqual(cloud.on_demand_count, 8)

    def test_they_stay_while_reclaimable_ones_that_replace_them_are_cold(self):
        cloud = Cloud()
        cloud.run(30_000, LOW)
        for zone in cloud.fleet.values():
            zone.on_demand_count = 2
            zone.lost_reclaimable_count = float(zone.reclaimable_count)
        cloud.run(10_000, LOW)
        self.assertEqual(cloud.on_demand_count, 2 * len(ZONES))
        for zone in cloud.fleet.values():
            zone.lost_reclaimable_count = 0.0
        cloud.run(10_000, LOW)
        self.assertEqual(cloud.on_demand_count, 0)

    def test_the_service_never_has_fewer_endpoints_than_it_needs_at_the_start(self):
        cloud = Cloud()
        for _ in range(40):
            cloud.run(STEP_MS, LOW)
            self.assertGreaterEqual(cloud.total_count, 8)

    def test_they_are_ordered_as_soon_as_one_data_centre_is_reclaimed(self):
        # All others are reclaimed within seconds; none has capacity for 15 s.
        cloud = Cloud()
        cloud.run(SETTLED_MS, LOW)
        cloud.unavailable_zones = set(ZONES)
        cloud.reclaim(ZONES[3])
        cloud.run(6_000, LOW)
        self.assertGreaterEqual(cloud.on_demand_count, 2)
        cloud.reclaim(ZONES[2])
        cloud.reclaim(ZONES[1])
        cloud.run(SPEC.boot_ms + 1_500, LOW)
        self.assertGreaterEqual(cloud.total_count, 8)

    def test_those_that_start_are_kept_when_the_need_varies(self):
        # Each order for fewer would cancel them, so that none would ever start.
        cloud = Cloud(on_demand_per_zone=0)
        cloud.unavailable_zones = set(ZONES)
        cloud.run(OBSERVATION_MS + SPEC.boot_ms + 2_000, need(9), need(7), need(8))
        self.assertGreaterEqual(cloud.on_demand_count, 8)
        on_demand = [order for order in cloud.orders if not order.is_reclaimable]
        self.assertLessEqual(len(on_demand), 12)

    def test_reclaimed_machines_of_an_earlier_holders_order_count_as_lost(self):
        plan = CapacityPlan()
        fleet = {zone: ZoneFleet(reclaimable_count=2) for zone in ZONES}
        fleet[ZONES[0]] = ZoneFleet(draining_reclaimable_count=2)
        orders = plan.due_orders(SPEC, fleet, LOW, 60_000, 60_000)
        self.assertTrue([o for o in orders if not o.is_reclaimable and o.count])

    def test_their_number_follows_the_work_once_it_is_known(self):
        # With 8 endpoints found, traffic for 10 s and then no reclaimable machines.
        cloud = Cloud(on_demand_per_zone=2)
        cloud.run(DEMAND_HOLD_MS, NO_TRAFFIC)
        cloud.run(10_000, need(3))
        cloud.unavailable_zones = set(ZONES)
        for zone in ZONES:
            cloud.reclaim(zone)
        cloud.run(8_000, need(3))
        self.assertEqual(cloud.on_demand_count, 3)

    def test_a_new_plan_keeps_what_it_finds_until_it_can_have_seen_a_peak(self):
        cloud = Cloud(on_demand_per_zone=2)
        cloud.unavailable_zones = set(ZONES)
        cloud.run(DEMAND_HOLD_MS - 1_000, need(3))
        self.assertEqual(cloud.on_demand_count, 8)
        cloud.run(8_000, need(3))
        self.assertEqual(cloud.on_demand_count, 3)

    def test_they_go_once_capacity_is_available_again(self):
        cloud = Cloud()
        cloud.run(SETTLED_MS, LOW)
        cloud.unavailable_zones = set(ZONES)
        cloud.reclaim(ZONES[0])
        cloud.run(6_000, LOW)
        self.assertGreater(cloud.on_demand_count, 0)
        cloud.unavailable_zones = set()
        cloud.run(60_000, LOW)
        self.assertEqual((cloud.reclaimable_count, cloud.on_demand_count), (8, 0))

    def test_they_make_room_where_the_maximum_covers_both_kinds(self):
        for needs in (LOW, need(16)), (NO_TRAFFIC, NO_TRAFFIC):
            cloud = Cloud(on_demand_per_zone=SPEC.maximum)
            cloud.run(3_000, needs[0])
            least = 4 * SPEC.maximum
            for _ in range(200):
                cloud.run(STEP_MS, needs[1])
                least = min(least, cloud.total_count)
            with self.subTest(needs=needs):
                self.assertEqual(cloud.on_demand_count, 0)
                if needs[1] is not NO_TRAFFIC:
                    self.assertGreaterEqual(least, needs[1].count - SPEC.maximum)

    def test_without_reclaimable_machines_they_carry_everything(self):
        plan = CapacityPlan()
        spec = ScalingSpec(1, 5, 4_000, 1.0, SPEC.zone_prices)
        fleet = {zone: ZoneFleet() for zone in ZONES}
        orders = plan.due_orders(spec, fleet, need(14), 60_000, 60_000)
        counts = {o.zone: o.count for o in orders if not o.is_reclaimable}
        self.assertEqual(sum(counts.values()), 14)
