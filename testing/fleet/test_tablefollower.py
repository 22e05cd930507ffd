"""Followers of one table, with lost relays, lost readers and store outages."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest

import msgspec

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.fleet.relay import MAX_RELAY_BYTES, Relay, build_relays
from _monsoonpulley.fleet.tablefollower import TableFollower
from _monsoonpulley.observability.log import Log
from _monsoonpulley.platform.store import CALL_TIMEOUT_MS, Row, Rows
from _monsoonpulley.platform.storeversion import join_version
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from _monsoonpulley.wire.pool import CONNECT_TIMEOUT_MS

PAUSE_MS, MAX_SILENCE_MS, MAX_TIMEOUT_MS = 500, 1_000, 2_000

CONFIGURATION_BOUND_MS = 3_000
"""Shortest time that users require for a new configuration to be in force."""

DRAIN_BOUND_MS = 2_000
"""Shortest drain time that users require."""


class FakeStore:
    """Rows in memory; while ``is_down`` is set, all calls fail."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.changes: list[Row] = []
        self.version = 0
        self.oldest_version = 0
        self.is_down = False
        self.call_count = 0

    def put(self, key: str, value: bytes | None) -> None:
        self.version += 1
        row = Row(key, value, self.version)
        self.changes.append(row)
        self.rows.pop(key, None)
        if value is not None:
            self.rows[key] = row

    async def read_table(self, table):
        self.call_count += 1
        if self.is_down:
            return Failure(Reason.TIMEOUT, "store.get")
        return Rows(tuple(self.rows.values()), self.version)

    async def read_changes(self, table, after, wait_ms):
        self.call_count += 1
        if self.is_down:
            return Failure(Reason.TIMEOUT, "store.feed")
        if after < self.oldest_version:
            return Failure(Reason.CONFLICT, "store.feed")
        latest = {r.key: r for r in self.changes if r.row_version > after}
        rows = sorted(latest.values(), key=lambda row: row.row_version)
        return Rows(tuple(rows), self.version)


class Group:
    """Followers that relay to each other over a network with message loss."""

    def __init__(
        self,
        count: int,
        *,
        readers=1,
        loss_ratio=0.0,
        carries_rows=True,
        seed=1,
        answer_ms=0,
    ):
        self.store = FakeStore()
        self.clients = [FakeStoreClient(self.store, answer_ms) for _ in range(count)]
        self.rows_by_follower: list[dict[str, bytes]] = [{} for _ in range(count)]
        self.changed_ms: list[dict[str, int]] = [{} for _ in range(count)]
        self.recovery_counts = [0] * count
        self.read_ms: list[list[int]] = [[] for _ in range(count)]
        self.alive = [True] * count
        self.is_reader = [index < readers for index in range(count)]
        self.rng = random.Random(seed)
        self.loss_ratio = loss_ratio
        self.isolated: set[int] = set()
        self.clock = running_clock()
        self.followers = [self._make(index, carries_rows) for index in range(count)]
        self.tasks = [asyncio.create_task(f.run()) for f in self.followers]

    def _make(self, index: int, carries_rows: bool) -> TableFollower:
        return TableFollower(
            self.clients[index],
            "t",
            lambda rows, is_snapshot: self._on_rows(index, rows, is_snapshot),
            self.clock,
            Log(self.clock, lambda line: None),
            wait_ms=0,
            pause_ms=PAUSE_MS,
            max_silence_ms=MAX_SILENCE_MS,
            max_timeout_ms=MAX_TIMEOUT_MS,
            carries_rows=carries_rows,
            content_of=lambda row: row.value.partition(b"|")[0],
            is_reader=lambda: self.is_reader[index],
            send=lambda relays: self._send(index, relays),
            on_recovered=lambda: self._count_recovery(index),
            on_read=lambda started_ms: self.read_ms[index].append(started_ms),
        )

    def _on_rows(self, index, rows, is_snapshot):
        if is_snapshot:
            self.rows_by_follower[index].clear()
        for row in rows.rows:
            if row.value is None:
                self.rows_by_follower[index].pop(row.key, None)
            else:
                self.rows_by_follower[index][row.key] = row.value
            self.changed_ms[index][row.key] = self.clock.now_ms()

    def _count_recovery(self, index):
        self.recovery_counts[index] += 1

    def _send(self, sender, relays):
        for relay in relays:
            for index, follower in enumerate(self.followers):
                if index in self.isolated:
                    continue
                if index != sender and self.rng.random() >= self.loss_ratio:
                    follower.handle_relay(relay)

    def kill(self, index: int) -> None:
        self.tasks[index].cancel()
        self.is_reader[index] = False

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class FakeStoreClient:
    """The store client of one follower; with ``is_partitioned`` its calls fail."""

    def __init__(self, store: FakeStore, answer_ms: int):
        self._store = store
        self._answer_ms = answer_ms
        self.slow_ms = 0
        self.is_partitioned = False
        self.fails_next_call = False

    async def read_table(self, table, timeout_ms):
        if self.is_partitioned:
            return Failure(Reason.TIMEOUT, "store.get")
        if not await self._wait(timeout_ms):
            return Failure(Reason.TIMEOUT, "store.get")
        return await self._store.read_table(table)

    async def _wait(self, timeout_ms):
        """Wait for an answer; return whether it comes in time."""
        await asyncio.sleep(min(self.slow_ms, timeout_ms) / 1000)
        return self.slow_ms <= timeout_ms

    async def read_changes(self, table, after, wait_ms, timeout_ms):
        if not await self._wait(wait_ms + timeout_ms):
            return Failure(Reason.TIMEOUT, "store.feed")
        if self.fails_next_call:
            self.fails_next_call = False
            await asyncio.sleep(CONNECT_TIMEOUT_MS / 1000)
            return Failure(Reason.TIMEOUT, "connection.open")
        if self.is_partitioned:
            return Failure(Reason.TIMEOUT, "store.feed")
        answer = await self._store.read_changes(table, after, wait_ms)
        await asyncio.sleep(self._answer_ms / 1000)
        return answer


