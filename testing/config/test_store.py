import asyncio
import json
import random
import unittest
from itertools import pairwise

import msgspec

from _monsoonpulley.config.document import (
    Customer,
    Document,
    RequestClass,
    Revision,
    Service,
    ServiceKind,
    Version,
)
from _monsoonpulley.config.rows import HEAD_KEY, HISTORY_PREFIX, decode_revision
from _monsoonpulley.config.store import ApplyConflict, ConfigStore
from _monsoonpulley.errors import Failure, Reason
from _monsoonpulley.observability.log import Log
from _monsoonpulley.standins.manualloop import run_manual, running_clock
from testing.config.documents import document_of
from testing.config.faketable import FakeTable, Fault, TableClient

SEEDS = range(150)
BASE = document_of(a=1, b=1)
DEADLINE_MS = 1_796_378_400_000


def document_with(**targets_ms):
    return document_of(**{"a": 1, "b": 1, **targets_ms})


def document_without(name):
    classes = {key: one for key, one in BASE.classes.items() if key != name}
    return msgspec.structs.replace(BASE, classes=classes)


def create_store(table, seed=0, *, max_kept=1_000, **faults):
    clock = running_clock()
    rng = random.Random(seed)
    client = TableClient(table, clock, rng, **faults)
    return ConfigStore(client, clock, rng, max_kept_revisions=max_kept)


def decode_head(table):
    return decode_revision(table.rows.get(HEAD_KEY))


class ApplyTest(unittest.TestCase):
    def test_first_change_gets_number_1_and_is_read_back(self):
        async def main():
            store = create_store(FakeTable())
            applied = await store.apply(
                document_of(a=1), expected_number=0, author="ana", note="start"
            )
            self.assertEqual((applied.number, applied.note), (1, "start"))
            self.assertEqual(await store.read_head(), applied)
            self.assertEqual(await store.read_revision(1), applied)
            self.assertIsNone(await store.read_revision(2))

        run_manual(main())

    def test_conflict_names_both_authors_and_both_differences(self):
        async def main():
            store = create_store(FakeTable())
            await store.apply(document_of(a=1, b=1), expected_number=0, author="ana")
            await store.apply(document_of(a=2, b=1), expected_number=1, author="bea")
            result = await store.apply(
                document_of(a=1, b=3), expected_number=1, author="cleo", merge=False
            )
            self.assertIsInstance(result, ApplyConflict)
            self.assertIn("'bea'", str(result))
            self.assertIn("'cleo'", str(result))
            self.assertEqual([c.section for c in result.theirs], ["class a"])
            self.assertEqual([c.section for c in result.yours], ["class b"])
            self.assertEqual(result.same_sections, ())

        run_manual(main())

    def test_a_number_that_does_not_exist_yet_is_refused(self):
        async def main():
            store = create_store(FakeTable())
            result = await store.apply(Document(), expected_number=4, author="ana")
            self.assertIs(result.reason, Reason.INVALID)

        run_manual(main())

    def test_an_expected_number_no_longer_kept_is_a_conflict(self):
        async def main():
            store = create_store(FakeTable(), max_kept=2)
            for number in range(6):
                await store.apply(
                    document_of(a=number + 1), expected_number=number, author="ana"
                )
            result = await store.apply(Document(), expected_number=1, author="bea")
            self.assertIsInstance(result, ApplyConflict)
            self.assertEqual(result.theirs, ())

        run_manual(main())

    def test_history_is_pruned_and_listed_newest_first(self):
        async def main():
            table = FakeTable()
            store = create_store(table, max_kept=3)
            for number in range(8):
                await store.apply(Document(), expected_number=number, author="ana")
            kept = [key for key in table.rows if key.startswith(HISTORY_PREFIX)]
            self.assertEqual(len(kept), 3)
            history = await store.read_history(limit=2)
            self.assertEqual([one.number for one in history], [8, 7])

        run_manual(main())


