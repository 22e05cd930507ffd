from __future__ import annotations

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from _monsoonpulley.control.capacitydecision import Loads, PlanState
from _monsoonpulley.control.capacityneed import unmet
from _monsoonpulley.control.capacityplan import plan
from _monsoonpulley.control.fleet import EndpointState, units_by_zone
from _monsoonpulley.control.refusals import Refusals, RefusalSettings

from .capacityfixtures import (
    SETTINGS,
    START,
    ZONES,
    as_ready,
    endpoint,
    need,
    offer,
    offers,
    situation,
    spread_fleet,
)


def survives_every_zone(endpoints, wanted):
    zones = units_by_zone(endpoints)
    total = sum(zones.values())
    return all(total - zones.get(z, 0) >= wanted.loss_units_per_s for z in ZONES)


class DiversityTests(unittest.TestCase):
    def test_a_new_fleet_survives_each_zone_and_costs_no_more_instances(self):
        made = plan(situation(), START, SETTINGS, 0)
        self.assertEqual(len(made.orders), 10)
        self.assertTrue(survives_every_zone(as_ready(made), need()))

    def test_a_lost_zone_is_replaced_elsewhere(self):
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
                now = situation(fleet, blocked=blocked)
                made = plan(now, START, SETTINGS, 0)
                zones = {each.order.market.zone for each in made.orders}
                self.assertNotIn(lost, zones)
                after = [*fleet, *as_ready(made)]
                self.assertEqual(unmet(need(), after), ())

    def test_with_one_market_left_the_total_is_kept_and_the_rest_reported(self):
        left = offers()[-1].market
        blocked = frozenset(o.market for o in offers() if o.market != left)
        made = plan(situation(blocked=blocked), START, SETTINGS, 0)
        self.assertEqual(Counter(o.order.market for o in made.orders), {left: 10})
        self.assertEqual(made.decisions[0].unmet, ("without zone-d",))

    def test_a_large_fleet_with_a_blocked_remnant_of_a_zone_becomes_whole(self):
        zones = [f"zone-{n}" for n in range(6)]
        market = [offer(zone, 400 + n) for n, zone in enumerate(zones)]
        counts = [5, 80, 120, 120, 120, 120]
        fleet = [
            endpoint(f"{zone} {n}", zone)
            for zone, count in zip(zones, counts, strict=True)
            for n in range(count)
        ]
        wanted = need(60_000.0, 50_000.0)
        blocked = frozenset((market[0].market,))
        now = situation(fleet, needs=(wanted,), offers=market, blocked=blocked)
        made = plan(now, START, SETTINGS, 0)
        self.assertEqual(unmet(wanted, [*fleet, *as_ready(made)]), ())

    def test_without_any_market_nothing_is_ordered(self):
        blocked = frozenset(each.market for each in offers())
        made = plan(situation(blocked=blocked), START, SETTINGS, 0)
        self.assertEqual(made.orders, ())
        self.assertIn("total", made.decisions[0].unmet)

    def test_risk_can_make_on_demand_the_cheaper_choice(self):
        quiet = offers(on_demand=500)
        calm = plan(situation(offers=quiet), START, SETTINGS, 0)
        risky = tuple(
            o
            if not o.market.reclaimable
            else type(o)(o.market, o.milli_per_h, o.units_per_s, o.start_ms, 20.0)
            for o in quiet
        )
        stormy = plan(situation(offers=risky), START, SETTINGS, 0)
        self.assertTrue(any(o.order.market.reclaimable for o in calm.orders))
        self.assertFalse(any(o.order.market.reclaimable for o in stormy.orders))

    def test_the_firm_part_is_bought_on_demand(self):
        wanted = need(firm=300.0)
        made = plan(situation(needs=(wanted,)), START, SETTINGS, 0)
        firm = [o for o in made.orders if not o.order.market.reclaimable]
        self.assertEqual(len(firm), 3)
        self.assertEqual(unmet(wanted, as_ready(made)), ())

    @settings(derandomize=True, max_examples=200, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.sampled_from(ZONES), st.booleans()), max_size=20),
        st.integers(0, 2_000),
        st.floats(0.5, 1.0),
        st.integers(0, 3),
        st.booleans(),
    )
    def test_orders_meet_and_releases_keep_every_constraint(
        self, places, total, loss_ratio, blocked_zones, with_large
    ):
        fleet = [
            endpoint(f"e{n}", zone, reclaimable=kind)
            for n, (zone, kind) in enumerate(places)
        ]
        wanted = need(float(total), total * loss_ratio)
        market = offers()
        if with_large:
            market += tuple(offer(z, 700, size="large", units=200.0) for z in ZONES)
        blocked = frozenset(
            o.market for o in market if o.market.zone in ZONES[:blocked_zones]
        )
        held = PlanState(surplus_since_ms=0)
        now = situation(fleet, needs=(wanted,), offers=market, blocked=blocked)
        made = plan(now, held, SETTINGS, SETTINGS.surplus_hold_ms)
        gone = {each.name for each in made.releases}
        after = [e for e in fleet if e.name not in gone] + as_ready(made)
        if blocked_zones < 3:
            self.assertEqual(unmet(wanted, after), ())
        if gone:
            left = [e for e in fleet if e.name not in gone]
            self.assertEqual(unmet(wanted, left), ())


