import unittest
from unittest import mock

from _monsoonpulley.external.livelist import MemberState
from _monsoonpulley.peers.digest import FullRequest
from _monsoonpulley.peers.envelope import Envelope, Sealer
from _monsoonpulley.standins.faults import FaultKind
from _monsoonpulley.standins.world import PEER_KEY

from ..support import ALICE
from .fleet import (
    LARGE_INTERVAL_MS,
    LIST_LAG_MS,
    SEEDS,
    SETTLE_MS,
    SPREAD_MS,
    changed_document,
    instances,
    live_as_seen_by,
    partition_zone,
    run_fleet,
)


class FleetTest(unittest.TestCase):
    def on_each_seed(self, script):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_fleet(script, seed)

    def test_all_instances_are_live_to_each_other(self):
        async def script(world):
            now_ms = world.clock.now_ms()
            names = set(world.entries)
            for name, instance in instances(world).items():
                self.assertEqual(live_as_seen_by(instance, now_ms), names - {name})
                self.assertEqual(instance.membership.unreachable_zones(now_ms), set())

        self.on_each_seed(script)

    def test_each_engine_of_a_data_centre_has_one_reporter_there(self):
        async def script(world):
            reporters = {}
            for name, instance in instances(world).items():
                for engine in instance.peer_host.reporters.reported_endpoints():
                    self.assertNotIn(engine, reporters)
                    reporters[engine] = name
            self.assertEqual(set(reporters), set(world.engines))
            for engine, name in reporters.items():
                self.assertEqual(engine[:6], name[:6])

        self.on_each_seed(script)

    def test_a_notice_read_by_one_instance_reaches_all_while_the_list_lags(self):
        async def script(world):
            names = sorted(world.entries)
            for name in names[1:]:
                world.platform.faults.fail_next_calls(
                    "cloud.notices", FaultKind.REFUSED, 1_000, peer=name
                )
            world.platform.cloud.reclaim("zone-c-engine-1", 300_000)
            await world.clock.sleep_ms(SPREAD_MS)
            self.assert_leaving(world, "zone-c-engine-1")
            await world.clock.sleep_ms(LIST_LAG_MS // 2)
            self.assert_leaving(world, "zone-c-engine-1")

        self.on_each_seed(script)

    def test_urgent_items_are_sent_before_the_next_regular_digest(self):
        async def script(world):
            await world.clock.sleep_ms(3 * LARGE_INTERVAL_MS)
            instance = world.entries["zone-a-entry-1"].instance
            self.assertEqual(instance.membership.interval_ms(), LARGE_INTERVAL_MS)
            instance.exchange.announce_leaving("zone-c-engine-1")
            instance.router.mark_leaving("zone-c-engine-1", world.clock.now_ms())
            world.entries["zone-b-entry-1"].instance.leave("test")
            await world.clock.sleep_ms(SPREAD_MS)
            self.assert_leaving(world, "zone-c-engine-1")
            now_ms = world.clock.now_ms()
            for name, instance in instances(world).items():
                seen = live_as_seen_by(instance, now_ms)
                self.assertNotIn("zone-b-entry-1", seen, name)

        per_peer = "_monsoonpulley.peers.membership.MS_PER_PEER"
        with mock.patch(per_peer, LARGE_INTERVAL_MS // 2):
            self.on_each_seed(script)

    def assert_leaving(self, world, endpoint):
        for name, instance in instances(world).items():
            state = instance.router.fleet.endpoints[endpoint].state
            self.assertEqual(state, MemberState.LEAVING, name)

    def test_a_leaving_entry_instance_gets_no_duty_while_the_list_lags(self):
        async def script(world):
            leaving = "zone-a-entry-1"
            world.entries[leaving].instance.leave("test")
            await world.clock.sleep_ms(SPREAD_MS)
            for _ in range(LIST_LAG_MS // SPREAD_MS):
                now_ms = world.clock.now_ms()
                for name, instance in instances(world).items():
                    membership = instance.membership
                    self.assertNotIn(leaving, membership.live_instances(now_ms), name)
                    if name != leaving:
                        self.assertNotIn(leaving, live_as_seen_by(instance, now_ms))
                self.assertEqual(self.reported(world, leaving), [])
                await world.clock.sleep_ms(SPREAD_MS)

        self.on_each_seed(script)

    def reported(self, world, name):
        host = world.entries[name].instance.peer_host
        host.read_endpoints()
        return host.reporters.reported_endpoints()

    def test_a_cut_off_data_centre_serves_on_and_the_partition_heals(self):
        async def script(world):
            partition_zone(world, "zone-b")
            await world.clock.sleep_ms(40_000)
            for name in ("zone-a-entry-1", "zone-b-entry-1"):
                caller = world.caller(name, ALICE)
                answer = await caller.request("GET", "/services/lookup/frames/7")
                self.assertEqual(answer.status, 200, name)
            now_ms = world.clock.now_ms()
            inside = world.entries["zone-b-entry-1"].instance
            outside = world.entries["zone-a-entry-1"].instance
            unreachable = inside.membership.unreachable_zones(now_ms)
            self.assertEqual(unreachable, {"zone-a", "zone-c"})
            self.assertEqual(outside.membership.unreachable_zones(now_ms), {"zone-b"})
            lost = world.entries["zone-b-entry-2"].instance.identity
            self.assertFalse(
                outside.membership.is_gone(lost.instance, lost.incarnation, now_ms)
            )
            world.platform.network.reconnect_all()
            await world.clock.sleep_ms(SETTLE_MS)
            now_ms = world.clock.now_ms()
            for name, instance in instances(world).items():
                self.assertEqual(instance.membership.unreachable_zones(now_ms), set())
                seen = live_as_seen_by(instance, now_ms)
                self.assertEqual(seen, set(world.entries) - {name})

        self.on_each_seed(script)

    def test_a_revision_is_everywhere_in_seconds_though_fast_pollers_die(self):
        async def script(world):
            now_ms = world.clock.now_ms()
            pollers = [
                name
                for name, instance in instances(world).items()
                if instance.membership.is_fast_poller(now_ms)
            ]
            self.assertEqual(len(pollers), 6)
            document = world.entries[pollers[0]].instance.document()
            await world.apply(changed_document(document), 1, "operator")
            for name in pollers[:-1]:
                world.kill_entry(name)
            await world.clock.sleep_ms(SPREAD_MS)
            for name, instance in instances(world).items():
                if name[:6] == pollers[-1][:6]:
                    self.assertEqual(instance.watcher.number, 2, name)
            await world.clock.sleep_ms(2_000)
            for name, instance in instances(world).items():
                self.assertEqual(instance.watcher.number, 2, name)

        self.on_each_seed(script)

    def test_a_revision_spreads_from_peers_where_the_table_is_unreachable(self):
        async def script(world):
            world.platform.network.disconnect("zone-c")
            document = world.entries["zone-a-entry-1"].instance.document()
            await world.apply(changed_document(document), 1, "operator")
            await world.clock.sleep_ms(15_000)
            now_ms = world.clock.now_ms()
            for name, instance in instances(world).items():
                self.assertEqual(instance.watcher.number, 2, name)
                self.assertTrue(instance.membership.all_have_revision(2, now_ms), name)

        self.on_each_seed(script)

    def test_a_restarted_instance_is_a_new_incarnation(self):
        async def script(world):
            plan = world._deployment.entries[0]
            old = world.entries[plan.instance].instance
            old.leave("test")
            await world.clock.sleep_ms(2_000)
            world.kill_entry(plan.instance)
            new = world.start_entry(plan)
            await world.clock.sleep_ms(SETTLE_MS)
            now_ms = world.clock.now_ms()
            peer = world.entries["zone-a-entry-2"].instance
            self.assertIn(plan.instance, live_as_seen_by(peer, now_ms))
            identity = old.identity
            gone = peer.membership.is_gone(plan.instance, identity.incarnation, now_ms)
            self.assertTrue(gone)
            incarnation = new.identity.incarnation
            self.assertFalse(
                peer.membership.is_gone(plan.instance, incarnation, now_ms)
            )
            await old.exchange.send_digest()
            await world.clock.sleep_ms(100)
            self.assertIn("old_incarnation", rejected(peer))
            self.assertIn(plan.instance, live_as_seen_by(peer, now_ms))

        self.on_each_seed(script)

    def test_a_full_digest_for_one_leaves_no_gap_for_the_others(self):
        async def script(world):
            asked = world.entries["zone-a-entry-1"].instance
            asker = world.entries["zone-a-entry-2"].instance.identity
            request = Envelope(
                asker.instance,
                asker.incarnation,
                10_000,
                world.clock.wall_ms(),
                FullRequest(asker.instance),
            )
            asked.exchange.receive(Sealer(PEER_KEY).seal(request))
            await world.clock.sleep_ms(400)
            received_seqs = {
                world.entries[name]
                .instance.membership.members["zone-a-entry-1"]
                .last_seq
                for name in ("zone-a-entry-2", "zone-a-entry-3")
            }
            self.assertEqual(len(received_seqs), 1)

        self.on_each_seed(script)

    def test_lost_messages_delay_items_but_do_not_lose_them(self):
        async def script(world):
            world.peer_network.loss = 0.3
            await world.clock.sleep_ms(SETTLE_MS)
            now_ms = world.clock.now_ms()
            for name, instance in instances(world).items():
                for peer in instance.membership.live_peers(now_ms, name[:6]):
                    self.assertLess(now_ms - peer.last_received_ms, SETTLE_MS)
            world.entries["zone-a-entry-1"].instance.exchange.announce_leaving(
                "zone-c-engine-1"
            )
            await world.clock.sleep_ms(LIST_LAG_MS)
            for name, instance in instances(world).items():
                if name != "zone-a-entry-1":
                    state = instance.router.fleet.endpoints["zone-c-engine-1"].state
                    self.assertEqual(state, MemberState.LEAVING, name)

        self.on_each_seed(script)


def rejected(instance):
    rejected_counts = instance.exchange.guard.rejected
    return {rejection.value for rejection, count in rejected_counts.items() if count}