class MergeTest(unittest.TestCase):
    """Both changes are based on revision 1; if merged, the second becomes 3."""

    def apply_both(self, theirs, yours):
        async def main():
            store = create_store(FakeTable())
            arguments = dict(expected_number=1, author="bea")
            await store.apply(BASE, expected_number=0, author="ana")
            await store.apply(theirs, **arguments)
            result = await store.apply(yours, expected_number=1, author="cleo")
            return await store.read_head(), result

        return run_manual(main())

    def test_changes_of_other_sections_are_both_in_force(self):
        head, result = self.apply_both(document_with(a=2), document_with(b=2))
        self.assertEqual(result, head)
        self.assertEqual((result.number, result.author), (3, "cleo"))
        self.assertEqual(result.document, document_with(a=2, b=2))

    def test_added_and_removed_sections_are_merged(self):
        head, _ = self.apply_both(document_without("a"), document_with(c=7))
        self.assertEqual(sorted(head.document.classes), ["b", "c"])

    def test_a_section_that_the_merged_change_removes_stays_removed(self):
        head, _ = self.apply_both(document_with(c=7), document_without("a"))
        self.assertEqual(sorted(head.document.classes), ["b", "c"])

    def test_two_changes_of_one_section_are_refused(self):
        head, result = self.apply_both(document_with(a=2), document_with(a=3))
        self.assertIsInstance(result, ApplyConflict)
        self.assertEqual(result.same_sections, ("class a",))
        self.assertEqual(head.document, document_with(a=2))

    def test_a_class_conflicts_with_a_change_of_its_service(self):
        services = {"pool": Service(ServiceKind.MODEL, lookup=True)}
        other = msgspec.structs.replace(BASE, services=services)
        for theirs, yours in ((other, document_with(a=2)), (document_with(a=2), other)):
            _, result = self.apply_both(theirs, yours)
            self.assertEqual(result.same_sections, ("service pool",))

    def test_a_customer_conflicts_with_the_removal_of_its_class(self):
        customers = {"x": Customer("0" * 64, ("a",))}
        other = msgspec.structs.replace(BASE, customers=customers)
        _, result = self.apply_both(document_without("a"), other)
        self.assertEqual(result.same_sections, ("class a",))

    def test_versions_of_one_service_conflict(self):
        one, two = (
            msgspec.structs.replace(
                BASE, versions=(*BASE.versions, Version("pool", name, DEADLINE_MS + n))
            )
            for n, name in enumerate(("v2", "v3"))
        )
        _, result = self.apply_both(one, two)
        self.assertEqual(result.same_sections, ("version pool",))

    def test_a_merged_document_that_is_not_valid_is_refused(self):
        one, two = (
            msgspec.structs.replace(BASE, customers={name: Customer("0" * 64)})
            for name in ("x", "y")
        )
        head, result = self.apply_both(one, two)
        self.assertEqual(result.same_sections, ())
        self.assertIn("each customer needs its own", result.problems[0])
        self.assertEqual(head.number, 2)

    def test_a_retry_finds_a_merged_change_by_its_token(self):
        async def main():
            table = FakeTable()
            store = create_store(table, faults=[Fault.NONE] * 4)
            await store.apply(BASE, expected_number=0, author="ana")
            await store.apply(document_with(a=2), expected_number=1, author="bea")
            arguments = dict(expected_number=1, author="cleo", change_token="t" * 32)
            merged = await store.apply(document_with(b=2), **arguments)
            self.assertEqual(merged.number, 3)
            await store.apply(document_with(a=5, b=2), expected_number=3, author="bea")
            self.assertEqual(await store.apply(document_with(b=2), **arguments), merged)
            reused = await store.apply(document_with(b=9), **arguments)
            self.assertIs(reused.reason, Reason.INVALID)
            self.assertEqual((await store.read_head()).number, 4)

        run_manual(main())

    def test_an_old_token_in_pruned_history_is_in_doubt_only_for_a_retry(self):
        async def main():
            store = create_store(FakeTable(), max_kept=2)
            for number in range(6):
                await store.apply(
                    document_with(a=number + 1), expected_number=number, author="ana"
                )
            arguments = dict(expected_number=1, author="cleo", change_token="t" * 32)
            again = await store.apply(document_with(b=2), **arguments)
            self.assertIs(again.reason, Reason.IN_DOUBT)
            first = await store.apply(
                document_with(b=2), **arguments, may_be_retry=False
            )
            self.assertIsInstance(first, ApplyConflict)

        run_manual(main())


class LogTest(unittest.TestCase):
    def test_each_outcome_is_one_log_line_with_its_inputs(self):
        async def main():
            lines = []
            clock = running_clock()
            log = Log(clock, lambda line: lines.append(json.loads(line)))
            rng = random.Random(1)
            table = FakeTable()
            store = ConfigStore(TableClient(table, clock, rng), clock, rng, log=log)
            await store.apply(BASE, expected_number=0, author="ana")
            arguments = dict(expected_number=1, author="bea")
            await store.apply(document_with(a=2), **arguments)
            await store.apply(document_with(b=2), **arguments)
            await store.apply(document_with(a=3), **arguments)
            await store.apply(document_with(c=3), merge=False, **arguments)
            table.is_unreachable = True
            await store.apply(document_with(c=3), **arguments)
            return lines

        lines = run_manual(main())
        self.assertEqual(
            [line["rule"] for line in lines],
            [
                "expected_is_in_force",
                "expected_is_in_force",
                "sections_do_not_touch",
                "sections_touch",
                "merge_not_wanted",
                "failed",
            ],
        )
        self.assertEqual(lines[3]["theirs"], ["class a", "class b"])
        self.assertEqual(lines[3]["same_sections"], ["class a"])
        self.assertEqual({line["event"] for line in lines}, {"config_apply"})


