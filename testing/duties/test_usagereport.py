"""Usage: counted over instances, reported once with one set of counts."""

from __future__ import annotations

import random
import unittest

from _monsoonpulley.clock import ManualClock
from _monsoonpulley.control.leases import Hold
from _monsoonpulley.duties.usage import UsageCounter
from _monsoonpulley.duties.usagereport import MIN_REPORT_DELAY_MS, UsageReporter
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import Write
from _monsoonpulley.ids import CustomerId, InstanceId
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.table import TableStandin

CUSTOMER = CustomerId("customer-1")
WINDOW_MS = 5_000
LATE_MS = 10_000


class Cloud:
    """Records the reports; loses its answers on request."""

    def __init__(self):
        self.reports: list[tuple[int, int, dict]] = []
        self.loses_answers = False

    async def report_usage(self, fencing_number, window, counts):
        self.reports.append((fencing_number, window, dict(counts)))
        if self.loses_answers:
            return Failure(Reason.TIMEOUT, "cloud/usage")
        return None


class FailingTable:
    """Table whose commits take effect but whose answers get lost on request."""

    def __init__(self, table):
        self._table = table
        self.loses_answers = False

    async def read(self, key):
        return await self._table.read(key)

    async def commit(self, writes):
        result = await self._table.commit(writes)
        if self.loses_answers:
            return Failure(Reason.IN_DOUBT, "table.commit")
        return result


class ReportingInstance:
    """Counter and reporter of one instance."""

    def __init__(self, test: TestUsageReporter, name: str):
        self.counter = UsageCounter(WINDOW_MS / 1000)
        self.table = FailingTable(test.table.connect(name, "zone-a"))
        self.waiting: list[tuple[InstanceId, dict, int]] = []
        self.reporter = UsageReporter(
            self.counter,
            self.table,
            test.cloud,
            test.clock,
            Log(test.clock, lambda line: None),
            LATE_MS,
            lambda: test.peers,
            lambda: test.era,
            self.receive_waiting,
        )

    def receive_waiting(self) -> None:
        """Apply the counts that arrived while the instance stood still."""
        for peer, counts, until_ms in self.waiting:
            self.counter.update_peer_counts(peer, 1, counts, until_ms)
        self.waiting = []


