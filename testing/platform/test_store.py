"""Client for the platform's row store, and the table over it."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Write
from _monsoonpulley.platform.store import Condition, Put, Rows, Store
from _monsoonpulley.platform.storeversion import wire_version
from _monsoonpulley.platform.table import StoreTable
from _monsoonpulley.standins.rowstore import RowStoreStandin, StoreFault
from _monsoonpulley.wire.httpclient import HttpClient, Reply

HUGE = b"9" * 5_000


def store_answering(row: bytes, results: list, era: bytes = b"0") -> Store:
    """Return a store's client whose calls get three rows, the given one among them."""

    class Client:
        peer = "store"

        async def call(self, method, target, **kwargs):
            sound = b'{"key":"%s","row_version":3,"value":"YQ=="}'
            rows = b",".join((sound % b"a", row, sound % b"z"))
            body = b'{"rows":[%s],"row_version":9}' % rows
            return Reply(200, {b"store-era": era}, body)

    return Store(Client(), lambda name, result: results.append((name, result)))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = Clock.from_system()
        self.rows = RowStoreStandin(clock)
        self.addCleanup(self.rows.close)
        ip, port = await self.rows.listen()
        self.store = Store(HttpClient(ip, port, clock))
        self.addCleanup(self.store.close)
        self.table = StoreTable(self.store)


class TestStore(StoreTest):
    async def test_a_table_larger_than_one_answer_is_read_completely(self):
        for number in range(1_203):
            self.rows.put("t", f"k{number:05d}", b"v")
        rows = await self.store.read_table("t")
        self.assertEqual(len(rows.rows), 1_203)
        self.assertEqual(len({row.key for row in rows.rows}), 1_203)

    async def test_a_change_while_a_large_table_is_read_is_in_the_changes_since(self):
        for number in range(600):
            self.rows.put("t", f"k{number:05d}", b"v")
        get = self.rows._get

        def get_and_change(query):
            answer = get(query)
            if "from" not in query:
                self.rows.put("t", "a", b"v")  # Before the part that is read next.
            return answer

        self.rows._get = get_and_change
        rows = await self.store.read_table("t")
        changes = await self.store.read_changes("t", rows.store_version, 0)
        self.assertEqual([row.key for row in changes.rows], ["a"])

    async def test_changes_and_removals_since_a_version_are_read(self):
        version = self.rows.put("t", "a", b"1")
        self.rows.put("t", "b", b"2")
        self.rows.remove("t", "a")
        rows = await self.store.read_changes("t", version, 0)
        self.assertEqual(
            [(r.key, r.value) for r in rows.rows], [("b", b"2"), ("a", None)]
        )
        later_rows = await self.store.read_changes("t", rows.store_version, 0)
        self.assertEqual(later_rows.rows, ())

    async def test_a_version_before_the_kept_history_is_a_conflict(self):
        self.rows.put("t", "a", b"1")
        self.rows.put("t", "a", b"2")
        self.rows.discard_history()
        failure = await self.store.read_changes("t", 1, 0)
        self.assertIs(failure.reason, Reason.CONFLICT)

    async def test_a_refused_write_has_not_taken_effect(self):
        self.rows.fault = StoreFault.BUSY
        failure = await self.store.write()
        self.assertIs(failure.delivery, Delivery.REFUSED)

    async def test_a_write_without_an_answer_may_have_taken_effect(self):
        self.rows.fault = StoreFault.LOST_ANSWER
        failure = await self.table.commit([Write("a", b"1", 0)])
        self.assertIs(failure.reason, Reason.IN_DOUBT)
        self.rows.fault = StoreFault.NONE
        self.assertEqual(self.rows.read_value("control", "a"), b"1")

    async def test_a_commit_to_an_unreachable_store_is_not_in_doubt(self):
        clock = Clock.from_system()
        store = Store(HttpClient("127.0.0.1", 1, clock))
        failure = await StoreTable(store).commit([Write("a", b"1", 0)])
        self.assertIs(failure.reason, Reason.UNAVAILABLE)


class TestTable(StoreTest):
    async def test_only_one_of_two_writes_at_one_revision_succeeds(self):
        first = await self.table.commit([Write("a", b"1", 0)])
        self.assertIsInstance(first, Committed)
        second = await self.table.commit([Write("a", b"2", 0)])
        self.assertIsInstance(second, Conflict)
        self.assertEqual(second.current["a"].value, b"1")
        third = await self.table.commit([Write("a", b"3", first.revision)])
        self.assertIsInstance(third, Committed)

    async def test_rows_are_read_scanned_and_deleted(self):
        await self.table.commit([Write("x/1", b"1", 0), Write("y/1", b"2", 0)])
        row = await self.table.read("x/1")
        self.assertEqual(row.value, b"1")
        self.assertIsNone(await self.table.read("x/0"))
        self.assertEqual([r.key for r in await self.table.scan("x/")], ["x/1"])
        await self.table.commit([Write("x/1", None, row.revision)])
        self.assertEqual(await self.table.scan("x/"), ())

    async def test_a_refused_scan_returns_a_failure(self):
        self.rows.fault = StoreFault.BUSY
        self.assertIsInstance(await self.table.scan("x/"), Failure)


class TestRecovery(StoreTest):
    async def test_the_first_answer_after_a_refusal_is_a_recovery(self):
        await self.store.read_table("x")
        recovery = self.store.next_recovery()
        self.rows.fault = StoreFault.BUSY
        await self.store.read_table("x")
        self.assertFalse(recovery.is_set())
        self.rows.fault = StoreFault.NONE
        await self.store.read_table("x")
        self.assertTrue(recovery.is_set())
        self.assertFalse(self.store.next_recovery().is_set())