class LostAnswerTest(unittest.TestCase):
    def apply_with_faults(self, faults, *, other_between=False):
        async def main():
            table = FakeTable()
            store = create_store(table, faults=faults)
            result = await store.apply(
                document_of(a=1), expected_number=0, author="ana"
            )
            await running_clock().sleep_ms(10_000)
            return table, result

        return run_manual(main())

    def test_a_change_in_doubt_ends_as_one_confirmed_revision(self):
        in_doubt = [Fault.LOST_ANSWER, Fault.LOST_REQUEST, Fault.DELAYED]
        for first in in_doubt:
            for second in [Fault.NONE, Fault.REFUSED, *in_doubt]:
                with self.subTest(first=first, second=second):
                    table, result = self.apply_with_faults([first, second])
                    self.assertEqual(result, decode_head(table))
                    self.assertEqual(result.number, 1)

    def test_a_refused_retry_does_not_end_the_doubt_about_a_commit(self):
        table, result = self.apply_with_faults([Fault.DELAYED] + [Fault.REFUSED] * 20)
        # The delayed commit lands during or after the refused retries.
        self.assertEqual(decode_head(table).author, "ana")
        if isinstance(result, Failure):
            self.assertIs(result.reason, Reason.IN_DOUBT)

    def test_a_refused_first_commit_never_takes_effect(self):
        table, result = self.apply_with_faults([Fault.REFUSED])
        self.assertIs(result.reason, Reason.UNAVAILABLE)
        self.assertIsNone(decode_head(table))

    def test_the_same_change_token_applies_once_through_two_instances(self):
        async def main():
            table = FakeTable()
            first, second = create_store(table, 1), create_store(table, 2)
            arguments = dict(expected_number=0, author="ana", change_token="t" * 32)
            one = await first.apply(document_of(a=1), **arguments)
            two = await second.apply(document_of(a=1), **arguments)
            self.assertEqual(one, two)
            await first.apply(document_of(b=1), expected_number=1, author="bea")
            self.assertEqual(await second.apply(document_of(a=1), **arguments), one)
            reused = await second.apply(document_of(c=1), **arguments)
            self.assertIs(reused.reason, Reason.INVALID)

        run_manual(main())

    def test_a_token_is_found_however_many_changes_came_before_it(self):
        async def main():
            store = create_store(FakeTable())
            await store.apply(BASE, expected_number=0, author="ana")
            for number in range(1, 60):
                await store.apply(
                    document_with(a=number), expected_number=number, author="ana"
                )
            arguments = dict(expected_number=1, author="bea", change_token="t" * 32)
            first = await store.apply(document_with(b=2), **arguments)
            self.assertEqual(first.number, 61)
            self.assertEqual(await store.apply(document_with(b=2), **arguments), first)

        run_manual(main())

    def test_a_token_of_another_author_is_refused(self):
        async def main():
            store = create_store(FakeTable())
            arguments = dict(expected_number=0, change_token="t" * 32)
            await store.apply(BASE, author="ana", **arguments)
            reused = await store.apply(BASE, author="bea", **arguments)
            self.assertIs(reused.reason, Reason.INVALID)

        run_manual(main())

    def test_a_change_stays_in_doubt_if_the_table_becomes_unreachable(self):
        async def main():
            table = FakeTable()
            faults = [Fault.LOST_ANSWER, Fault.UNREACHABLE_AFTERWARDS]
            store = create_store(table, faults=faults)
            arguments = dict(expected_number=0, author="ana", change_token="t" * 32)
            result = await store.apply(BASE, **arguments)
            self.assertIs(result.reason, Reason.IN_DOUBT)
            self.assertIn("t" * 32, result.detail)

        run_manual(main())

    def test_a_change_is_not_in_doubt_after_the_head_moved_on_without_it(self):
        async def main():
            table = FakeTable()
            faults = [Fault.NONE, Fault.LOST_REQUEST, Fault.NONE, Fault.REFUSED]
            store = create_store(table, 1, faults=faults)
            other = create_store(table, 2)
            await store.apply(BASE, expected_number=0, author="ana")
            task = asyncio.create_task(
                store.apply(document_with(a=2), expected_number=1, author="ana")
            )
            await running_clock().sleep_ms(10)
            await other.apply(document_with(b=2), expected_number=1, author="bea")
            self.assertIs((await task).reason, Reason.UNAVAILABLE)

        run_manual(main())

    def test_a_head_that_moves_on_before_each_commit_is_a_conflict(self):
        async def main():
            table = FakeTable()
            store = create_store(table, 1, latency_ms=(10, 10))
            other = create_store(table, 2, latency_ms=(1, 1))
            await store.apply(BASE, expected_number=0, author="ana")

            async def keep_applying():
                for number in range(1, 10_000):
                    await other.apply(
                        document_with(b=number), expected_number=number, author="bea"
                    )

            task = asyncio.create_task(keep_applying())
            result = await store.apply(
                document_with(a=2), expected_number=1, author="ana"
            )
            task.cancel()
            self.assertIs(result.reason, Reason.CONFLICT)

        run_manual(main())

    def test_a_delayed_commit_never_lands_on_a_newer_head(self):
        async def main():
            table = FakeTable()
            slow = create_store(
                table, 1, faults=[Fault.DELAYED] + [Fault.LOST_REQUEST] * 9
            )
            fast = create_store(table, 2)
            task = asyncio.create_task(
                slow.apply(document_of(a=1), expected_number=0, author="ana")
            )
            await running_clock().sleep_ms(0)
            applied = await fast.apply(
                document_of(b=1), expected_number=0, author="bea"
            )
            result = await task
            await running_clock().sleep_ms(10_000)
            self.assertEqual(decode_head(table), applied)
            self.assertIsNot(type(result), Revision)

        run_manual(main())


