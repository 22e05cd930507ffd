from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.control.capacitydecision import PlanState, WeightLoads
from _monsoonpulley.control.capacityneed import unmet_constraints
from _monsoonpulley.control.capacityplan import plan
from _monsoonpulley.control.fleet import EndpointState, units_by_zone
from _monsoonpulley.control.refusals import Refusals, RefusalSettings

from .capacityfixtures import (
    INITIAL_STATE,
    SETTINGS,
    ZONES,
    as_ready,
    endpoint,
    make_input,
    need,
    offer,
    offers,
    spread_fleet,
)


def survives_every_zone(endpoints, required):
    zones = units_by_zone(endpoints)
    total = sum(zones.values())
    return all(total - zones.get(z, 0) >= required.loss_units_per_s for z in ZONES)


class DiversityTests(unittest.TestCase):
    def test_a_new_fleet_survives_each_zone_and_costs_no_more_instances(self):
        planned = plan(make_input(), INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(len(planned.orders), 10)
        self.assertTrue(survives_every_zone(as_ready(planned), need()))

    def test_a_lost_zones_capacity_is_ordered_elsewhere(self):
        for lost in ZONES:
            with self.subTest(lost=lost):
                fleet = [
                    endpoint(
                        each.name,
                        each.market.zone,
                        EndpointState.LEAVING
                        if each.market.zone == lost
                        else EndpointState.READY,
                    )
                    for each in spread_fleet(12)
                ]
                blocked = frozenset(
                    each.market for each in offers() if each.market.zone == lost
                )
                plan_input = make_input(fleet, blocked=blocked)
                planned = plan(plan_input, INITIAL_STATE, SETTINGS, 0)
                zones = {each.order.market.zone for each in planned.orders}
                self.assertNotIn(lost, zones)
                after = [*fleet, *as_ready(planned)]
                self.assertEqual(unmet_constraints(need(), after), ())

    def test_with_one_market_left_the_total_is_met_and_unmet_rest_reported(self):
        left = offers()[-1].market
        blocked = frozenset(o.market for o in offers() if o.market != left)
        planned = plan(make_input(blocked=blocked), INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(Counter(o.order.market for o in planned.orders), {left: 10})
        self.assertEqual(planned.decisions[0].unmet, ("without zone-d",))

    def test_a_large_fleet_with_a_small_blocked_zone_meets_its_need(self):
        zones = [f"zone-{n}" for n in range(6)]
        market = [offer(zone, 400 + n) for n, zone in enumerate(zones)]
        counts = [5, 80, 120, 120, 120, 120]
        fleet = [
            endpoint(f"{zone} {n}", zone)
            for zone, count in zip(zones, counts, strict=True)
            for n in range(count)
        ]
        required = need(60_000.0, 50_000.0)
        blocked = frozenset((market[0].market,))
        plan_input = make_input(
            fleet, needs=(required,), offers=market, blocked=blocked
        )
        planned = plan(plan_input, INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(unmet_constraints(required, [*fleet, *as_ready(planned)]), ())

    def test_without_any_market_nothing_is_ordered(self):
        blocked = frozenset(each.market for each in offers())
        planned = plan(make_input(blocked=blocked), INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(planned.orders, ())
        self.assertIn("total", planned.decisions[0].unmet)

    def test_a_high_reclaim_rate_makes_on_demand_the_cheaper_choice(self):
        low_rate_offers = offers(on_demand=500)
        low_risk = plan(make_input(offers=low_rate_offers), INITIAL_STATE, SETTINGS, 0)
        high_rate_offers = tuple(
            o
            if not o.market.reclaimable
            else type(o)(o.market, o.milli_per_h, o.units_per_s, o.start_ms, 20.0)
            for o in low_rate_offers
        )
        high_risk = plan(
            make_input(offers=high_rate_offers), INITIAL_STATE, SETTINGS, 0
        )
        self.assertTrue(any(o.order.market.reclaimable for o in low_risk.orders))
        self.assertFalse(any(o.order.market.reclaimable for o in high_risk.orders))

    def test_the_firm_part_is_ordered_on_demand(self):
        required = need(firm=300.0)
        planned = plan(make_input(needs=(required,)), INITIAL_STATE, SETTINGS, 0)
        firm = [o for o in planned.orders if not o.order.market.reclaimable]
        self.assertEqual(len(firm), 3)
        self.assertEqual(unmet_constraints(required, as_ready(planned)), ())

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=20),
        st.integers(0, 2_000),
        st.floats(0.5, 1.0),
        st.integers(0, 3),
        st.booleans(),
    )
    def test_orders_and_releases_meet_every_constraint(
        self, places, total, loss_ratio, blocked_zones, with_large
    ):
        fleet = [
            endpoint(f"e{n}", zone, reclaimable=kind)
            for n, (zone, kind) in enumerate(places)
        ]
        required = need(float(total), total * loss_ratio)
        market = offers()
        if with_large:
            market += tuple(offer(z, 700, size="large", units=200.0) for z in ZONES)
        blocked = frozenset(
            o.market for o in market if o.market.zone in ZONES[:blocked_zones]
        )
        state_before = PlanState(surplus_since_ms=0)
        plan_input = make_input(
            fleet, needs=(required,), offers=market, blocked=blocked
        )
        planned = plan(plan_input, state_before, SETTINGS, SETTINGS.surplus_hold_ms)
        released_names = {each.name for each in planned.releases}
        after = [e for e in fleet if e.name not in released_names] + as_ready(planned)
        if blocked_zones < 3:
            self.assertEqual(unmet_constraints(required, after), ())
        if released_names:
            left = [e for e in fleet if e.name not in released_names]
            self.assertEqual(unmet_constraints(required, left), ())


class HysteresisTests(unittest.TestCase):
    def run_prices(self, prices_at, minutes):
        fleet, state, changes = list(spread_fleet(11)), INITIAL_STATE, 0
        for minute in range(minutes):
            plan_input = make_input(fleet, offers=offers(prices_at(minute)))
            planned = plan(plan_input, state, SETTINGS, minute * 60_000)
            state = planned.state
            changes += len(planned.orders) + len(planned.releases)
        return changes

    def test_small_swings_of_prices_change_nothing(self):
        def swing(minute):
            return tuple(450 + (25 if (minute + n) % 2 else -25) for n in range(4))

        self.assertEqual(self.run_prices(swing, 240), 0)

    def test_short_large_swings_change_nothing(self):
        def swing(minute):
            return (200, 450, 450, 900) if minute % 10 < 5 else (450,) * 4

        self.assertEqual(self.run_prices(swing, 240), 0)

    def test_a_lasting_saving_replaces_a_few_and_then_releases_the_old(self):
        fleet = list(spread_fleet(11))
        offers_with_saving = offers((200, 450, 450, 900))
        state_before = PlanState(saving_since_ms=0)
        now_ms = SETTINGS.saving_hold_ms
        planned = plan(
            make_input(fleet, offers=offers_with_saving), state_before, SETTINGS, now_ms
        )
        replaced_names = {each.replaces for each in planned.orders}
        self.assertIn(len(replaced_names), (1, 2))
        self.assertEqual(planned.releases, ())
        fleet += [
            endpoint(f"new{n}", each.order.market.zone, replaces=each.replaces)
            for n, each in enumerate(planned.orders)
        ]
        released = set()
        for _ in replaced_names:
            planned = plan(
                make_input(fleet, offers=offers_with_saving), INITIAL_STATE, SETTINGS, 0
            )
            released |= {each.name for each in planned.releases}
            fleet = [each for each in fleet if each.name not in released]
            self.assertEqual(unmet_constraints(need(), fleet), ())
        self.assertEqual(released, replaced_names)

    def test_a_completed_replacement_does_not_prevent_the_next(self):
        fleet = [*spread_fleet(11), endpoint("new", "zone-a", replaces="gone")]
        plan_input = make_input(
            fleet, needs=(need(1_200.0),), offers=offers((200, 450, 450, 900))
        )
        planned = plan(plan_input, PlanState(saving_since_ms=0), SETTINGS, 10**7)
        self.assertTrue(planned.orders)

    def test_on_demand_ordered_in_a_shortage_is_replaced_soon(self):
        fleet = [
            endpoint(e.name, e.market.zone, reclaimable=False) for e in spread_fleet(11)
        ]
        state, ordered_ms = INITIAL_STATE, None
        for second in range(0, 600, 10):
            planned = plan(make_input(fleet), state, SETTINGS, second * 1_000)
            state = planned.state
            if planned.orders:
                ordered_ms = second * 1_000
                break
        self.assertIsNotNone(ordered_ms)
        self.assertGreater(ordered_ms, 60_000)
        self.assertEqual(len(planned.orders), 2)
        self.assertTrue(all(each.order.market.reclaimable for each in planned.orders))

    def test_a_surplus_is_released_only_after_the_hold_time(self):
        plan_input = make_input(spread_fleet(16))
        first = plan(plan_input, INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(first.releases, ())
        hold_ms = SETTINGS.surplus_hold_ms
        self.assertEqual(
            plan(plan_input, first.state, SETTINGS, hold_ms - 1).releases, ()
        )
        self.assertTrue(plan(plan_input, first.state, SETTINGS, hold_ms).releases)

    def test_coming_instances_do_not_allow_a_release(self):
        coming = [
            endpoint(f"c{n}", ZONES[n], EndpointState.COMING, ready_ms=10**9)
            for n in range(4)
        ]
        plan_input = make_input([*spread_fleet(10), *coming])
        state_before = PlanState(surplus_since_ms=0)
        self.assertEqual(plan(plan_input, state_before, SETTINGS, 10**8).releases, ())


class LeadTimeTests(unittest.TestCase):
    def test_weight_loads_queue_behind_those_already_queued(self):
        loads = WeightLoads(load_ms=30_000, free_ms=200_000)
        planned = plan(make_input(loads=loads), INITIAL_STATE, SETTINGS, 0)
        ready = [each.order.ready_ms for each in planned.orders]
        self.assertEqual(ready, [230_000 + 30_000 * n for n in range(10)])

    def test_an_overdue_instance_is_ordered_elsewhere(self):
        fleet = [*spread_fleet(9), endpoint("late", "zone-b", EndpointState.COMING)]
        in_time = plan(make_input(fleet), INITIAL_STATE, SETTINGS, SETTINGS.overdue_ms)
        self.assertEqual(in_time.orders, ())
        late = plan(make_input(fleet), INITIAL_STATE, SETTINGS, SETTINGS.overdue_ms + 1)
        self.assertEqual(len(late.orders), 1)


class VersionTests(unittest.TestCase):
    def test_both_versions_of_a_rollout_get_their_need(self):
        required = (need(), need(200.0, 100.0, version="v2"))
        planned = plan(
            make_input(spread_fleet(10), needs=required), INITIAL_STATE, SETTINGS, 0
        )
        self.assertEqual({o.order.version for o in planned.orders}, {"v2"})
        self.assertEqual(unmet_constraints(required[1], as_ready(planned)), ())

    def test_an_old_version_is_released_only_when_the_new_one_serves(self):
        new = need(version="v2")
        old = spread_fleet(10)
        planned = plan(make_input(old, needs=(new,)), INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(planned.releases, ())
        fleet = [*old, *as_ready(planned)]
        planned = plan(make_input(fleet, needs=(new,)), INITIAL_STATE, SETTINGS, 0)
        self.assertEqual(len(planned.releases), 10)


class RefusalTests(unittest.TestCase):
    def test_refusals_back_off_exponentially_per_market(self):
        refusals = Refusals(RefusalSettings(1_000, 8_000))
        market, other = offers()[0].market, offers()[1].market
        waits, now_ms = [], 0
        for _ in range(5):
            until = refusals.record_refusal(market, now_ms).until_ms
            waits.append(until - now_ms)
            self.assertIn(market, refusals.blocked_markets(until - 1))
            self.assertNotIn(other, refusals.blocked_markets(until - 1))
            now_ms = until
        self.assertEqual(waits, [1_000, 2_000, 4_000, 8_000, 8_000])
        refusals.record_start(market)
        self.assertEqual(refusals.blocked_markets(now_ms), frozenset())


if __name__ == "__main__":
    unittest.main()