class TestEras(StoreTest):
    """A store that comes back from an older copy."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.eras = []
        self.store._on_era = lambda before, after: self.eras.append((before, after))
        self.rows.era = 1

    async def lose_writes(self) -> None:
        """Write a row after a copy and bring the store back to it."""
        self.copy = self.rows.take_copy()
        self.rows.put("t", "lost", b"1")
        self.before = await self.store.read_table("t")
        self.rows.return_to(self.copy)

    async def test_versions_rise_when_the_store_loses_writes(self):
        self.rows.put("t", "a", b"1")
        await self.lose_writes()
        self.rows.put("t", "b", b"1")
        after = await self.store.read_table("t")
        self.assertEqual({row.key for row in after.rows}, {"a", "b"})
        self.assertGreater(after.store_version, self.before.store_version)
        newest = max(row.row_version for row in self.before.rows)
        self.assertTrue(all(row.row_version > newest for row in after.rows))
        self.assertEqual(self.eras, [(1, 2)])

    async def test_changes_since_a_version_before_the_loss_are_a_lost_history(self):
        await self.lose_writes()
        self.rows.put("t", "b", b"1")
        for _ in range(2):
            # Once without knowing of the loss, once with it.
            failure = await self.store.read_changes("t", self.before.store_version, 0)
            self.assertIs(failure.reason, Reason.CONFLICT)

    async def test_a_condition_from_before_the_loss_is_not_sent(self):
        await self.lose_writes()
        self.rows.put("t", "lost", b"2")
        after = await self.store.read_table("t")
        old, new = (
            next(row for row in rows.rows if row.key == "lost")
            for rows in (self.before, after)
        )
        self.assertEqual(wire_version(old.row_version), wire_version(new.row_version))
        for row, expected in ((old, Failure), (new, int)):
            result = await self.store.write(
                conditions=(Condition("t", "lost", row.row_version),),
                puts=(Put("t", "lost", b"3"),),
            )
            self.assertIsInstance(result, expected)

    async def test_a_write_that_is_done_after_the_loss_is_in_doubt(self):
        await self.lose_writes()
        result = await self.store.write(puts=(Put("t", "b", b"1"),))
        self.assertIs(result.reason, Reason.IN_DOUBT)
        result = await self.store.write(puts=(Put("t", "b", b"2"),))
        self.assertIsInstance(result, int)

    async def test_two_losses_in_a_row_are_told_in_order(self):
        await self.lose_writes()
        self.rows.return_to(self.copy)
        await self.store.read_table("t")
        self.assertEqual(self.eras, [(1, 3)])

    async def test_a_late_answer_of_an_earlier_era_is_a_failure(self):
        await self.lose_writes()
        await self.store.read_table("t")
        self.rows.era = 1
        failure = await self.store.read_table("t")
        self.assertIs(failure.reason, Reason.PROTOCOL)
        self.assertEqual(self.eras, [(1, 2)])

    async def test_an_answer_without_its_era_is_a_failure(self):
        await self.store.read_table("t")
        self.rows.era = None
        failure = await self.store.read_table("t")
        self.assertIs(failure.reason, Reason.PROTOCOL)

    async def test_a_refusal_needs_no_era(self):
        await self.store.read_table("t")
        self.rows.era, self.rows.fault = None, StoreFault.BUSY
        failure = await self.store.write()
        self.assertIs(failure.delivery, Delivery.REFUSED)

    async def test_an_outage_without_a_loss_changes_nothing(self):
        await self.store.read_table("t")
        self.rows.fault = StoreFault.BUSY
        await self.store.read_table("t")
        self.rows.fault = StoreFault.NONE
        await self.store.read_table("t")
        self.assertEqual(self.eras, [])


class TestOddRows(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_row_does_not_keep_the_others_from_being_read(self):
        odd_rows = (
            b"7",
            b"null",
            b'{"key":5}',
            b'{"row_version":1}',
            b'{"key":"\\ud800","value":3}',
        )
        odd_rows += (b'{"key":"k","value":[]}', b'{"key":"k","row_version":%s}' % HUGE)
        odd_rows += (b'{"key":"k","row_version":-1}', b'{"key":["\\ud800"]}')
        for odd in odd_rows:
            with self.subTest(row=odd[:60]):
                results: list[tuple[str, str]] = []
                store = store_answering(odd, results)
                for rows in (
                    await store.read_table("t"),
                    await store.read_changes("t", 1, 0),
                ):
                    self.assertIsInstance(rows, Rows)
                    self.assertEqual([row.key for row in rows.rows], ["a", "z"])
                    self.assertEqual(rows.store_version, 9)
                self.assertIn(("rows-get", "odd_row"), results)

    async def test_a_key_that_is_no_text_is_read_with_a_replacement(self):
        store = store_answering(rb'{"key":"\\\ud800\ud83d\ude00"}', [])
        rows = await store.read_table("t")
        self.assertEqual([r.key for r in rows.rows], ["a", "\\\ufffd\U0001f600", "z"])

    async def test_an_odd_row_that_stands_in_the_way_is_no_missing_row(self):
        store = store_answering(b"7", [])
        self.assertIsInstance(await store.read_row("t", "b"), Failure)

    async def test_an_era_of_thousands_of_digits_is_a_failure(self):
        store = store_answering(b'{"key":"b"}', [], HUGE)
        self.assertIsInstance(await store.read_table("t"), Failure)
