"""The client of the store, and the product's table over it."""

from __future__ import annotations

import unittest

from _monsoonpulley.clock import Clock
from _monsoonpulley.errors import Delivery, Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Write
from _monsoonpulley.platform.store import Store
from _monsoonpulley.platform.table import StoreTable
from _monsoonpulley.standins.rowstore import RowStore, Trouble
from _monsoonpulley.wire.httpclient import HttpClient


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        clock = Clock.from_system()
        self.rows = RowStore(clock)
        self.addCleanup(self.rows.close)
        ip, port = await self.rows.listen()
        self.store = Store(HttpClient(ip, port, clock))
        self.addCleanup(self.store.close)
        self.table = StoreTable(self.store)


class TestStore(StoreTest):
    async def test_large_tables_are_read_whole(self):
        for number in range(1_203):
            self.rows.put("t", f"k{number:05d}", b"v")
        rows = await self.store.get("t")
        self.assertEqual(len(rows.rows), 1_203)
        self.assertEqual(len({row.key for row in rows.rows}), 1_203)

    async def test_the_feed_tells_changes_and_removals(self):
        version = self.rows.put("t", "a", b"1")
        self.rows.put("t", "b", b"2")
        self.rows.remove("t", "a")
        rows = await self.store.feed("t", version, 0)
        self.assertEqual(
            [(r.key, r.value) for r in rows.rows], [("b", b"2"), ("a", None)]
        )
        again = await self.store.feed("t", rows.store_version, 0)
        self.assertEqual(again.rows, ())

    async def test_a_forgotten_history_is_a_conflict(self):
        self.rows.put("t", "a", b"1")
        self.rows.put("t", "a", b"2")
        self.rows.forget_history()
        failure = await self.store.feed("t", 1, 0)
        self.assertIs(failure.reason, Reason.CONFLICT)

    async def test_a_refused_write_is_known_not_to_be_done(self):
        self.rows.trouble = Trouble.BUSY
        failure = await self.store.write()
        self.assertIs(failure.delivery, Delivery.REFUSED)

    async def test_a_write_without_an_answer_may_be_done(self):
        self.rows.trouble = Trouble.LOST
        failure = await self.table.commit([Write("a", b"1", 0)])
        self.assertIs(failure.reason, Reason.IN_DOUBT)
        self.rows.trouble = Trouble.NONE
        self.assertEqual(self.rows.value("control", "a"), b"1")

    async def test_an_absent_store_is_known_not_to_have_done_anything(self):
        clock = Clock.from_system()
        store = Store(HttpClient("127.0.0.1", 1, clock))
        failure = await StoreTable(store).commit([Write("a", b"1", 0)])
        self.assertIs(failure.reason, Reason.UNAVAILABLE)


class TestTable(StoreTest):
    async def test_of_two_writes_on_one_revision_one_wins(self):
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

    async def test_a_failed_scan_is_a_failure(self):
        self.rows.trouble = Trouble.BUSY
        self.assertIsInstance(await self.table.scan("x/"), Failure)
