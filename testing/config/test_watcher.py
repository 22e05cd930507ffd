import asyncio
import json
import random
import unittest

from _monsoonpulley.config.document import Revision
from _monsoonpulley.config.inforce import RevisionInForce, Source, Verdict
from _monsoonpulley.config.store import ConfigStore
from _monsoonpulley.config.watcher import (
    MAX_PROPAGATION_MS,
    ConfigWatcher,
    PollSchedule,
    WatchTimes,
)
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from testing.config.documents import document_of
from testing.config.faketable import FakeTable, TableClient

SEEDS = range(40)


def revision(number, token="t"):
    return Revision(number, f"{token}{number}", "ana", 0, document_of(a=number))


class InForceTest(unittest.TestCase):
    def test_numbers_only_rise(self):
        for seed in SEEDS:
            rng = random.Random(seed)
            in_force = RevisionInForce()
            highest = 0
            for step in range(30):
                number = rng.randint(1, 20)
                highest = max(highest, number)
                in_force.offer(revision(number), Source.PEER, step)
                self.assertEqual(in_force.number, highest)

    def test_decision_names_both_revisions(self):
        in_force = RevisionInForce()
        in_force.offer(revision(3), Source.TABLE, 0)
        decision = in_force.offer(revision(2), Source.PEER, 1)
        self.assertIs(decision.verdict, Verdict.LOWER)
        self.assertEqual((decision.offered_number, decision.previous_number), (2, 3))

    def test_equal_number_with_another_token_clashes_and_changes_nothing(self):
        in_force = RevisionInForce()
        in_force.offer(revision(3), Source.TABLE, 0)
        decision = in_force.offer(revision(3, "other"), Source.PEER, 1)
        self.assertIs(decision.verdict, Verdict.CLASHES)
        self.assertEqual(in_force.change_token, "t3")


class Instance:
    """The watcher of one entry instance, with its own client of the table."""

    def __init__(self, table, seed, is_fast_poller=lambda: False, **client):
        clock = running_clock()
        rng = random.Random(seed)
        self.lines = []
        self.reachable_since_ms = None
        self.client = TableClient(table, clock, rng, **client)
        self.store = ConfigStore(self.client, clock, rng)
        log = Log(clock, lambda line: self.lines.append(json.loads(line)))
        self.watcher = ConfigWatcher(self.store, clock, rng, log, is_fast_poller)
        self.numbers = []
        self.watcher.on_change(lambda revision: self.numbers.append(revision.number))
        self.task = asyncio.create_task(self.watcher.run())

    @property
    def is_alive(self):
        return not self.task.done()

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def apply_next(store, number):
    applied = await store.apply(
        document_of(a=number + 1), expected_number=number, author="ana"
    )
    assert isinstance(applied, Revision), applied
    return applied


class JoiningTest(unittest.TestCase):
    def test_a_watcher_is_ready_as_soon_as_the_table_answered(self):
        async def main():
            table = FakeTable()
            one = Instance(table, 1)
            await one.watcher.wait_ready()
            self.assertEqual(one.watcher.number, 0)
            await apply_next(one.store, 0)
            two = Instance(table, 2)
            await two.watcher.wait_ready()
            self.assertEqual(two.watcher.number, 1)
            self.assertEqual(running_clock().now_ms(), 0)
            await one.stop()
            await two.stop()

        run_manual(main())

    def test_peers_are_used_only_after_the_table_timed_out(self):
        async def main():
            table = FakeTable()
            table.is_unreachable = True
            one = Instance(table, 1)
            one.watcher.offer(revision(4))
            one.watcher.offer(revision(3))
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(one.watcher.wait_ready(), 4.9)
            await asyncio.wait_for(one.watcher.wait_ready(), 2)
            self.assertEqual(one.watcher.number, 4)
            await one.stop()

        run_manual(main())

    def test_with_neither_table_nor_peers_it_is_not_ready(self):
        async def main():
            table = FakeTable()
            table.is_unreachable = True
            one = Instance(table, 1)
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(one.watcher.wait_ready(), 120)
            await one.stop()

        run_manual(main())