def run_group(script, **kwargs) -> None:
    async def main():
        group = Group(**kwargs)
        try:
            await group.clock.sleep_ms(1_000)
            await script(group)
        finally:
            await group.close()

    run_manual(main())


class TestRelays(unittest.TestCase):
    def assert_all_have(self, group, key, value):
        for index, rows in enumerate(group.rows_by_follower):
            self.assertEqual(rows.get(key), value, f"follower {index}")

    async def wait_for_relays(self, group):
        """Wait until the reader reaches the store again and has relayed twice."""
        while group.followers[0].last_failure_ms is not None:
            await group.clock.sleep_ms(10)
        await group.clock.sleep_ms(PAUSE_MS + 20)

    async def check_reader_loss(self, group):
        """Kill the only reader; a change must reach the others within the bound."""
        group.kill(0)
        group.store.put("a", b"late")
        put_ms = group.clock.now_ms()
        await group.clock.sleep_ms(MAX_SILENCE_MS + 200)
        for index in range(1, 5):
            self.assertEqual(group.rows_by_follower[index].get("a"), b"late", index)
            elapsed_ms = group.changed_ms[index]["a"] - put_ms
            self.assertLessEqual(elapsed_ms, MAX_SILENCE_MS + 150)

    def test_one_reader_keeps_all_up_to_date(self):
        async def script(group):
            previous_calls = group.store.call_count
            for number in range(20):
                group.store.put("a", b"%d" % number)
                await group.clock.sleep_ms(PAUSE_MS + 100)
                self.assert_all_have(group, "a", b"%d" % number)
            self.assertLessEqual(group.store.call_count - previous_calls, 26)

        run_group(script, count=10)

    def test_an_instance_that_gets_relays_reads_the_store_if_it_has_to(self):
        async def script(group):
            await group.clock.sleep_ms(3_000)
            asked_ms = group.clock.now_ms()
            self.assertEqual(len(group.read_ms[1]), 1)
            group.followers[1].read_soon()
            await group.clock.sleep_ms(300)
            self.assertEqual(len(group.read_ms[1]), 2)
            self.assertGreaterEqual(group.read_ms[1][1], asked_ms)

        run_group(script, count=3)

    def test_a_reader_reads_again_at_once_if_it_has_to_during_a_call(self):
        async def script(group):
            # A call takes from 1,300 to 1,600 ms, the next one from 2,100 ms on.
            await group.clock.sleep_ms(400)
            asked_ms = group.clock.now_ms()
            group.followers[0].read_soon()
            await group.clock.sleep_ms(600)
            self.assertGreater(group.read_ms[0][-1], asked_ms)

        run_group(script, count=1, answer_ms=300)

    def test_changes_in_lost_relays_are_read_from_the_store(self):
        async def script(group):
            for number in range(40):
                group.store.put(f"k{number}", b"v")
                group.store.put("k0", b"%d" % number)
                await group.clock.sleep_ms(150)
            await group.clock.sleep_ms(MAX_SILENCE_MS + PAUSE_MS)
            for number in range(1, 40):
                self.assert_all_have(group, f"k{number}", b"v")
            self.assert_all_have(group, "k0", b"39")

        run_group(script, count=6, loss_ratio=0.3)

    def test_each_reader_relays_changes_that_it_received_in_relays(self):
        # A relay may reach the second reader, but not a third instance: the second
        # reader must relay its rows nevertheless.
        async def script(group):
            for number in range(60):
                state = b"%d" % (number // 6)
                group.store.put("a", state + b"|heartbeat %d" % number)
                await group.clock.sleep_ms(250)
                if number % 6 == 5:
                    await group.clock.sleep_ms(MAX_SILENCE_MS)
                    for rows in group.rows_by_follower:
                        self.assertEqual(rows["a"].partition(b"|")[0], state)

        for seed in range(10):
            run_group(
                script, count=5, readers=2, loss_ratio=0.3, seed=seed, answer_ms=200
            )

    def test_rows_rewritten_with_the_same_content_are_not_relayed(self):
        async def script(group):
            group.store.put("a", b"state|0")
            await group.clock.sleep_ms(PAUSE_MS * 2)
            before = dict(group.changed_ms[1])
            for number in range(10):
                group.store.put("a", b"state|%d" % number)
                await group.clock.sleep_ms(PAUSE_MS)
            self.assertEqual(group.changed_ms[1], before)

        run_group(script, count=2)

    def test_changes_arrive_after_the_reader_is_lost(self):
        async def script(group):
            await self.check_reader_loss(group)

        run_group(script, count=5)

    def test_changes_arrive_if_the_reader_is_lost_after_an_outage(self):
        # The others received relays since the outage, but did not call the store.
        async def script(group):
            group.store.is_down = True
            await group.clock.sleep_ms(3_000)
            group.store.is_down = False
            await self.wait_for_relays(group)
            self.assertTrue(
                any(f.last_failure_ms is not None for f in group.followers[1:])
            )
            await self.check_reader_loss(group)

        run_group(script, count=5)

    def test_changes_arrive_if_a_call_fails_after_an_outage(self):
        # The failing call is a connection attempt that times out.
        async def script(group):
            group.store.is_down = True
            await group.clock.sleep_ms(6_000)
            group.store.is_down = False
            await self.wait_for_relays(group)
            for client in group.clients:
                client.fails_next_call = True
            group.kill(0)
            group.store.put("a", b"late")
            put_ms = group.clock.now_ms()
            await group.clock.sleep_ms(2 * DRAIN_BOUND_MS)
            for index in range(1, 5):
                elapsed_ms = group.changed_ms[index]["a"] - put_ms
                self.assertLess(elapsed_ms, DRAIN_BOUND_MS, index)

        run_group(script, count=5)

    def test_an_instance_partitioned_alone_counts_one_recovery(self):
        # Each recovery restarts the grace period for endpoints without rows: a second
        # one would keep them for longer.
        async def script(group):
            group.clients[3].is_partitioned = True
            group.isolated = {3}
            await group.clock.sleep_ms(5_000)
            before = group.recovery_counts[3]
            group.isolated = set()
            await group.clock.sleep_ms(PAUSE_MS + 20)
            group.clients[3].is_partitioned = False
            await group.clock.sleep_ms(2 * DRAIN_BOUND_MS)
            self.assertEqual(group.recovery_counts[3] - before, 1)

        run_group(script, count=5)

    def test_an_instance_that_the_store_refuses_counts_no_recovery_if_relays_come(self):
        # Rows that are removed meanwhile belong to endpoints that left: the grace
        # period after an outage would send them requests for too long.
        async def script(group):
            before = group.recovery_counts[3]
            group.clients[3].is_partitioned = True
            await group.clock.sleep_ms(7_000)
            group.clients[3].is_partitioned = False
            await group.clock.sleep_ms(2 * DRAIN_BOUND_MS)
            self.assertIsNone(group.followers[3].last_failure_ms)
            self.assertEqual(group.recovery_counts[3], before)

        # Its own calls fail only while it reads the table for the others.
        async def reader_script(group):
            group.is_reader[3] = True
            await script(group)

        run_group(script, count=5)
        run_group(reader_script, count=5)

    def test_an_instance_that_reaches_the_store_again_detects_it_in_time(self):
        async def script(group):
            group.store.is_down = True
            await group.clock.sleep_ms(6_000)
            group.store.is_down = False
            await self.wait_for_relays(group)
            self.assertTrue(
                all(f.last_failure_ms is not None for f in group.followers[1:])
            )
            await group.clock.sleep_ms(DRAIN_BOUND_MS)
            self.assertTrue(all(f.last_failure_ms is None for f in group.followers))

        run_group(script, count=5)

    def test_a_reader_that_can_not_reach_the_store_is_replaced(self):
        async def script(group):
            group.clients[0].is_partitioned = True
            group.store.put("a", b"late")
            await group.clock.sleep_ms(MAX_SILENCE_MS + 200)
            for index in range(1, 5):
                self.assertEqual(group.rows_by_follower[index].get("a"), b"late")
            # Its digest states that it can't reach the store: another becomes reader.
            group.is_reader = [False, True, False, False, False]
            group.store.put("b", b"relayed")
            await group.clock.sleep_ms(PAUSE_MS + 200)
            self.assertEqual(group.rows_by_follower[0].get("b"), b"relayed")
            # It reads the missed change once the store answers its calls.
            group.clients[0].is_partitioned = False
            await group.clock.sleep_ms(2_000)
            self.assertEqual(group.rows_by_follower[0].get("a"), b"late")

        run_group(script, count=5)

    def test_changes_that_are_not_relayed_are_read_from_the_store(self):
        async def script(group):
            group.store.put("a", b"x" * 20_000)
            await group.clock.sleep_ms(PAUSE_MS + 200)
            self.assert_all_have(group, "a", b"x" * 20_000)

        run_group(script, count=5, carries_rows=False)

    def test_changes_arrive_in_time_from_a_store_that_is_slow_for_everybody(self):
        # Slower than the usual time-out; the readers' long poll is more patient.
        async def script(group):
            for client in group.clients:
                client.slow_ms = 1_200
            group.store.put("a", b"new")
            changed_ms = group.clock.now_ms()
            await group.clock.sleep_ms(3 * CONFIGURATION_BOUND_MS)
            for index, times in enumerate(group.changed_ms):
                self.assertIn("a", times, index)
                late_ms = times["a"] - changed_ms
                self.assertLessEqual(late_ms, CONFIGURATION_BOUND_MS, index)

        run_group(script, count=4, carries_rows=False)

    def test_a_call_that_waits_for_changes_is_repeated_within_a_constant_time(self):
        # Calls lost on a silent connection must not take longer and longer.
        async def main():
            started_ms = []

            class SilentStore(FakeStore):
                async def read_table(self, table, timeout_ms):
                    return Rows((), 1)

                async def read_changes(self, table, after, wait_ms, timeout_ms):
                    started_ms.append(running_clock().now_ms())
                    await asyncio.sleep((wait_ms + timeout_ms) / 1000)
                    return Failure(Reason.TIMEOUT, "store.feed")

            follower = TableFollower(
                SilentStore(),
                "t",
                lambda rows, is_snapshot: None,
                running_clock(),
                Log(running_clock(), lambda line: None),
                wait_ms=2_000,
                pause_ms=0,
                max_silence_ms=MAX_SILENCE_MS,
                max_timeout_ms=MAX_TIMEOUT_MS,
                carries_rows=False,
            )
            task = asyncio.create_task(follower.run())
            await running_clock().sleep_ms(30_000)
            task.cancel()
            return started_ms

        started_ms = run_manual(main())
        self.assertGreater(len(started_ms), 5)
        for before_ms, after_ms in itertools.pairwise(started_ms):
            self.assertLessEqual(after_ms - before_ms, 2_000 + CALL_TIMEOUT_MS)

    def test_a_lost_history_is_replaced_by_a_snapshot(self):
        async def script(group):
            for number in range(5):
                group.store.put(f"k{number}", b"v")
            group.store.put("k0", None)
            group.store.oldest_version = group.store.version
            group.store.changes.clear()
            await group.clock.sleep_ms(2 * MAX_SILENCE_MS)
            for index in range(4):
                self.assertNotIn("k0", group.rows_by_follower[index])
                self.assertEqual(group.rows_by_follower[index].get("k4"), b"v")

        run_group(script, count=4)

    def test_all_followers_detect_the_recovery_from_an_outage(self):
        async def script(group):
            group.store.is_down = True
            await group.clock.sleep_ms(5_000)
            self.assertTrue(all(f.last_failure_ms is not None for f in group.followers))
            group.store.is_down = False
            await group.clock.sleep_ms(2_500)
            self.assertTrue(all(group.recovery_counts), group.recovery_counts)

        run_group(script, count=4)


class TestRelay(unittest.TestCase):
    def test_many_rows_are_split_into_consecutive_relays(self):
        rows = [Row(f"k{n}", b"x" * 370, 10 + n) for n in range(20)]
        relays = build_relays("t", 5, 40, rows, False)
        self.assertEqual((relays[0].since, relays[-1].until), (5, 40))
        for before, after in itertools.pairwise(relays):
            self.assertEqual(before.until, after.since)
        self.assertEqual(sum(len(r.rows) for r in relays), 20)
        for relay in relays:
            size = sum(len(r.value) for r in relay.rows)
            self.assertLessEqual(size, MAX_RELAY_BYTES)

    def test_no_change_gives_an_empty_relay(self):
        self.assertEqual(build_relays("t", 5, 5, [], False), [Relay("t", 5, 5)])


class TestEras(unittest.TestCase):
    """Relays around a store that comes back from an older copy."""

    def run_follower(self, script):
        async def main():
            store = FakeStore()
            store.version = join_version(1, 20)
            follower = TableFollower(
                FakeStoreClient(store, answer_ms=0),
                "t",
                lambda rows, is_snapshot: self.rows.extend(rows.rows),
                running_clock(),
                Log(running_clock(), lambda line: None),
                wait_ms=0,
                pause_ms=PAUSE_MS,
                max_silence_ms=MAX_SILENCE_MS,
                carries_rows=True,
                is_reader=lambda: False,
                on_recovered=lambda: self.recoveries.append(1),
            )
            await follower.poll_store()
            await script(store, follower)

        self.rows, self.recoveries = [], []
        run_manual(main())

    def relay(self, era, since, until, value):
        rows = [Row("a", value, join_version(era, until))]
        versions = (join_version(era, since), join_version(era, until))
        return build_relays("t", *versions, rows, False)[0]

    def test_versions_on_the_wire_are_those_of_the_store(self):
        relay = self.relay(3, 4, 5, b"x")
        self.assertEqual((relay.era, relay.since, relay.until), (3, 4, 5))
        self.assertEqual(relay.rows[0].row_version, 5)

    def test_relays_of_the_era_in_force_are_applied(self):
        async def script(store, follower):
            follower.handle_relay(self.relay(1, 20, 21, b"x"))

        self.run_follower(script)
        self.assertEqual([row.row_version for row in self.rows], [join_version(1, 21)])

    def test_relays_of_an_earlier_era_are_ignored(self):
        async def script(store, follower):
            store.version = join_version(2, 7)
            follower._version = None
            await follower.poll_store()
            follower.handle_relay(self.relay(1, 20, 21, b"x"))
            self.assertFalse(follower.must_query_store())

        self.run_follower(script)
        self.assertEqual(self.rows, [])
        self.assertEqual(self.recoveries, [1])

    def test_a_relay_of_the_next_era_leads_to_a_call(self):
        async def script(store, follower):
            self.assertFalse(follower.must_query_store())
            follower.handle_relay(self.relay(2, 7, 8, b"x"))
            self.assertTrue(follower.must_query_store())

        self.run_follower(script)

    def test_relays_of_instances_without_eras_count_until_the_era_changes(self):
        async def script(store, follower):
            old_build = msgspec.structs.replace(self.relay(1, 20, 21, b"x"), era=0)
            follower.handle_relay(old_build)
            self.assertEqual(len(self.rows), 1)
            store.version = join_version(2, 22)
            follower._version = None
            await follower.poll_store()
            follower.handle_relay(msgspec.structs.replace(old_build, until=23))
            self.assertEqual(len(self.rows), 1)

        self.run_follower(script)
