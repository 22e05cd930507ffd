import unittest

from _monsoonpulley.control.verdict import Result
from _monsoonpulley.external.livelist import MemberState
from _monsoonpulley.peers.builder import (
    FULL_DIGEST_INTERVAL_MS,
    RESULT_RETENTION_MS,
    DigestBuilder,
    UrgentItems,
)
from _monsoonpulley.peers.digest import (
    CanaryResult,
    Digest,
    LoadItem,
    TrippedVersion,
    UrgentBody,
)
from _monsoonpulley.peers.envelope import (
    MAX_MESSAGE_AGE_MS,
    Envelope,
    Rejection,
    Sealer,
)
from _monsoonpulley.peers.reporters import EndpointKeys, Reporters, endpoint_key
from _monsoonpulley.standins.world import PEER_KEY

from .fleet import SEEDS, SPREAD_MS, instances, live_as_seen_by, run_fleet

HEAD = Digest(MemberState.LIVE, 1, 0, False, zone="zone-a", address="me")


def load(key, running=1, age_ms=5):
    return LoadItem(key, age_ms, running, 0, 0, 0, 8_000, 12_000, 64)


class RejectedMessageTest(unittest.TestCase):
    def setUp(self):
        self.sealer = Sealer(PEER_KEY)

    def message(self, world, leaving, *, seq=10_000, wall_ms=None, key=PEER_KEY):
        sender = world.entries["zone-a-entry-1"].instance.identity
        digest = Digest(MemberState.LEAVING, 1, 0, False, urgent=UrgentBody(leaving))
        sent_wall_ms = world.clock.wall_ms() if wall_ms is None else wall_ms
        sealed = Envelope(
            sender.instance, sender.incarnation, seq, sent_wall_ms, digest
        )
        return Sealer(key).seal(sealed)

    def run_against_peer(self, script):
        async def with_peer(world):
            peer = world.entries["zone-a-entry-2"].instance
            await script(world, peer)
            self.assertIn("zone-a-entry-1", live_as_seen_by(peer, world.clock.now_ms()))
            state = peer.router.fleet.endpoints["zone-a-engine-1"].state
            self.assertEqual(state, MemberState.LIVE)

        for seed in SEEDS[:2]:
            run_fleet(with_peer, seed)

    def test_a_forged_message_changes_nothing(self):
        async def script(world, peer):
            forged = self.message(world, ("zone-a-engine-1",), key="another-key")
            self.assertEqual(peer.exchange.receive(forged), Rejection.WRONG_KEY)

        self.run_against_peer(script)

    def test_a_message_delayed_by_a_pause_changes_nothing(self):
        async def script(world, peer):
            wall_ms = world.clock.wall_ms() - MAX_MESSAGE_AGE_MS - 1
            late = self.message(world, ("zone-a-engine-1",), wall_ms=wall_ms)
            self.assertEqual(peer.exchange.receive(late), Rejection.STALE)

        self.run_against_peer(script)

    def test_a_replayed_message_changes_nothing(self):
        async def script(world, peer):
            old = self.message(world, ("zone-a-engine-1",), seq=1)
            self.assertEqual(peer.exchange.receive(old), Rejection.REPLAYED)

        self.run_against_peer(script)


class PauseTest(unittest.TestCase):
    # After a pause, an instance took itself for the only one until its next digest: it
    # sent endpoints as many requests as all instances together may, and polled all
    # engines.
    def test_the_peers_of_before_a_pause_count_until_their_messages_are_read(self):
        async def script(world):
            instance = world.entries["zone-a-entry-1"].instance
            membership, router = instance.membership, instance.router
            peer_count = router.fleet.peer_count
            polled = instance.peer_host.read_endpoints()
            self.assertEqual(peer_count, 2)
            for pause_ms in (2_500, 3_500, 5_000, 60_000):
                with self.subTest(pause_ms=pause_ms):
                    # The process's clock went on, and nothing was read meanwhile.
                    membership._last_tick_ms = world.clock.now_ms() - pause_ms
                    for member in membership.members.values():
                        if member.last_received_ms is not None:
                            member.last_received_ms -= pause_ms
                    await instance.exchange.send_digest()
                    self.assertEqual(router.fleet.peer_count, peer_count)
                    await world.clock.sleep_ms(SPREAD_MS)
                    self.assertEqual(router.fleet.peer_count, peer_count)
                    self.assertEqual(instance.peer_host.read_endpoints(), polled)

        run_fleet(script, SEEDS[0])

    # A process that is always late must not take lost peers for present for ever: the
    # platform's list, which is polled, updates the routing as well.
    def test_a_peer_that_ended_no_longer_counts_where_every_round_is_late(self):
        async def script(world):
            instance = world.entries["zone-a-entry-1"].instance
            tick = instance.membership.tick
            instance.membership.tick = lambda now_ms: tick(now_ms) or True
            world.kill_entry("zone-a-entry-2")
            await world.clock.sleep_ms(4 * SPREAD_MS)
            self.assertEqual(instance.router.fleet.peer_count, 1)

        run_fleet(script, SEEDS[0])

    def test_a_peer_that_ended_during_a_pause_no_longer_counts_soon(self):
        async def script(world):
            instance = world.entries["zone-a-entry-1"].instance
            world.kill_entry("zone-a-entry-2")
            instance.membership._last_tick_ms -= 5_000
            await instance.exchange.send_digest()
            await world.clock.sleep_ms(2 * SPREAD_MS)
            self.assertEqual(instance.router.fleet.peer_count, 1)

        run_fleet(script, SEEDS[0])