class PollingTest(unittest.TestCase):
    def test_worst_case_is_within_the_propagation_limit(self):
        self.assertLess(WatchTimes().worst_case_ms(), MAX_PROPAGATION_MS)

    def test_a_failing_table_gets_no_fast_polls(self):
        schedule = PollSchedule(WatchTimes(jitter=0), random.Random(1))
        schedule.record_success(0)
        self.assertTrue(
            schedule.is_due(1_000, is_fast_poller=True, has_higher_number=False)
        )
        schedule.record_failure(1_000)
        schedule.record_failure(2_000)
        self.assertFalse(
            schedule.is_due(3_999, is_fast_poller=True, has_higher_number=True)
        )
        self.assertTrue(
            schedule.is_due(4_000, is_fast_poller=False, has_higher_number=False)
        )

    def test_news_of_a_peer_end_the_wait_after_failed_polls_once(self):
        schedule = PollSchedule(WatchTimes(jitter=0), random.Random(1))
        for now_ms in (0, 1_000, 2_000):
            schedule.record_failure(now_ms)
        due = {"is_fast_poller": False, "has_higher_number": True}
        self.assertFalse(schedule.is_due(2_100, **due))
        schedule.record_news()
        self.assertTrue(schedule.is_due(2_100, **due))
        schedule.record_failure(2_100)
        self.assertFalse(schedule.is_due(2_200, **due))

    def test_a_number_that_a_peer_repeats_is_no_news(self):
        async def main():
            one = Instance(FakeTable(), 1)
            await one.watcher.wait_ready()
            schedule = one.watcher._schedule
            for number, is_news in ((3, True), (3, False), (2, False), (4, True)):
                schedule.record_failure(running_clock().now_ms())
                one.watcher.record_peer_number(number)
                self.assertIs(schedule._is_fast_allowed, is_news)
            await one.stop()

        run_manual(main())

    def test_a_higher_number_of_a_peer_is_read_within_two_ticks(self):
        async def main():
            table = FakeTable()
            one = Instance(table, 1)
            await one.watcher.wait_ready()
            await apply_next(one.store, 0)
            one.watcher.record_peer_number(1)
            await running_clock().sleep_ms(2_400)
            self.assertEqual(one.numbers, [1])
            await one.stop()

        run_manual(main())

    def test_a_table_slower_than_the_time_out_is_still_read(self):
        async def main():
            table = FakeTable()
            one = Instance(table, 1, latency_ms=(4_000, 4_000))
            await apply_next(one.store, 0)
            await running_clock().sleep_ms(60_000)
            self.assertEqual(one.numbers, [1])
            await one.stop()

        run_manual(main())

    def test_a_clash_is_logged(self):
        async def main():
            one = Instance(FakeTable(), 1)
            one.watcher.offer(revision(1))
            one.watcher.offer(revision(1, "other"))
            await one.stop()
            verdicts = [line["verdict"] for line in one.lines]
            self.assertEqual(verdicts, ["adopted", "clashes"])

        run_manual(main())

    def test_each_change_is_read_once_and_older_ones_are_skipped(self):
        async def main():
            table = FakeTable()
            one = Instance(table, 1)
            other = Instance(table, 2)
            await apply_next(other.store, 0)
            await running_clock().sleep_ms(10_000)
            bytes_before = one.client.read_bytes
            await apply_next(other.store, 1)
            await running_clock().sleep_ms(10_000)
            bytes_read = one.client.read_bytes - bytes_before
            self.assertEqual(bytes_read, len(table.rows["config/head"].value))
            for number in range(2, 7):
                await apply_next(other.store, number)
            await running_clock().sleep_ms(10_000)
            self.assertEqual(one.numbers, [1, 2, 7])
            await one.stop()
            await other.stop()

        run_manual(main())

    def test_an_idle_poll_reads_no_document(self):
        async def main():
            table = FakeTable()
            one = Instance(table, 1)
            await apply_next(one.store, 0)
            await running_clock().sleep_ms(10_000)
            bytes_before = one.client.read_bytes
            await running_clock().sleep_ms(600_000)
            self.assertEqual(one.client.read_bytes, bytes_before)
            await one.stop()

        run_manual(main())


