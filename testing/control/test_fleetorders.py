from __future__ import annotations

import asyncio
import unittest

from _monsoonpulley.config.document import Document, Service, ServiceKind
from _monsoonpulley.control.capacityduty import CapacityDuty
from _monsoonpulley.control.fleetdecision import FleetSettings
from _monsoonpulley.control.fleetrows import PREFIX, RowState
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.control.parts import DutyParts
from _monsoonpulley.external.table import Write
from _monsoonpulley.standins.cloud import CloudState
from _monsoonpulley.standins.faults import FaultKind, Part
from _monsoonpulley.standins.manualloop import run_manual

from .capacityfixtures import ZONES, need
from .capacityworld import CapacityWorld, Holder

SEEDS = (1, 2, 3)
FIRST_FLEET_S = 200


def scenario(script, seeds=SEEDS, **fields):
    for seed in seeds:

        async def main(seed=seed):
            world = CapacityWorld(seed, **fields)
            holder = Holder(world, 1)
            try:
                await script(world, holder)
                await world.assert_invariants()
            finally:
                holder.kill()

        run_manual(main())


class WaveTests(unittest.TestCase):
    def test_a_reclaim_wave_in_any_zone_is_replaced_in_other_zones(self):
        for zone in ZONES:
            with self.subTest(zone=zone):

                async def script(world, holder, zone=zone):
                    await world.wait_until_need_met(FIRST_FLEET_S)
                    names = world.cloud.reclaim_zone(zone, 10_000)
                    self.assertLess(len(names), 4)
                    left = 1_000 - 100 * len(names)
                    self.assertGreaterEqual(left, world.required_need.loss_units_per_s)
                    ordered = len(world.cloud.instances)
                    await world.sleep(3)
                    new = list(world.cloud.instances.values())[ordered:]
                    self.assertGreaterEqual(len(new), len(names))
                    self.assertNotIn(zone, {each.spec.zone for each in new})
                    await world.sleep(10)
                    await world.wait_until_need_met(100)

                scenario(script)

    def test_two_waves_with_early_deaths_end_at_full_capacity(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            for zone in ZONES[:2]:
                world.cloud.reclaim_zone(zone, 8_000, early_crash_probability=0.5)
                await world.sleep(6)
            await world.sleep(10)
            await world.wait_until_need_met(200)

        scenario(script)

    def test_a_table_outage_during_a_wave_starts_and_stops_no_instance(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            world.faults.outage(True, Part.TABLE, hanging=world.rng.random() < 0.5)
            world.cloud.reclaim_zone(ZONES[0], 5_000)
            before = len(world.cloud.instances)
            await world.sleep(120)
            self.assertEqual(len(world.cloud.instances), before)
            self.assertEqual(world.states()[CloudState.STOPPED], 0)
            world.faults.outage(False, Part.TABLE)
            await world.wait_until_need_met(120)

        scenario(script)

    def test_an_instance_that_dies_without_notice_is_replaced(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            await world.sleep(10)
            world.cloud.kill(world.rng.choice(list(world.cloud.instances)))
            await world.sleep(1)
            await world.wait_until_need_met(60)
            await world.sleep(60)
            self.assertEqual(len(await world.rows()), 10)

        scenario(script)


class RefusalTests(unittest.TestCase):
    def test_starts_go_to_the_only_market_that_does_not_refuse_them(self):
        async def script(world, holder):
            for zone in ZONES:
                for reclaimable in (True, False):
                    if (zone, reclaimable) != (ZONES[3], False):
                        world.cloud.refuse_starts(
                            True, zone=zone, reclaimable=reclaimable
                        )
            await world.sleep(150)
            markets = {(e.spec.zone, e.spec.reclaimable) for e in world.alive()}
            self.assertEqual(markets, {(ZONES[3], False)})
            self.assertGreaterEqual(len(world.alive()), 10)
            refused = [
                each
                for each in world.events("fleet_decision")
                if each["rule"] == "start refused"
            ]
            self.assertLess(len(refused), 150)

        scenario(script)

    def test_an_unmet_need_that_no_order_can_meet_is_not_logged_each_pass(self):
        async def script(world, holder):
            for zone in ZONES[1:]:
                world.cloud.refuse_starts(True, zone=zone)
            await world.sleep(300)
            idle = [
                each["unmet"]
                for each in world.events("capacity_decision")
                if not each["ordered"]
            ]
            self.assertTrue(idle)
            # Refused markets are retried after 10 s, doubled after each refusal.
            self.assertLessEqual(len(idle), 6)

        scenario(script)


class LostAnswerTests(unittest.TestCase):
    def test_lost_answers_of_starts_start_no_instance_twice(self):
        for kind in (FaultKind.LOST_ANSWER, FaultKind.DELAYED_EFFECT):

            async def script(world, holder, kind=kind):
                world.faults.chance("cloud.start", kind, 0.5)
                await world.wait_until_need_met(FIRST_FLEET_S + 60)
                self.assertEqual(len(world.cloud.instances), 10)

            scenario(script)

    def test_lost_answers_of_the_table_start_no_instance_twice(self):
        async def script(world, holder):
            world.faults.chance("table.commit", FaultKind.LOST_ANSWER, 0.3)
            world.faults.chance("table.commit", FaultKind.DELAYED_EFFECT, 0.1)
            await world.wait_until_need_met(FIRST_FLEET_S + 100)
            self.assertEqual(len(world.cloud.instances), 10)

        scenario(script)


class HolderTests(unittest.TestCase):
    def test_a_successor_starts_instances_whose_order_was_lost(self):
        async def script(world, holder):
            world.faults.next_call("cloud.start", FaultKind.LOST_REQUEST, 10)
            await world.sleep(1)
            holder.kill()
            self.assertEqual(len(world.cloud.instances), 0)
            rows = await world.rows()
            self.assertEqual({row.state for row in rows}, {RowState.REQUESTED})
            successor = Holder(world, 2)
            await world.wait_until_need_met(FIRST_FLEET_S)
            self.assertEqual(len(world.cloud.instances), 10)
            successor.kill()

        scenario(script)

    def test_a_successor_confirms_orders_whose_answer_was_lost(self):
        async def script(world, holder):
            world.faults.next_call("cloud.start", FaultKind.LOST_ANSWER, 10)
            await world.sleep(1)
            holder.kill()
            self.assertEqual(
                len(world.cloud.instances), FleetSettings().max_concurrent_calls
            )
            successor = Holder(world, 2)
            await world.wait_until_need_met(FIRST_FLEET_S)
            self.assertEqual(len(world.cloud.instances), 10)
            successor.kill()

        scenario(script)

    def test_holders_killed_at_random_leave_no_instance_behind(self):
        async def script(world, holder):
            number = 1
            for _ in range(12):
                await world.sleep(world.rng.uniform(0.1, 15))
                holder.kill()
                number += 1
                holder = Holder(world, number)
            await world.wait_until_need_met(FIRST_FLEET_S)
            await world.sleep(300)
            self.assertEqual(len(world.alive()), 10)
            holder.kill()

        scenario(script, seeds=range(1, 9), required_need=need(950.0, 665.0))

    def test_a_former_holder_with_a_stale_lease_creates_no_row(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            first = set(world.cloud.instances)
            successor = Holder(world, 2)
            await world.sleep(10)
            world.required_need = need(1_500.0, 1_050.0)
            await world.sleep(90)
            self.assertEqual(len(world.cloud.instances), 15)
            rows = await world.rows()
            new = [row for row in rows if row.instance not in first]
            self.assertEqual({row.fencing_number for row in new}, {2})
            successor.kill()

        scenario(script)

    def test_a_delayed_creation_is_not_committed_after_a_successor_claimed(self):
        async def script(world, holder):
            await world.sleep(1)
            world.required_need = need(1_500.0, 1_050.0)
            delayed = FaultKind.DELAYED_EFFECT
            world.faults.next_call("table.commit", delayed, peer="entry-1")
            while len(world.events("capacity_unconfirmed")) < 1:
                await world.sleep(0.1)
            holder.kill()
            successor = Holder(world, 2)
            await world.wait_until_need_met(FIRST_FLEET_S + 60)
            self.assertEqual(len(world.cloud.instances), 15)
            successor.kill()

        scenario(script)

    def test_each_of_two_holders_drains_instances_before_it_stops_them(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            for name in world.cloud.instances:
                world.in_progress[name] = 1
            successor = Holder(world, 2)
            world.required_need = need(500.0, 350.0)
            for _ in range(200):
                name = world.rng.choice(list(world.in_progress))
                is_leaving = name in world.marked_leaving
                world.in_progress[name] = 0 if is_leaving else world.rng.choice((0, 1))
                await world.sleep(2)
            self.assertGreaterEqual(len(world.alive()), 5)
            successor.kill()

        scenario(script)

    def test_a_holder_without_its_lease_orders_nothing(self):
        async def script(world, holder):
            holder.may_act = False
            await world.sleep(60)
            self.assertEqual(len(world.cloud.instances), 0)
            self.assertEqual(await world.rows(), [])

        scenario(script)

    def test_a_lease_lost_between_row_and_order_prevents_the_order(self):
        async def script(world, holder):
            commit = world.platform.table.commit

            def lose_lease_and_commit(writes):
                if any(each.key.startswith(PREFIX) for each in writes):
                    holder.may_act = False
                return commit(writes)

            world.platform.table.commit = lose_lease_and_commit
            await world.sleep(60)
            self.assertEqual(len(world.cloud.instances), 0)
            self.assertTrue(await world.rows())

        scenario(script)


class DutyTests(unittest.TestCase):
    def test_the_duty_runs_a_shard_for_each_service_with_capacity(self):
        async def main():
            world = CapacityWorld(1)
            services = {
                "model": Service(ServiceKind.MODEL),
                "records": Service(ServiceKind.PLAIN),
            }
            made = world.parts("entry-1", 1)
            parts = DutyParts(
                clock=world.clock,
                log=made.log,
                document=lambda: Document(services=services),
                recovery=None,
                collection=None,
                is_gone=lambda *_: False,
                table=None,
                rng=None,
                live_entries=lambda: (),
                endpoints_of=lambda *_: (),
                rollouts=None,
                capacity={"model": made}.get,
            )
            duty = CapacityDuty(parts)
            self.assertEqual(duty.shards(), ("model",))
            task = asyncio.create_task(duty.run("model", Hold(1, lambda *_: True)))
            await world.wait_until_need_met(FIRST_FLEET_S)
            task.cancel()

        run_manual(main())


class ReleaseTests(unittest.TestCase):
    def test_a_release_waits_for_requests_in_progress(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            for name in world.cloud.instances:
                world.in_progress[name] = 2
            world.required_need = need(500.0, 350.0)
            await world.sleep(400)
            self.assertTrue(world.marked_leaving)
            self.assertEqual(world.states()[CloudState.STOPPED], 0)
            world.in_progress.clear()
            await world.sleep(30)
            self.assertEqual(
                world.states()[CloudState.STOPPED], len(world.marked_leaving)
            )
            await world.wait_until_need_met(1)

        scenario(script)

    def test_an_instance_is_not_stopped_before_all_peers_know_that_it_leaves(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            world.required_need = need(500.0, 350.0)
            while not world.marked_leaving:
                await world.sleep(1)
            await world.sleep(4)
            self.assertEqual(world.states()[CloudState.STOPPED], 0)

        scenario(script)


class ReconcileTests(unittest.TestCase):
    def test_an_instance_that_never_becomes_ready_is_replaced_and_stopped(self):
        async def script(world, holder):
            on_ready = world.cloud.on_ready.pop()
            skipped = []

            def ready(instance):
                if not skipped:
                    skipped.append(instance.name)
                    return
                on_ready(instance)

            world.cloud.on_ready.append(ready)
            await world.sleep(500)
            overdue = world.cloud.instances[skipped[0]]
            self.assertIs(overdue.state, CloudState.STOPPED)
            await world.wait_until_need_met(1)

        scenario(script)

    def test_an_instance_without_a_row_is_counted_from_the_live_list(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            await world.sleep(10)
            table = world.platform.table.connect("test", ZONES[0])
            for row in await table.scan("capacity/"):
                await table.commit([Write(row.key, None, row.revision)])
            before = len(world.cloud.instances)
            await world.sleep(60)
            self.assertEqual(len(world.cloud.instances), before)
            world.required_need = need(500.0, 350.0)
            await world.sleep(400)
            self.assertLess(len(world.alive()), 10)

        scenario(script)


class WeightTests(unittest.TestCase):
    def test_loads_never_exceed_the_limit_of_the_store(self):
        async def script(world, holder):
            elapsed_s = await world.wait_until_need_met(FIRST_FLEET_S)
            self.assertEqual(world.weights.refused_count, 0)
            self.assertGreaterEqual(elapsed_s, 50)

        scenario(script)


class PriceTests(unittest.TestCase):
    def test_changing_prices_start_and_stop_no_instance(self):
        async def script(world, holder):
            await world.wait_until_need_met(FIRST_FLEET_S)
            for _ in range(60):
                world.set_prices(tuple(world.rng.randint(400, 520) for _ in ZONES))
                await world.sleep(60)
            self.assertEqual(len(world.cloud.instances), 10)

        scenario(script)


if __name__ == "__main__":
    unittest.main()