class TestUsageReporter(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock(1_000_000)
        self.table = TableStandin(self.clock, random.Random(1))
        self.cloud = Cloud()
        self.peers: list[InstanceId] = []
        self.era = 1

    def lose_writes(self, *instances: ReportingInstance) -> None:
        """Let the table come back without the rows that were written to it."""
        self.era += 1
        self.table = TableStandin(self.clock, random.Random(2))
        for each in instances:
            each.table._table = self.table.connect("a", "zone-a")

    def hold(self, number: int) -> Hold:
        return Hold(number, lambda *_: True)

    async def test_a_window_is_reported_once_after_its_end(self):
        holder = ReportingInstance(self, "a")
        holder.counter.record_start(CUSTOMER, self.clock.wall_ms())
        window = holder.counter.window_of(self.clock.wall_ms())
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        for _ in range(3):
            await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [(1, window, {CUSTOMER: 1})])

    async def test_a_report_waits_for_the_counts_of_a_peer_that_was_cut_off(self):
        holder, peer = ReportingInstance(self, "a"), InstanceId("b")
        self.peers = [peer]
        window = holder.counter.window_of(self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])
        self.clock.advance_ms(2_000)
        counts = {window: {CUSTOMER: 195}}
        holder.counter.update_peer_counts(peer, 1, counts, self.clock.wall_ms())
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [(1, window, {CUSTOMER: 195})])

    async def test_a_holder_that_stood_still_reports_the_counts_that_arrived_meanwhile(
        self,
    ):
        # USAGE: by its clock it no longer waited for counts that it had not read yet.
        holder, peer = ReportingInstance(self, "a"), InstanceId("b")
        self.peers = [peer]
        window = holder.counter.window_of(self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])
        self.clock.advance_ms(LATE_MS)
        until_ms = self.clock.wall_ms() - 1_000
        holder.waiting.append((peer, {window: {CUSTOMER: 195}}, until_ms))
        await holder.reporter.step(self.hold(1))
        self.assertIn((1, window, {CUSTOMER: 195}), self.cloud.reports)

    async def test_counts_taken_before_plain_requests_have_ended_are_not_final(self):
        holder, peer = ReportingInstance(self, "a"), InstanceId("b")
        self.peers = [peer]
        self.clock.advance_ms(WINDOW_MS)
        holder.counter.update_peer_counts(peer, 1, {}, self.clock.wall_ms())
        self.clock.advance_ms(MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])

    async def test_an_instance_that_just_started_reports_what_peers_passed_on(self):
        # All instances were restarted in turn: nobody has run for the whole window.
        window = ReportingInstance(self, "a").counter.window_of(self.clock.wall_ms())
        await ReportingInstance(self, "first").reporter.step(self.hold(1))
        earlier, peer = ReportingInstance(self, "b"), InstanceId("c")
        counts = {window: {CUSTOMER: 7}}
        earlier.counter.update_peer_counts(peer, 1, counts, self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS)
        holder = ReportingInstance(self, "a")
        for instance, incarnation, ended in earlier.counter.ended_counts({peer: 2}):
            holder.counter.update_peer_counts(instance, incarnation, ended, None)
        self.clock.advance_ms(MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [(1, window, {CUSTOMER: 7})])

    async def test_older_counts_that_are_passed_on_do_not_replace_newer_ones(self):
        counter, peer = UsageCounter(WINDOW_MS / 1000), InstanceId("b")
        counter.update_peer_counts(peer, 1, {5: {CUSTOMER: 9}, 6: {CUSTOMER: 2}}, 100)
        counter.update_peer_counts(peer, 1, {5: {CUSTOMER: 4}}, None)
        self.assertEqual(counter.totals(5), {CUSTOMER: 9})
        self.assertEqual(counter.totals(6), {CUSTOMER: 2})

    async def test_an_instance_without_requests_does_not_delay_a_report(self):
        holder, peer = ReportingInstance(self, "a"), InstanceId("idle")
        self.peers = [peer]
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        holder.counter.update_peer_counts(peer, 1, {}, self.clock.wall_ms())
        holder.counter.expire(self.clock.wall_ms())
        await holder.reporter.step(self.hold(1))
        self.assertEqual(len(self.cloud.reports), 1)

    async def test_a_report_without_a_lost_peers_counts_leaves_time_to_take_over(self):
        holder = ReportingInstance(self, "a")
        self.peers = [InstanceId("lost")]
        self.clock.advance_ms(WINDOW_MS)
        end_ms = self.clock.now_ms()
        while not self.cloud.reports:
            self.clock.advance_ms(100)
            await holder.reporter.step(self.hold(1))
        self.assertLessEqual(self.clock.now_ms() - end_ms, LATE_MS - 4_000)

    async def test_two_holders_report_the_same_counts(self):
        first, second = ReportingInstance(self, "a"), ReportingInstance(self, "b")
        first.counter.record_start(CUSTOMER, self.clock.wall_ms())
        for _ in range(3):
            second.counter.record_start(CUSTOMER, self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        self.cloud.loses_answers = True
        await first.reporter.step(self.hold(1))
        await second.reporter.step(self.hold(2))
        counts = [report[2] for report in self.cloud.reports]
        self.assertEqual(counts, [{CUSTOMER: 1}, {CUSTOMER: 1}])

    async def test_a_lost_answer_of_the_table_does_not_change_the_counts(self):
        holder = ReportingInstance(self, "a")
        await holder.reporter.step(self.hold(1))
        holder.counter.record_start(CUSTOMER, self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        holder.table.loses_answers = True
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])
        holder.counter.update_peer_counts(
            InstanceId("late"), 1, {200: {CUSTOMER: 9}}, 0
        )
        holder.table.loses_answers = False
        await holder.reporter.step(self.hold(1))
        self.assertEqual([r[2] for r in self.cloud.reports], [{CUSTOMER: 1}])

    async def test_invalid_stored_counts_are_not_reported(self):
        holder = ReportingInstance(self, "a")
        window = holder.counter.window_of(self.clock.wall_ms())
        write = Write(f"usage/{window:012d}", b"not counts", 0)
        await holder.table.commit([write])
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [])

    async def test_a_window_with_invalid_counts_does_not_block_the_next(self):
        holder = ReportingInstance(self, "a")
        window = holder.counter.window_of(self.clock.wall_ms())
        write = Write(f"usage/{window:012d}", b"not counts", 0)
        await holder.table.commit([write])
        self.clock.advance_ms(2 * WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual([r[1] for r in self.cloud.reports], [window + 1])

    async def test_nothing_is_reported_without_the_lease(self):
        holder = ReportingInstance(self, "a")
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(Hold(1, lambda *_: False))
        self.assertEqual(self.cloud.reports, [])

    async def test_windows_that_another_may_have_reported_are_skipped_after_a_loss(
        self,
    ):
        holder, successor = (ReportingInstance(self, name) for name in "ab")
        self.clock.advance_ms(2 * WINDOW_MS)
        for each in (holder, successor):
            each.counter.record_start(CUSTOMER, self.clock.wall_ms() - WINDOW_MS)
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        sent = list(self.cloud.reports)
        # The table lost the counts; the successor has counted others since.
        self.lose_writes(holder, successor)
        successor.counter.record_start(CUSTOMER, self.clock.wall_ms() - 2 * WINDOW_MS)
        successor.reporter.handle_era_change(was_holder=False)
        await successor.reporter.step(self.hold(2))
        self.assertEqual(self.cloud.reports, sent)

    async def test_the_holder_goes_on_after_a_loss_with_what_it_has_not_reported(self):
        holder = ReportingInstance(self, "a")
        await holder.reporter.step(self.hold(1))
        holder.counter.record_start(CUSTOMER, self.clock.wall_ms())
        window = holder.counter.window_of(self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        self.lose_writes(holder)
        holder.reporter.handle_era_change(was_holder=True)
        await holder.reporter.step(self.hold(2))
        self.assertIn((2, window, {CUSTOMER: 1}), self.cloud.reports)

    async def report_before_a_loss(self) -> tuple[ReportingInstance, int]:
        """Return an instance and the window that it reported with 1 request."""
        holder = ReportingInstance(self, "a")
        holder.counter.record_start(CUSTOMER, self.clock.wall_ms())
        window = holder.counter.window_of(self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        self.assertEqual(self.cloud.reports, [(1, window, {CUSTOMER: 1})])
        self.lose_writes(holder)
        return holder, window

    def start_instance(self, window: int) -> ReportingInstance:
        """Start an instance whose peers have counted 3 requests in a window."""
        started = ReportingInstance(self, "b")
        counts = {window: {CUSTOMER: 3}, window + 1: {CUSTOMER: 5}}
        started.counter.update_peer_counts(InstanceId("c"), 1, counts, 0)
        return started

    # A process that started after the loss reported windows again, with other counts.

    async def test_the_first_holder_after_a_loss_may_have_started_after_it(self):
        _, window = await self.report_before_a_loss()
        started = self.start_instance(window)
        await started.reporter.step(self.hold(2))
        self.clock.advance_ms(WINDOW_MS)
        await started.reporter.step(self.hold(2))
        self.assertEqual(
            self.cloud.reports[1:], [(2, window + 1, {CUSTOMER: 5})], "only the next"
        )

    async def test_the_second_holder_after_a_loss_may_have_started_after_it(self):
        await self.check_later_holder(was_holder=True)

    async def test_the_second_holder_may_follow_one_that_did_not_report(self):
        await self.check_later_holder(was_holder=False)

    async def check_later_holder(self, was_holder: bool) -> None:
        witness, window = await self.report_before_a_loss()
        witness.reporter.handle_era_change(was_holder)
        await witness.reporter.step(self.hold(2))
        started = self.start_instance(window)
        await started.reporter.step(self.hold(3))
        self.clock.advance_ms(WINDOW_MS)
        await started.reporter.step(self.hold(3))
        self.assertEqual(self.cloud.reports[1:], [(3, window + 1, {CUSTOMER: 5})])

    async def test_counts_stored_since_a_loss_are_sent_by_one_that_started_after_it(
        self,
    ):
        witness, window = await self.report_before_a_loss()
        witness.reporter.handle_era_change(was_holder=True)
        witness.counter.record_start(CUSTOMER, self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS)
        self.cloud.loses_answers = True
        await witness.reporter.step(self.hold(2))
        self.cloud.loses_answers = False
        await self.start_instance(window).reporter.step(self.hold(3))
        counts = {CUSTOMER: 1}
        self.assertEqual(
            self.cloud.reports[1:], [(2, window + 1, counts), (3, window + 1, counts)]
        )

    async def test_a_loss_while_the_floor_is_agreed_on_is_noticed(self):
        holder, window = await self.report_before_a_loss()
        started = self.start_instance(window)
        commit = started.table.commit

        async def commit_and_lose(writes):
            result = await commit(writes)
            started.table.commit = commit
            self.lose_writes(holder, started)
            return result

        started.table.commit = commit_and_lose
        await started.reporter.step(self.hold(2))
        self.assertEqual(len(self.cloud.reports), 1)
        await started.reporter.step(self.hold(2))
        self.assertEqual(len(self.cloud.reports), 1)

    async def test_counts_that_may_have_been_sent_are_repeated_after_a_loss(self):
        for count in (0, 1):
            await self.check_repeated_counts(count)

    async def check_repeated_counts(self, count: int) -> None:
        holder = ReportingInstance(self, "a")
        for _ in range(count):
            holder.counter.record_start(CUSTOMER, self.clock.wall_ms())
        self.clock.advance_ms(WINDOW_MS + MIN_REPORT_DELAY_MS)
        await holder.reporter.step(self.hold(1))
        holder.reporter._reported_windows.clear()
        holder.table._table = TableStandin(self.clock, random.Random(2)).connect(
            "a", "zone-a"
        )
        holder.counter.record_start(
            CUSTOMER, self.clock.wall_ms() - WINDOW_MS - MIN_REPORT_DELAY_MS
        )
        await holder.reporter.step(self.hold(1))
        by_window: dict[int, set[int]] = {}
        for _, window, counts in self.cloud.reports:
            by_window.setdefault(window, set()).add(counts.get(CUSTOMER, 0))
        self.assertTrue(all(len(sent) == 1 for sent in by_window.values()))


class TestUsageCounter(unittest.TestCase):
    def test_windows_are_summed_over_instances_and_incarnations(self):
        counter = UsageCounter(5)
        counter.record_start(CUSTOMER, 12_000)
        counter.update_peer_counts(InstanceId("a"), 1, {2: {CUSTOMER: 4}}, 0)
        counter.update_peer_counts(InstanceId("a"), 1, {2: {CUSTOMER: 5}}, 0)
        counter.update_peer_counts(InstanceId("a"), 2, {2: {CUSTOMER: 1}}, 0)
        self.assertEqual(counter.totals(2), {CUSTOMER: 7})

    def test_old_windows_expire(self):
        counter = UsageCounter(5)
        counter.record_start(CUSTOMER, 0)
        counter.update_peer_counts(InstanceId("a"), 1, {0: {CUSTOMER: 4}}, 0)
        counter.expire(60_000)
        self.assertEqual((counter.totals(0), counter.own_counts()), ({}, {}))