class Fleet:
    """Four data centres of three instances, with an operator.

    Parameters
    ----------
    with_peers : bool
        Whether the instances of a data centre exchange revisions each second;
        otherwise each depends on its own polls.
    """

    def __init__(self, seed, *, with_peers):
        self.rng = random.Random(seed)
        self.clock = running_clock()
        self.table = FakeTable()
        self.zones = [[self.start(zone) for _ in range(3)] for zone in range(4)]
        self.operator = Instance(self.table, seed + 1_000)
        self.with_peers = with_peers
        self.accepted_ms_by_number = {}
        self.check_count = 0

    def start(self, zone):
        instance = None

        def is_fast_poller():
            return next((i for i in self.zones[zone] if i.is_alive), None) is instance

        instance = Instance(
            self.table, self.rng.random(), is_fast_poller, latency_ms=(0, 1_400)
        )
        return instance

    def instances(self):
        return [one for zone in self.zones for one in zone]

    def exchange_revisions(self):
        for zone in self.zones:
            alive = [one for one in zone if one.is_alive]
            for one in alive:
                for other in alive:
                    if one.watcher.revision:
                        other.watcher.offer(one.watcher.revision)

    def inject_fault(self):
        """Start or end one fault, or return true to apply a change instead."""
        kind = self.rng.choice(
            ["poller_dies", "restart", "outage", "partition", "apply"]
        )
        zone = self.rng.choice(self.zones)
        if kind == "poller_dies":
            zone[0].task.cancel()
        elif kind == "restart":
            index = self.rng.randrange(3)
            zone[index].task.cancel()
            zone[index] = self.start(self.zones.index(zone))
        elif kind == "outage":
            self.table.is_unreachable = self.rng.random() < 0.3
        elif kind == "partition":
            is_partitioned = self.rng.random() < 0.5
            for one in zone:
                one.client.is_partitioned = is_partitioned
        else:
            return True
        return False

    def check(self, test):
        now_ms = self.clock.now_ms()
        for one in self.instances():
            test.assertEqual(one.numbers, sorted(set(one.numbers)))
            if (
                self.table.is_unreachable
                or one.client.is_partitioned
                or not one.is_alive
            ):
                one.reachable_since_ms = None
                continue
            if one.reachable_since_ms is None:
                one.reachable_since_ms = now_ms
            for number, accepted_ms in self.accepted_ms_by_number.items():
                if (
                    now_ms - max(one.reachable_since_ms, accepted_ms)
                    >= MAX_PROPAGATION_MS
                ):
                    test.assertGreaterEqual(one.watcher.number, number)
                    self.check_count += 1

    async def run(self, test, steps):
        for step in range(steps):
            if step % 20 == 0 and self.inject_fault() and not self.table.is_unreachable:
                number = len(self.accepted_ms_by_number)
                await apply_next(self.operator.store, number)
                self.accepted_ms_by_number[number + 1] = self.clock.now_ms()
            if self.with_peers and step % 4 == 0:
                self.exchange_revisions()
            self.check(test)
            await self.clock.sleep_ms(250)
        for one in [*self.instances(), self.operator]:
            await one.stop()


class InForceEverywhereTest(unittest.TestCase):
    def run_fleets(self, with_peers):
        check_count = 0
        for seed in SEEDS:

            async def main(seed=seed):
                fleet = Fleet(seed, with_peers=with_peers)
                await fleet.run(self, 600)
                return fleet.check_count

            with self.subTest(seed=seed):
                check_count += run_manual(main())
        self.assertGreater(check_count, 100 * len(SEEDS))

    def test_propagation_stays_within_its_limit_through_faults_without_peers(self):
        self.run_fleets(with_peers=False)

    def test_propagation_stays_within_its_limit_through_faults_with_peers(self):
        self.run_fleets(with_peers=True)

    def test_peers_spread_a_revision_to_instances_without_the_table(self):
        async def main():
            fleet = Fleet(2, with_peers=True)
            zone = fleet.zones[0]
            for one in zone[1:]:
                one.client.is_partitioned = True
            await apply_next(fleet.operator.store, 0)
            await fleet.clock.sleep_ms(MAX_PROPAGATION_MS - 1_000)
            fleet.exchange_revisions()
            self.assertEqual([one.watcher.number for one in zone], [1, 1, 1])
            for one in [*fleet.instances(), fleet.operator]:
                await one.stop()

        run_manual(main())

    def test_a_restarted_instance_never_serves_a_lower_revision(self):
        for seed in SEEDS:

            async def main(seed=seed):
                table = FakeTable()
                first = Instance(table, seed, latency_ms=(0, 500))
                await first.watcher.wait_ready()
                for number in range(3):
                    await apply_next(first.store, number)
                await running_clock().sleep_ms(MAX_PROPAGATION_MS)
                served_number = first.watcher.number
                await first.stop()
                second = Instance(table, seed + 1, latency_ms=(0, 500))
                second.watcher.offer(revision(1))
                await second.watcher.wait_ready()
                self.assertGreaterEqual(second.watcher.number, served_number)
                await second.stop()

            run_manual(main())
