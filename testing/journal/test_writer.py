from __future__ import annotations

import asyncio
import unittest

import msgspec

from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.external.table import Committed, Conflict, Write
from _monsoonpulley.journal.writer import GroupWriter
from _monsoonpulley.standins.manualloop import run_manual, running_clock

from .faults import Fault, FaultyTable
from .world import SETTINGS


def write_all(table, writes, **changes):
    """Write concurrently through one writer; return the results in order."""

    async def main():
        settings = msgspec.structs.replace(SETTINGS, **changes)
        writer = GroupWriter(table, running_clock(), settings)
        tasks = [asyncio.create_task(writer.write(each)) for each in writes]
        return await asyncio.wait_for(asyncio.gather(*tasks), 600)

    return run_manual(main())


def make_creates(*keys):
    return [Write(key, b"value", 0) for key in keys]


class GroupWriterTest(unittest.TestCase):
    def test_writes_share_transactions_of_bounded_size(self):
        table = FaultyTable()
        results = write_all(table, make_creates(*"abcdefgh"), max_group_writes=4)
        self.assertTrue(all(isinstance(each, Committed) for each in results))
        self.assertEqual(table.commits, 2)

    def test_a_group_is_bounded_by_bytes(self):
        table = FaultyTable()
        write_all(table, make_creates(*"abcd"), max_group_bytes=10)
        self.assertEqual(table.commits, 2)

    def test_only_the_writes_whose_row_changed_conflict(self):
        table = FaultyTable()
        table.apply(make_creates("b"))
        results = write_all(table, make_creates("a", "b", "c"))
        kinds = [type(each) for each in results]
        self.assertEqual(kinds, [Committed, Conflict, Committed])
        self.assertEqual(set(results[1].current), {"b"})

    def test_two_writes_of_one_row_do_not_share_a_transaction(self):
        table = FaultyTable()
        results = write_all(table, make_creates("a", "a", "b"))
        kinds = [type(each) for each in results]
        self.assertEqual(kinds, [Committed, Conflict, Committed])

    def test_a_lost_answer_leaves_every_member_in_doubt(self):
        for fault in (Fault.ANSWER_LOST, Fault.WRITE_LOST):
            table = FaultyTable(lambda fault=fault: fault)
            for result in write_all(table, make_creates("a", "b")):
                self.assertEqual(result.reason, Reason.IN_DOUBT)

    def test_a_commit_that_raises_leaves_every_member_in_doubt(self):
        def fail():
            raise RuntimeError("simulated fault in the adapter")

        for result in write_all(FaultyTable(fail), make_creates("a", "b")):
            self.assertEqual(result.reason, Reason.IN_DOUBT)

    def test_a_full_queue_refuses_without_writing(self):
        table = FaultyTable()
        results = write_all(table, make_creates(*"abcde"), max_queued_writes=3)
        refused = [each for each in results if isinstance(each, Failure)]
        self.assertEqual([each.reason for each in refused], [Reason.OVERLOADED] * 2)
        self.assertEqual(sorted(table.rows), ["a", "b", "c"])

    def test_new_work_is_refused_before_work_in_progress(self):
        table = FaultyTable()
        settings = msgspec.structs.replace(
            SETTINGS, max_queued_writes=4, max_queued_new_writes=2
        )

        async def main():
            writer = GroupWriter(table, running_clock(), settings)
            first, second, third, fourth = make_creates(*"abcd")
            return await asyncio.gather(
                writer.write(first, is_new=True),
                writer.write(second, is_new=True),
                writer.write(third, is_new=True),
                writer.write(fourth),
            )

        results = run_manual(main())
        self.assertEqual(results[2].reason, Reason.OVERLOADED)
        self.assertEqual(sorted(table.rows), ["a", "b", "d"])

    def test_a_backlog_is_written_with_bounded_concurrency(self):
        table = FaultyTable()
        keys = [f"{number:03}" for number in range(200)]
        write_all(table, make_creates(*keys), max_groups_in_flight=1)
        self.assertEqual(len(table.rows), 200)
        self.assertLessEqual(table.commits, 200 / SETTINGS.max_group_writes + 1)