class RaceTest(unittest.TestCase):
    """Operators apply concurrent changes, each by an instance, to a faulty table.

    Each change sets a class of the operator's own or the one that all share.
    """

    def run_race(self, seed, operators):
        async def operate(table, index, results):
            rng = random.Random(seed * 10 + index)
            faults = dict(fault_rate=0.4, latency_ms=(0, 300))
            store = create_store(table, seed * 10 + index, **faults)
            for step in range(4):
                head = await store.read_head()
                if isinstance(head, Failure):
                    continue
                await running_clock().sleep_ms(rng.randint(0, 400))
                name = rng.choice(["shared", f"own{index}"])
                target_ms = 100 * index + step + 1
                classes = dict(head.document.classes)
                classes[name] = RequestClass("pool", target_ms)
                result = await store.apply(
                    msgspec.structs.replace(document_of(), classes=classes),
                    expected_number=head.number,
                    author=f"op{index}",
                )
                results.append((name, target_ms, result))

        async def main():
            table = FakeTable()
            results = []
            first = create_store(table)
            await first.apply(document_of(), expected_number=0, author="ana")
            await asyncio.gather(
                *(operate(table, index, results) for index in range(operators))
            )
            await running_clock().sleep_ms(60_000)
            return table, results

        return run_manual(main())

    def read_revisions(self, table):
        return [
            decode_revision(table.rows[key])
            for key in sorted(table.rows)
            if key.startswith(HISTORY_PREFIX)
        ]

    def check_race(self, table, results):
        revisions = self.read_revisions(table)
        numbers = [one.number for one in revisions]
        self.assertEqual(numbers, list(range(1, len(revisions) + 1)))
        self.assertEqual(len({one.change_token for one in revisions}), len(revisions))
        expected = {}
        for before, after in pairwise(revisions):
            old = before.document.classes
            new = after.document.classes
            # No change is undone: each sets only the class of its author.
            changed_names = [name for name in new if new[name] != old.get(name)]
            self.assertLessEqual(old.keys(), new.keys())
            self.assertEqual(len(changed_names), 1)
            expected[changed_names[0], new[changed_names[0]].answer_within_ms] = after
        for name, target_ms, result in results:
            revision = expected.get((name, target_ms))
            if isinstance(result, Revision):
                self.assertEqual(revision, result)
            elif isinstance(result, ApplyConflict):
                self.assertIsNone(revision)
                self.assertIn("class shared", result.same_sections)
            elif result.reason is not Reason.IN_DOUBT:
                self.assertIsNone(revision)
        return sum(isinstance(result, Revision) for _, _, result in results)

    def test_two_and_three_racing_operators(self):
        for operators in (2, 3):
            applied_count = 0
            for seed in SEEDS:
                with self.subTest(operators=operators, seed=seed):
                    applied_count += self.check_race(*self.run_race(seed, operators))
            self.assertGreater(applied_count, len(SEEDS))