class TrippedVersionTest(unittest.TestCase):
    def test_a_tripped_version_reaches_every_data_centre_in_seconds(self):
        async def script(world):
            received = {name: [] for name in world.entries}
            for name, instance in instances(world).items():
                instance.peer_host.on_tripped(received[name].append)
            item = TrippedVersion("model", "v1", "errors", world.clock.wall_ms())
            world.entries["zone-a-entry-1"].instance.exchange.announce_tripped(item)
            await world.clock.sleep_ms(SPREAD_MS)
            del received["zone-a-entry-1"]
            for name, items in received.items():
                self.assertEqual(items, [item], name)

        for seed in SEEDS:
            run_fleet(script, seed)


class CanaryResultTest(unittest.TestCase):
    def result(self, is_failure=True):
        return Result(
            service="model",
            version="v1",
            route="class /r",
            endpoint="engine-1",
            is_failure=is_failure,
            first_answer_ms=100,
            target_ms=2_000,
        )

    def test_a_bad_result_reaches_every_data_centre_once(self):
        async def script(world):
            received = {name: [] for name in world.entries}
            for name, instance in instances(world).items():
                instance.peer_host.on_result(received[name].append)
            exchange = world.entries["zone-a-entry-1"].instance.exchange
            exchange.announce_result(self.result(), is_bad=True)
            exchange.announce_result(self.result(), is_bad=True)
            await world.clock.sleep_ms(SPREAD_MS)
            del received["zone-a-entry-1"]
            for name, items in received.items():
                self.assertEqual(sorted(i.number for i in items), [1, 2], name)
                self.assertEqual(items[0].result, self.result())

        for seed in SEEDS:
            run_fleet(script, seed)

    def test_old_results_are_removed(self):
        urgent = UrgentItems()
        item = CanaryResult("entry-1", 1, 1, 0, self.result())
        self.assertTrue(urgent.add_result(item, 0))
        self.assertFalse(urgent.add_result(item, RESULT_RETENTION_MS))
        later = CanaryResult("entry-1", 1, 2, 0, self.result())
        self.assertTrue(urgent.add_result(later, RESULT_RETENTION_MS + 1))
        self.assertEqual(urgent.pop_unsent().results, (later,))


class DigestBuilderTest(unittest.TestCase):
    def setUp(self):
        self.urgent = UrgentItems()
        self.builder = DigestBuilder(self.urgent)

    def build(self, loads=(), seq=1, now_ms=0):
        return self.builder.build(HEAD, loads, seq, now_ms)

    def test_a_digest_has_only_changed_loads(self):
        self.assertEqual(len(self.build([load(1), load(2)], seq=1).loads), 2)
        delta = self.build([load(1, age_ms=9), load(2, running=5)], seq=2, now_ms=1)
        self.assertEqual([item.key for item in delta.loads], [2])
        self.assertEqual((delta.previous_seq, delta.address), (1, ""))

    def test_a_full_digest_is_built_at_each_interval_and_on_request(self):
        self.assertTrue(self.build().is_full)
        self.assertFalse(self.build(now_ms=FULL_DIGEST_INTERVAL_MS - 1).is_full)
        self.assertTrue(self.build(now_ms=FULL_DIGEST_INTERVAL_MS).is_full)
        self.builder.request_full()
        self.assertTrue(self.build(now_ms=FULL_DIGEST_INTERVAL_MS + 1).is_full)

    def test_urgent_items_are_sent_once_and_again_in_full_digests(self):
        self.build()
        self.assertTrue(self.urgent.add_leaving_endpoint("engine-1", 1))
        self.assertFalse(self.urgent.add_leaving_endpoint("engine-1", 2))
        self.assertEqual(self.build(now_ms=2).urgent.endpoints, ("engine-1",))
        self.assertEqual(self.build(now_ms=3).urgent.endpoints, ())
        full = self.build(now_ms=FULL_DIGEST_INTERVAL_MS)
        self.assertEqual(full.urgent.endpoints, ("engine-1",))

    def test_an_older_change_of_a_version_is_ignored(self):
        cleared = TrippedVersion("model", "v2", "", 20, is_tripped=False)
        self.assertTrue(self.urgent.add_tripped(cleared, 1))
        self.assertFalse(
            self.urgent.add_tripped(TrippedVersion("model", "v2", "errors", 10), 2)
        )


class ReportersTest(unittest.TestCase):
    def distribute(self, instances, endpoints):
        found = []
        for own in instances:
            reporters = Reporters(own)
            reporters.update(instances, endpoints)
            found.append(reporters)
        return found

    def test_each_endpoint_has_one_reporter_and_keeps_it_when_another_dies(self):
        instances = [f"entry-{n}" for n in range(60)]
        endpoints = [f"engine-{n}" for n in range(417)]
        before = self.distribute(instances, endpoints)
        counts = [len(reporters.reported_endpoints()) for reporters in before]
        self.assertEqual(sum(counts), 417)
        after = Reporters("entry-1")
        after.update(instances[1:], endpoints)
        lost = set(before[0].reported_endpoints())
        for endpoint in set(endpoints) - lost:
            self.assertEqual(
                after.reporter_of(endpoint), before[0].reporter_of(endpoint)
            )

    def test_all_instances_read_all_endpoints_in_a_small_data_centre(self):
        for reporters in self.distribute(
            ["entry-1", "entry-2"], ["engine-1", "engine-2"]
        ):
            self.assertEqual(len(reporters.endpoints_to_read()), 2)

    def test_a_key_shared_by_two_endpoints_identifies_neither(self):
        keys = EndpointKeys()
        keys.update(["engine-1"])
        self.assertEqual(keys.get(endpoint_key("engine-1")), "engine-1")
        first, second = "engine-31533", "engine-110733"
        self.assertEqual(endpoint_key(first), endpoint_key(second))
        keys.update([first, second])
        self.assertIsNone(keys.get(endpoint_key(first)))