class HysteresisTests(unittest.TestCase):
    def run_prices(self, prices_at, minutes):
        fleet, state, changes = list(spread_fleet(11)), START, 0
        for minute in range(minutes):
            now = situation(fleet, offers=offers(prices_at(minute)))
            made = plan(now, state, SETTINGS, minute * 60_000)
            state = made.state
            changes += len(made.orders) + len(made.releases)
        return changes

    def test_small_swings_of_prices_change_nothing(self):
        def swing(minute):
            return tuple(450 + (25 if (minute + n) % 2 else -25) for n in range(4))

        self.assertEqual(self.run_prices(swing, 240), 0)

    def test_short_large_swings_change_nothing(self):
        def swing(minute):
            return (200, 450, 450, 900) if minute % 10 < 5 else (450,) * 4

        self.assertEqual(self.run_prices(swing, 240), 0)

    def test_a_lasting_saving_replaces_a_few_and_releases_them_after(self):
        fleet = list(spread_fleet(11))
        dear = offers((200, 450, 450, 900))
        held = PlanState(saving_since_ms=0)
        now_ms = SETTINGS.switch_hold_ms
        made = plan(situation(fleet, offers=dear), held, SETTINGS, now_ms)
        olds = {each.replaces for each in made.orders}
        self.assertIn(len(olds), (1, 2))
        self.assertEqual(made.releases, ())
        fleet += [
            endpoint(f"new{n}", each.order.market.zone, replaces=each.replaces)
            for n, each in enumerate(made.orders)
        ]
        released = set()
        for _ in olds:
            made = plan(situation(fleet, offers=dear), START, SETTINGS, 0)
            released |= {each.name for each in made.releases}
            fleet = [each for each in fleet if each.name not in released]
            self.assertEqual(unmet(need(), fleet), ())
        self.assertEqual(released, olds)

    def test_a_replacement_that_is_done_does_not_stop_the_next(self):
        fleet = [*spread_fleet(11), endpoint("new", "zone-a", replaces="gone")]
        now = situation(
            fleet, needs=(need(1_200.0),), offers=offers((200, 450, 450, 900))
        )
        made = plan(now, PlanState(saving_since_ms=0), SETTINGS, 10**7)
        self.assertTrue(made.orders)

    def test_on_demand_bought_in_a_shortage_is_replaced_soon(self):
        fleet = [
            endpoint(e.name, e.market.zone, reclaimable=False) for e in spread_fleet(11)
        ]
        state, ordered_ms = START, None
        for second in range(0, 600, 10):
            made = plan(situation(fleet), state, SETTINGS, second * 1_000)
            state = made.state
            if made.orders:
                ordered_ms = second * 1_000
                break
        self.assertIsNotNone(ordered_ms)
        self.assertGreater(ordered_ms, 60_000)
        self.assertEqual(len(made.orders), 2)
        self.assertTrue(all(each.order.market.reclaimable for each in made.orders))

    def test_surplus_is_released_only_after_it_lasted(self):
        now = situation(spread_fleet(16))
        first = plan(now, START, SETTINGS, 0)
        self.assertEqual(first.releases, ())
        hold_ms = SETTINGS.surplus_hold_ms
        self.assertEqual(plan(now, first.state, SETTINGS, hold_ms - 1).releases, ())
        self.assertTrue(plan(now, first.state, SETTINGS, hold_ms).releases)

    def test_coming_instances_do_not_allow_a_release(self):
        coming = [
            endpoint(f"c{n}", ZONES[n], EndpointState.COMING, ready_ms=10**9)
            for n in range(4)
        ]
        now = situation([*spread_fleet(10), *coming])
        held = PlanState(surplus_since_ms=0)
        self.assertEqual(plan(now, held, SETTINGS, 10**8).releases, ())


class LeadTimeTests(unittest.TestCase):
    def test_loads_are_one_after_the_other_behind_those_asked_for(self):
        loads = Loads(load_ms=30_000, free_ms=200_000)
        made = plan(situation(loads=loads), START, SETTINGS, 0)
        ready = [each.order.ready_ms for each in made.orders]
        self.assertEqual(ready, [230_000 + 30_000 * n for n in range(10)])

    def test_an_overdue_instance_is_ordered_elsewhere(self):
        fleet = [*spread_fleet(9), endpoint("late", "zone-b", EndpointState.COMING)]
        in_time = plan(situation(fleet), START, SETTINGS, SETTINGS.overdue_ms)
        self.assertEqual(in_time.orders, ())
        late = plan(situation(fleet), START, SETTINGS, SETTINGS.overdue_ms + 1)
        self.assertEqual(len(late.orders), 1)


class VersionTests(unittest.TestCase):
    def test_both_versions_of_a_rollout_get_their_need(self):
        wanted = (need(), need(200.0, 100.0, version="v2"))
        made = plan(situation(spread_fleet(10), needs=wanted), START, SETTINGS, 0)
        self.assertEqual({o.order.version for o in made.orders}, {"v2"})
        self.assertEqual(unmet(wanted[1], as_ready(made)), ())

    def test_an_old_version_goes_only_when_the_new_one_serves(self):
        new = need(version="v2")
        old = spread_fleet(10)
        made = plan(situation(old, needs=(new,)), START, SETTINGS, 0)
        self.assertEqual(made.releases, ())
        fleet = [*old, *as_ready(made)]
        made = plan(situation(fleet, needs=(new,)), START, SETTINGS, 0)
        self.assertEqual(len(made.releases), 10)


class RefusalTests(unittest.TestCase):
    def test_refusals_back_off_exponentially_per_market(self):
        refusals = Refusals(RefusalSettings(1_000, 8_000))
        market, other = offers()[0].market, offers()[1].market
        waits, now = [], 0
        for _ in range(5):
            until = refusals.refused(market, now).until_ms
            waits.append(until - now)
            self.assertIn(market, refusals.blocked(until - 1))
            self.assertNotIn(other, refusals.blocked(until - 1))
            now = until
        self.assertEqual(waits, [1_000, 2_000, 4_000, 8_000, 8_000])
        refusals.started(market)
        self.assertEqual(refusals.blocked(now), frozenset())


if __name__ == "__main__":
    unittest.main()
